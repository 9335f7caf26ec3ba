/**
 * Accepts callers' requests: limits what is read and buffered, finds the route, passes the
 * request on to the call that serves it, and logs the outcome.
 * @module
 */
import type * as http from "node:http";
import { AccessKind, KeyRefusal, type Workspace } from "@bitternfall/access";
import type { Reservation } from "@bitternfall/caller";
import {
  closeGracefully,
  isLastResponse,
  Listener,
  whenHandedOn,
} from "@bitternfall/connection";
import { hashText } from "@bitternfall/dispatch";
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import type { Clock } from "@bitternfall/types";
import type { ActiveConfig } from "./active_config.ts";
import type { CallerResponse } from "./caller_response.ts";
import { dropBody } from "./collector.ts";
import type { CallerDialect } from "./dialect.ts";
import {
  areNamesValid,
  countHeaderBytes,
  indexHeaders,
  pickEndToEndHeaders,
} from "./headers.ts";
import type {
  GatewayConfig,
  GatewayRequest,
  GatewayService,
  RequestTraits,
  Route,
} from "./model.ts";
import type { MemoryBudget } from "./memory_budget.ts";
import { type OpenRequest, OpenRequests } from "./open_requests.ts";
import { decline, type ForwardedTraits, isPeerHeader } from "./peer_http.ts";
import type { CallOutcome } from "./plain_call.ts";
import {
  type BodyResult,
  discardRequestBody,
  pickFraming,
  readRequestBody,
} from "./request_body.ts";
import { estimateHeadBytes } from "./request_head.ts";
import type { StageCounts } from "./request_progress.ts";
import { pickTarget } from "./route_table.ts";
import { UnreadAnswers } from "./unread_answers.ts";
import { UnreadHeads } from "./unread_heads.ts";

/** Limits on the requests in flight. */
export interface FrontLimits {
  readonly inFlight: number;
}

/** Options of a {@link CallerFront}. */
export interface CallerFrontOptions {
  readonly host: string;
  readonly port: number;
  readonly dialect: CallerDialect;
  readonly log: EventLog;
  readonly now: Clock;
  readonly limits: FrontLimits;
  readonly memory: MemoryBudget;
  /** Callers' connections that are open at once; further ones are closed unread. */
  readonly maxConnections: number;
  readonly getConfig: () => ActiveConfig | undefined;
  /** Serves a request that was accepted and routed. */
  readonly serve: (
    req: GatewayRequest,
    callerResponse: CallerResponse,
  ) => Promise<CallOutcome>;
}

/** Most header bytes that are read of a request, also if a configuration allows more. */
const MAX_HEADER_BYTES = 65_536;
/** Longest wait of a refusal in a stop for the requests that have arrived behind it. */
const MAX_READ_BEHIND_MS = 200;
/** For requests before the first configuration is read; about the time that a start takes. */
const NOT_READY_RETRY_AFTER_MS = 500;
const OVERLOADED_RETRY_AFTER_MS = 500;
/** A request that has no end this long after its deadline is ended by its front. */
const UNANSWERED_SLACK_MS = 1000;
/** A timer that fires this late shows that the process was suspended. */
const MAX_TIMER_DELAY_MS = 200;
/** Added to the configured idle timeout, so that the caller closes first. */
const KEEP_ALIVE_MARGIN_MS = 1000;
/** `hashText` returns 30 bits. */
const HASH_RANGE = 2 ** 30;

/** Time after which a request for which there was no memory may come back. */
const NO_MEMORY_RETRY_AFTER_MS = 1000;

/** A refusal of a request before it is passed on. */
interface Rejection {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
  /** Fields of the log event; its reason replaces the one that the caller is told. */
  readonly details?: {
    readonly reason: string;
    readonly [name: string]: string | number;
  };
}

/** For requests that are read to their end late in a stop. */
const STOPPING: Rejection = { status: 503, reason: "shutting down" };
const NO_MEMORY: Rejection = {
  status: 503,
  reason: "too much in flight",
  retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
};

/** Accepts callers' connections and requests. */
export class CallerFront {
  /** Limits the unfinished heads, also those on other servers that it watches. */
  readonly unreadHeads: UnreadHeads;
  readonly #options: CallerFrontOptions;
  readonly #listener: Listener;
  readonly #open: OpenRequests;
  #limits: FrontLimits;
  #inFlight = 0;
  /** Set while draining: each response closes its connection. */
  #closesConnections = false;
  /** Set late in the drain: requests on connections that are still open are refused. */
  #refusesRequests = false;

