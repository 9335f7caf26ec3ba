/**
 * One streamed request of a model service. Before the prompt is prefilled, the dispatcher
 * grants a prefill server together with a slot at a decode server for the whole run. The
 * decode server fetches the prefill result, and its events are relayed to the caller. If
 * the route is resumable, a broken stream is resumed at another server after its last
 * complete event.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  type Grant,
  NO_PREFILL,
  Phase,
  RefusalReason,
  ServerFailure,
} from "@bitternfall/dispatch";
import type {
  CrashRegistry,
  DispatchClient,
  RunningCall,
  RunningCalls,
  RunningGrant,
  StreamRegistry,
} from "@bitternfall/dispatch-host";
import { monotonicNow, Priority } from "@bitternfall/types";
import { relayAnswer } from "./answer_relay.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { CrashReporter } from "./crash_reporter.ts";
import type { CrashTrials } from "./crash_trials.ts";
import {
  type FailedGrant,
  failMayHaveRun,
  failNotRun,
  failTimedOut,
  type GrantOutcome,
  toGrantOutcome,
} from "./grant_outcome.ts";
import { pickEndToEndHeaders } from "./headers.ts";
import type {
  EngineTraits,
  GatewayRequest,
  PromptTraits,
  ServerEntry,
} from "./model.ts";
import type { CallOutcome } from "./plain_call.ts";
import {
  type PrefillEnvironment,
  PrefillStage,
  type StoredPrefill,
} from "./prefill_stage.ts";
import {
  estimateHeldTokens,
  hashParts,
  hashSharedParts,
} from "./prompt_estimate.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import { hashRequest } from "./request_identity.ts";
import { type RetryPayer, RetryPayment } from "./retry_payment.ts";
import type {
  CallableServer,
  CompleteResult,
  SendResult,
} from "./server_client.ts";
import type { ServerDirectory } from "./server_directory.ts";
import type { ServerLinks } from "./server_links.ts";
import type { ServerNotices } from "./server_notices.ts";
import { StreamRelay } from "./stream_relay.ts";

/** Dependencies that all staged calls of a VM share. */
export interface StagedCallEnvironment extends PrefillEnvironment {
  readonly vmId: string;
  readonly availabilityZone: string;
  readonly directory: ServerDirectory;
  readonly dispatch: Pick<
    DispatchClient,
    "acquire" | "prefilled" | "started" | "release"
  >;
  readonly calls: RunningCalls;
  /** What servers have said of themselves. */
  readonly notices: Pick<ServerNotices, "listPaused" | "isPaused">;
  /** Evidence of which requests end servers. */
  readonly crashes: Pick<
    CrashRegistry,
    "suspectsRequests" | "blocks" | "recordBegin"
  >;
  readonly crashReporter: CrashReporter;
  readonly trials: Pick<CrashTrials, "request">;
  readonly links: Pick<ServerLinks, "checkAfterFailure">;
  readonly forwarder: Pick<RequestForwarder, "shouldForward" | "forward">;
  /** Versions that began streams. */
  readonly streams: Pick<StreamRegistry, "find" | "recordRelayed">;
  /** Pays for the retries of the service's requests. */
  readonly retryAllowance: RetryPayer;
}

/** Attempts beyond the route's limit, for requests that no server has run. */
const EXTRA_ATTEMPTS = 2;
/** Retry-after of a request that ends for lack of retry tokens. */
const UNPAID_RETRY_AFTER_MS = 200;
/** Callers abandon a stream after a gap of about twice this. */
const MAX_EVENT_GAP_MS = 1800;
/** Longest wait for the first event of a request that can no longer meet its target. */
const MAX_RELAXED_WAIT_MS = 2000;
/** Share of the remaining time that the first event of such a request may take. */
const RELAXED_WAIT_SHARE = 0.35;

/** A granted server; this VM may know only its address yet. */
type GrantedServer =
  & CallableServer
  & Partial<Pick<ServerEntry, "bornAt" | "softwareVersion">>;

