/**
 * Stand-in of a server behind a gateway, plain or staged: it keeps what it ran and how
 * each run ended, and misbehaves as it is told.
 * @module
 */
import * as http from "node:http";
import type { AddressInfo } from "node:net";

/** What a server does with the next request that would run. */
export enum Misbehaviour {
  None = "none",
  /** States that it has not run it. */
  Refuse = "refuse",
  /** Runs it and fails. */
  Fail = "fail",
  /** Runs it and resets the connection before the answer. */
  Reset = "reset",
  /** Runs it and never answers. */
  Hang = "hang",
  /** Breaks a stream off in the middle of its third event. */
  CutStream = "cut-stream",
  /** Answers without a seal. */
  Unsealed = "unsealed",
  /** Answers with another request's id. */
  Crossed = "crossed",
}

/** A request that reached the server. */
export interface SeenRequest {
  readonly requestId: string;
  readonly path: string;
  readonly stage: "prefill" | "run";
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** When it arrived, on the monotonic clock. */
  readonly at: number;
  /** When its connection was done with it; infinite until then. */
  endedAt: number;
  ran: boolean;
  /** The connection closed before the answer was over. */
  abandoned: boolean;
}

/** An order that reached the server. */
export interface SeenOrder {
  readonly at: number;
  readonly order: {
    readonly fence: number;
    readonly role: "prefill" | "decode";
    readonly holder: string;
  };
  readonly status: number;
}

/** Options of a {@link StagedServer}. */
export interface StagedServerOptions {
  readonly id: string;
  readonly events?: number;
  readonly eventMs?: number;
}

const TOKENS = 1000;

/** One server. */
export class StagedServer {
  readonly id: string;
  readonly seen: SeenRequest[] = [];
  readonly freed: string[] = [];
  /** Orders with the answers that they got. */
  readonly orders: SeenOrder[] = [];
  role: "prefill" | "decode" = "decode";
  highestFence = 0;
  /** Applies to every request until it is changed. */
  misbehaviour = Misbehaviour.None;
  readonly #events: number;
  readonly #eventMs: number;
  readonly #server: http.Server;
  #handles = 0;
  #arrived: (() => void)[] = [];

  constructor(options: StagedServerOptions) {
    this.id = options.id;
    this.#events = options.events ?? 5;
    this.#eventMs = options.eventMs ?? 5;
    this.#server = http.createServer((req, res) => void this.#serve(req, res));
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Requests that ran. */
  get runs(): SeenRequest[] {
    return this.seen.filter(({ ran }) => ran);
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await closed;
  }

  /** Resolves once something more has happened here. */
  whenNext(): Promise<void> {
    return new Promise((resolve) => this.#arrived.push(resolve));
  }

  async #serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const body = await readText(req);
    const path = req.url ?? "";
    if (path === "/report") return this.#report(res);
    if (path === "/orders") return this.#order(res, body);
    if (path.startsWith("/handles/")) {
      this.freed.push(path.slice("/handles/".length));
      res.end();
      return this.#notify();
    }
    const isPrefill = req.headers["bitternfall-stage"] === "prefill";
    const seen: SeenRequest = {
      requestId: String(req.headers["bitternfall-request-id"]),
      path,
      stage: isPrefill ? "prefill" : "run",
      headers: req.headers,
      body,
      at: performance.now(),
      endedAt: Infinity,
      ran: false,
      abandoned: false,
    };
    this.seen.push(seen);
    res.on("close", () => {
      seen.abandoned = !res.writableFinished;
      seen.endedAt = performance.now();
      this.#notify();
    });
    this.#notify();
    if (this.misbehaviour === Misbehaviour.Refuse) return refuse(res);
    if (isPrefill) return this.#prefill(res);
    seen.ran = true;
    this.#run(req, res, seen);
  }

  #prefill(res: http.ServerResponse): void {
    const handle = `${this.id}-${++this.#handles}`;
    res.setHeader("content-type", "application/json");
    res.end(JSON.stringify({ handle, tokens: TOKENS }));
  }

  #run(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    seen: SeenRequest,
  ): void {
    const { misbehaviour } = this;
    if (misbehaviour === Misbehaviour.Hang) return;
    if (misbehaviour === Misbehaviour.Reset) {
      return void req.socket.resetAndDestroy();
    }
    const requestId = misbehaviour === Misbehaviour.Crossed
      ? "another"
      : seen.requestId;
    res.setHeader("bitternfall-request-id", requestId);
    if (misbehaviour !== Misbehaviour.Unsealed) {
      res.setHeader("bitternfall-seal", this.id);
    }
    if (misbehaviour === Misbehaviour.Fail) {
      res.writeHead(500).end("failed");
      return;
    }
    if (seen.headers["bitternfall-tokens"] === undefined) {
      res.end(`${this.id} ran ${seen.requestId}`);
      return;
    }
    void this.#stream(res, Number(seen.headers["last-event-id"] ?? 0));
  }

  async #stream(res: http.ServerResponse, after: number): Promise<void> {
    res.setHeader("content-type", "text/event-stream");
    for (let event = after + 1; event <= this.#events; event++) {
      await new Promise((resolve) => setTimeout(resolve, this.#eventMs));
      if (res.destroyed) return;
      if (this.misbehaviour === Misbehaviour.CutStream && event === 3) {
        res.write(`id: ${event}\ndata: ha`, () => res.destroy());
        return;
      }
      res.write(`id: ${event}\ndata: piece ${event}\n\n`);
    }
    res.end();
  }

  #report(res: http.ServerResponse): void {
    res.end(JSON.stringify({
      role: this.role,
      isSwitching: false,
      ordersAccepted: this.orders.filter(({ status }) => status === 202).length,
    }));
  }

  #order(res: http.ServerResponse, body: string): void {
    const order = JSON.parse(body) as SeenOrder["order"];
    const status = order.fence < this.highestFence ? 412 : 202;
    if (status === 202) {
      this.highestFence = order.fence;
      this.role = order.role;
    }
    this.orders.push({ at: performance.now(), order, status });
    res.writeHead(status).end();
    this.#notify();
  }

  #notify(): void {
    for (const wake of this.#arrived.splice(0)) wake();
  }
}

function refuse(res: http.ServerResponse): void {
  res.writeHead(503, { "bitternfall-outcome": "not-run" }).end();
}

async function readText(req: http.IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of req) text += String(chunk);
  return text;
}