  constructor(options: CallerFrontOptions) {
    this.#options = options;
    this.#limits = options.limits;
    const { host, port, maxConnections, memory } = options;
    this.#open = new OpenRequests(new UnreadAnswers(memory.pools.answers));
    this.#listener = new Listener(
      {
        host,
        port,
        maxHeaderBytes: MAX_HEADER_BYTES,
        maxConnections,
        onUnanswerable: () => options.log.count("requests_unanswerable"),
      },
      (req, res) => void this.#handle(req, res),
    );
    // Bodies have a time limit of their own, which lets callers read the refusal.
    this.#listener.server.requestTimeout = 0;
    this.unreadHeads = new UnreadHeads({
      heads: memory.pools.heads,
      maxHeadBytes: MAX_HEADER_BYTES,
    });
    this.unreadHeads.watch(this.#listener.server);
  }

  /** Number of open requests, those included whose answers are being written out. */
  get inFlight(): number {
    return this.#open.size;
  }

  /** Accepts the connections; bound with the other listeners of the process. */
  get listener(): Listener {
    return this.#listener;
  }

  listen(): Promise<number> {
    return this.#listener.listen();
  }

  /** Open requests by the stage that they have reached. */
  countStages(): StageCounts {
    return this.#open.countStages();
  }

  setLimits(limits: FrontLimits): void {
    this.#limits = limits;
  }

