/**
 * One request of a plain service. A request of a safe route is retried at another server
 * after a failure, and hedged when the first server is slow. Any other request is retried
 * only if the server states, or the connection proves, that it has not run.
 * @module
 */
import { RefusalReason, type TokenBatch } from "@bitternfall/dispatch";
import type { CrashRegistry } from "@bitternfall/dispatch-host";
import type { EventLog } from "@bitternfall/events";
import type { QuotaSource } from "@bitternfall/quota";
import { AssignedOutcome } from "@bitternfall/service";
import { type Clock, withTimeout } from "@bitternfall/types";
import { relayAnswer, relayEvents } from "./answer_relay.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { CrashReporter } from "./crash_reporter.ts";
import type { CrashTrials } from "./crash_trials.ts";
import { type GatewayRequest, RouteKind, type ServerEntry } from "./model.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import type { ChosenServer, PlainBalancing } from "./plain_balancing.ts";
import { hashRequest } from "./request_identity.ts";
import type {
  AnswerResult,
  EventAnswer,
  LargeAnswer,
  ServerClient,
} from "./server_client.ts";
import type { ServerDirectory } from "./server_directory.ts";
import type { ServerLimits } from "./server_limits.ts";
import type { ServerLinks } from "./server_links.ts";
import type { ServerNotices } from "./server_notices.ts";
import type { SharedLimits } from "./shared_limits.ts";

/** Dependencies that all plain calls of a VM share. */
export interface PlainCallEnvironment {
  readonly directory: ServerDirectory;
  readonly client: ServerClient;
  readonly balancing: Pick<PlainBalancing, "pool" | "choose">;
  readonly log: EventLog;
  readonly now: Clock;
  readonly limits: SharedLimits;
  readonly serverLimits: ServerLimits;
  readonly notices: Pick<ServerNotices, "isPaused" | "getShortestWaitMs">;
  /** Evidence of which requests end servers. */
  readonly crashes: Pick<
    CrashRegistry,
    "suspectsRequests" | "blocks" | "countEnds" | "recordBegin"
  >;
  readonly crashReporter: CrashReporter;
  readonly trials: Pick<CrashTrials, "request">;
  readonly links: Pick<ServerLinks, "checkAfterFailure">;
  readonly forwarder: Pick<RequestForwarder, "shouldForward" | "forward">;
}

/** How a call ended; the fields are those of the request's log event. */
export interface CallOutcome {
  readonly status: number;
  readonly reason: string;
  readonly servers: readonly string[];
  /** Time that the request waited for a grant. */
  readonly waitedMs?: number;
  /** Duration of the last prefill. */
  readonly prefillMs?: number | undefined;
  /** Time from the arrival of the request to its first event. */
  readonly firstEventMs?: number | undefined;
  readonly events?: number;
  /** VM to which the request was forwarded. */
  readonly helper?: string;
  /** Retry delay that was sent to the caller. */
  readonly retryAfterMs?: number;
  /** What paid for the request where its workspace has a quota. */
  readonly quotaSource?: QuotaSource;
  /** Cost of the request, in the unit of the quota. */
  readonly quotaWanted?: number;
  /** Balance of this VM's leases before the request. */
  readonly quotaBalance?: number;
  readonly quotaOverdrawn?: number;
  /** Age of the issuer's last reply. */
  readonly quotaAgeMs?: number | undefined;
  readonly quotaIssuer?: string | undefined;
}

/** Sends beyond the route's limit, for requests that no server has run. */
const EXTRA_SENDS = 2;
/** A hedged request is sent after this quantile of recent latencies, times the factor. */
const HEDGE_QUANTILE = 0.95;
const HEDGE_FACTOR = 1.3;
const MIN_HEDGE_DELAY_MS = 40;
/** Share of the target time after which to hedge while no latencies are known. */
const DEFAULT_HEDGE_SHARE = 0.33;
/** Longest time that a retry waits until it is known whether the server has ended. */
const MAX_CRASH_CHECK_MS = 50;
/** A request under which so many servers have ended is sent only once for each attempt. */
const MAX_ENDS_BEFORE_SINGLE_SENDS = 2;

