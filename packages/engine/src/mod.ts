/**
 * Client of one model engine; docs/PROTOCOLS.md describes the protocol.
 * @module
 */
import {
  ConnectionError,
  HttpClient,
  type StreamControl,
} from "@bitternfall/connection";
import { TaggedError } from "@bitternfall/errors";
import { Priority, ServerRole } from "@bitternfall/types";
import * as zod from "zod";
import { EventSplitter, type StreamEvent } from "./sse.ts";

export * from "./sse.ts";

/** Why an engine did not do what it was asked. */
export type EngineFault =
  /** Nothing was sent. */
  | { readonly tag: "unreachable" }
  /** The engine takes no new work: it is leaving, changes role or is full. */
  | { readonly tag: "not_accepting" }
  /** The prefill result is no longer there. */
  | { readonly tag: "kv_gone" }
  /** The engine does not know the stream. */
  | { readonly tag: "unknown_stream" }
  /** The order carries an old fencing number. */
  | { readonly tag: "stale_fence"; readonly fence: number }
  /** The connection broke or stayed silent. */
  | { readonly tag: "lost" }
  /** The engine failed or sent something malformed. */
  | { readonly tag: "failed" }
  | { readonly tag: "aborted" };

/** A call to an engine failed. */
export class EngineError extends TaggedError<EngineFault> {}

/** Identifies one attempt at a request on an engine. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/** What a prefill needs. */
export interface PrefillRequest extends AttemptId {
  /** VM that owns the request. */
  readonly owner: string;
  readonly prompt: string;
  /** Output tokens that exist already and are prefilled after the prompt. */
  readonly outputTokens: number;
  readonly priority: Priority;
}

/** What a prefill gave. */
export interface PrefillResult {
  /** Handle of the KV cache on the prefill server. */
  readonly kv: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly prefillMs: number;
  readonly kvBytes: number;
}

/** What a decode needs. */
export interface DecodeRequest extends AttemptId {
  readonly owner: string;
  readonly kv: string;
  /** Base URL of the prefill server that holds `kv`. */
  readonly source: string;
  readonly maxTokens: number;
  /** First output position that is wanted. */
  readonly fromOffset: number;
  readonly shape: "chat" | "text";
}

/** Receives the events of a stream. */
export interface EventHandler {
  /** The stream has been accepted. */
  onStart(): void;
  onEvents(events: readonly StreamEvent[]): void;
  /** The connection ended, whether or not an end event came before. */
  onClose(): void;
  onError(err: EngineError): void;
}

/** A lagging report of an engine's load. */
export interface EngineReport {
  readonly role: ServerRole;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly adapters: readonly string[];
  readonly leaving: boolean;
  /** A change of role is under way. */
  readonly changing: boolean;
  readonly fence: number;
  /** Age of the figures. */
  readonly ageMs: number;
}

/** A stream or import that holds decode memory. */
export interface HeldStream extends AttemptId {
  readonly owner: string;
}

/** One change of an engine's prefix cache. */
export interface CacheEvent {
  readonly seq: number;
  /** The request whose prompt was stored or evicted. */
  readonly requestId: string;
  readonly kind: "stored" | "evicted";
}

/** An order to an engine. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fence: number;
  readonly role?: ServerRole;
  readonly adapter?: string;
}

const prefillSchema = zod.object({
  kv: zod.string().min(1),
  promptTokens: zod.number().min(0),
  cachedTokens: zod.number().min(0),
  prefillMs: zod.number().min(0),
  kvBytes: zod.number().min(0),
});
const reportSchema = zod.object({
  role: zod.enum(ServerRole),
  running: zod.number(),
  waiting: zod.number(),
  slots: zod.number(),
  adapters: zod.array(zod.string()).default([]),
  leaving: zod.boolean().default(false),
  changing: zod.boolean().default(false),
  fence: zod.number().default(0),
  ageMs: zod.number().min(0),
});
const streamsSchema = zod.object({
  streams: zod.array(
    zod.object({
      requestId: zod.string(),
      attempt: zod.number(),
      owner: zod.string(),
    }),
  ),
});
const cacheEventsSchema = zod.object({
  next: zod.number(),
  events: zod.array(zod.object({
    seq: zod.number(),
    requestId: zod.string(),
    kind: zod.enum(["stored", "evicted"]),
  })),
});
const cancelSchema = zod.object({ cancelled: zod.boolean() });

/** Client of the engine at one address. */
export class EngineClient {
  readonly address: string;
  readonly #connection: HttpClient;

