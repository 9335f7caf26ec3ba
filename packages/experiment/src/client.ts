/**
 * Test client that calls entry VMs as an external caller does: over HTTP, with
 * server-sent events for streamed responses.
 * @module
 */
import * as undici from "undici";
import { EventSource } from "./event_source.ts";

/**
 * What a caller received. Fault runs write it to calls.json with the logs they keep.
 */
export interface CallResult {
  readonly status: number;
  /** Value of the outcome header or, for a stream that failed, of its error event. */
  readonly outcome: string;
  /** Generated text of a model response, or the body of any other. */
  readonly text: string;
  /**
   * The response is complete: a stream ended with finish reason `stop` and `[DONE]`, a model
   * response in one piece has that finish reason, or a service responded with 200.
   */
  readonly whole: boolean;
  readonly retryAfterS: number;
  readonly firstOutputMs: number;
  readonly totalMs: number;
  /** Mean time between outputs; 0 if there are fewer than two. */
  readonly betweenMs: number;
  readonly outputs: number;
  /**
   * The connection failed before the response was read. A stream that fails midway has an
   * empty `outcome` instead.
   */
  readonly failed: boolean;
  /** The response was replayed for an idempotency key. */
  readonly replayed: boolean;
}

/** Options of a model call. */
export interface ModelCallOptions {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly stream?: boolean;
  readonly maxTokens?: number;
  readonly idempotencyKey?: string | undefined;
  readonly signal?: AbortSignal;
}

/** Sets no timeouts of its own: only the signal of a call ends it early. */
const AGENT_WITHOUT_TIMEOUTS = new undici.Agent({
  headersTimeout: 0,
  bodyTimeout: 0,
});

const NO_RESPONSE: CallResult = {
  status: 0,
  outcome: "",
  text: "",
  whole: false,
  retryAfterS: 0,
  firstOutputMs: 0,
  totalMs: 0,
  betweenMs: 0,
  outputs: 0,
  failed: true,
  replayed: false,
};

/** Sends a model request and reads the response, streamed or not. */
export async function callModel(
  options: ModelCallOptions,
): Promise<CallResult> {
  const {
    url,
    key,
    model,
    prompt,
    stream = true,
    maxTokens = 512,
    idempotencyKey,
    signal,
  } = options;
  const startedAt = performance.now();
  const headers: { [name: string]: string } = {
    authorization: `Bearer ${key}`,
    "content-type": "application/json",
  };
  if (idempotencyKey !== undefined) headers["idempotency-key"] = idempotencyKey;
  const body = JSON.stringify({ model, stream, max_tokens: maxTokens, prompt });
  try {
    const res = await undici.request(`${url}/v1/completions`, {
      dispatcher: AGENT_WITHOUT_TIMEOUTS,
      method: "POST",
      headers,
      body,
      signal: signal ?? null,
    });
    const head = parseHeaders(res);
    if (res.headers["content-type"] !== "text/event-stream") {
      const text = await res.body.text();
      const totalMs = performance.now() - startedAt;
      return {
        ...head,
        ...parseCompletion(res.statusCode, text),
        totalMs,
        firstOutputMs: totalMs,
      };
    }
    return { ...head, ...await readEventStream(res, startedAt) };
  } catch {
    return { ...NO_RESPONSE, totalMs: performance.now() - startedAt };
  }
}

/** Options of a plain-service call. */
export interface ServiceCallOptions {
  readonly url: string;
  readonly key: string;
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
  /** Identifies the call in the ledgers of the stand-ins. */
  readonly tag: string;
  readonly idempotencyKey?: string | undefined;
}

/** Calls a plain service through an entry VM. */
export async function callService(
  options: ServiceCallOptions,
): Promise<CallResult> {
  const { url, key, path, method = "GET", body, tag, idempotencyKey } = options;
  const headers: { [name: string]: string } = {
    authorization: `Bearer ${key}`,
    "x-tag": tag,
  };
  if (idempotencyKey !== undefined) headers["idempotency-key"] = idempotencyKey;
  const startedAt = performance.now();
  try {
    const res = await undici.request(`${url}/services${path}`, {
      dispatcher: AGENT_WITHOUT_TIMEOUTS,
      method: method as "GET",
      headers,
      body: body ?? null,
    });
    const text = await res.body.text();
    const totalMs = performance.now() - startedAt;
    return {
      ...NO_RESPONSE,
      ...parseHeaders(res),
      text,
      whole: res.statusCode === 200,
      totalMs,
      firstOutputMs: totalMs,
    };
  } catch {
    return { ...NO_RESPONSE, totalMs: performance.now() - startedAt };
  }
}

function parseHeaders(res: undici.Dispatcher.ResponseData): CallResult {
  return {
    ...NO_RESPONSE,
    failed: false,
    status: res.statusCode,
    outcome: String(res.headers["bitternfall-outcome"] ?? ""),
    retryAfterS: Number(res.headers["retry-after"] ?? 0),
    replayed: res.headers["bitternfall-replayed"] !== undefined,
  };
}

interface CompletionBody {
  choices?: { text?: string; finish_reason?: string | null }[];
  error?: { outcome?: string };
}

function parseCompletion(
  status: number,
  text: string,
): Pick<CallResult, "text" | "whole" | "outputs"> {
  if (status !== 200) return { text, whole: false, outputs: 0 };
  const choice = (JSON.parse(text) as CompletionBody).choices?.[0];
  return {
    text: choice?.text ?? "",
    whole: choice?.finish_reason === "stop",
    outputs: 1,
  };
}

async function readEventStream(
  res: undici.Dispatcher.ResponseData,
  startedAt: number,
): Promise<Partial<CallResult>> {
  let text = "";
  let outputs = 0;
  let firstOutputAt = 0;
  let lastOutputAt = 0;
  let hasFinishReason = false;
  let whole = false;
  let outcome = "ran";
  try {
    for await (const { event, data } of new EventSource(res.body)) {
      if (data === "[DONE]") {
        whole = hasFinishReason;
        continue;
      }
      const payload = JSON.parse(data) as CompletionBody;
      if (event === "error") {
        outcome = payload.error?.outcome ?? "";
        continue;
      }
      const choice = payload.choices?.[0];
      if (choice?.text) {
        text += choice.text;
        outputs++;
        lastOutputAt = performance.now();
        if (firstOutputAt === 0) firstOutputAt = lastOutputAt;
      }
      if (choice?.finish_reason === "stop") hasFinishReason = true;
    }
  } catch {
    whole = false;
    outcome = "";
  }
  const betweenMs = outputs > 1
    ? (lastOutputAt - firstOutputAt) / (outputs - 1)
    : 0;
  const totalMs = performance.now() - startedAt;
  return {
    text,
    outputs,
    whole,
    outcome,
    betweenMs,
    totalMs,
    firstOutputMs: firstOutputAt === 0 ? 0 : firstOutputAt - startedAt,
  };
}
