/**
 * Responses to callers: refusals, complete JSON bodies and event streams.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import type { Refusal } from "@bitternfall/errors";
import { Outcome } from "@bitternfall/types";
import { discardBody } from "./body.ts";

/** Response header that states what is known about whether the request ran. */
export const OUTCOME_HEADER = "bitternfall-outcome";

const DATA_PREFIX = Buffer.from("data: ");
const EVENT_SEPARATOR = Buffer.from("\n\n");
const DONE_EVENT = Buffer.from("data: [DONE]\n\n");

/**
 * Sends a refusal, unless a response has already been started. The response to a request
 * that is still being received ends, and its connection with it, after the request.
 */
export function sendRefusal(res: http.ServerResponse, refusal: Refusal): void {
  if (res.destroyed || res.headersSent) return;
  const { outcome, retryAfterMs } = refusal.detail;
  const headers: { [name: string]: string } = {
    "content-type": "application/json",
    [OUTCOME_HEADER]: outcome,
  };
  if (retryAfterMs !== undefined) {
    headers["retry-after"] = String(
      Math.max(1, Math.ceil(retryAfterMs / 1000)),
    );
  }
  const body = formatRefusalBody(refusal);
  if (res.req.complete) {
    res.writeHead(refusal.status, headers);
    return void res.end(body);
  }
  headers.connection = "close";
  headers["content-length"] = String(Buffer.byteLength(body));
  res.writeHead(refusal.status, headers);
  res.write(body);
  void discardBody(res.req).then(() => res.end());
}

/** Formats the JSON body of a refusal. */
export function formatRefusalBody(refusal: Refusal): string {
  const { type, outcome } = refusal.detail;
  return JSON.stringify({ error: { type, message: refusal.message, outcome } });
}

/** Sends a complete JSON response. */
export function sendJson(res: http.ServerResponse, text: string): void {
  if (res.destroyed) return;
  res.writeHead(200, {
    "content-type": "application/json",
    [OUTCOME_HEADER]: Outcome.Ran,
  });
  res.end(text);
}

/** A response of server-sent events to one caller. */
export class EventStream {
  readonly #res: http.ServerResponse;

  constructor(res: http.ServerResponse) {
    this.#res = res;
  }

  /** Sends the status and headers, if the first write has not done so. */
  start(): void {
    if (this.#res.headersSent || this.#res.destroyed) return;
    this.#res.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      [OUTCOME_HEADER]: Outcome.Ran,
    });
  }

  /** Sends framed events unchanged; returns false while the send buffer is full. */
  write(events: Buffer): boolean {
    if (this.#res.destroyed) return true;
    if (!this.#res.headersSent) this.start();
    return this.#res.write(events);
  }

  /** Calls `run` once the send buffer has drained. */
  onceDrained(run: () => void): void {
    this.#res.once("drain", run);
  }

  /** Ends a complete response with its last payload and the `[DONE]` event. */
  finish(lastData: Buffer): void {
    if (this.#res.destroyed) return;
    this.start();
    this.#res.end(
      Buffer.concat([DATA_PREFIX, lastData, EVENT_SEPARATOR, DONE_EVENT]),
    );
  }

  /** Ends the response with an error event, so that callers see it is incomplete. */
  fail(refusal: Refusal): void {
    if (!this.#res.headersSent) return sendRefusal(this.#res, refusal);
    if (!this.#res.destroyed) {
      this.#res.end(`event: error\ndata: ${formatRefusalBody(refusal)}\n\n`);
    }
  }
}
