/**
 * The response to one caller. Its head is sent at most once; if it cannot be completed, the
 * connection is closed, so that the caller sees that it is truncated.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { isLastResponse } from "@bitternfall/connection";
import { decline } from "./peer_http.ts";
import type { UnreadAnswers } from "./unread_answers.ts";

const MS_PER_S = 1000;
/** Statuses that promise that the request has not run. */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);
/** `retry-after` of refusals that come without a predicted wait. */
const DEFAULT_RETRY_AFTER_MS = 300;

/** Memory of a relayed answer that waits for its caller, with both connections. */
const RELAYED_BYTES = 131_072;
/** Shorter answers are not counted while they are written out. */
const MIN_COUNTED_BYTES = 16_384;

/** Writes the response to one caller. */
export class CallerResponse {
  readonly #res: http.ServerResponse;
  readonly #unread: UnreadAnswers | undefined;
  #isDropped = false;
  #closesConnection = false;
  #isRefused = false;
  #refusalEnd: Promise<void> | undefined;

  /** `unread` limits what is held while the caller does not read. */
  constructor(res: http.ServerResponse, unread?: UnreadAnswers) {
    this.#res = res;
    this.#unread = unread;
  }

  /** Whether the answer was broken off since its caller did not read it. */
  get isDropped(): boolean {
    return this.#isDropped;
  }

  /** Whether status and headers have been sent. */
  get isHeadSent(): boolean {
    return this.#res.headersSent;
  }

  get isEnded(): boolean {
    return this.#isRefused || this.#res.writableEnded || this.#res.destroyed;
  }

  /** Closes the caller's connection after this response, unless another one is to follow. */
  closeConnectionAfterwards(): void {
    this.#closesConnection = true;
  }

  /** Sends a refusal at once, but ends it, and its connection, only after `received`. */
  endRefusalAfter(received: Promise<void>): void {
    this.#refusalEnd = received;
  }

  /** Whether a refusal has been sent that only waits for the rest of its request. */
  get isReceivingRefused(): boolean {
    return this.#isRefused && !this.#res.writableEnded && !this.#res.destroyed;
  }

  /** Ends a refusal whose request is not received to its end. */
  endRefusal(): void {
    if (this.isReceivingRefused) this.#res.end();
  }

  /** Sends the status and headers of a server's response. */
  writeHead(status: number, headers: readonly string[]): void {
    this.#applyConnectionClose();
    this.#res.writeHead(status, headers as string[]);
  }

  /** Sends bytes of the body; false if the caller must drain before more is written. */
  write(bytes: Buffer): boolean {
    return this.#res.write(bytes);
  }

  /** Resolves once the written bytes have drained or the caller has disconnected. */
  whenDrained(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#res.destroyed) return resolve();
      const release = this.#hold(RELAYED_BYTES);
      const finish = () => {
        release();
        this.#res.off("drain", finish);
        this.#res.off("close", finish);
        resolve();
      };
      this.#res.once("drain", finish);
      this.#res.once("close", finish);
    });
  }

  end(bytes?: Buffer): void {
    this.#res.end(bytes);
    const { length = 0 } = bytes ?? {};
    if (length < MIN_COUNTED_BYTES || this.#res.destroyed) return;
    const release = this.#hold(length);
    this.#res.once("finish", release);
    this.#res.once("close", release);
  }

  /** Counts what the caller has not read yet; returns what ends that. */
  #hold(bytes: number): () => void {
    const drop = () => {
      this.#isDropped = true;
      this.abort();
    };
    return this.#unread?.hold(bytes, drop) ?? (() => {});
  }

  /**
   * Sends a refusal by the gateway, or aborts a response that has been started. Statuses
   * that promise that the request was not executed carry `retry-after`, unless
   * `retryAfterMs` is infinite since there is no use in returning.
   */
  refuse(status: number, reason: string, retryAfterMs?: number): void {
    if (this.isEnded) return;
    if (this.isHeadSent) return this.abort();
    this.#applyConnectionClose();
    const body = JSON.stringify({ error: { status, message: reason } });
    const headers: { [name: string]: string | number } = {
      "content-type": "application/json",
      "content-length": body.length,
    };
    if (NOT_EXECUTED_STATUSES.has(status)) {
      const ms = retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
      if (ms !== Infinity) headers["retry-after"] = (ms / MS_PER_S).toFixed(2);
    }
    this.#isRefused = true;
    this.#res.writeHead(status, headers);
    if (this.#refusalEnd === undefined) return void this.#res.end(body);
    this.#res.write(body);
    void this.#refusalEnd.then(() => this.endRefusal());
  }

  /** Refuses a request that another VM has forwarded, so that it tries one more. */
  decline(): void {
    if (!this.isEnded) decline(this.#res);
  }

  /** Destroys the connection, so that a partial response does not look complete. */
  abort(): void {
    const { socket, useChunkedEncodingByDefault, headersSent } = this.#res;
    // To an HTTP/1.0 caller, the end of the connection ends a body without a length.
    if (headersSent && !useChunkedEncodingByDefault) socket?.resetAndDestroy();
    this.#res.destroy();
  }

  #applyConnectionClose(): void {
    if (!this.#closesConnection || !isLastResponse(this.#res)) return;
    this.#res.shouldKeepAlive = false;
  }
}
