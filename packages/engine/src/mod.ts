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

/** Why a call to an engine failed. */
export type EngineFault =
  /** No connection could be established, so nothing was sent. */
  | { readonly tag: "unreachable" }
  /** The engine accepts no new work: it is leaving, changing its role or full. */
  | { readonly tag: "not_accepting" }
  /** The engine no longer has the KV cache of the prefill. */
  | { readonly tag: "kv_gone" }
  /** The engine does not know the stream. */
  | { readonly tag: "unknown_stream" }
  /** The order's fencing number is lower than `fence`, the highest that the engine has seen. */
  | { readonly tag: "stale_fence"; readonly fence: number }
  /** The connection was closed, or the response did not arrive within the timeout. */
  | { readonly tag: "lost" }
  /** The engine responded with an error status or a malformed body. */
  | { readonly tag: "failed" }
  | { readonly tag: "aborted" };

/** Thrown when a call to an engine fails. */
export class EngineError extends TaggedError<EngineFault> {}

/** Identifies one attempt to run a request. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/** Body of a prefill request. */
export interface PrefillRequest extends AttemptId {
  /** Id of the VM that owns the request. */
  readonly owner: string;
  readonly prompt: string;
  /** Number of output tokens already generated, which are prefilled after the prompt. */
  readonly outputTokens: number;
  readonly priority: Priority;
}

/** Result of a prefill. */
export interface PrefillResult {
  /** Handle of the KV cache on the prefill server. */
  readonly kv: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly prefillMs: number;
  readonly kvBytes: number;
}

/** Body of a decode request. */
export interface DecodeRequest extends AttemptId {
  readonly owner: string;
  readonly kv: string;
  /** Base URL of the prefill server that holds `kv`. */
  readonly source: string;
  readonly maxTokens: number;
  /** Output position from which on events are sent. */
  readonly fromOffset: number;
  readonly shape: "chat" | "text";
}

/** Receives the events of a stream. */
export interface EventHandler {
  /** The engine has accepted the request; events follow. */
  onStart(): void;
  onEvents(events: readonly StreamEvent[]): void;
  /** The response ended, with or without an end event before it. */
  onClose(): void;
  onError(err: EngineError): void;
}

/** An engine's load report, whose figures are `ageMs` old. */
export interface EngineReport {
  readonly role: ServerRole;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly adapters: readonly string[];
  readonly leaving: boolean;
  /** A change of role is in progress. */
  readonly changing: boolean;
  readonly fence: number;
  readonly ageMs: number;
}

/** A stream or KV-cache import that occupies memory of a decode engine. */
export interface HeldStream extends AttemptId {
  readonly owner: string;
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  readonly seq: number;
  /** The request whose prompt was stored or evicted. */
  readonly requestId: string;
  readonly kind: "stored" | "evicted";
}

/** A command to an engine to change its role or load an adapter. */
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
  readonly #client: HttpClient;

  constructor(address: string, options: { timeoutMs?: number } = {}) {
    this.address = address;
    this.#client = new HttpClient(address, {
      timeoutMs: options.timeoutMs ?? 700,
    });
  }

  /** Runs a prefill and waits for its result. Throws {@link EngineError}. */
  async prefill(
    req: PrefillRequest,
    options: { timeoutMs: number; signal?: AbortSignal },
  ): Promise<PrefillResult> {
    const json = await this.#post("/v1/prefill", { json: req, ...options });
    return parseResponse(prefillSchema, json);
  }

  /** Starts a decode from a prefill's KV cache and streams the output from `fromOffset`. */
  decode(req: DecodeRequest, handler: EventHandler): StreamControl {
    const headers = { "content-type": "application/json" };
    return this.#stream({
      method: "POST",
      path: "/v1/decode",
      headers,
      body: JSON.stringify(req),
      // An earlier refusal on a kept connection would be taken for this run's.
      useDedicatedConnection: true,
    }, handler);
  }

  /** Reconnects to a running stream and receives its output again from `fromOffset`. */
  resume(
    id: AttemptId & { fromOffset: number },
    handler: EventHandler,
  ): StreamControl {
    this.#client.renewConnections();
    const path = `/v1/streams/${
      encodeURIComponent(id.requestId)
    }?attempt=${id.attempt}&from=${id.fromOffset}`;
    return this.#stream({ method: "GET", path }, handler);
  }

  /** Cancels an attempt; resolves to true if the engine still held it. */
  async cancel(id: AttemptId): Promise<boolean> {
    return parseResponse(
      cancelSchema,
      await this.#post("/v1/cancel", { json: id }),
    )
      .cancelled;
  }

  /** Lists the streams and KV-cache imports that occupy the engine's memory. */
  async listStreams(): Promise<readonly HeldStream[]> {
    return parseResponse(streamsSchema, await this.#get("/v1/streams")).streams;
  }

  async getReport(): Promise<EngineReport> {
    return parseResponse(reportSchema, await this.#get("/v1/report"));
  }

  /** Lists cache events after `since`; a gap in `seq` means that events were lost. */
  async listCacheEvents(
    since: number,
  ): Promise<{ next: number; events: readonly CacheEvent[] }> {
    return parseResponse(
      cacheEventsSchema,
      await this.#get(`/v1/cache-events?since=${since}`),
    );
  }

  /** Sends an order; the engine rejects it if it has seen a higher fencing number. */
  async sendOrder(order: EngineOrder): Promise<void> {
    await this.#post("/v1/orders", { json: order });
  }

  async close(): Promise<void> {
    await this.#client.close();
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
    let res: { status: number; json: unknown };
    try {
      res = await this.#client.callJson(options);
    } catch (err) {
      throw toEngineError(err);
    }
    if (res.status === 200) return res.json;
    throw createRefusalError(res.status, res.json);
  }

  #stream(
    options: Parameters<HttpClient["stream"]>[0],
    handler: EventHandler,
  ): StreamControl {
    const splitter = new EventSplitter();
    let refusalStatus = 0;
    const fail = (err: EngineError) => {
      control.abort();
      handler.onError(err);
    };
    const control = this.#client.stream(options, {
      onStart: (status) => {
        if (status === 200) handler.onStart();
        else refusalStatus = status;
      },
      onData: (chunk) => {
        if (refusalStatus !== 0) return;
        const events = splitter.push(chunk);
        if (events === undefined) {
          fail(new EngineError({ tag: "failed" }, "malformed event stream"));
        } else if (events.length > 0) handler.onEvents(events);
      },
      onEnd: () =>
        refusalStatus === 0
          ? handler.onClose()
          : handler.onError(createRefusalError(refusalStatus, undefined)),
      onError: (err) => handler.onError(toEngineError(err)),
    });
    return control;
  }
}

function parseResponse<T>(schema: zod.ZodType<T>, json: unknown): T {
  const parsed = schema.safeParse(json);
  if (parsed.success) return parsed.data;
  throw new EngineError({ tag: "failed" }, "the engine's reply is malformed");
}

function createRefusalError(status: number, json: unknown): EngineError {
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
  const connectionTag = err instanceof ConnectionError ? err.detail.tag : "cut";
  const text = `engine: ${(err as Error).message}`;
  if (connectionTag === "not_sent") {
    return new EngineError({ tag: "unreachable" }, text, { cause: err });
  }
  if (connectionTag === "aborted") {
    return new EngineError({ tag: "aborted" }, text, { cause: err });
  }
  return new EngineError({ tag: "lost" }, text, { cause: err });
}
