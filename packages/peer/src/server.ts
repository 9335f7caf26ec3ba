/**
 * Accepts connections of other entry VMs and serves their calls.
 * @module
 */
import * as crypto from "node:crypto";
import type * as http from "node:http";
import { getMessage } from "@bitternfall/errors";
import {
  JSONRPCErrorCode,
  JSONRPCErrorException,
  type JSONRPCParams,
  JSONRPCServer,
} from "json-rpc-2.0";
import { type WebSocket, WebSocketServer } from "ws";
import {
  type Beat,
  type Handlers,
  type Method,
  METHODS,
  type Params,
  type Result,
} from "./messages.ts";

/** Bytes that went over the connections, payload only. */
export interface Traffic {
  sent: number;
  received: number;
  messages: number;
}

/** Options of a {@link PeerServer}. */
export interface PeerServerOptions {
  readonly server: http.Server;
  /** Shared secret of the entry VMs. */
  readonly key: string;
  /** A method without a handler is refused. */
  readonly handlers: Partial<Handlers>;
  /** A message was refused; `reason` tells why. */
  readonly onRefused?: (reason: string) => void;
  readonly traffic: Traffic;
}

/** What has been said over one connection. */
interface ConnectionState {
  /** Last heartbeat in full. */
  heard?: Beat;
  /** Last answer to a heartbeat in full. */
  answered?: string;
}

/** Largest message between VMs; a peer that sends more is cut off. */
export const MAX_MESSAGE_BYTES = 8_000_000;

/** Serves JSON-RPC over WebSocket on an HTTP server. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #rpc = new JSONRPCServer<ConnectionState>({
    errorListener: () => {},
  });
  readonly #sockets: WebSocketServer;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    for (const method of Object.keys(METHODS) as Method[]) {
      if (options.handlers[method] !== undefined) this.#addMethod(method);
    }
    this.#sockets = new WebSocketServer({
      noServer: true,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    options.server.on("upgrade", (req, socket, head) => {
      if (!isAuthorized(req.headers.authorization, options.key)) {
        socket.end("HTTP/1.1 401 Unauthorized\r\nconnection: close\r\n\r\n");
        options.onRefused?.("wrong peer key");
        return;
      }
      this.#sockets.handleUpgrade(req, socket, head, (ws) => this.#serve(ws));
    });
  }

  /** Cuts all connections. */
  close(): void {
    for (const ws of this.#sockets.clients) ws.terminate();
    this.#sockets.close();
  }

  #addMethod(method: Method): void {
    const schema = METHODS[method].params;
    const handler = this.#options.handlers[method] as (
      params: unknown,
    ) => unknown;
    this.#rpc.addMethod(method, async (raw: JSONRPCParams, connection) => {
      const parsed = schema.safeParse(raw);
      if (!parsed.success) {
        this.#options.onRefused?.(`malformed parameters of ${method}`);
        throw new JSONRPCErrorException(
          "malformed parameters",
          JSONRPCErrorCode.InvalidParams,
        );
      }
      if (method === "beat") {
        return this.#beat(parsed.data as Params<"beat">, connection);
      }
      return await handler(parsed.data) ?? null;
    });
  }

  /** Fills in what an empty heartbeat leaves out, and leaves out what has not changed. */
  async #beat(
    params: Params<"beat">,
    connection: ConnectionState,
  ): Promise<Result<"beat">> {
    if (params.length > 0) connection.heard = params as Beat;
    if (connection.heard === undefined) {
      throw new JSONRPCErrorException(
        "nothing to repeat",
        JSONRPCErrorCode.InvalidParams,
      );
    }
    const answer = await this.#options.handlers.beat!(connection.heard);
    const text = JSON.stringify(answer);
    if (text === connection.answered) return [];
    connection.answered = text;
    return answer;
  }

  #serve(ws: WebSocket): void {
    const connection: ConnectionState = {};
    const { traffic, onRefused } = this.#options;
    ws.on("error", () => ws.terminate());
    ws.on("message", async (data, isBinary) => {
      const text = isBinary ? "" : String(data);
      traffic.received += text.length;
      traffic.messages++;
      let message: unknown;
      try {
        message = JSON.parse(text);
      } catch (err) {
        onRefused?.(getMessage(err));
        return ws.terminate();
      }
      const answer = await this.#receive(message, connection);
      if (answer === undefined || ws.readyState !== ws.OPEN) return;
      traffic.sent += answer.length;
      ws.send(answer);
    });
  }

  async #receive(
    message: unknown,
    connection: ConnectionState,
  ): Promise<string | undefined> {
    try {
      const answer = await this.#rpc.receive(
        message as Parameters<JSONRPCServer["receive"]>[0],
        connection,
      );
      return answer === null ? undefined : JSON.stringify(answer);
    } catch (err) {
      this.#options.onRefused?.(getMessage(err));
      return undefined;
    }
  }
}

/** Compares a bearer header with the key in constant time. */
export function isAuthorized(header: string | undefined, key: string): boolean {
  const given = crypto.createHash("sha256").update(header ?? "").digest();
  const wanted = crypto.createHash("sha256").update(`Bearer ${key}`).digest();
  return crypto.timingSafeEqual(given, wanted);
}