interface PendingSend {
  readonly promise: Promise<EndedSend>;
  readonly server: ServerEntry;
  readonly abortController: AbortController;
}

interface EndedSend {
  readonly pending: PendingSend;
  readonly result: AnswerResult;
}

/** Runs one request of a plain service. */
export class PlainCall {
  readonly #env: PlainCallEnvironment;
  readonly #req: GatewayRequest;
  readonly #callerResponse: CallerResponse;
  readonly #pending = new Set<PendingSend>();
  readonly #triedServers: string[] = [];
  /** Servers that took no request of this VM because of their limits. */
  readonly #deniedServers: string[] = [];
  /** Sends for which the server may have run the request. */
  #possibleRuns = 0;
  /** Passed on if no other server brings a better result. */
  #bestFailure: EndedSend | undefined;
  /** Sends that may have arrived at a server. */
  #deliveredSends = 0;
  /** Hash of the request; undefined until it is needed. */
  #identity: number | undefined;
  /** Whether the request is blocked, and tried at one server all the same. */
  #isTrial = false;

  constructor(
    env: PlainCallEnvironment,
    req: GatewayRequest,
    callerResponse: CallerResponse,
  ) {
    this.#env = env;
    this.#req = req;
    this.#callerResponse = callerResponse;
  }

  /** Runs the request until the final response has been sent. */
  async run(): Promise<CallOutcome> {
    try {
      return await this.#runSends();
    } finally {
      // Closes the connection of one that is large and was not passed on.
      discard(this.#bestFailure);
    }
  }

  async #runSends(): Promise<CallOutcome> {
    const { service, callerSignal, isCounted } = this.#req;
    if (!isCounted) {
      this.#env.limits.getRetryAllowance(service.name)
        .onRequest(this.#env.now());
    }
    if (this.#isBlocked) await this.#requestTrial();
    let canHedge = this.#req.route.kind === RouteKind.Safe && !this.#isTrial;
    await this.#startSend();
    while (this.#pending.size > 0) {
      const next = await this.#waitForNext(canHedge);
      if (next === "hedge") {
        canHedge = false;
        await this.#startSend();
        continue;
      }
      this.#pending.delete(next.pending);
      const { result } = next;
      if (result.kind === "aborted" || callerSignal.aborted) break;
      if (isFinal(result)) return await this.#deliver(next);
      this.#keepPreferred(next);
      if (this.#shouldForward()) return await this.#forward();
      if (this.#canRetry(result)) await this.#startSend();
    }
    this.#stopAll();
    if (callerSignal.aborted) return this.#finish(499, "caller went away");
    return this.#bestFailure === undefined
      ? this.#refuse()
      : await this.#deliver(this.#bestFailure);
  }

  /** Keeps the better one of a failure and the one before. */
  #keepPreferred(ended: EndedSend): void {
    const known = this.#bestFailure;
    const isBetter = known === undefined ||
      rankFailure(ended.result) >= rankFailure(known.result);
    if (isBetter) this.#bestFailure = ended;
    discard(isBetter ? known : ended);
  }

  /** Whether another VM is to serve the request, which may run there. */
  #shouldForward(): boolean {
    const { forwarder, limits, now } = this.#env;
    const { route, service } = this.#req;
    const mayRun = this.#possibleRuns === 0 || route.kind === RouteKind.Safe;
    if (this.#pending.size > 0 || !mayRun || this.#isBlocked) return false;
    if (!forwarder.shouldForward(this.#req)) return false;
    // Its arrival at a server is a retry if an earlier send may have arrived.
    return this.#deliveredSends === 0 ||
      limits.getRetryAllowance(service.name).tryTake(1, now()) !== undefined;
  }

  #forward(): Promise<CallOutcome> {
    const options = { isCounted: true, mayHaveRun: this.#possibleRuns > 0 };
    return this.#env.forwarder.forward(
      this.#req,
      this.#callerResponse,
      options,
    );
  }

  /** Hash of what the request shares with its repetitions. */
  get #part(): number {
    this.#identity ??= hashRequest(this.#req);
    return this.#identity;
  }

  /** Whether the request may reach no server, since it ends those that run it. */
  get #isBlocked(): boolean {
    const { crashes } = this.#env;
    const { name } = this.#req.service;
    return !this.#isTrial && crashes.suspectsRequests(name) &&
      crashes.blocks(name, [this.#part]);
  }

  async #requestTrial(): Promise<void> {
    const { service, callerSignal } = this.#req;
    this.#isTrial = await this.#env.trials.request({
      service: service.name,
      parts: [this.#part],
    }) && !callerSignal.aborted;
  }

  /** Servers to which the request may be sent in this attempt of its caller. */
  get #maxAttempts(): number {
    const { crashes } = this.#env;
    const { route, service: { name } } = this.#req;
    const isSuspect = this.#isTrial || (crashes.suspectsRequests(name) &&
      crashes.countEnds(name, this.#part) >= MAX_ENDS_BEFORE_SINGLE_SENDS);
    return isSuspect ? 1 : route.maxAttempts;
  }

  /** Sends to another server if attempts, the deadline and the retry budget allow it. */
  async #startSend(): Promise<void> {
    const { route, service, deadline, requestId } = this.#req;
    const { balancing, limits, log, now } = this.#env;
    const maxAttempts = this.#maxAttempts;
    const isExhausted =
      this.#possibleRuns + this.#pending.size >= maxAttempts ||
      this.#triedServers.length >= route.maxAttempts + EXTRA_SENDS;
    if (isExhausted || now() >= deadline || this.#isBlocked) return;
    const chosen = await balancing.choose(
      service.name,
      this.#listCandidates(),
      {
        requestId,
        tried: this.#triedServers,
        maxOutstanding: limits.getMaxOutstanding(service),
        timeoutMs: deadline - now(),
      },
    );
    if (chosen === undefined) return;
    const isRetry = this.#deliveredSends + this.#pending.size > 0;
    const allowance = limits.getRetryAllowance(service.name);
    const payment = isRetry ? allowance.tryTake(1, now()) : [];
    if (payment === undefined) {
      chosen.cancel();
      log.emit("retryRefused", { requestId, service: service.name });
      return;
    }
    const { server } = chosen;
    this.#triedServers.push(server.id);
    const abortController = new AbortController();
    const pending: PendingSend = {
      server,
      abortController,
      promise: this.#sendIfPermitted(chosen, {
        signal: abortController.signal,
        payment,
      }).then((result) => ({ pending, result })),
    };
    this.#pending.add(pending);
  }

