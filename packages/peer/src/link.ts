/**
 * Connection to one other entry VM: connects, sends heartbeats, reconnects when the
 * connection is closed or heartbeats time out, and carries calls.
 * @module
 */
import { meterSocket } from "@bitternfall/connection";
import { getMessage } from "@bitternfall/errors";
import { monotonicNow, sleep, withTimeout } from "@bitternfall/types";
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  JSONRPCErrorCode,
  JSONRPCErrorException,
} from "json-rpc-2.0";
import { WebSocket } from "ws";
import { PeerError, type PeerFault } from "./error.ts";
import {
  type Heartbeat,
  type Method,
  METHODS,
  type Params,
  type Result,
} from "./messages.ts";
import { MAX_MESSAGE_BYTES, type Traffic } from "./server.ts";

/** Callbacks of a {@link PeerLink}. */
export interface LinkListener {
  /** A new connection works; what was sent before may be lost. */
  readonly onConnected?: () => void;
  /** The peer answered a heartbeat; `heartbeat` is its own latest one. */
  onHeartbeat(heartbeat: Heartbeat): void;
  /** The connection was closed or a heartbeat timed out; the link is reconnecting. */
  onSuspect(reason: string): void;
  /** An attempt to connect failed. */
  onUnreachable(reason: string): void;
}

/** Options of a {@link PeerLink}. */
export interface PeerLinkOptions {
  readonly vmId: string;
  /** `host:port` of the peer listener. */
  readonly address: string;
  readonly key: string;
  /**
   * Reads the certificate authority of the peers, at each dial; plain TCP when undefined.
   * A dial fails where it throws.
   */
  readonly readCa?: (() => string) | undefined;
  readonly heartbeatMs: number;
  readonly heartbeatTimeoutMs: number;
  /** Returns this VM's current heartbeat. */
  readonly getHeartbeat: () => Heartbeat;
  readonly listener: LinkListener;
  readonly traffic: Traffic;
}

const DIAL_TIMEOUT_MS = 400;
const REDIAL_DELAY_MS = 300;
const DEFAULT_CALL_TIMEOUT_MS = 1000;

interface Connection {
  readonly ws: WebSocket;
  readonly rpc: JSONRPCClient;
  readonly closed: Promise<void>;
  /** Last heartbeat that the peer answered, as JSON; an unchanged one is sent empty. */
  acknowledgedHeartbeat?: string;
  /** Last heartbeat that the peer returned in full. */
  peerHeartbeat?: Heartbeat;
}