  /** Applies a configuration's limits on connections. */
  applyConfig({ limits }: GatewayConfig): void {
    const { server } = this.#listener;
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** Closes each connection after its next response, from now on. */
  closeConnectionsAfterResponses(): void {
    this.#closesConnections = true;
    this.#open.closeConnectionsAfterResponses();
  }

  /**
   * Refuses new connections and requests; requests in flight continue. Resolves once idle
   * connections have been ended.
   */
  stopAccepting(): Promise<void> {
    this.closeConnectionsAfterResponses();
    this.#refusesRequests = true;
    return this.#listener.stopAccepting();
  }

  /** Resolves once no request is open: all answers have been written out. */
  whenIdle(): Promise<void> {
    return this.#open.whenIdle();
  }

  /** Ends the open requests that have no answer, with what is known of each. */
  endUnanswered(): Promise<void> {
    return this.#open.endUnanswered();
  }

  /**
   * Breaks off the answers that are still being sent and ends all connections; resolves once
   * their callers have closed them, or shortly after.
   */
  endConnections(): Promise<void> {
    this.#open.abort();
    return this.#listener.endConnections();
  }

  /** Closes all connections, aborting requests in flight. */
  close(): Promise<void> {
    this.#open.abort();
    return this.#listener.close();
  }

  /** Serves a request that another VM has forwarded. */
  handleForwarded(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    traits: ForwardedTraits,
  ): void {
    if (this.#closesConnections) decline(res);
    else void this.#handle(req, res, traits);
  }

  async #handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    forwarded?: ForwardedTraits,
  ): Promise<void> {
    const arrivedAt = this.#options.now();
    this.#inFlight++;
    const open = this.#open.add(res);
    const { callerResponse } = open;
    if (this.#closesConnections) callerResponse.closeConnectionAfterwards();
    // A response that started before the drain did not announce that its connection closes.
    res.once("finish", () => {
      const isLast = isLastResponse(res);
      if (this.#closesConnections && isLast) closeGracefully(req.socket);
    });
    const { heads, bodies } = this.#options.memory.pools;
    const headMemory = heads.open();
    const bodyMemory = bodies.open();
    try {
      if (!headMemory.reserve(estimateHeadBytes(req.rawHeaders))) {
        return this.#reject(NO_MEMORY, { req, callerResponse });
      }
      const headers = indexHeaders(req.rawHeaders);
      const traits = this.#options.dialect.readTraits(headers);
      const requestId = traits?.requestId;
      const routed = this.#route(req, {
        headers,
        traits,
        arrivedAt,
        forwarded,
      });
      if ("status" in routed) {
        // Requests behind this one, which its refusal would leave unanswered, are read first.
        if (this.#closesConnections) {
          await whenHandedOn(req.socket, { timeoutMs: MAX_READ_BEHIND_MS });
        }
        this.#reject(routed, { req, callerResponse, requestId, forwarded });
      } else {
        await this.#serve(routed, { req, open, bodyMemory });
      }
    } catch (err) {
      this.#options.log.emit("unexpectedError", { reason: getMessage(err) });
      callerResponse.refuse(502, "internal error");
    } finally {
      // A caller that reads its answer slowly keeps the request's object.
      req.rawHeaders = [];
      headMemory.release();
      dropBody(bodyMemory.bytes);
      bodyMemory.release();
      this.#inFlight--;
    }
  }

  /** Finds a request's route and service, or the reason to refuse it, from its head. */
  #route(
    req: http.IncomingMessage,
    head: {
      headers: ReadonlyMap<string, string>;
      traits: RequestTraits | undefined;
      arrivedAt: number;
      forwarded: ForwardedTraits | undefined;
    },
  ): Rejection | RoutedHead {
    const { headers, traits, arrivedAt, forwarded } = head;
    const activeConfig = this.#options.getConfig();
    if (activeConfig === undefined) {
      return {
        status: 503,
        reason: "no configuration yet",
        retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      };
    }
    if (this.#refusesRequests) return STOPPING;
    const { config, table, access } = activeConfig;
    if (countHeaderBytes(req.rawHeaders) > config.limits.headerBytes) {
      return { status: 431, reason: "headers too large" };
    }
    const path = req.url ?? "";
    const route = table.find(headers.get("host") ?? "", path);
    if (route === undefined) return { status: 404, reason: "no route" };
    const { dialect, now } = this.#options;
    const { rawHeaders } = req;
    const decision = access.check({ rawHeaders, route, forwarded }, dialect);
    if (decision.kind === AccessKind.Refused) {
      // The key is not the caller's fault, and a later configuration may serve it.
      const isUnusable = decision.reason === KeyRefusal.Unusable;
      return {
        status: isUnusable ? 503 : 401,
        reason: isUnusable ? "the key can't be used" : "no valid key",
        details: {
          reason: "key",
          fault: decision.reason,
          configAgeMs: Math.round(now() - activeConfig.appliedAt),
        },
      };
    }
    const workspace = decision.kind === AccessKind.Granted
      ? decision.workspace
      : undefined;
    if (traits === undefined || !areNamesValid(rawHeaders)) {
      return { status: 400, reason: "malformed request head" };
    }
    const service = pickService(config, { route, traits });
    if (service === undefined) return { status: 503, reason: "no service" };
    if (this.#inFlight > this.#limits.inFlight) {
      return {
        status: 503,
        reason: "too many requests in flight",
        retryAfterMs: OVERLOADED_RETRY_AFTER_MS,
      };
    }
    const { bodyBytes } = config.limits;
    return {
      arrivedAt,
      route,
      traits,
      service,
      bodyBytes,
      path,
      forwarded,
      framing: pickFraming(headers),
      workspace,
      rank: access.findRank(service, { workspace, route }),
      withheldHeader: access.hasKey(forwarded) ? dialect.keyHeader : undefined,
    };
  }

  async #serve(
    head: RoutedHead,
    options: {
      req: http.IncomingMessage;
      open: OpenRequest;
      bodyMemory: Reservation;
    },
  ): Promise<void> {
    const { req, open, bodyMemory } = options;
    const { callerResponse, callerSignal, progress } = open;
    const { route, service, arrivedAt, forwarded } = head;
    const traits = forwarded === undefined
      ? head.traits
      : { ...head.traits, deadlineMs: forwarded.deadlineMs };
    const { requestId } = traits;
    const read = await readRequestBody(req, {
      headers: head.framing,
      maxBytes: head.bodyBytes,
      reservation: bodyMemory,
    });
    if (read.tag !== "read") {
      const rejection = describeUnread(read, head.bodyBytes);
      return this.#reject(rejection, { req, callerResponse, requestId });
    }
    if (open.isEnded) return;
    if (this.#refusesRequests) {
      return this.#reject(STOPPING, { req, callerResponse, requestId });
    }
    progress.isRead = true;
    const { body } = read;
    const { now, dialect } = this.#options;
    const waitMs = Math.min(traits.deadlineMs ?? Infinity, route.timeoutMs);
    const isDropped = (name: string) =>
      name === "content-length" || name === "expect" ||
      dialect.isReserved(name) || name === head.withheldHeader ||
      (forwarded !== undefined && isPeerHeader(name));
    const stopGuard = this.#guardAnswer(
      arrivedAt + waitMs + UNANSWERED_SLACK_MS,
      () => this.#endUnanswered(head, callerResponse),
    );
    const outcome = await this.#options.serve({
      ...traits,
      method: req.method ?? "GET",
      path: head.path,
      headers: pickEndToEndHeaders(req.rawHeaders, isDropped),
      rawHeaders: req.rawHeaders,
      body,
      isForwarded: forwarded !== undefined,
      isCounted: forwarded?.isCounted ?? false,
      arrivedAt,
      deadline: arrivedAt + waitMs,
      route,
      service,
      workspace: head.workspace,
      rank: head.rank,
      callerSignal,
      progress,
    }, callerResponse).finally(stopGuard);
    if (!callerSignal.aborted) this.#endUnanswered(head, callerResponse);
    const ms = Math.round(now() - arrivedAt);
    this.#log(head, { outcome: { ...outcome, ...open.endedWith }, ms });
  }

  /** Calls `end` at a time, unless the returned function is called before. */
  #guardAnswer(endAt: number, end: () => void): () => void {
    const { now } = this.#options;
    let timer: NodeJS.Timeout | undefined;
    const wait = (until: number) => {
      timer = setTimeout(() => {
        const lateMs = now() - until;
        // After a suspension, timers run before what has arrived meanwhile is read.
        if (lateMs > MAX_TIMER_DELAY_MS) wait(now() + MAX_TIMER_DELAY_MS);
        else end();
      }, until - now());
    };
    wait(endAt);
    return () => clearTimeout(timer);
  }

  /** Ends a request that nothing else has ended, which is a fault; none if it has ended. */
  #endUnanswered(head: RoutedHead, callerResponse: CallerResponse): void {
    if (callerResponse.isEnded) return;
    const { route, traits, service } = head;
    this.#options.log.emit("requestUnanswered", {
      requestId: traits.requestId,
      route: route.name,
      service: service.name,
    });
    this.#options.log.count("requests_unanswered", 1, { route: route.name });
    callerResponse.refuse(504, "no answer by the deadline");
  }

  #reject(
    rejection: Rejection,
    options: {
      req: http.IncomingMessage;
      callerResponse: CallerResponse;
      requestId?: string | undefined;
      forwarded?: ForwardedTraits | undefined;
    },
  ): void {
    const { status, reason, retryAfterMs, details } = rejection;
    const { req, callerResponse, requestId, forwarded } = options;
    if (!req.complete) {
      callerResponse.closeConnectionAfterwards();
      callerResponse.endRefusalAfter(discardRequestBody(req));
    }
    // The VM that forwards it has admitted it, by another version of the configuration.
    const isOtherConfig = forwarded !== undefined &&
      (details !== undefined || status === 404);
    if (isOtherConfig) callerResponse.decline();
    else callerResponse.refuse(status, reason, retryAfterMs);
    this.#options.log.emit("requestRejected", {
      requestId,
      status,
      reason,
      configVersion: this.#options.getConfig()?.config.version,
      ...details,
    });
    if (details === undefined) return;
    this.#options.log.count("requests_refused", 1, { reason: details.reason });
  }

  #log(
    head: RoutedHead,
    result: { outcome: CallOutcome; ms: number },
  ): void {
    const { route, traits, service } = head;
    const { outcome, ms } = result;
    const { status, ...details } = outcome;
    const { log, getConfig } = this.#options;
    log.emit("requestEnded", {
      requestId: traits.requestId,
      route: route.name,
      service: service.name,
      status,
      ms,
      ...details,
      ...(head.forwarded === undefined ? {} : { isForwarded: true }),
      workspace: head.workspace?.name,
      rank: head.rank,
      targetMs: route.targetMs,
      deadlineMs: traits.deadlineMs,
      lastEventId: traits.lastEventId,
      resumes: traits.resumes,
      promptTokens: traits.prompt?.promptTokens,
      maxOutputTokens: traits.prompt?.maxOutputTokens,
      expectedOutputTokens: traits.prompt?.expectedOutputTokens,
      configVersion: getConfig()?.config.version,
    });
    log.count("requests_total", 1, { route: route.name, status: `${status}` });
    log.timing("request", ms, { route: route.name });
  }
}