  constructor(address: string, options: { timeoutMs?: number } = {}) {
    this.address = address;
    this.#connection = new HttpClient(address, {
      timeoutMs: options.timeoutMs ?? 700,
    });
  }

  /** Prefills a prompt. Throws {@link EngineError}. */
  async prefill(
    req: PrefillRequest,
    options: { timeoutMs: number; signal?: AbortSignal },
  ): Promise<PrefillResult> {
    const json = await this.#post("/v1/prefill", { json: req, ...options });
    return decode(prefillSchema, json);
  }

  /** Imports a prefill result and streams the output from `fromOffset`. */
  decode(req: DecodeRequest, handler: EventHandler): StreamControl {
    const headers = { "content-type": "application/json" };
    return this.#stream({
      method: "POST",
      path: "/v1/decode",
      headers,
      body: JSON.stringify(req),
    }, handler);
  }

  /** Streams the output of a running stream again from `fromOffset`, over a new connection. */
  resume(
    id: AttemptId & { fromOffset: number },
    handler: EventHandler,
  ): StreamControl {
    this.#connection.renewConnections();
    const path = `/v1/streams/${
      encodeURIComponent(id.requestId)
    }?attempt=${id.attempt}&from=${id.fromOffset}`;
    return this.#stream({ method: "GET", path }, handler);
  }

  /** Cancels an attempt; resolves to true when the engine still held it. */
  async cancel(id: AttemptId): Promise<boolean> {
    return decode(cancelSchema, await this.#post("/v1/cancel", { json: id }))
      .cancelled;
  }

  /** Streams and imports that the engine holds. */
  async listStreams(): Promise<readonly HeldStream[]> {
    return decode(streamsSchema, await this.#get("/v1/streams")).streams;
  }

  async getReport(): Promise<EngineReport> {
    return decode(reportSchema, await this.#get("/v1/report"));
  }

  /** Cache events after `since`; gaps in `seq` mean that events were lost. */
  async listCacheEvents(
    since: number,
  ): Promise<{ next: number; events: readonly CacheEvent[] }> {
    return decode(
      cacheEventsSchema,
      await this.#get(`/v1/cache-events?since=${since}`),
    );
  }

  /** Gives an order under a fencing number. */
  async sendOrder(order: EngineOrder): Promise<void> {
    await this.#post("/v1/orders", { json: order });
  }

  async close(): Promise<void> {
    await this.#connection.close();
  }

  async #get(path: string): Promise<unknown> {
    return await this.#call({ path });
  }

  async #post(
    path: string,
    options: { json: unknown; timeoutMs?: number; signal?: AbortSignal },
  ): Promise<unknown> {
    return await this.#call({ method: "POST", path, ...options });
  }

  async #call(
    options: Parameters<HttpClient["callJson"]>[0],
  ): Promise<unknown> {
    let reply: { status: number; json: unknown };
    try {
      reply = await this.#connection.callJson(options);
    } catch (err) {
      throw toEngineError(err);
    }
    if (reply.status === 200) return reply.json;
    throw readRefusal(reply.status, reply.json);
  }

  #stream(
    options: Parameters<HttpClient["stream"]>[0],
    handler: EventHandler,
  ): StreamControl {
    const splitter = new EventSplitter();
    let refused = 0;
    const fail = (err: EngineError) => {
      control.abort();
      handler.onError(err);
    };
    const control = this.#connection.stream(options, {
      onStart: (status) => {
        if (status === 200) handler.onStart();
        else refused = status;
      },
      onData: (chunk) => {
        if (refused !== 0) return;
        const events = splitter.push(chunk);
        if (events === undefined) {
          fail(new EngineError({ tag: "failed" }, "malformed event stream"));
        } else if (events.length > 0) handler.onEvents(events);
      },
      onEnd: () =>
        refused === 0
          ? handler.onClose()
          : handler.onError(readRefusal(refused, undefined)),
      onError: (err) => handler.onError(toEngineError(err)),
    });
    return control;
  }
}

function decode<T>(schema: zod.ZodType<T>, json: unknown): T {
  const parsed = schema.safeParse(json);
  if (parsed.success) return parsed.data;
  throw new EngineError({ tag: "failed" }, "the engine's reply is malformed");
}

function readRefusal(status: number, json: unknown): EngineError {
  const text = `engine answered ${status}`;
  if (status === 503) return new EngineError({ tag: "not_accepting" }, text);
  if (status === 410) return new EngineError({ tag: "kv_gone" }, text);
  if (status === 404 || status === 416) {
    return new EngineError({ tag: "unknown_stream" }, text);
  }
  const fence = (json as { fence?: unknown } | undefined)?.fence;
  if (status === 409 && typeof fence === "number") {
    return new EngineError({ tag: "stale_fence", fence }, text);
  }
  return new EngineError({ tag: "failed" }, text);
}

function toEngineError(err: unknown): EngineError {
  if (err instanceof EngineError) return err;
  const cause = err instanceof ConnectionError ? err.detail.tag : "cut";
  const text = `engine: ${(err as Error).message}`;
  if (cause === "not_sent") {
    return new EngineError({ tag: "unreachable" }, text, { cause: err });
  }
  if (cause === "aborted") {
    return new EngineError({ tag: "aborted" }, text, { cause: err });
  }
  return new EngineError({ tag: "lost" }, text, { cause: err });
}
