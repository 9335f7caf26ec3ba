/**
 * Answers to callers: refusals, whole answers and event streams.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import type { Refusal } from "@bitternfall/errors";
import { Outcome } from "@bitternfall/types";

/** Header that tells what is known of a request's effect. */
export const OUTCOME_HEADER = "bitternfall-outcome";

const DATA = Buffer.from("data: ");
const BLANK = Buffer.from("\n\n");
const DONE = Buffer.from("data: [DONE]\n\n");

/** Answers with a refusal or failure. */
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
  // A request that was not read to its end leaves the connection in an unknown state.
  if (!res.req.complete) headers.connection = "close";
  res.writeHead(refusal.status, headers);
  res.end(formatError(refusal));
}

/** Body of a refusal. */
export function formatError(refusal: Refusal): string {
  const { type, outcome } = refusal.detail;
  return JSON.stringify({ error: { type, message: refusal.message, outcome } });
}

/** Answers with a whole JSON value. */
export function sendJson(res: http.ServerResponse, text: string): void {
  if (res.destroyed) return;
  res.writeHead(200, {
    "content-type": "application/json",
    [OUTCOME_HEADER]: Outcome.Ran,
  });
  res.end(text);
}

/** An event stream to one caller. */
export class EventStream {
  readonly #res: http.ServerResponse;

  constructor(res: http.ServerResponse) {
    this.#res = res;
  }

  /** Sends the head; done by the first write as well. */
  start(): void {
    if (this.#res.headersSent || this.#res.destroyed) return;
    this.#res.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      [OUTCOME_HEADER]: Outcome.Ran,
    });
  }

  /** Sends framed events as they are; false when the caller reads too slowly. */
  write(events: Buffer): boolean {
    if (this.#res.destroyed) return true;
    if (!this.#res.headersSent) this.start();
    return this.#res.write(events);
  }

  /** Calls `run` once the caller has caught up. */
  onceDrained(run: () => void): void {
    this.#res.once("drain", run);
  }

  /** Ends a whole answer with its last payload. */
  finish(lastData: Buffer): void {
    if (this.#res.destroyed) return;
    this.start();
    this.#res.end(Buffer.concat([DATA, lastData, BLANK, DONE]));
  }

  /** Ends an answer that can't be finished, so that it does not look whole. */
  fail(refusal: Refusal): void {
    if (!this.#res.headersSent) return sendRefusal(this.#res, refusal);
    if (!this.#res.destroyed) {
      this.#res.end(`event: error\ndata: ${formatError(refusal)}\n\n`);
    }
  }
}
