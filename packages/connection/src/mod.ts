/**
 * HTTP client with pooled connections to one origin. After a timeout the whole pool is
 * replaced, because the idle connections may be affected by the same network fault.
 * @module
 */
import { getCode, getMessage } from "@bitternfall/errors";
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import type * as net from "node:net";
import * as undici from "undici";
import { ChunkCollector } from "./chunk_collector.ts";
import { ConnectionError } from "./error.ts";
import {
  hasBodyFraming,
  isHeadUsable,
  MAX_INTERIM_RESPONSES,
} from "./exchange.ts";
import { meterSocket } from "./read_shares.ts";

export * from "./bind_all.ts";
export * from "./chunk_collector.ts";
export * from "./error.ts";
export * from "./exchange.ts";
export {
  closeGracefully,
  hasOpenResponses,
  isLastResponse,
} from "./graceful_close.ts";
export * from "./listener.ts";
export * from "./read_shares.ts";

/** Options of one call. */
export interface CallOptions {
  readonly method?:
    | "GET"
    | "HEAD"
    | "POST"
    | "PUT"
    | "DELETE"
    | "PATCH"
    | "OPTIONS";
  readonly path: string;
  readonly headers?: { readonly [name: string]: string | string[] };
  readonly body?: string | Buffer | undefined;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal | undefined;
  /** Opens a connection for this call only and closes it afterwards. */
  readonly useDedicatedConnection?: boolean;
}

/** A response with its complete body. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: { readonly [name: string]: string | string[] | undefined };
  readonly body: Buffer;
}

/** Receives a streamed response. */
export interface StreamHandler {
  /** Called with the status and headers, before any data. */
  onStart(status: number, headers: http.IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(err: ConnectionError): void;
}

/** Controls a streamed response. */
export interface StreamControl {
  pause(): void;
  resume(): void;
  /** Closes the connection of this stream; the handler is not called again. */
  abort(): void;
}

/** Options of an {@link HttpClient}. */
export interface HttpClientOptions {
  readonly timeoutMs?: number;
  readonly connectTimeoutMs?: number;
  readonly maxResponseBytes?: number;
  /** PEM of the certificate authority that an `https` origin is verified against. */
  readonly ca?: string | undefined;
}

const IDLE_TIMEOUT_MS = 4000;
/** Error codes that are raised only before a connection is established. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends HTTP requests to one origin over pooled connections. */
export class HttpClient {
  readonly origin: string;
  readonly #timeoutMs: number;
  readonly #connectTimeoutMs: number;
  readonly #maxResponseBytes: number;
  readonly #ca: string | undefined;
  #pool: undici.Pool;
  /** Connections that have failed, which undici does not always report. */
  #failedConnections = 0;
  /** Connections of streams that have one of their own. */
  readonly #dedicatedPools = new Set<undici.Pool>();

  constructor(origin: string, options: HttpClientOptions = {}) {
    const {
      timeoutMs = 2000,
      connectTimeoutMs = 400,
      maxResponseBytes = 16_000_000,
    } = options;
    this.origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#connectTimeoutMs = connectTimeoutMs;
    this.#maxResponseBytes = maxResponseBytes;
    this.#ca = options.ca;
    this.#pool = this.#createPool();
  }

  /** Makes one call and reads the complete response. Throws {@link ConnectionError}. */
  async call(options: CallOptions): Promise<HttpResponse> {
    const {
      method = "GET",
      path,
      headers = {},
      body,
      timeoutMs = this.#timeoutMs,
      useDedicatedConnection = false,
    } = options;
    const pool = useDedicatedConnection
      ? this.#createPool({ connections: 1 })
      : this.#pool;
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
    const cut = new AbortController();
    const signal = AbortSignal.any([
      timeout,
      cut.signal,
      ...(options.signal === undefined ? [] : [options.signal]),
    ]);
    let interimResponses = 0;
    const onInfo = () => {
      if (++interimResponses <= MAX_INTERIM_RESPONSES) return;
      const text = `${interimResponses} interim responses and no head`;
      cut.abort(new ConnectionError({ tag: "cut" }, text));
    };
    const failuresBefore = this.#failedConnections;
    try {
      const res = await pool.request({
        method,
        path,
        headers,
        body: body ?? null,
        signal,
        onInfo,
      });
      const { statusCode, headers: responseHeaders } = res;
      if (!isHeadUsable({ statusCode, headers: responseHeaders })) {
        await res.body.dump({ limit: 0 });
        throw new ConnectionError({ tag: "cut" }, "unusable head");
      }
      const responseBody = await this.#readBody(res.body);
      // undici takes a reset for the end of a body without framing.
      const mayBeCut = this.#failedConnections > failuresBefore &&
        !hasBodyFraming({ headers: responseHeaders });
      if (mayBeCut) throw new ConnectionError({ tag: "cut" }, "reset");
      return {
        status: res.statusCode,
        headers: res.headers,
        body: responseBody,
      };
    } catch (err) {
      const isTimeout = timeout.aborted && options.signal?.aborted !== true;
      if (isTimeout && !useDedicatedConnection) this.renewConnections();
      throw toConnectionError(err, {
        isTimeout,
        isAborted: options.signal?.aborted === true,
      });
    } finally {
      if (useDedicatedConnection) void pool.destroy().catch(() => {});
    }
  }