/** Keeps a connection to one peer open. */
export class PeerLink {
  readonly vmId: string;
  readonly address: string;
  readonly #options: PeerLinkOptions;
  readonly #stop = new AbortController();
  #connection: Connection | undefined;
  #lastResponseAt = 0;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.vmId = options.vmId;
    this.address = options.address;
  }

  /** Connects, and reconnects as needed, until {@link close}. */
  async run(): Promise<void> {
    const { listener } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        this.#connection = await this.#dial();
        await this.#sendHeartbeat(this.#connection);
        listener.onConnected?.();
      } catch (err) {
        this.#disconnect();
        if (this.#stop.signal.aborted) return;
        listener.onUnreachable(getMessage(err));
        await sleep(REDIAL_DELAY_MS, this.#stop.signal);
        continue;
      }
      const reason = await this.#sendHeartbeatsUntilLost(this.#connection);
      this.#disconnect();
      if (!this.#stop.signal.aborted) listener.onSuspect(reason);
    }
  }

  /** Sends a heartbeat at once, to announce a change of state to the peer. */
  sendHeartbeatNow(): void {
    if (this.#connection !== undefined) {
      void this.#sendHeartbeat(this.#connection).catch(() => {});
    }
  }

  /** Stops {@link run} and closes the connection. */
  close(): void {
    this.#stop.abort();
    this.#disconnect();
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
    const { timeoutMs = DEFAULT_CALL_TIMEOUT_MS } = options;
    let raw: unknown;
    try {
      raw = await connection.rpc.timeout(timeoutMs, createLostResponse).request(
        method,
        params,
      );
    } catch (err) {
      throw new PeerError(
        toFault(err),
        `${this.vmId} ${method}: ${getMessage(err)}`,
        {
          cause: err,
        },
      );
    }
    this.#lastResponseAt = monotonicNow();
    const parsed = METHODS[method].result.safeParse(raw);
    if (parsed.success) return parsed.data as Result<M>;
    throw new PeerError(
      { tag: "refused" },
      `${this.vmId} ${method}: malformed result`,
    );
  }

  /** Sends a notification; it is dropped while the link is not connected. */
  notify<M extends Method>(method: M, params: Params<M>): void {
    this.#connection?.rpc.notify(method, params);
  }

  async #sendHeartbeatsUntilLost(connection: Connection): Promise<string> {
    const { heartbeatMs } = this.#options;
    for (;;) {
      const pause = sleep(heartbeatMs, this.#stop.signal).then(() =>
        "beat" as const
      );
      const next = await Promise.race([pause, connection.closed]);
      if (next !== "beat") return "connection closed";
      if (this.#stop.signal.aborted) return "stopped";
      try {
        await this.#sendHeartbeat(connection);
      } catch (err) {
        return getMessage(err);
      }
    }
  }

  async #sendHeartbeat(connection: Connection): Promise<void> {
    const { getHeartbeat, heartbeatTimeoutMs, listener } = this.#options;
    const sentAt = monotonicNow();
    try {
      const heartbeat = getHeartbeat();
      const heartbeatText = JSON.stringify(heartbeat);
      const raw = await connection.rpc
        .timeout(heartbeatTimeoutMs, createLostResponse)
        .request(
          "beat",
          heartbeatText === connection.acknowledgedHeartbeat ? [] : heartbeat,
        );
      connection.acknowledgedHeartbeat = heartbeatText;
      this.#lastResponseAt = monotonicNow();
      const response = METHODS.beat.result.parse(raw);
      if (response.length > 0) connection.peerHeartbeat = response as Heartbeat;
      if (connection.peerHeartbeat !== undefined) {
        listener.onHeartbeat(connection.peerHeartbeat);
      }
    } catch (err) {
      // Another response that arrived meanwhile shows that the connection works and that
      // the heartbeat was only late.
      if (this.#lastResponseAt > sentAt) return;
      throw err;
    }
  }

  async #dial(): Promise<Connection> {
    const { address, key, readCa, traffic } = this.#options;
    const ca = readCa?.();
    const scheme = ca === undefined ? "ws" : "wss";
    const ws = new WebSocket(`${scheme}://${address}`, {
      headers: { authorization: `Bearer ${key}` },
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      ...(ca === undefined ? {} : { ca }),
    });
    ws.once("upgrade", ({ socket }) => meterSocket(socket, address));
    const closed = new Promise<void>((resolve) =>
      ws.once("close", () => resolve())
    );
    const opened = new Promise<boolean>((resolve, reject) => {
      ws.once("open", () => resolve(true));
      ws.on("error", reject);
    });
    const isOpen = await withTimeout(opened, {
      ms: DIAL_TIMEOUT_MS + 100,
      fallback: false,
    });
    if (!isOpen) {
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
    ws.once("close", () => rpc.rejectAllPendingRequests(LOST_MESSAGE));
    return { ws, rpc, closed };
  }

  #disconnect(): void {
    this.#connection?.ws.terminate();
    this.#connection = undefined;
  }
}

const LOST_MESSAGE = "connection lost or silent";

/** Tells why a call failed from the error of its response. */
function toFault(err: unknown): PeerFault {
  if (getMessage(err) === LOST_MESSAGE) return { tag: "lost" };
  const isRejected = err instanceof JSONRPCErrorException &&
    err.code === JSONRPCErrorCode.InvalidParams;
  return { tag: isRejected ? "rejected_params" : "refused" };
}

function createLostResponse(
  id: Parameters<typeof createJSONRPCErrorResponse>[0],
) {
  return createJSONRPCErrorResponse(id, 0, LOST_MESSAGE);
}