  /** The service's servers, without those that are known to take no request now. */
  #listCandidates(): ServerEntry[] {
    const { directory, serverLimits, notices } = this.#env;
    return directory.list(this.#req.service.name).filter(({ id }) =>
      !this.#deniedServers.includes(id) && !serverLimits.isBlocked(id) &&
      !notices.isPaused(id)
    );
  }

  /** Sends unless the server's limit forbids it, which counts as no attempt. */
  async #sendIfPermitted(
    chosen: ChosenServer,
    options: { signal: AbortSignal; payment: readonly TokenBatch[] },
  ): Promise<AnswerResult> {
    const { signal, payment } = options;
    const { serverLimits, limits } = this.#env;
    const { server } = chosen;
    const isPermitted = await serverLimits.acquirePermit(server.id);
    // The verdict may have come while the permit was requested.
    if (isPermitted && !this.#isBlocked) {
      return await this.#send(chosen, signal);
    }
    chosen.cancel();
    limits.getRetryAllowance(this.#req.service.name).putBack(payment);
    this.#triedServers.splice(this.#triedServers.indexOf(server.id), 1);
    this.#deniedServers.push(server.id);
    return { kind: "not_sent", reason: "the server's limit" };
  }

  async #send(
    chosen: ChosenServer,
    signal: AbortSignal,
  ): Promise<AnswerResult> {
    const { client, now, links } = this.#env;
    const { server } = chosen;
    const startedAt = now();
    const endCall = chosen.begin();
    const result = await client.sendAndReadAnswer(this.#req, server, {
      traits: { lastEventId: this.#req.lastEventId },
      deadline: this.#req.deadline,
      signal: AbortSignal.any([signal, this.#req.callerSignal]),
    });
    if (isRelayed(result)) result.res.once("close", endCall);
    else endCall();
    const ms = now() - startedAt;
    this.#recordSend(chosen, result, ms);
    if (isAnswer(result)) {
      // A stream shows only with its first event that its server has survived the request.
      if (result.kind !== "events") this.#recordSurvival();
    } else if (result.kind !== "aborted") {
      await withTimeout(this.#reportFailure(server, result, ms), {
        ms: MAX_CRASH_CHECK_MS,
        fallback: undefined,
      });
      if (result.kind !== "not_run") {
        const { service, deadline } = this.#req;
        const times = { since: startedAt, answerBy: deadline };
        await links.checkAfterFailure(service.name, times);
      }
    }
    return result;
  }

  /** Records that a server has run the request to its end, if it is among the suspects. */
  #recordSurvival(): void {
    const { crashes } = this.#env;
    const { name } = this.#req.service;
    if (crashes.suspectsRequests(name)) crashes.recordBegin(name, [this.#part]);
  }

  /** Logs a send without an answer, and reports the server if it has ended under it. */
  async #reportFailure(
    server: ServerEntry,
    result: Exclude<AnswerResult, { kind: AnswerKind | "aborted" }>,
    ms: number,
  ): Promise<void> {
    const { requestId, service } = this.#req;
    const isBroken = result.kind === "unknown" && !result.isTimeout;
    const hasEnded = isBroken &&
      await this.#env.crashReporter.reportIfEnded(server, {
        service: service.name,
        requestId,
        parts: [this.#part],
        answerBy: Infinity,
      });
    this.#env.log.emit("sendFailed", {
      requestId,
      request: this.#part,
      server: server.id,
      outcome: result.kind,
      reason: result.kind === "not_run" ? String(result.status) : result.reason,
      hasEnded,
      ms: Math.round(ms),
    });
  }

  #recordSend(chosen: ChosenServer, result: AnswerResult, ms: number): void {
    const { limits } = this.#env;
    if (result.kind === "aborted") return chosen.cancel();
    if (result.kind !== "not_sent") this.#deliveredSends++;
    if (isAnswer(result) || result.kind === "unknown") this.#possibleRuns++;
    if (!isAnswer(result)) {
      return chosen.record({ ms, outcome: AssignedOutcome.NoAnswer });
    }
    const { load } = result.traits;
    const hasFailed = result.status >= 500;
    const outcome = hasFailed ? AssignedOutcome.Failed : AssignedOutcome.Served;
    chosen.record({ ms, outcome, load });
    if (!hasFailed) limits.getLatencyWindow(this.#req.route.name).add(ms);
  }

  #waitForNext(
    canHedge: boolean,
  ): Promise<"hedge" | EndedSend> {
    const promises = [...this.#pending].map(({ promise }) => promise);
    if (!canHedge || promises.length > 1) return Promise.race(promises);
    const { route } = this.#req;
    const latencies = this.#env.limits.getLatencyWindow(route.name);
    const quantileMs = latencies.getQuantile(HEDGE_QUANTILE);
    const delayMs = Number.isFinite(quantileMs)
      ? Math.max(MIN_HEDGE_DELAY_MS, HEDGE_FACTOR * quantileMs)
      : DEFAULT_HEDGE_SHARE * route.targetMs;
    let timer: NodeJS.Timeout | undefined;
    const hedge = new Promise<"hedge">((resolve) => {
      timer = setTimeout(() => resolve("hedge"), delayMs);
    });
    return Promise.race([...promises, hedge]).finally(() =>
      clearTimeout(timer)
    );
  }

  #canRetry(result: AnswerResult): boolean {
    if (result.kind === "not_sent" || result.kind === "not_run") return true;
    return this.#req.route.kind === RouteKind.Safe;
  }

  async #deliver({ result, pending }: EndedSend): Promise<CallOutcome> {
    this.#stopAll();
    if (isRelayed(result)) return await this.#relay(result, pending.server);
    if (result.kind === "whole") {
      this.#callerResponse.writeHead(result.status, result.headers);
      this.#callerResponse.end(result.body);
      return this.#finish(result.status, "answered");
    }
    if (result.kind === "unknown") {
      const status = result.isTimeout ? 504 : 502;
      this.#callerResponse.refuse(status, "the server failed");
      return this.#finish(status, result.reason);
    }
    return this.#refuse();
  }

  /** Passes on an answer that has not been read whole, and can no longer be retried. */
  async #relay(
    answer: LargeAnswer | EventAnswer,
    server: ServerEntry,
  ): Promise<CallOutcome> {
    const { balancing: { pool }, log, now } = this.#env;
    const { requestId } = this.#req;
    const startedAt = now();
    const options = {
      req: this.#req,
      callerResponse: this.#callerResponse,
      now,
    };
    const end = answer.kind === "events"
      ? await relayEvents(answer, {
        ...options,
        onFirstEvent: () => this.#recordSurvival(),
      })
      : await relayAnswer(answer, options);
    if (end.kind === "gone") return this.#finish(499, "caller went away");
    if (end.kind === "complete") {
      return this.#finish(answer.status, "answered");
    }
    const ms = Math.round(now() - startedAt);
    pool.recordCall(server, { ms, failed: true });
    pool.avoid(server);
    if (end.status > 0) {
      const { reason, isTimeout } = end;
      const failure = { kind: "unknown", reason, isTimeout } as const;
      await this.#reportFailure(server, failure, ms);
      return this.#finish(end.status, end.reason);
    }
    log.emit("sendFailed", {
      requestId,
      request: this.#part,
      server: server.id,
      outcome: answer.kind,
      reason: end.reason,
      hasEnded: false,
      ms,
    });
    return this.#finish(0, end.reason);
  }

  /** Refuses the request: with 503, which permits a retry, only if no server has run it. */
  #refuse(): CallOutcome {
    // An earlier send may have run although the last one did not.
    if (this.#possibleRuns > 0) {
      this.#callerResponse.refuse(502, "the servers failed");
      return this.#finish(502, "servers failed");
    }
    if (this.#isBlocked) {
      const message = "not run: servers have ended under this request";
      this.#callerResponse.refuse(400, message);
      return this.#finish(400, RefusalReason.Blocked);
    }
    const { directory, serverLimits, notices } = this.#env;
    const { name } = this.#req.service;
    const retryAfterMs = serverLimits.scheduleReturn(name) ??
      notices.getShortestWaitMs(directory.list(name).map(({ id }) => id));
    const isLimited = retryAfterMs !== undefined;
    this.#callerResponse.refuse(
      503,
      isLimited ? "the servers take no more" : "no server took the request",
      retryAfterMs,
    );
    return {
      ...this.#finish(503, isLimited ? "servers' limits" : "no server took it"),
      ...(isLimited ? { retryAfterMs } : {}),
    };
  }

  #stopAll(): void {
    for (const { abortController } of this.#pending) abortController.abort();
  }

  #finish(status: number, reason: string): CallOutcome {
    return { status, reason, servers: this.#triedServers };
  }
}

/** Kinds of results that are a server's response. */
type AnswerKind = "whole" | "large" | "events";

function isAnswer(
  result: AnswerResult,
): result is Extract<AnswerResult, { kind: AnswerKind }> {
  return result.kind === "whole" || isRelayed(result);
}

/** Whether the body of a response is still to be passed on. */
function isRelayed(result: AnswerResult): result is LargeAnswer | EventAnswer {
  return result.kind === "large" || result.kind === "events";
}

/** Whether a result is passed on at once, without trying another server. */
function isFinal(result: AnswerResult): boolean {
  return isAnswer(result) && result.status < 500;
}

/** Prefers a server's response to a failure, and a failure to a refusal. */
function rankFailure(result: AnswerResult): number {
  return isAnswer(result) ? 2 : result.kind === "unknown" ? 1 : 0;
}

/** Closes the connection of an answer that is not passed on. */
function discard(ended: EndedSend | undefined): void {
  if (ended !== undefined && isRelayed(ended.result)) {
    ended.result.res.destroy();
  }
}
