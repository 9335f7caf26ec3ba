/**
 * Accepts connections from other entry VMs and serves their calls.
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
  type Handlers,
  type Heartbeat,
  type Method,
  METHODS,
  type Params,
  type Result,
} from "./messages.ts";

/** Counters of payload bytes and messages over all connections. */
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
  /** Calls of methods without a handler are refused. */
  readonly handlers: Partial<Handlers>;
  /** Called when a message or a connection was refused. */
  readonly onRefused?: (reason: string) => void;
  readonly traffic: Traffic;
}

/** Heartbeats that were exchanged over one connection. */
interface ConnectionState {
  /** Last heartbeat received in full. */
  peerHeartbeat?: Heartbeat;
  /** Last own heartbeat that was sent in full as a response, as JSON. */
  sentHeartbeat?: string;
}

/** Largest message between VMs; a connection on which a larger one arrives is closed. */
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
        // Node removes its own listener before it emits `upgrade`.
        socket.on("error", () => socket.destroy());
        socket.once("finish", () => socket.destroy());
        socket.end("HTTP/1.1 401 Unauthorized\r\nconnection: close\r\n\r\n");
        options.onRefused?.("wrong peer key");
        return;
      }
      this.#sockets.handleUpgrade(req, socket, head, (ws) => this.#serve(ws));
    });
  }

  /** Closes all connections. */
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
        return this.#handleHeartbeat(parsed.data as Params<"beat">, connection);
      }
      return await handler(parsed.data) ?? null;
    });
  }

  /**
   * Replaces an empty heartbeat by the last full one, and returns an empty one while this
   * VM's own is unchanged.
   */
  async #handleHeartbeat(
    params: Params<"beat">,
    connection: ConnectionState,
  ): Promise<Result<"beat">> {
    if (params.length > 0) connection.peerHeartbeat = params as Heartbeat;
    if (connection.peerHeartbeat === undefined) {
      throw new JSONRPCErrorException(
        "nothing to repeat",
        JSONRPCErrorCode.InvalidParams,
      );
    }
    const response = await this.#options.handlers.beat!(
      connection.peerHeartbeat,
    );
    const responseText = JSON.stringify(response);
    if (responseText === connection.sentHeartbeat) return [];
    connection.sentHeartbeat = responseText;
    return response;
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
      const response = await this.#receive(message, connection);
      if (response === undefined || ws.readyState !== ws.OPEN) return;
      traffic.sent += response.length;
      ws.send(response);
    });
  }

  async #receive(
    message: unknown,
    connection: ConnectionState,
  ): Promise<string | undefined> {
    try {
      const response = await this.#rpc.receive(
        message as Parameters<JSONRPCServer["receive"]>[0],
        connection,
      );
      return response === null ? undefined : JSON.stringify(response);
    } catch (err) {
      this.#options.onRefused?.(getMessage(err));
      return undefined;
    }
  }
}

/** Compares an `authorization` header with the expected bearer key in constant time. */
export function isAuthorized(header: string | undefined, key: string): boolean {
  const givenHash = crypto.createHash("sha256").update(header ?? "").digest();
  const expectedHash = crypto.createHash("sha256").update(`Bearer ${key}`)
    .digest();
  return crypto.timingSafeEqual(givenHash, expectedHash);
}
