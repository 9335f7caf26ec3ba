/**
 * Forwards a caller's request to an entry VM of another cell and relays the response.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import {
  type CallContext,
  formatRefusalBody,
  sendRefusal,
} from "@bitternfall/caller";
import {
  type ConnectionError,
  hasBodyFraming,
  type HttpClient,
  type StreamControl,
} from "@bitternfall/connection";
import { Refusal } from "@bitternfall/errors";
import { type CallerIdentity, monotonicNow, Outcome } from "@bitternfall/types";

/** Outcome of forwarding a request. */
export enum ForwardResult {
  /** A response was relayed, complete or with an error, or the caller disconnected. */
  Completed = "answered",
  /** The request was not sent; another VM can be tried. */
  NotSent = "not-sent",
}

/** A response that has started fails after this long without data. */
const STALL_TIMEOUT_MS = 10_000;
const STALL_CHECK_INTERVAL_MS = 1000;
const DROPPED_REQUEST_HEADERS = new Set([
  "connection",
  "content-length",
  "host",
  "keep-alive",
  "transfer-encoding",
  "expect",
]);
const DROPPED_RESPONSE_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "transfer-encoding",
]);

/** Forwards requests to VMs of other cells. */
export class CellForwarder {
  readonly #getClient: (address: string) => HttpClient;
  readonly #peerHeaders: { readonly [name: string]: string };

  constructor(
    options: {
      getClient: (address: string) => HttpClient;
      peerHeaders: { readonly [name: string]: string };
    },
  ) {
    this.#getClient = options.getClient;
    this.#peerHeaders = options.peerHeaders;
  }

  /** Forwards one request to the peer listener at `address`. */
  forward(
    address: string,
    call: CallContext<CallerIdentity>,
  ): Promise<ForwardResult> {
    const { req } = call.res;
    return new Promise((resolve) => {
      const relay = new ResponseRelay(call, resolve);
      const control = this.#getClient(address).stream({
        method: req.method as "GET",
        path: req.url ?? "/",
        headers: { ...copyRequestHeaders(req.headers), ...this.#peerHeaders },
        body: call.body.length === 0 ? undefined : call.body,
      }, relay);
      relay.start(control);
    });
  }
}

/** Relays one response to the caller. */
class ResponseRelay {
  readonly #call: CallContext<CallerIdentity>;
  readonly #resolve: (result: ForwardResult) => void;
  #control: StreamControl | undefined;
  #timer: NodeJS.Timeout | undefined;
  #lastActivityAt = monotonicNow();
  #isPaused = false;
  #hasStarted = false;
  /** Whether the response tells its end from that of its connection, as all of VMs do. */
  #isFramed = false;

  constructor(
    call: CallContext<CallerIdentity>,
    resolve: (result: ForwardResult) => void,
  ) {
    this.#call = call;
    this.#resolve = resolve;
  }

  start(control: StreamControl): void {
    this.#control = control;
    this.#timer = setInterval(
      () => this.#checkStall(),
      STALL_CHECK_INTERVAL_MS,
    );
    this.#call.callerSignal.addEventListener("abort", () => {
      control.abort();
      this.#finish(ForwardResult.Completed);
    }, { once: true });
  }

  onStart(status: number, headers: http.IncomingHttpHeaders): void {
    this.#lastActivityAt = monotonicNow();
    this.#hasStarted = true;
    this.#isFramed = hasBodyFraming({ headers }) || status === 204 ||
      status === 304 || this.#call.res.req.method === "HEAD";
    const kept: http.OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(headers)) {
      if (!DROPPED_RESPONSE_HEADERS.has(name)) kept[name] = value;
    }
    this.#call.res.writeHead(status, kept);
  }

  onData(chunk: Buffer): void {
    this.#lastActivityAt = monotonicNow();
    if (this.#call.res.write(chunk)) return;
    this.#isPaused = true;
    this.#control?.pause();
    this.#call.res.once("drain", () => {
      this.#isPaused = false;
      this.#lastActivityAt = monotonicNow();
      this.#control?.resume();
    });
  }

  onEnd(): void {
    if (!this.#isFramed) return this.#failResponse();
    this.#call.res.end();
    this.#finish(ForwardResult.Completed);
  }

  onError(err: ConnectionError): void {
    if (err.detail.tag === "not_sent") {
      return this.#finish(ForwardResult.NotSent);
    }
    this.#failResponse();
  }

  /** Ends a response that can't be completed in a way that the caller recognizes as failed. */
  #failResponse(): void {
    const { res } = this.#call;
    const refusal = new Refusal("upstream_failed", "another cell broke off", {
      outcome: Outcome.Unknown,
    });
    if (!this.#hasStarted) sendRefusal(res, refusal);
    else if (res.getHeader("content-type") === "text/event-stream") {
      res.end(`event: error\ndata: ${formatRefusalBody(refusal)}\n\n`);
    } else res.destroy();
    this.#finish(ForwardResult.Completed);
  }

  #checkStall(): void {
    if (
      this.#isPaused || !this.#hasStarted ||
      monotonicNow() - this.#lastActivityAt < STALL_TIMEOUT_MS
    ) return;
    this.#control?.abort();
    this.#failResponse();
  }

  #finish(result: ForwardResult): void {
    clearInterval(this.#timer);
    this.#resolve(result);
  }
}

function copyRequestHeaders(
  headers: http.IncomingHttpHeaders,
): { [name: string]: string | string[] } {
  const kept: { [name: string]: string | string[] } = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !DROPPED_REQUEST_HEADERS.has(name)) {
      kept[name] = value;
    }
  }
  return kept;
}
