/**
 * HTTP connections to one origin. A connection that gave no reply in time is replaced
 * together with its idle siblings, since whatever silenced it may have silenced them too.
 * @module
 */
import { getCode, getMessage } from "@bitternfall/errors";
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import * as undici from "undici";
import { ConnectionError } from "./error.ts";

export * from "./error.ts";
export * from "./exchange.ts";
export * from "./listener.ts";

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
  /** Uses a connection of its own that is closed afterwards. */
  readonly fresh?: boolean;
}

/** A reply, read whole. */
export interface Reply {
  readonly status: number;
  readonly headers: { readonly [name: string]: string | string[] | undefined };
  readonly body: Buffer;
}

/** Receives a streamed reply. */
export interface StreamHandler {
  /** The head of the reply has come. */
  onStart(status: number, headers: http.IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(err: ConnectionError): void;
}

/** Steers a streamed reply. */
export interface StreamControl {
  pause(): void;
  resume(): void;
  /** Closes the connection of this stream; the handler hears nothing more. */
  abort(): void;
}

/** Settings of an {@link HttpConnection}. */
export interface ConnectionOptions {
  readonly timeoutMs?: number;
  readonly connectTimeoutMs?: number;
  readonly maxReplyBytes?: number;
  /** Certificate authority for an `https` origin. */
  readonly ca?: string | undefined;
}

const IDLE_MS = 4000;
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Pooled connections to one origin. */
export class HttpConnection {
  readonly origin: string;
  readonly #timeoutMs: number;
  readonly #connectTimeoutMs: number;
  readonly #maxReplyBytes: number;
  readonly #ca: string | undefined;
  #pool: undici.Pool;

  constructor(origin: string, options: ConnectionOptions = {}) {
    const {
      timeoutMs = 2000,
      connectTimeoutMs = 400,
      maxReplyBytes = 16_000_000,
    } = options;
    this.origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#connectTimeoutMs = connectTimeoutMs;
    this.#maxReplyBytes = maxReplyBytes;
    this.#ca = options.ca;
    this.#pool = this.#createPool();
  }

  /** Makes one call and reads the reply whole. Throws {@link ConnectionError}. */
  async call(options: CallOptions): Promise<Reply> {
    const {
      method = "GET",
      path,
      headers = {},
      body,
      timeoutMs = this.#timeoutMs,
      fresh = false,
    } = options;
    const pool = fresh ? this.#createPool({ connections: 1 }) : this.#pool;
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
    const signal = options.signal === undefined
      ? timeout
      : AbortSignal.any([timeout, options.signal]);
    try {
      const res = await pool.request({
        method,
        path,
        headers,
        body: body ?? null,
        signal,
      });
      const data = await this.#readBody(res.body);
      return { status: res.statusCode, headers: res.headers, body: data };
    } catch (err) {
      const silent = timeout.aborted && options.signal?.aborted !== true;
      if (silent && !fresh) this.renew();
      throw toConnectionError(err, {
        silent,
        aborted: options.signal?.aborted === true,
      });
    } finally {
      if (fresh) void pool.destroy().catch(() => {});
    }
  }

  /** Makes one call and parses the reply as JSON, or `undefined` when it is not JSON. */
  async callJson(
    options: Omit<CallOptions, "body"> & { json?: unknown },
  ): Promise<{ status: number; json: unknown }> {
    const { json, ...rest } = options;
    const body = json === undefined ? undefined : JSON.stringify(json);
    const headers = {
      ...rest.headers,
      ...(body === undefined ? {} : { "content-type": "application/json" }),
    };
    const reply = await this.call({ ...rest, headers, body });
    return { status: reply.status, json: parseJson(reply.body) };
  }

  /** Makes one call whose reply is handed over as it comes, without a time limit. */
  stream(
    options: Omit<CallOptions, "timeoutMs" | "fresh" | "signal">,
    handler: StreamHandler,
  ): StreamControl {
    const { method = "GET", path, headers = {}, body } = options;
    let controller: undici.Dispatcher.DispatchController | undefined;
    let closed = false;
    const fail = (err: unknown) => {
      if (closed) return;
      closed = true;
      handler.onError(
        toConnectionError(err, { silent: false, aborted: false }),
      );
    };
    this.#pool.dispatch(
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
        onRequestStart: (current) => {
          controller = current;
          if (closed) current.abort(new Error("aborted"));
        },
        onResponseStart: (_, status, headers) => {
          if (!closed) handler.onStart(status, headers);
        },
        onResponseData: (_, chunk) => {
          if (!closed) handler.onData(chunk);
        },
        onResponseEnd: () => {
          if (closed) return;
          closed = true;
          handler.onEnd();
        },
        onResponseError: (_, err) => fail(err),
      },
    );
    return {
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
      abort: () => {
        closed = true;
        controller?.abort(new Error("aborted"));
      },
    };
  }

  /** New calls get new connections; calls under way keep theirs. */
  renew(): void {
    const old = this.#pool;
    this.#pool = this.#createPool();
    void old.close().catch(() => {});
  }

  /** Closes all connections, cutting what is under way. */
  async close(): Promise<void> {
    await this.#pool.destroy().catch(() => {});
  }

  #createPool(options: { connections?: number } = {}): undici.Pool {
    return new undici.Pool(this.origin, {
      connections: options.connections ?? null,
      pipelining: 1,
      keepAliveTimeout: IDLE_MS,
      connect: {
        timeout: this.#connectTimeoutMs,
        noDelay: true,
        ...(this.#ca === undefined ? {} : { ca: this.#ca }),
      },
    });
  }

  async #readBody(body: AsyncIterable<Buffer>): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of body) {
      size += chunk.length;
      if (size > this.#maxReplyBytes) {
        throw new ConnectionError({ tag: "too_large" }, "reply is too large");
      }
      chunks.push(chunk);
    }
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  }
}

function toConnectionError(
  err: unknown,
  seen: { silent: boolean; aborted: boolean },
): ConnectionError {
  if (err instanceof ConnectionError) return err;
  const options = { cause: err };
  if (seen.aborted) {
    return new ConnectionError({ tag: "aborted" }, "call aborted", options);
  }
  if (seen.silent) {
    return new ConnectionError(
      { tag: "no_reply" },
      "no reply in time",
      options,
    );
  }
  const code = getCode(err);
  if (code !== undefined && NOT_SENT_CODES.has(code)) {
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

/** The JSON value of a body, or `undefined` when it is not JSON. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}
