/**
 * Connection to one other entry VM: dials, sends heartbeats, redials when the
 * connection is lost or silent, and carries calls.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
import { monotonicNow, sleep, withTimeout } from "@bitternfall/types";
import { createJSONRPCErrorResponse, JSONRPCClient } from "json-rpc-2.0";
import { WebSocket } from "ws";
import { PeerError } from "./error.ts";
import {
  type Beat,
  type Method,
  METHODS,
  type Params,
  type Result,
} from "./messages.ts";
import { MAX_MESSAGE_BYTES, type Traffic } from "./server.ts";

/** What a link tells its owner. */
export interface LinkListener {
  /** A heartbeat was answered. */
  onBeat(beat: Beat): void;
  /** The connection was lost or silent; a new one is being dialled. */
  onSuspect(reason: string): void;
  /** A new connection could not be had either. */
  onUnreachable(reason: string): void;
}

/** Options of a {@link PeerLink}. */
export interface PeerLinkOptions {
  readonly vmId: string;
  /** `host:port` of the peer listener. */
  readonly address: string;
  readonly key: string;
  /** Certificate authority of the peers; plain TCP without one. */
  readonly ca?: string | undefined;
  readonly heartbeatMs: number;
  readonly heartbeatTimeoutMs: number;
  /** This VM's own heartbeat. */
  readonly getBeat: () => Beat;
  readonly listener: LinkListener;
  readonly traffic: Traffic;
}

const DIAL_TIMEOUT_MS = 400;
const RETRY_MS = 300;
const DEFAULT_CALL_MS = 1000;

interface Connection {
  readonly ws: WebSocket;
  readonly rpc: JSONRPCClient;
  readonly closed: Promise<void>;
  /** Last heartbeat that the peer has answered; not sent again while it is the same. */
  told?: string;
  /** Last answer in full. */
  heard?: Beat;
}

/** The task that keeps one peer connected. */
export class PeerLink {
  readonly vmId: string;
  readonly address: string;
  readonly #options: PeerLinkOptions;
  readonly #stop = new AbortController();
  #connection: Connection | undefined;
  #lastAnswer = 0;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.vmId = options.vmId;
    this.address = options.address;
  }

  /** Keeps the peer connected until {@link close}. */
  async run(): Promise<void> {
    const { listener } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        this.#connection = await this.#dial();
        await this.#beat(this.#connection);
      } catch (err) {
        this.#drop();
        if (this.#stop.signal.aborted) return;
        listener.onUnreachable(getMessage(err));
        await sleep(RETRY_MS, this.#stop.signal);
        continue;
      }
      const reason = await this.#beatUntilLost(this.#connection);
      this.#drop();
      if (!this.#stop.signal.aborted) listener.onSuspect(reason);
    }
  }

  /** Sends a heartbeat at once, so that the peer learns of a change of state. */
  beatNow(): void {
    if (this.#connection !== undefined) {
      void this.#beat(this.#connection).catch(() => {});
    }
  }

  /** Ends the task and cuts the connection. */
  close(): void {
    this.#stop.abort();
    this.#drop();
  }

  /** Calls a method and waits for its result. Throws {@link PeerError}. */
  async call<M extends Method>(
    method: M,
    params: Params<M>,
    options: { timeoutMs?: number } = {},
  ): Promise<Result<M>> {
    const connection = this.#connection;
    if (connection === undefined) {
      throw new PeerError(
        { tag: "unreachable" },
        `${this.vmId} is not connected`,
      );
    }
    const { timeoutMs = DEFAULT_CALL_MS } = options;
    let raw: unknown;
    try {
      raw = await connection.rpc.timeout(timeoutMs, lostResponse).request(
        method,
        params,
      );
    } catch (err) {
      const lost = getMessage(err) === LOST;
      throw new PeerError(
        { tag: lost ? "lost" : "refused" },
        `${this.vmId} ${method}: ${getMessage(err)}`,
        {
          cause: err,
        },
      );
    }
    this.#lastAnswer = monotonicNow();
    const parsed = METHODS[method].result.safeParse(raw);
    if (parsed.success) return parsed.data as Result<M>;
    throw new PeerError(
      { tag: "refused" },
      `${this.vmId} ${method}: malformed result`,
    );
  }

  /** Sends a notification; it is dropped where no connection stands. */
  notify<M extends Method>(method: M, params: Params<M>): void {
    this.#connection?.rpc.notify(method, params);
  }

  async #beatUntilLost(connection: Connection): Promise<string> {
    const { heartbeatMs } = this.#options;
    for (;;) {
      const rest = sleep(heartbeatMs, this.#stop.signal).then(() =>
        "beat" as const
      );
      const next = await Promise.race([rest, connection.closed]);
      if (next !== "beat") return "connection closed";
      if (this.#stop.signal.aborted) return "stopped";
      try {
        await this.#beat(connection);
      } catch (err) {
        return getMessage(err);
      }
    }
  }

  async #beat(connection: Connection): Promise<void> {
    const { getBeat, heartbeatTimeoutMs, listener } = this.#options;
    const sentAt = monotonicNow();
    try {
      const beat = getBeat();
      const text = JSON.stringify(beat);
      const raw = await connection.rpc
        .timeout(heartbeatTimeoutMs, lostResponse)
        .request("beat", text === connection.told ? [] : beat);
      connection.told = text;
      this.#lastAnswer = monotonicNow();
      const answer = METHODS.beat.result.parse(raw);
      if (answer.length > 0) connection.heard = answer as Beat;
      if (connection.heard !== undefined) listener.onBeat(connection.heard);
    } catch (err) {
      // Another answer on the same connection proves it live though the heartbeat was late.
      if (this.#lastAnswer > sentAt) return;
      throw err;
    }
  }

  async #dial(): Promise<Connection> {
    const { address, key, ca, traffic } = this.#options;
    const scheme = ca === undefined ? "ws" : "wss";
    const ws = new WebSocket(`${scheme}://${address}`, {
      headers: { authorization: `Bearer ${key}` },
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      ...(ca === undefined ? {} : { ca }),
    });
    const closed = new Promise<void>((resolve) =>
      ws.once("close", () => resolve())
    );
    const opened = new Promise<boolean>((resolve, reject) => {
      ws.once("open", () => resolve(true));
      ws.on("error", reject);
    });
    const ok = await withTimeout(opened, {
      ms: DIAL_TIMEOUT_MS + 100,
      fallback: false,
    });
    if (!ok) {
      ws.terminate();
      throw new Error("dial timed out");
    }
    const rpc = new JSONRPCClient((payload) => {
      const text = JSON.stringify(payload);
      traffic.sent += text.length;
      traffic.messages++;
      ws.send(text);
    });
    ws.on("message", (data) => {
      const text = String(data);
      traffic.received += text.length;
      try {
        rpc.receive(JSON.parse(text));
      } catch {
        ws.terminate();
      }
    });
    ws.once("close", () => rpc.rejectAllPendingRequests(LOST));
    return { ws, rpc, closed };
  }

  #drop(): void {
    this.#connection?.ws.terminate();
    this.#connection = undefined;
  }
}

const LOST = "connection lost or silent";

function lostResponse(id: Parameters<typeof createJSONRPCErrorResponse>[0]) {
  return createJSONRPCErrorResponse(id, 0, LOST);
}
