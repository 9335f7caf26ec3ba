/**
 * Forwards a caller's request to an entry VM of another cell and relays its answer.
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
  ConnectionError,
  type HttpClient,
  type StreamControl,
} from "@bitternfall/connection";
import { Refusal } from "@bitternfall/errors";
import { type CallerIdentity, monotonicNow, Outcome } from "@bitternfall/types";

/** What came of forwarding. */
export enum ForwardResult {
  /** The caller has its answer, whatever it was. */
  Answered = "answered",
  /** Nothing was sent; another VM may be tried. */
  NotSent = "not-sent",
}

const STALL_MS = 10_000;
const STALL_CHECK_MS = 1000;
const DROPPED_HEADERS = new Set([
  "connection",
  "content-length",
  "host",
  "keep-alive",
  "transfer-encoding",
  "expect",
]);
const DROPPED_REPLY_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "transfer-encoding",
]);

/** Forwards requests to VMs of other cells. */
export class CellForwarder {
  readonly #connect: (address: string) => HttpClient;
  readonly #peerHeaders: { readonly [name: string]: string };

  constructor(
    options: {
      connect: (address: string) => HttpClient;
      peerHeaders: { readonly [name: string]: string };
    },
  ) {
    this.#connect = options.connect;
    this.#peerHeaders = options.peerHeaders;
  }

  /** Forwards one request to the peer listener at `address`. */
  forward(
    address: string,
    call: CallContext<CallerIdentity>,
  ): Promise<ForwardResult> {
    const { req } = call.res;
    return new Promise((resolve) => {
      const relay = new ReplyRelay(call, resolve);
      const control = this.#connect(address).stream({
        method: req.method as "GET",
        path: req.url ?? "/",
        headers: { ...pickHeaders(req.headers), ...this.#peerHeaders },
        body: call.body.length === 0 ? undefined : call.body,
      }, relay);
      relay.start(control);
    });
  }
}

/** Relays one reply to the caller. */
class ReplyRelay {
  readonly #call: CallContext<CallerIdentity>;
  readonly #resolve: (result: ForwardResult) => void;
  #control: StreamControl | undefined;
  #timer: NodeJS.Timeout | undefined;
  #heardAt = monotonicNow();
  #paused = false;
  #started = false;

  constructor(
    call: CallContext<CallerIdentity>,
    resolve: (result: ForwardResult) => void,
  ) {
    this.#call = call;
    this.#resolve = resolve;
  }

  start(control: StreamControl): void {
    this.#control = control;
    this.#timer = setInterval(() => this.#checkSilence(), STALL_CHECK_MS);
    this.#call.callerSignal.addEventListener("abort", () => {
      control.abort();
      this.#settle(ForwardResult.Answered);
    }, { once: true });
  }

  onStart(status: number, headers: http.IncomingHttpHeaders): void {
    this.#heardAt = monotonicNow();
    this.#started = true;
    const kept: http.OutgoingHttpHeaders = {};
    for (const [name, value] of Object.entries(headers)) {
      if (!DROPPED_REPLY_HEADERS.has(name)) kept[name] = value;
    }
    this.#call.res.writeHead(status, kept);
  }

  onData(chunk: Buffer): void {
    this.#heardAt = monotonicNow();
    if (this.#call.res.write(chunk)) return;
    this.#paused = true;
    this.#control?.pause();
    this.#call.res.once("drain", () => {
      this.#paused = false;
      this.#heardAt = monotonicNow();
      this.#control?.resume();
    });
  }

  onEnd(): void {
    this.#call.res.end();
    this.#settle(ForwardResult.Answered);
  }

  onError(err: ConnectionError): void {
    if (err.detail.tag === "not_sent") {
      return this.#settle(ForwardResult.NotSent);
    }
    this.#break();
  }

  /** Ends a reply that can't be finished, so that it does not look whole. */
  #break(): void {
    const { res } = this.#call;
    const refusal = new Refusal("upstream_failed", "another cell broke off", {
      outcome: Outcome.Unknown,
    });
    if (!this.#started) sendRefusal(res, refusal);
    else if (res.getHeader("content-type") === "text/event-stream") {
      res.end(`event: error\ndata: ${formatRefusalBody(refusal)}\n\n`);
    } else res.destroy();
    this.#settle(ForwardResult.Answered);
  }

  #checkSilence(): void {
    if (
      this.#paused || !this.#started ||
      monotonicNow() - this.#heardAt < STALL_MS
    ) return;
    this.#control?.abort();
    this.#break();
  }

  #settle(result: ForwardResult): void {
    clearInterval(this.#timer);
    this.#resolve(result);
  }
}

function pickHeaders(
  headers: http.IncomingHttpHeaders,
): { [name: string]: string | string[] } {
  const kept: { [name: string]: string | string[] } = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !DROPPED_HEADERS.has(name)) kept[name] = value;
  }
  return kept;
}
