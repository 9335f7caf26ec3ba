/**
 * Callers' requests from their arrival until their responses have been written out or their
 * callers have disconnected.
 * @module
 */
import type * as http from "node:http";
import { Refusal } from "@bitternfall/errors";
import { Outcome } from "@bitternfall/types";
import { sendRefusal } from "./response.ts";

const RETRY_AFTER_MS = 1000;

/** One request that is open. */
export class OpenCall {
  /** Whether the request has been read to its end. */
  isRead = false;
  readonly #res: http.ServerResponse;
  readonly #callerAbort = new AbortController();

  constructor(res: http.ServerResponse) {
    this.#res = res;
    res.once("close", () => {
      if (!res.writableFinished) this.#callerAbort.abort();
    });
  }

  /** Aborted when the caller disconnects, or the request is ended. */
  get callerSignal(): AbortSignal {
    return this.#callerAbort.signal;
  }

  /** Ends a request that has no response yet, and what runs for it. */
  end(): void {
    if (this.#res.headersSent) return;
    this.#res.shouldKeepAlive = false;
    sendRefusal(
      this.#res,
      this.isRead
        ? new Refusal("timeout", "no answer before this VM stopped", {
          outcome: Outcome.Unknown,
        })
        : new Refusal("not_ready", "this VM is stopping", {
          retryAfterMs: RETRY_AFTER_MS,
        }),
    );
    // A stop does not wait for the rest of a request.
    this.#res.end();
    this.#callerAbort.abort();
  }
}

/** The open requests of a VM. */
export class OpenCalls {
  readonly #open = new Set<OpenCall>();
  readonly #idleWaiters: (() => void)[] = [];

  /** Adds a request, which stays open until its response is closed. */
  add(res: http.ServerResponse): OpenCall {
    const call = new OpenCall(res);
    this.#open.add(call);
    res.once("close", () => {
      this.#open.delete(call);
      if (this.#open.size > 0) return;
      for (const resolve of this.#idleWaiters.splice(0)) resolve();
    });
    return call;
  }

  /** Resolves once no request is open. */
  whenIdle(): Promise<void> {
    if (this.#open.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleWaiters.push(resolve));
  }

  /** Ends all requests that have no response yet. */
  endUnanswered(): void {
    for (const call of this.#open) call.end();
  }
}