/** The head of a request with its route and service. */
interface RoutedHead {
  readonly arrivedAt: number;
  readonly route: Route;
  readonly traits: RequestTraits;
  readonly service: GatewayService;
  readonly bodyBytes: number;
  readonly path: string;
  /** Undefined if the caller sent the request to this VM. */
  readonly forwarded: ForwardedTraits | undefined;
  /** The headers that frame the body. */
  readonly framing: ReadonlyMap<string, string>;
  /** Workspace of the caller's key; undefined where the request needs no key. */
  readonly workspace: Workspace | undefined;
  readonly rank: number | undefined;
  /** Header that servers must not get, as it carries the key. */
  readonly withheldHeader: string | undefined;
}

/** The refusal of a request whose body could not be read. */
function describeUnread(
  { tag }: Exclude<BodyResult, { tag: "read" }>,
  maxBytes: number,
): Rejection {
  if (tag === "no_memory") return NO_MEMORY;
  if (tag === "too_slow") {
    return { status: 408, reason: "the request could not be read in time" };
  }
  return tag === "too_large"
    ? { status: 413, reason: `the body is larger than ${maxBytes} bytes` }
    : { status: 400, reason: "the request broke off" };
}

function pickService(
  config: GatewayConfig,
  options: { route: Route; traits: RequestTraits },
): GatewayService | undefined {
  const { route, traits } = options;
  const point = hashText(traits.requestId) / HASH_RANGE;
  const target = pickTarget(route.targets, point);
  return target === undefined ? undefined : config.services.get(target.service);
}