/** Runs one streamed request. */
export class StagedCall implements RunningCall {
  readonly #env: StagedCallEnvironment;
  readonly #req: GatewayRequest;
  readonly #prompt: PromptTraits;
  readonly #engine: EngineTraits;
  readonly #callerResponse: CallerResponse;
  readonly #prefillStage: PrefillStage;
  /** Hashes of the prompt's parts that other prompts may share. */
  readonly #sharedParts: readonly number[];
  /** Hash of the request; undefined until it is needed. */
  #identity: number | undefined;
  /** Whether the request is blocked, and tried once all the same. */
  #isTrial = false;
  readonly #avoidedServers: string[] = [];
  readonly #usedServers: string[] = [];
  /** The last process that was granted of each server. */
  readonly #grantedServers = new Map<string, GrantedServer>();
  #attempt = 0;
  #current: RunningGrant | undefined;
  /** Sends to decode servers that may have arrived there. */
  #deliveredDecodes = 0;
  readonly #payment: RetryPayment;
  /** Grants under which a server may have run the request. */
  #possibleRuns = 0;
  /** A stream that is silent, until another server is asked to go on with it. */
  #silentRelay: StreamRelay | undefined;
  /** Last error response of a decode server. */
  #failureResponse: Extract<CompleteResult, { kind: "whole" }> | undefined;
  #eventCount = 0;
  /** Value of `#eventCount` when the current grant was received. */
  #eventsBeforeGrant = 0;
  #lastEventId: string | undefined;
  /** Id of the request that brought the stream's first event; empty if it is not named. */
  readonly #streamId: string;
  /** Version that wrote the stream's events; undefined while there are none, or unknown. */
  #softwareVersion: string | undefined;
  /** Time of the first event under the current grant; 0 before it. */
  #grantFirstEventAt = 0;
  /** Duration of the last prefill. */
  #prefillMs: number | undefined;
  /** Time from the arrival of the request to its first event. */
  #firstEventMs: number | undefined;

