/**
 * Stand-in of a server behind a gateway, for plain or staged requests. It records the
 * requests it received and how each ended, and simulates a configured fault.
 * @module
 */
import type { Buffer } from "node:buffer";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { BodyReader, createLargeBody } from "./large_body.ts";
import { listenOnLoopback } from "./loopback.ts";

/** Fault that a server simulates. */
export enum Misbehaviour {
  None = "none",
  /** Refuses the request and states that it was not run. */
  Refuse = "refuse",
  /** Runs the request and responds with status 500. */
  Fail = "fail",
  /** Runs the request and resets the connection before responding. */
  Reset = "reset",
  /** Runs the request and never responds. */
  Hang = "hang",
  /** Closes the connection in the middle of the third event of a stream. */
  CutStream = "cut-stream",
  /** Ends the connection of a stream without a length or chunks before its first event. */
  EndUnframed = "end-unframed",
  /** Responds without the seal header, which names the server that responds. */
  Unsealed = "unsealed",
  /** Responds with the id of another request. */
  Crossed = "crossed",
  /** Runs the request and responds with the refusal of another one. */
  CrossedRefusal = "crossed-refusal",
}

/** A request that the server received. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly path: string;
  readonly stage: "prefill" | "run";
  readonly headers: http.IncomingHttpHeaders;
  /** The description of a large body. */
  readonly body: string;
  /** Time of arrival on the monotonic clock, in milliseconds. */
  readonly at: number;
  /** Time when the response was closed, on the monotonic clock; Infinity until then. */
  endedAt: number;
  /** Whether the server ran it; false for refused requests and for prefills. */
  ran: boolean;
  /** Whether the server refused it. */
  isRefused: boolean;
  /** Whether the connection closed before the response was complete. */
  abandoned: boolean;
  /** What the response said of the server: that it leaves, or wants nothing for a while. */
  readonly notice?: { readonly isLeaving: boolean; readonly pauseMs: number };
}

/** A time in which the server names a limit in its answers. */
export interface NamedLimit {
  readonly requestsPerSecond: number;
  readonly from: number;
  /** Infinity while the server still names it. */
  until: number;
}

/** An order that the server received. */
export interface ReceivedOrder {
  readonly at: number;
  readonly order: {
    readonly fence: number;
    readonly role: "prefill" | "decode";
    readonly holder: string;
  };
  /** Status code of the response. */
  readonly status: number;
}

/** A time at which a request, or a part of its prompt, ended the server. */
export interface ServerCrash {
  readonly at: number;
  readonly requestId: string;
}

/** Options of a {@link StagedServer}. */
export interface StagedServerOptions {
  readonly id: string;
  /** Parts of prompts that end the server as it begins to write under one of them. */
  readonly crashingParts?: ReadonlySet<string>;
  /** Bodies of requests that end the server as it has run one of them. */
  readonly crashingBodies?: ReadonlySet<string>;
  /** Time that the server takes for a plain request. */
  readonly runMs?: number;
  /** Time until a server that ended listens again, under its id and port. */
  readonly restartMs?: number;
  /** Called when the server listens again. */
  readonly onRestart?: (server: StagedServer) => void;
  /** Ends the server in its place, and starts it again. */
  readonly onCrash?: () => void;
  /** Number of events in a stream. */
  readonly events?: number;
  /** Time between the events of a stream. */
  readonly eventMs?: number;
  /** Version of the server's software, which its events name if it is given. */
  readonly softwareVersion?: string;
}

const PREFILL_TOKENS = 1000;
const DEFAULT_RESTART_MS = 300;
const MS_PER_S = 1000;

/** A server that handles prefills, runs, orders and load reports. */
export class StagedServer {
  readonly id: string;
  readonly receivedRequests: ReceivedRequest[] = [];
  /** Handles of prefill results that the gateway released. */
  readonly freedHandles: string[] = [];
  /** Orders with the status that each got. */
  readonly orders: ReceivedOrder[] = [];
  role: "prefill" | "decode" = "decode";
  highestFence = 0;
  /** Fault that applies to every request until it is changed. */
  misbehaviour = Misbehaviour.None;
  /** Limits that the server has named, on the monotonic clock. */
  readonly namedLimits: NamedLimit[] = [];
  /** Whether all answers say that the server leaves. */
  saysLeaving = false;
  /** Seconds that refusals name, for which the server wants no requests. */
  retryAfter: string | undefined;
  /** Times at which requests ended the server. */
  readonly crashes: ServerCrash[] = [];
  readonly #options: StagedServerOptions;
  readonly #events: number;
  readonly #eventMs: number;
  readonly #server: http.Server;
  #port = 0;
  #isClosed = false;
  #handleCount = 0;
  #activityWaiters: (() => void)[] = [];