  /** Makes one call and parses the body as JSON; `json` is `undefined` when it is not JSON. */
  async callJson(
    options: Omit<CallOptions, "body"> & { json?: unknown },
  ): Promise<{ status: number; json: unknown }> {
    const { json, ...callOptions } = options;
    const body = json === undefined ? undefined : JSON.stringify(json);
    const headers = {
      ...callOptions.headers,
      ...(body === undefined ? {} : { "content-type": "application/json" }),
    };
    const res = await this.call({ ...callOptions, headers, body });
    return { status: res.status, json: parseJson(res.body) };
  }

  /** Makes one call whose response is passed on as it arrives, without a timeout. */
  stream(
    options: Omit<CallOptions, "timeoutMs" | "signal">,
    handler: StreamHandler,
  ): StreamControl {
    const {
      method = "GET",
      path,
      headers = {},
      body,
      useDedicatedConnection = false,
    } = options;
    const pool = useDedicatedConnection
      ? this.#createPool({ connections: 1 })
      : this.#pool;
    const failuresBefore = this.#failedConnections;
    let controller: undici.Dispatcher.DispatchController | undefined;
    let closed = false;
    let isFramed = false;
    const fail = (err: unknown) => {
      if (closed) return;
      closed = true;
      handler.onError(
        toConnectionError(err, { isTimeout: false, isAborted: false }),
      );
    };
    pool.dispatch(
      {
        origin: this.origin,
        method,
        path,
        headers,
        body: body ?? null,
        bodyTimeout: 0,
        headersTimeout: 0,
      },
      {
        onRequestStart: (startedController) => {
          controller = startedController;
          if (closed) startedController.abort(new Error("aborted"));
        },
        onResponseStart: (started, statusCode, headers) => {
          if (closed) return;
          if (isHeadUsable({ statusCode, headers })) {
            isFramed = hasBodyFraming({ headers });
            return handler.onStart(statusCode, headers);
          }
          fail(new ConnectionError({ tag: "cut" }, "unusable head"));
          started.abort(new Error("unusable head"));
        },
        onResponseData: (_, chunk) => {
          if (!closed) handler.onData(chunk);
        },
        onResponseEnd: () => {
          if (closed) return;
          if (!isFramed && this.#failedConnections > failuresBefore) {
            return fail(new ConnectionError({ tag: "cut" }, "reset"));
          }
          closed = true;
          handler.onEnd();
        },
        onResponseError: (_, err) => fail(err),
      },
    );
    if (useDedicatedConnection) this.#closeAfterUse(pool);
    return {
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
      abort: () => {
        closed = true;
        controller?.abort(new Error("aborted"));
      },
    };
  }

  /** Replaces the pool: new calls open new connections, calls in flight keep theirs. */
  renewConnections(): void {
    const oldPool = this.#pool;
    this.#pool = this.#createPool();
    void oldPool.close().catch(() => {});
  }

  /** Closes all connections; calls in flight fail. */
  async close(): Promise<void> {
    const pools = [this.#pool, ...this.#dedicatedPools];
    await Promise.all(pools.map((pool) => pool.destroy().catch(() => {})));
  }

  /** Closes a stream's own connection once its response has ended. */
  #closeAfterUse(pool: undici.Pool): void {
    this.#dedicatedPools.add(pool);
    void pool.close().catch(() => {}).finally(() =>
      this.#dedicatedPools.delete(pool)
    );
  }

  #createPool(options: { connections?: number } = {}): undici.Pool {
    const connect = undici.buildConnector({
      timeout: this.#connectTimeoutMs,
      noDelay: true,
      ...(this.#ca === undefined ? {} : { ca: this.#ca }),
    });
    return new undici.Pool(this.origin, {
      connections: options.connections ?? null,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connect: (target, callback) =>
        connect(target, (...result) => {
          if (result[1]) this.#observe(result[1]);
          callback(...result);
        }),
    });
  }

  /** Meters a connection, and counts it once it fails. */
  #observe(socket: net.Socket): void {
    const meter = meterSocket(socket, this.origin);
    // Without framing, a reset that comes with the last data looks like an end.
    meter.setStopsAfterReads(true);
    const count = () => this.#failedConnections++;
    meter.onWriteFailure(count);
    // undici destroys a connection with an error of its own after a normal end, too.
    socket.once("error", (err: NodeJS.ErrnoException) => {
      if (err.syscall !== undefined) count();
    });
  }

  async #readBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
    const collector = new ChunkCollector();
    for await (const chunk of body) {
      collector.add(chunk);
      if (collector.size > this.#maxResponseBytes) {
        throw new ConnectionError({ tag: "too_large" }, "reply is too large");
      }
    }
    const parts = collector.take();
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }
}

function toConnectionError(
  err: unknown,
  state: { isTimeout: boolean; isAborted: boolean },
): ConnectionError {
  if (err instanceof ConnectionError) return err;
  const options = { cause: err };
  if (state.isAborted) {
    return new ConnectionError({ tag: "aborted" }, "call aborted", options);
  }
  if (state.isTimeout) {
    return new ConnectionError(
      { tag: "no_reply" },
      "no reply in time",
      options,
    );
  }
  const code = getCode(err);
  if (code !== undefined && CONNECT_ERROR_CODES.has(code)) {
    return new ConnectionError(
      { tag: "not_sent" },
      `connection failed: ${code}`,
      options,
    );
  }
  return new ConnectionError(
    { tag: "cut" },
    `connection broke: ${getMessage(err)}`,
    options,
  );
}

/** Parses a body as JSON; returns `undefined` when it is not JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}
