/**
 * Callers' requests from the first byte to the final answer: read at bounded cost, given
 * a route, handed to the call that serves them, and logged.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { readBody } from "@bitternfall/caller";
import { Listener } from "@bitternfall/connection";
import { hashText } from "@bitternfall/dispatch";
import { getMessage, Refusal } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import type { Clock } from "@bitternfall/types";
import { Answer } from "./answer.ts";
import type { CallerDialect } from "./dialect.ts";
import { countHeaderBytes, indexHeaders, passHeaders } from "./headers.ts";
import type {
  GatewayConfig,
  GatewayRequest,
  GatewayService,
  RequestTraits,
  Route,
} from "./model.ts";
import type { CallOutcome } from "./plain_call.ts";
import { pickTarget, type RouteTable } from "./route_table.ts";

/** The configuration in force with the table made of it. */
export interface ConfigInForce {
  readonly config: GatewayConfig;
  readonly table: RouteTable;
}

/** What may be under way at once. */
export interface FrontLimits {
  readonly inFlight: number;
  /** Bytes of request bodies. */
  readonly heldBodyBytes: number;
}

/** Options of a {@link CallerFront}. */
export interface CallerFrontOptions {
  readonly host: string;
  readonly port: number;
  readonly dialect: CallerDialect;
  readonly log: EventLog;
  readonly now: Clock;
  readonly limits: FrontLimits;
  readonly getConfig: () => ConfigInForce | undefined;
  /** Serves a request that has a route. */
  readonly serve: (req: GatewayRequest, answer: Answer) => Promise<CallOutcome>;
}

/** Requests are read up to this many header bytes, whatever a configuration allows. */
const MAX_HEADER_BYTES = 65_536;
/** Before there is a configuration, callers may come back after about a start-up. */
const NOT_READY_RETRY_MS = 500;
const FULL_RETRY_MS = 500;
/** Added to the configured idle time, so that it is the caller who closes. */
const IDLE_MARGIN_MS = 1000;
const MAX_HASH = 2 ** 30;

/** Why a request gets an answer of the gateway's own before it is passed on. */
interface Rejection {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** Accepts callers. */
export class CallerFront {
  readonly #options: CallerFrontOptions;
  readonly #listener: Listener;
  readonly #waiters: (() => void)[] = [];
  #limits: FrontLimits;
  #inFlight = 0;
  #heldBytes = 0;
  /** Each answer closes its connection. */
  #isClosing = false;
  /** Requests on connections that are still open are refused. */
  #isClosed = false;

  constructor(options: CallerFrontOptions) {
    this.#options = options;
    this.#limits = options.limits;
    const { host, port } = options;
    this.#listener = new Listener(
      { host, port, maxHeaderBytes: MAX_HEADER_BYTES },
      (req, res) => void this.#handle(req, res),
    );
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  listen(): Promise<number> {
    return this.#listener.listen();
  }

  setLimits(limits: FrontLimits): void {
    this.#limits = limits;
  }