  constructor(options: StagedServerOptions) {
    this.id = options.id;
    this.#options = options;
    this.#events = options.events ?? 5;
    this.#eventMs = options.eventMs ?? 5;
    this.#server = http.createServer((req, res) =>
      void this.#handleRequest(req, res)
    );
  }

  get port(): number {
    return this.#port;
  }

  /** Names a limit in all answers from now on, or none. */
  nameLimit(requestsPerSecond: number | undefined): void {
    const now = performance.now();
    const current = this.namedLimits.at(-1);
    if (current !== undefined) current.until = Math.min(current.until, now);
    if (requestsPerSecond === undefined) return;
    this.namedLimits.push({ requestsPerSecond, from: now, until: Infinity });
  }

  /** Requests that ran. */
  get runs(): ReceivedRequest[] {
    return this.receivedRequests.filter(({ ran }) => ran);
  }

  async listen(): Promise<void> {
    await listenOnLoopback(this.#server, this.#port);
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#stopListening();
  }

  async #stopListening(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await closed;
  }

  /** Resolves when a request, order or released handle next arrives or a response closes. */
  waitForActivity(): Promise<void> {
    return new Promise((resolve) => this.#activityWaiters.push(resolve));
  }

  async #handleRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const body = await readText(req).catch(() => undefined);
    // The request broke off before it had arrived.
    if (body === undefined) return;
    const path = req.url ?? "";
    if (path === "/report") return this.#handleReport(res);
    if (path === "/orders") return this.#handleOrder(res, body);
    if (path.startsWith("/handles/")) {
      this.freedHandles.push(path.slice("/handles/".length));
      res.end();
      return this.#notifyWaiters();
    }
    const isPrefill = req.headers["bitternfall-stage"] === "prefill";
    const isRefused = this.misbehaviour === Misbehaviour.Refuse;
    const pauseMs = isRefused ? MS_PER_S * Number(this.retryAfter ?? 0) : 0;
    const received: ReceivedRequest = {
      requestId: String(req.headers["bitternfall-request-id"]),
      path,
      stage: isPrefill ? "prefill" : "run",
      headers: req.headers,
      body,
      at: performance.now(),
      endedAt: Infinity,
      ran: false,
      isRefused,
      abandoned: false,
      notice: { isLeaving: this.saysLeaving, pauseMs },
    };
    this.receivedRequests.push(received);
    res.on("close", () => {
      received.abandoned = !res.writableFinished;
      received.endedAt = performance.now();
      this.#notifyWaiters();
    });
    this.#notifyWaiters();
    const limit = this.namedLimits.at(-1);
    if (limit?.until === Infinity) {
      res.setHeader("bitternfall-limit", String(limit.requestsPerSecond));
    }
    if (this.saysLeaving) res.setHeader("bitternfall-leaving", "1");
    if (received.isRefused && this.retryAfter !== undefined) {
      res.setHeader("retry-after", this.retryAfter);
    }
    if (received.isRefused) return sendNotRun(res);
    if (isPrefill) return this.#handlePrefill(res);
    received.ran = true;
    this.#handleRun(req, res, received);
  }

  #handlePrefill(res: http.ServerResponse): void {
    const handle = `${this.id}-${++this.#handleCount}`;
    res.setHeader("content-type", "application/json");
    res.end(JSON.stringify({ handle, tokens: PREFILL_TOKENS }));
  }

  #handleRun(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    received: ReceivedRequest,
  ): void {
    const { misbehaviour } = this;
    if (misbehaviour === Misbehaviour.Hang) return;
    if (misbehaviour === Misbehaviour.Reset) {
      return void req.socket.resetAndDestroy();
    }
    const isCrossed = misbehaviour === Misbehaviour.Crossed ||
      misbehaviour === Misbehaviour.CrossedRefusal;
    const requestId = isCrossed ? "another" : received.requestId;
    res.setHeader("bitternfall-request-id", requestId);
    if (misbehaviour === Misbehaviour.CrossedRefusal) {
      res.writeHead(503, { "bitternfall-outcome": "not-run" }).end();
      return;
    }
    if (misbehaviour !== Misbehaviour.Unsealed) {
      res.setHeader("bitternfall-seal", this.id);
    }
    if (misbehaviour === Misbehaviour.Fail) {
      res.writeHead(500).end("failed");
      return;
    }
    if (received.headers["bitternfall-tokens"] === undefined) {
      return void this.#runPlain(res, received);
    }
    if (misbehaviour === Misbehaviour.EndUnframed) {
      res.useChunkedEncodingByDefault = false;
      res.writeHead(200, { connection: "close" });
      res.end();
      return;
    }
    if (this.#endsServer(received)) return void this.#crash(received);
    const workMs = readWorkMs(received.path);
    void this.#streamEvents(res, {
      after: Number(received.headers["last-event-id"] ?? 0),
      eventMs: workMs > 0 ? workMs / this.#events : this.#eventMs,
    });
  }

  async #runPlain(
    res: http.ServerResponse,
    received: ReceivedRequest,
  ): Promise<void> {
    const { runMs = readWorkMs(received.path) } = this.#options;
    if (runMs > 0) await new Promise((resolve) => setTimeout(resolve, runMs));
    if (res.destroyed) return;
    if (this.#endsServer(received)) return void this.#crash(received);
    const text = `${this.id} ran ${received.requestId}`;
    const answerBytes = readAnswerBytes(received.path);
    if (answerBytes === 0) return void res.end(text);
    const [firstLine, filling] = createLargeBody(text, answerBytes);
    res.setHeader("content-length", firstLine.length + filling.length);
    res.write(firstLine);
    res.end(filling);
  }

  #endsServer({ headers, body }: ReceivedRequest): boolean {
    const { crashingParts, crashingBodies } = this.#options;
    if (crashingBodies?.has(body)) return true;
    const parts = String(headers["bitternfall-prompt-parts"] ?? "").split(",");
    return parts.some((part) => crashingParts?.has(part.split(":")[0]!));
  }

  async #crash({ requestId }: ReceivedRequest): Promise<void> {
    this.crashes.push({ at: performance.now(), requestId });
    await this.crash();
  }

  /** Ends with all requests in flight, and starts again after a while. */
  async crash(): Promise<void> {
    const { restartMs = DEFAULT_RESTART_MS, onRestart, onCrash } =
      this.#options;
    if (onCrash !== undefined) return onCrash();
    if (!this.#server.listening) return;
    await this.#stopListening();
    await new Promise((resolve) => setTimeout(resolve, restartMs));
    if (this.#isClosed) return;
    await this.listen();
    onRestart?.(this);
  }

  async #streamEvents(
    res: http.ServerResponse,
    { after, eventMs }: { after: number; eventMs: number },
  ): Promise<void> {
    res.setHeader("content-type", "text/event-stream");
    for (let eventId = after + 1; eventId <= this.#events; eventId++) {
      await new Promise((resolve) => setTimeout(resolve, eventMs));
      if (res.destroyed) return;
      if (this.misbehaviour === Misbehaviour.CutStream && eventId === 3) {
        res.write(`id: ${eventId}\ndata: ha`, () => res.destroy());
        return;
      }
      const { softwareVersion } = this.#options;
      const version = softwareVersion === undefined
        ? ""
        : ` by ${softwareVersion}`;
      res.write(`id: ${eventId}\ndata: piece ${eventId}${version}\n\n`);
    }
    res.end();
  }

  #handleReport(res: http.ServerResponse): void {
    res.end(JSON.stringify({
      role: this.role,
      isSwitching: false,
      ordersAccepted: this.orders.filter(({ status }) => status === 202).length,
    }));
  }

  #handleOrder(res: http.ServerResponse, body: string): void {
    const order = JSON.parse(body) as ReceivedOrder["order"];
    const status = order.fence < this.highestFence ? 412 : 202;
    if (status === 202) {
      this.highestFence = order.fence;
      this.role = order.role;
    }
    this.orders.push({ at: performance.now(), order, status });
    res.writeHead(status).end();
    this.#notifyWaiters();
  }

  #notifyWaiters(): void {
    for (const wake of this.#activityWaiters.splice(0)) wake();
  }
}

function sendNotRun(res: http.ServerResponse): void {
  res.writeHead(503, { "bitternfall-outcome": "not-run" }).end();
}

async function readText(req: http.IncomingMessage): Promise<string> {
  const reader = new BodyReader();
  for await (const chunk of req) reader.add(chunk as Buffer);
  return reader.finish();
}

/** Time that a request asks its server to take with `work=MS` in its query. */
function readWorkMs(path: string): number {
  return Number(/[?&]work=(\d+)/.exec(path)?.[1] ?? 0);
}

/** Size of the filling that a plain request asks for with `answer=BYTES` in its query. */
function readAnswerBytes(path: string): number {
  return Number(/[?&]answer=(\d+)/.exec(path)?.[1] ?? 0);
}