  constructor(
    env: StagedCallEnvironment,
    req: GatewayRequest,
    options: {
      prompt: PromptTraits;
      engine: EngineTraits;
      callerResponse: CallerResponse;
    },
  ) {
    this.#env = env;
    this.#req = req;
    this.#prompt = options.prompt;
    this.#engine = options.engine;
    this.#callerResponse = options.callerResponse;
    this.#prefillStage = new PrefillStage(env, req, options);
    this.#payment = new RetryPayment(env.retryAllowance);
    this.#sharedParts = hashSharedParts(options.prompt.parts);
    this.#lastEventId = req.lastEventId;
    if (req.lastEventId === undefined) this.#streamId = req.requestId;
    else {
      this.#streamId = req.resumes ?? "";
      this.#softwareVersion = env.streams.find(
        req.service.name,
        this.#streamId,
      );
    }
  }

  get attempt(): number {
    return this.#attempt;
  }

  get currentGrant(): RunningGrant | undefined {
    return this.#current;
  }

  /** Runs the request until the response to the caller has ended. */
  async run(): Promise<CallOutcome> {
    const { calls, retryAllowance } = this.#env;
    const { requestId, isCounted } = this.#req;
    calls.add(requestId, this);
    if (!isCounted) retryAllowance.onRequest(monotonicNow());
    try {
      return await this.#runAttempts();
    } finally {
      calls.remove(requestId);
      this.#payment.settle(this.#countArrivals(), monotonicNow());
      this.#prefillStage.freeRetained();
      this.#leaveSilent();
    }
  }

  async #runAttempts(): Promise<CallOutcome> {
    for (;;) {
      this.#attempt++;
      const grant = await this.#acquire();
      if ("status" in grant) return grant;
      const outcome = await this.#useGrant(grant);
      if (outcome.kind === "done") {
        return this.#finish(outcome.status, "answered");
      }
      if (outcome.kind === "gone") return this.#finish(499, "caller went away");
      if (outcome.kind === "unpaid") return this.#endUnpaid();
      if (outcome.kind === "blocked") return this.#endBlocked();
      if (outcome.mayHaveRun) this.#possibleRuns++;
      this.#avoidedServers.push(outcome.server);
      const willRetry = this.#canRetry(outcome);
      this.#env.log.emit("grantFailed", {
        requestId: this.#req.requestId,
        request: this.#part,
        server: outcome.server,
        failure: outcome.failure,
        reason: outcome.reason,
        mayHaveRun: outcome.mayHaveRun,
        events: this.#eventCount,
        grantEvents: this.#eventCount - this.#eventsBeforeGrant,
        parts: this.#prompt.parts.map(({ id }) => id).join(","),
        goesOn: willRetry,
      });
      if (this.#shouldForward()) {
        const mayHaveRun = this.#possibleRuns > 0;
        const options = { isCounted: true, mayHaveRun };
        const { forwarder } = this.#env;
        this.#leaveSilent();
        return await forwarder.forward(
          this.#req,
          this.#callerResponse,
          options,
        );
      }
      if (!willRetry) return this.#endAfterFailure(outcome);
    }
  }

  /** Whether another VM is to serve the request, of which the caller has got nothing. */
  #shouldForward(): boolean {
    const mayRun = this.#possibleRuns === 0 || this.#req.route.isResumable;
    return mayRun && !this.#callerResponse.isHeadSent && !this.#isBlocked &&
      this.#env.forwarder.shouldForward(this.#req) && this.#canCall();
  }

  /** Whether to request another grant. The dispatcher applies the retry budget. */
  #canRetry({ mayHaveRun }: FailedGrant): boolean {
    const { route, deadline } = this.#req;
    if (this.#env.now() >= deadline || this.#isTrial) return false;
    if (mayHaveRun && !route.isResumable) return false;
    if (this.#possibleRuns >= route.maxAttempts) return false;
    return this.#attempt < route.maxAttempts + EXTRA_ATTEMPTS;
  }

  /** Ends a request whose last grant failed and that is not retried. */
  #endAfterFailure(
    { reason, isTimeout }: FailedGrant,
  ): Promise<CallOutcome> {
    const status = isTimeout ? 504 : 502;
    return this.#endWithoutResult(reason, {
      status,
      message: "no server took the request",
    });
  }

  /** Ends a request that the dispatcher refused. */
  async #endAfterRefusal(
    { reason, retryAfterMs }: Extract<Decision, { kind: "refusal" }>,
    waitedMs: number,
  ): Promise<CallOutcome> {
    const message = `no servers: ${reason}`;
    // What is not known now will not be known later.
    const refusal = reason === RefusalReason.VersionUnknown
      ? { status: 502, message, retryAfterMs: Infinity }
      : { status: 502, message, retryAfterMs };
    return { ...await this.#endWithoutResult(reason, refusal), waitedMs };
  }

  /**
   * Ends the response of a request that has not succeeded: waits for the rest of a stream
   * whose server is silent; aborts one that has begun otherwise; else passes on a server's
   * error response, if there was one; else responds with `status` if the request may have
   * run, and with 503 if it has not.
   */
  async #endWithoutResult(
    reason: string,
    options: { status: number; message: string; retryAfterMs?: number },
  ): Promise<CallOutcome> {
    const { status, message, retryAfterMs } = options;
    if (this.#callerResponse.isHeadSent) {
      const rest = await this.#silentRelay?.run(() => this.#getRemainingMs());
      if (rest?.kind === "gone") return this.#finish(499, "caller went away");
      if (rest?.kind === "complete") {
        this.#callerResponse.end(rest.held);
        return this.#finish(200, "answered");
      }
      this.#callerResponse.abort();
      return this.#finish(0, reason);
    }
    if (this.#failureResponse !== undefined) {
      this.#sendFailureResponse(this.#failureResponse);
      return this.#finish(this.#failureResponse.status, reason);
    }
    if (this.#possibleRuns > 0) {
      this.#callerResponse.refuse(status, "the server failed");
      return this.#finish(status, reason);
    }
    this.#callerResponse.refuse(503, message, retryAfterMs);
    const outcome = this.#finish(503, reason);
    return retryAfterMs === undefined || retryAfterMs === Infinity
      ? outcome
      : { ...outcome, retryAfterMs };
  }

  /** Parts by which the request may be suspected; itself only while some request is. */
  get #suspectParts(): readonly number[] {
    const { crashes } = this.#env;
    return crashes.suspectsRequests(this.#req.service.name)
      ? this.#allParts
      : this.#sharedParts;
  }

  /** The shared parts of the prompt, and the whole request. */
  get #allParts(): readonly number[] {
    return [...this.#sharedParts, this.#part];
  }

  /** Hash of what the request shares with its repetitions. */
  get #part(): number {
    this.#identity ??= hashRequest(this.#req);
    return this.#identity;
  }

  /** Whether the request may reach no server. */
  get #isBlocked(): boolean {
    const { name } = this.#req.service;
    return !this.#isTrial &&
      this.#env.crashes.blocks(name, this.#suspectParts);
  }

  /** Whether the request, which is blocked, may be tried once, before its first attempt. */
  async #requestTrial(): Promise<boolean> {
    if (this.#attempt > 1) return false;
    const { service, callerSignal } = this.#req;
    this.#isTrial = await this.#env.trials.request({
      service: service.name,
      parts: this.#suspectParts,
    }) && !callerSignal.aborted;
    return this.#isTrial;
  }

  /** Ends a request that is blocked, with no time to return. */
  #endBlocked(): CallOutcome | Promise<CallOutcome> {
    const reason = RefusalReason.Blocked;
    const message = "servers have ended under this request or parts of it";
    const mayHaveRun = this.#possibleRuns > 0 ||
      this.#callerResponse.isHeadSent;
    if (mayHaveRun) {
      return this.#endWithoutResult(reason, { status: 502, message });
    }
    this.#callerResponse.refuse(400, `not run: ${message}`);
    return this.#finish(400, reason);
  }

  /** Ends a request whose next call would exceed the retry budget. */
  #endUnpaid(): Promise<CallOutcome> {
    this.#logRetryRefused();
    return this.#endWithoutResult(RefusalReason.RetryBudget, {
      status: 502,
      message: "retry budget used up",
      retryAfterMs: UNPAID_RETRY_AFTER_MS,
    });
  }

  #logRetryRefused(): void {
    this.#env.log.emit("retryRefused", {
      requestId: this.#req.requestId,
      service: this.#req.service.name,
      arrivals: this.#countArrivals(),
      paid: this.#payment.paidCount,
    });
  }

  /** Gets a grant from the dispatcher, or ends the request if there is none. */
  async #acquire(): Promise<Grant | CallOutcome> {
    const { service, callerSignal, requestId, deadline } = this.#req;
    if (this.#isBlocked && !await this.#requestTrial()) {
      return this.#endBlocked();
    }
    const req = this.#createAcquireRequest();
    const askedAt = monotonicNow();
    const decision = await this.#env.dispatch.acquire(service.name, req, {
      callerSignal,
      answerBy: deadline,
    });
    const waitedMs = Math.round(monotonicNow() - askedAt);
    if (decision.kind === "grant") {
      this.#payment.addPaidByDispatcher(req.retriedCalls ?? 0);
      const { prefill, decode, decodeVersion } = decision.grant;
      // The dispatcher knows which version may go on with the stream.
      if (this.#lastEventId !== undefined) {
        this.#softwareVersion ??= decodeVersion;
      }
      this.#env.log.emit("grantReceived", {
        requestId,
        attempt: this.#attempt,
        prefill,
        decode,
        decodeVersion,
        heldTokens: req.heldTokens ?? 0,
        paidRetries: this.#payment.paidCount,
        waitedMs,
        leftMs: Math.round(req.deadline - monotonicNow()),
      });
      return decision.grant;
    }
    if (callerSignal.aborted) return this.#finish(499, "caller went away");
    if (decision.reason === RefusalReason.Blocked) return this.#endBlocked();
    if (decision.reason === RefusalReason.RetryBudget) {
      this.#logRetryRefused();
    }
    return this.#endAfterRefusal(decision, waitedMs);
  }

  #createAcquireRequest(): AcquireRequest {
    const { route, requestId, service, arrivedAt, rank } = this.#req;
    const { vmId, availabilityZone, directory } = this.#env;
    const { promptTokens, maxOutputTokens } = this.#prompt;
    const outputTokens = this.#eventCount * this.#engine.tokensPerEvent;
    const prefilledBy = this.#prefillStage.reusableServerId;
    return {
      requestId,
      attempt: this.#attempt,
      workspace: route.name,
      owner: vmId,
      availabilityZone,
      // Retries and streams that have begun go first, because the work already done would
      // otherwise be wasted.
      priority: this.#attempt > 1 || this.#lastEventId !== undefined
        ? Priority.Interactive
        : Priority.Normal,
      rank,
      account: this.#req.workspace?.name,
      promptTokens,
      outputTokens,
      maxTokens: maxOutputTokens,
      deadline: arrivedAt + route.targetMs,
      patience: this.#getPatience(),
      hashes: hashParts(this.#prompt.parts),
      // The dispatcher would refuse a blocked request.
      parts: this.#isTrial ? [] : this.#suspectParts,
      softwareVersion: this.#softwareVersion,
      resumedStreamId: this.#lastEventId === undefined
        ? undefined
        : this.#streamId,
      avoid: [
        ...this.#avoidedServers,
        ...directory.listLeaving(service.name),
        ...this.#env.notices.listPaused(),
      ],
      heldTokens: estimateHeldTokens(this.#prompt, {
        engine: this.#engine,
        outputTokens,
      }),
      prefilledBy,
      retriedCalls: this.#payForAttempt(prefilledBy !== undefined),
    };
  }

  #getPatience(): AcquireRequest["patience"] {
    const { deadlineMs, deadline, route } = this.#req;
    const now = monotonicNow();
    const relaxedWaitMs = Math.min(
      RELAXED_WAIT_SHARE * (deadline - now),
      MAX_RELAXED_WAIT_MS,
    );
    return {
      remainingMs: deadlineMs ?? route.timeoutMs,
      relaxedDeadline: now + relaxedWaitMs,
    };
  }

  /**
   * Pays for the retries that the next attempt may need. Returns the number of those that
   * the dispatcher has to pay for.
   */
  #payForAttempt(hasReusablePrefill: boolean): number {
    const countsPrefill = !hasReusablePrefill &&
      this.#prefillStage.hasSucceeded;
    const arrivals = this.#countArrivals() + Number(countsPrefill) + 1;
    return this.#payment.payFor(arrivals, monotonicNow());
  }

  /** Whether one more call is the request's first or paid for. */
  #canCall(): boolean {
    return this.#payment.payFor(this.#countArrivals() + 1, monotonicNow()) ===
      0;
  }

  /** Arrivals of this request at servers, as the retry budget counts them. */
  #countArrivals(): number {
    return this.#prefillStage.countedCalls + this.#deliveredDecodes;
  }

  async #useGrant(grant: Grant): Promise<GrantOutcome> {
    const { dispatch } = this.#env;
    const { service, callerSignal } = this.#req;
    this.#eventsBeforeGrant = this.#eventCount;
    this.#grantFirstEventAt = 0;
    this.#current = { service: service.name, grant, phase: Phase.Prefill };
    const grantedAt = monotonicNow();
    const outcome = callerSignal.aborted
      ? { kind: "gone" } as const
      : await this.#checkForCrash(await this.#runStages(grant));
    // A failure of this VM's path says nothing of the server.
    const isServerFailure = outcome.kind === "failed" &&
      (outcome.failure === ServerFailure.Refused ||
        !await this.#env.links.checkAfterFailure(service.name, {
          since: grantedAt,
          answerBy: this.#req.deadline,
        }));
    const newEvents = this.#eventCount - this.#eventsBeforeGrant;
    dispatch.release(service.name, grant, {
      outputTokens: newEvents,
      intervalMs: newEvents > 1
        ? (monotonicNow() - this.#grantFirstEventAt) / newEvents
        : 0,
      ...(isServerFailure
        ? { failedServer: outcome.server, failure: outcome.failure }
        : {}),
    });
    this.#current = undefined;
    return outcome;
  }

  async #runStages(grant: Grant): Promise<GrantOutcome> {
    const grantedAt = monotonicNow();
    const decode = this.#findServer(grant.decode, grant.decodeAddress);
    if (decode === undefined) return failLeaving("decode", grant.decode);
    const { softwareVersion = this.#softwareVersion } = decode;
    if (
      this.#softwareVersion !== undefined &&
      this.#softwareVersion !== softwareVersion
    ) return failLeaving("decode", grant.decode);
    if (grant.prefill === NO_PREFILL) {
      return await this.#decode(grant, { decode, prefillEndAt: grantedAt });
    }
    const prefill = this.#findServer(grant.prefill, grant.prefillAddress);
    if (prefill === undefined) return failLeaving("prefill", grant.prefill);
    if (this.#isBlocked) return { kind: "blocked" };
    const isStored = this.#prefillStage.reusableServerId === prefill.id;
    if (!isStored && !this.#canCall()) return { kind: "unpaid" };
    const stored = await this.#prefillStage.getOrPrefill(
      prefill,
      this.#lastEventId,
    );
    if ("kind" in stored) return stored;
    const prefillEndAt = monotonicNow();
    this.#prefillMs = Math.round(prefillEndAt - grantedAt);
    this.#env.dispatch.prefilled(this.#req.service.name, grant);
    const outcome = this.#env.directory.isLeaving(grant.decode)
      ? failLeaving("decode", grant.decode)
      : await this.#decode(grant, { decode, stored, prefillEndAt });
    if (outcome.kind === "done") return outcome;
    // A decode server that was down has not fetched the result. One that refused may have
    // done so because the result is lost, so a second refusal ends the reuse of the result.
    const canReuseResult = outcome.kind === "failed" && !outcome.mayHaveRun &&
      (outcome.failure === ServerFailure.Down || this.#deliveredDecodes === 1);
    if (canReuseResult) this.#prefillStage.retainForNextGrant(stored);
    else this.#prefillStage.free(stored);
    return outcome;
  }

  /**
   * Looks up a granted server; one that this VM does not know yet is called at the address
   * in the grant. Returns undefined if it is draining or removed, or wants no requests of
   * this VM, which the dispatcher may not know.
   */
  #findServer(
    id: string,
    address: string | undefined,
  ): GrantedServer | undefined {
    const { directory, notices } = this.#env;
    if (directory.isLeaving(id) || notices.isPaused(id)) return undefined;
    this.#usedServers.push(id);
    const server = directory.find(id) ?? parseAddress(id, address);
    if (server !== undefined) this.#grantedServers.set(id, server);
    return server;
  }

  /**
   * Reports a server that has ended before it wrote anything for this request: it broke the
   * connection and listens no more.
   */
  async #checkForCrash(outcome: GrantOutcome): Promise<GrantOutcome> {
    if (outcome.kind !== "failed" || this.#grantFirstEventAt > 0) {
      return outcome;
    }
    const { failure, isTimeout, server: id } = outcome;
    const server = this.#grantedServers.get(id);
    const isBroken = failure === ServerFailure.Fault && !isTimeout;
    if (!isBroken || server === undefined) return outcome;
    const { service, requestId } = this.#req;
    const hasEnded = await this.#env.crashReporter.reportIfEnded(server, {
      service: service.name,
      requestId,
      parts: this.#allParts,
      answerBy: this.#req.deadline,
    });
    if (!hasEnded) return outcome;
    return { ...outcome, failure: ServerFailure.Down };
  }

  async #decode(
    grant: Grant,
    options: {
      decode: CallableServer;
      stored?: StoredPrefill;
      prefillEndAt: number;
    },
  ): Promise<GrantOutcome> {
    const { decode, stored, prefillEndAt } = options;
    const { callerSignal, deadline, route } = this.#req;
    // The verdict may have come during the prefill.
    if (this.#isBlocked) return { kind: "blocked" };
    if (!this.#canCall()) return { kind: "unpaid" };
    this.#leaveSilent();
    const sent = await this.#env.client.send(this.#req, decode, {
      traits: { prefillResult: stored?.result, lastEventId: this.#lastEventId },
      deadline,
      ...(route.isResumable ? { headTimeoutMs: MAX_EVENT_GAP_MS } : {}),
      signal: callerSignal,
    });
    if (sent.kind !== "not_sent") this.#deliveredDecodes++;
    if (sent.kind !== "answer") {
      return toGrantOutcome(sent, { server: decode.id, stage: "decode" });
    }
    const { res, traits } = sent;
    if (traits.status !== 200) {
      return await this.#handleErrorResponse(sent, decode.id);
    }
    // Not before the first event: until then the request can still be refused.
    const writeHead = () => {
      if (this.#callerResponse.isHeadSent) return;
      // The stream may go on at another server, in a body of another length.
      const headers = pickEndToEndHeaders(
        res.rawHeaders,
        (name) => name === "content-length",
      );
      this.#callerResponse.writeHead(traits.status, headers);
    };
    const relay = new StreamRelay({
      res,
      callerResponse: this.#callerResponse,
      callerSignal,
      onEvents: ({ count, lastId }) => {
        writeHead();
        this.#recordEvents(grant, { count, lastId, prefillEndAt });
      },
    });
    const relayed = await relay.run(() => {
      if (!route.isResumable) return this.#getRemainingMs();
      // Comments don't keep a request without an event beyond its deadline.
      return this.#callerResponse.isHeadSent
        ? MAX_EVENT_GAP_MS
        : Math.min(MAX_EVENT_GAP_MS, this.#getRemainingMs());
    });
    if (relayed.kind === "gone") return { kind: "gone" };
    // A rest without an event may be a fault: nothing tells which event is a stream's last.
    const isEmptyRest = this.#callerResponse.isHeadSent &&
      this.#grantFirstEventAt === 0;
    if (relayed.kind === "complete" && isEmptyRest) {
      return failMayHaveRun("no event in the rest", decode.id);
    }
    if (relayed.kind === "complete") {
      writeHead();
      this.#callerResponse.end(relayed.held);
      return { kind: "done", status: traits.status };
    }
    if (relayed.kind !== "silent") {
      return failMayHaveRun(relayed.reason, decode.id);
    }
    this.#silentRelay = relay;
    return failTimedOut("stream fell silent", decode.id);
  }

  /** Closes the connection to a server that is silent, before another one goes on. */
  #leaveSilent(): void {
    this.#silentRelay?.leave();
    this.#silentRelay = undefined;
  }

  #getRemainingMs(): number {
    return Math.max(1, this.#req.deadline - this.#env.now());
  }

  /**
   * Reads a response whose status is not 200. A status below 500 is passed on to the
   * caller; any other is kept and passed on if no retry succeeds.
   */
  async #handleErrorResponse(
    sent: Extract<SendResult, { kind: "answer" }>,
    server: string,
  ): Promise<GrantOutcome> {
    const { callerSignal, deadline, method, route } = this.#req;
    const { client, now } = this.#env;
    const options = { deadline, signal: callerSignal, method };
    const result = await client.readAnswer(sent, options);
    if (result.kind === "aborted") return { kind: "gone" };
    if (result.kind === "large") {
      const isFinal = result.status < 500 || !route.isResumable;
      if (isFinal && !this.#callerResponse.isHeadSent) {
        const callerResponse = this.#callerResponse;
        const options = { req: this.#req, callerResponse, now };
        const end = await relayAnswer(result, options);
        return end.kind === "gone"
          ? end
          : { kind: "done", status: result.status };
      }
      result.res.destroy();
    }
    if (result.kind === "whole") {
      this.#failureResponse = result;
      // The error lies in the request, so another server would reject it too.
      if (result.status < 500 && !this.#callerResponse.isHeadSent) {
        this.#sendFailureResponse(result);
        return { kind: "done", status: result.status };
      }
    }
    return failMayHaveRun(`answered ${sent.traits.status}`, server);
  }

  #sendFailureResponse(
    { status, headers, body }: Extract<CompleteResult, { kind: "whole" }>,
  ): void {
    this.#callerResponse.writeHead(status, headers);
    this.#callerResponse.end(body);
  }

  #recordEvents(
    grant: Grant,
    update: { count: number; lastId: string | undefined; prefillEndAt: number },
  ): void {
    const { service } = this.#req;
    const isCurrent = this.#current?.grant === grant;
    if (isCurrent && this.#grantFirstEventAt === 0) {
      this.#grantFirstEventAt = monotonicNow();
      this.#firstEventMs ??= Math.round(this.#env.now() - this.#req.arrivedAt);
      this.#current = { service: service.name, grant, phase: Phase.Decode };
      this.#env.crashes.recordBegin(service.name, this.#suspectParts);
      this.#recordVersion(grant);
      this.#env.dispatch.started(service.name, grant, {
        cachedTokens: 0,
        transferMs: this.#grantFirstEventAt - update.prefillEndAt,
      });
    }
    this.#eventCount += update.count;
    this.#lastEventId = update.lastId ?? this.#lastEventId;
  }

  /** Records the version that writes the stream, unless the server has changed meanwhile. */
  #recordVersion({ decode, decodeVersion }: Grant): void {
    const version = this.#grantedServers.get(decode)?.softwareVersion ??
      decodeVersion;
    if (version === undefined) return;
    if (decodeVersion !== undefined && decodeVersion !== version) return;
    this.#softwareVersion = version;
    const streamId = this.#streamId || this.#req.requestId;
    this.#env.streams.recordRelayed(this.#req.service.name, streamId, {
      version,
      serverId: decode,
    });
  }

  #finish(status: number, reason: string): CallOutcome {
    return {
      status,
      reason,
      servers: this.#usedServers,
      prefillMs: this.#prefillMs,
      firstEventMs: this.#firstEventMs,
      events: this.#eventCount,
    };
  }
}

function parseAddress(
  id: string,
  address: string | undefined,
): CallableServer | undefined {
  const match = /^([^:]+):(\d+)$/.exec(address ?? "");
  if (match === null) return undefined;
  return { id, host: match[1]!, port: Number(match[2]) };
}

/** The outcome of a grant whose server is draining or removed. */
function failLeaving(stage: string, server: string): FailedGrant {
  return failNotRun(`${stage} server left`, server, ServerFailure.Down);
}