  /** Takes a configuration's bounds on connections over. */
  configure({ limits }: GatewayConfig): void {
    const { server } = this.#listener;
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** From now on each answer closes its connection. */
  closeConnections(): void {
    this.#isClosing = true;
  }

  /** Takes no new connections and requests; requests under way go on. */
  stopAccepting(): void {
    this.#isClosing = true;
    this.#isClosed = true;
    this.#listener.stopAccepting();
  }

  /** Resolves once no request is under way. */
  whenIdle(): Promise<void> {
    if (this.#inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  /** Closes everything, cutting what is under way. */
  close(): Promise<void> {
    return this.#listener.close();
  }

  async #handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.#options.now();
    this.#inFlight++;
    const answer = new Answer(res);
    if (this.#isClosing) answer.closeAfter();
    // An answer that began before the shutdown has told its caller to stay.
    res.once("finish", () => {
      if (this.#isClosing) req.socket.end();
    });
    const gone = new AbortController();
    res.once("close", () => {
      if (!res.writableFinished) gone.abort();
    });
    res.on("error", () => gone.abort());
    try {
      const headers = indexHeaders(req.rawHeaders);
      const traits = this.#options.dialect.readTraits(headers);
      const requestId = traits?.requestId;
      const found = this.#route(req, { headers, traits, arrivedAt });
      if ("status" in found) this.#reject(found, { req, answer, requestId });
      else await this.#serve(found, { req, answer, gone: gone.signal });
    } catch (err) {
      this.#options.log.emit("unexpectedError", { reason: getMessage(err) });
      answer.refuse(502, "internal error");
    } finally {
      this.#inFlight--;
      if (this.#inFlight === 0) {
        for (const wake of this.#waiters.splice(0)) wake();
      }
    }
  }

  /** Everything that can be said of a request by its head. */
  #route(
    req: http.IncomingMessage,
    head: {
      headers: ReadonlyMap<string, string>;
      traits: RequestTraits | undefined;
      arrivedAt: number;
    },
  ): Rejection | RoutedHead {
    const { headers, traits, arrivedAt } = head;
    const inForce = this.#options.getConfig();
    if (inForce === undefined) {
      return {
        status: 503,
        reason: "no configuration yet",
        retryAfterMs: NOT_READY_RETRY_MS,
      };
    }
    if (this.#isClosed) return { status: 503, reason: "shutting down" };
    const { config, table } = inForce;
    if (countHeaderBytes(req.rawHeaders) > config.limits.headerBytes) {
      return { status: 431, reason: "headers too large" };
    }
    const path = req.url ?? "";
    const route = table.find(headers.get("host") ?? "", path);
    if (route === undefined) return { status: 404, reason: "no route" };
    if (traits === undefined) {
      return { status: 400, reason: "malformed request head" };
    }
    const service = pickService(config, { route, traits });
    if (service === undefined) return { status: 503, reason: "no service" };
    if (this.#inFlight > this.#limits.inFlight) {
      return {
        status: 503,
        reason: "too many requests in flight",
        retryAfterMs: FULL_RETRY_MS,
      };
    }
    const { bodyBytes } = config.limits;
    return { arrivedAt, route, traits, service, bodyBytes, path };
  }

  async #serve(
    head: RoutedHead,
    options: {
      req: http.IncomingMessage;
      answer: Answer;
      gone: AbortSignal;
    },
  ): Promise<void> {
    const { req, answer, gone } = options;
    const { route, traits, service, arrivedAt } = head;
    const body = await this.#readBody(req, head.bodyBytes);
    if (body !== undefined && "status" in body) {
      const { requestId } = traits;
      return this.#reject(body, { req, answer, requestId });
    }
    const { now, dialect } = this.#options;
    const waitMs = Math.min(traits.deadlineMs ?? Infinity, route.timeoutMs);
    const isDropped = (name: string) =>
      name === "content-length" || name === "expect" ||
      dialect.isReserved(name);
    const outcome = await this.#hold({
      ...traits,
      method: req.method ?? "GET",
      path: head.path,
      headers: passHeaders(req.rawHeaders, isDropped),
      body,
      arrivedAt,
      deadline: arrivedAt + waitMs,
      route,
      service,
      callerSignal: gone,
    }, answer);
    const ms = Math.round(now() - arrivedAt);
    this.#log(head, { outcome, ms });
  }

  /** Serves a request whose body counts as held meanwhile. */
  async #hold(req: GatewayRequest, answer: Answer): Promise<CallOutcome> {
    const bytes = req.body?.length ?? 0;
    this.#heldBytes += bytes;
    try {
      return await this.#options.serve(req, answer);
    } finally {
      this.#heldBytes -= bytes;
    }
  }

  async #readBody(
    req: http.IncomingMessage,
    maxBytes: number,
  ): Promise<Buffer | Rejection | undefined> {
    const hasBody = req.headers["content-length"] !== undefined ||
      req.headers["transfer-encoding"] !== undefined;
    if (!hasBody) return undefined;
    if (this.#heldBytes > this.#limits.heldBodyBytes) {
      return { status: 503, reason: "too much in flight" };
    }
    try {
      return await readBody(req, maxBytes);
    } catch (err) {
      if (!(err instanceof Refusal)) throw err;
      return { status: err.status, reason: err.message };
    }
  }

  #reject(
    rejection: Rejection,
    options: {
      req: http.IncomingMessage;
      answer: Answer;
      requestId: string | undefined;
    },
  ): void {
    const { status, reason, retryAfterMs } = rejection;
    const { req, answer, requestId } = options;
    // What is left of a body would be taken for the next request.
    if (!req.complete) answer.closeAfter();
    answer.refuse(status, reason, retryAfterMs);
    this.#options.log.emit("requestRejected", {
      requestId,
      status,
      reason,
      configVersion: this.#options.getConfig()?.config.version,
    });
  }

  #log(
    head: RoutedHead,
    ended: { outcome: CallOutcome; ms: number },
  ): void {
    const { route, traits, service } = head;
    const { outcome, ms } = ended;
    const { status, ...details } = outcome;
    const { log, getConfig } = this.#options;
    log.emit("requestEnded", {
      requestId: traits.requestId,
      route: route.name,
      service: service.name,
      status,
      ms,
      ...details,
      deadlineMs: traits.deadlineMs,
      promptTokens: traits.prompt?.promptTokens,
      maxOutputTokens: traits.prompt?.maxOutputTokens,
      expectedOutputTokens: traits.prompt?.expectedOutputTokens,
      configVersion: getConfig()?.config.version,
    });
    log.count("requests_total", 1, { route: route.name, status: `${status}` });
    log.timing("request", ms, { route: route.name });
  }
}

/** A request's head with what was found for it. */
interface RoutedHead {
  readonly arrivedAt: number;
  readonly route: Route;
  readonly traits: RequestTraits;
  readonly service: GatewayService;
  readonly bodyBytes: number;
  readonly path: string;
}

function pickService(
  config: GatewayConfig,
  options: { route: Route; traits: RequestTraits },
): GatewayService | undefined {
  const { route, traits } = options;
  const point = hashText(traits.requestId) / MAX_HASH;
  const target = pickTarget(route.targets, point);
  return target === undefined ? undefined : config.services.get(target.service);
}
