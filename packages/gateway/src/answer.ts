/**
 * The answer to one caller: begun at most once, ended visibly short where it could not
 * be finished.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";

const MS_PER_S = 1000;
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Callers that are turned away without a prediction may come back after this long. */
const DEFAULT_RETRY_AFTER_MS = 300;

/** Writes to one caller. */
export class Answer {
  readonly #res: http.ServerResponse;
  #isLast = false;

  constructor(res: http.ServerResponse) {
    this.#res = res;
  }

  /** Whether the head has been sent. */
  get isBegun(): boolean {
    return this.#res.headersSent;
  }

  get isEnded(): boolean {
    return this.#res.writableEnded || this.#res.destroyed;
  }

  /** Closes the caller's connection after this answer. */
  closeAfter(): void {
    this.#isLast = true;
  }

  /** Sends a server's head. */
  begin(status: number, headers: readonly string[]): void {
    this.#setLast();
    this.#res.writeHead(status, headers as string[]);
  }

  /** Sends bytes of the body; false when the caller should be waited for. */
  write(bytes: Buffer): boolean {
    return this.#res.write(bytes);
  }

  /** Resolves once the caller has taken what was written, or is gone. */
  whenDrained(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#res.destroyed) return resolve();
      const done = () => {
        this.#res.off("drain", done);
        this.#res.off("close", done);
        resolve();
      };
      this.#res.once("drain", done);
      this.#res.once("close", done);
    });
  }

  end(bytes?: Buffer): void {
    this.#res.end(bytes);
  }

  /**
   * Ends with an answer of the gateway's own. The statuses that promise that the request
   * did not run carry when to come back.
   */
  refuse(status: number, reason: string, retryAfterMs?: number): void {
    if (this.isEnded) return;
    if (this.isBegun) return this.cut();
    this.#setLast();
    const body = JSON.stringify({ error: { status, message: reason } });
    const headers: { [name: string]: string | number } = {
      "content-type": "application/json",
      "content-length": body.length,
    };
    if (NOT_RUN_STATUSES.has(status)) {
      const ms = retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
      headers["retry-after"] = (ms / MS_PER_S).toFixed(2);
    }
    this.#res.writeHead(status, headers);
    this.#res.end(body);
  }

  /** Breaks the connection, so that what was sent does not look complete. */
  cut(): void {
    this.#res.destroy();
  }

  #setLast(): void {
    if (this.#isLast) this.#res.shouldKeepAlive = false;
  }
}
