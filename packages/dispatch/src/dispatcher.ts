/**
 * Queueing, admission control and placement for one model service in one cell. All state
 * is soft: a new dispatcher rebuilds it from the running grants that entry VMs report.
 * @module
 */
import { type Clock, monotonicNow, Priority } from "@bitternfall/types";
import { CrashEvidence } from "./crash_evidence.ts";
import {
  addWork,
  createWork,
  FairQueue,
  type QueuedWork,
  toWork,
} from "./fair_queue.ts";
import {
  getAttemptKey,
  GrantLedger,
  type ReleaseInfo,
} from "./grant_ledger.ts";
import {
  type AcquireRequest,
  type AttemptId,
  type Decision,
  type EngineLoad,
  type Grant,
  type GrantState,
  type Phase,
  type Placement,
  RefusalReason,
  type ServiceConfig,
} from "./model.ts";
import { LoadProfile, type ObservedLoad } from "./load_profile.ts";
import {
  createPolicy,
  hasRequiredVersion,
  type PlacementPolicy,
  PolicyName,
  type PolicyView,
} from "./policy.ts";
import { PredictionError } from "./prediction_error.ts";
import {
  type PoolPressure,
  type QueueSummary,
  summarizeServers,
} from "./queue_summary.ts";
import { RANK_COUNT } from "./rank_shares.ts";
import { type RetryTokenClock, RetryTokenPool } from "./retry_token_pool.ts";
import type { TokenBatch } from "./retry_tokens.ts";
import { ServerRateLimits } from "./server_rate_limits.ts";
import { RetryAfterScheduler } from "./retry_after_scheduler.ts";
import { ReturningCallerDetector } from "./returning_caller_detector.ts";
import { isUsable, type ServerFailure } from "./server_health.ts";
import { StreamVersions } from "./stream_versions.ts";
import { ServerPools } from "./server_pools.ts";
import { forecastFirstOutput, WaitForecast } from "./wait_forecast.ts";
import { WorkspaceCounts } from "./workspace_counts.ts";

/** Starts a timer and returns a function that cancels it. */
export type Scheduler = (ms: number, run: () => void) => () => void;

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly service: string;
  readonly config: ServiceConfig;
  readonly policy?: PolicyName;
  readonly now?: Clock;
  readonly wallClock?: Clock;
  readonly random?: () => number;
  readonly schedule?: Scheduler;
  /** Evidence on the service's prompts, which the caller shares with other VMs. */
  readonly crashes?: CrashEvidence;
  /** Versions that began the service's streams, which the caller shares with other VMs. */
  readonly streams?: StreamVersions;
}

interface QueuedRequest {
  readonly req: AcquireRequest;
  readonly workspace: string;
  readonly account: string | undefined;
  readonly rank: number;
  readonly priority: number;
  readonly cost: number;
  readonly promptTokens: number;
  readonly heldTokens: number;
  readonly queuedAt: number;
  /** Predicted time from its grant to its first output when it was queued. */
  readonly firstOutputMs: number;
  /** Cost granted to more urgent ranks when it was queued. */
  readonly costAboveAtStart: number;
  /** Resolves the promise that {@link Dispatcher.acquire} returned. */
  resolve: (decision: Decision) => void;
}

/** Cost that a workspace may spend per round of the fair queue. */
const FAIR_QUEUE_QUANTUM = 4000;
/** Cost of an output token relative to a prefilled token. */
const OUTPUT_TOKEN_COST = 20;
/** Retry-after while no server takes work. */
const NO_SERVER_RETRY_MS = 1000;
/** Queued requests that one backfill pass tries; bounds the time of a decision. */
const MAX_BACKFILL_CANDIDATES = 24;
/** Longest interval between checks for expired requests while the queue is not empty. */
const EXPIRY_SWEEP_MS = 50;
const MIN_RETRY_AFTER_MS = 200;
/**
 * Largest factor by which first arrivals are expected to delay batch requests, because a
 * burst of them is over before a long wait is.
 */
const MAX_BATCH_WAIT_FACTOR = 2;
/** A returning caller with less time than this until its deadline counts as late. */
const MIN_FIRST_OUTPUT_MS = 250;

/** Requests of one rank are treated as before this long after the last of another. */
const RANKS_IN_USE_MS = 10_000;

/** Admits, queues and places the requests of one service. */
export class Dispatcher {
  readonly service: string;
  readonly #now: Clock;
  readonly #schedule: Scheduler;
  readonly #policy: PlacementPolicy;
  readonly #queue = new FairQueue<QueuedRequest>({
    quantum: FAIR_QUEUE_QUANTUM,
  });
  readonly #pools = new ServerPools();
  readonly #workspaces = new WorkspaceCounts();
  readonly #predictionErrors = new PredictionError();
  readonly #retryAfterScheduler = new RetryAfterScheduler();
  /** By rank, since refusals of a less urgent rank say nothing of more urgent callers. */
  readonly #returningCallers: ReturningCallerDetector[] = [];
  /** Cost granted so far by rank. */
  readonly #grantedCosts: number[] = new Array(RANK_COUNT).fill(0);
  readonly #load = new LoadProfile();
  readonly #grants = new GrantLedger({
    load: this.#load,
    pools: this.#pools,
    workspaces: this.#workspaces,
    predictionErrors: this.#predictionErrors,
  });
  readonly #queuedByAttempt = new Map<string, QueuedRequest>();
  readonly #retryTokens: RetryTokenPool;
  readonly #rateLimits: ServerRateLimits;
  readonly #crashes: CrashEvidence;
  readonly #streams: StreamVersions;
  #config: ServiceConfig;
  #cancelWake: (() => void) | undefined;
  #wakeAt = Infinity;
  #lowerRankSeenAt = -Infinity;
  #closed = false;

  constructor(options: DispatcherOptions) {
    const {
      service,
      config,
      policy = PolicyName.Joint,
      now = monotonicNow,
    } = options;
    this.service = service;
    this.#now = now;
    this.#retryTokens = new RetryTokenPool({
      now,
      wallClock: options.wallClock,
    });
    this.#rateLimits = new ServerRateLimits({ now });
    this.#crashes = options.crashes ?? new CrashEvidence();
    this.#streams = options.streams ?? new StreamVersions({ now });
    this.#schedule = options.schedule ?? scheduleTimer;
    this.#policy = createPolicy(policy, options.random ?? Math.random);
    this.#config = config;
    this.configure(config);
  }

  /** Applies a changed configuration; running grants stay. */
  configure(config: ServiceConfig): void {
    this.#config = config;
    this.#pools.configure(config);
    this.#dispatchQueued();
  }

  /** Sets the requests a second that a server takes, or that it has no limit. */
  setServerLimit(
    serverId: string,
    requestsPerSecond: number | undefined,
  ): void {
    this.#rateLimits.set(serverId, requestsPerSecond);
    this.#applyServerLimit(serverId);
    this.#dispatchQueued();
  }

  /** Adds retry tokens of this VM. */
  addRetryTokens(batches: Iterable<TokenBatch>): void {
    this.#retryTokens.add(batches);
  }

  /** Reads the clock by which {@link receiveRetryTokens} expects tokens to expire. */
  readRetryTokenClock(): RetryTokenClock {
    return this.#retryTokens.readClock();
  }

  /** Receives retry tokens from another VM, which has read the clock of this pool. */
  receiveRetryTokens(poolId: number, batches: Iterable<TokenBatch>): void {
    this.#retryTokens.receive(poolId, batches);
  }

  /** Gives up all retry tokens, for the next dispatcher. */
  takeRetryTokens(): TokenBatch[] {
    return this.#retryTokens.takeAll();
  }

  /** Retry tokens that are left. */
  get retryTokens(): number {
    return this.#retryTokens.getCount();
  }

  /**
   * Requests servers; resolves once they are granted or the request is refused.
   * Idempotent: a repeated call for an attempt keeps its grant or its place in the queue,
   * and the earlier call resolves as moved.
   */
  acquire(receivedReq: AcquireRequest): Promise<Decision> {
    const key = getAttemptKey(receivedReq);
    const granted = this.#grants.find(receivedReq);
    if (granted !== undefined) {
      return Promise.resolve({ kind: "grant", grant: granted });
    }
    const waiting = this.#queuedByAttempt.get(key);
    if (waiting !== undefined) {
      waiting.resolve(refuse(RefusalReason.Moved, 0));
      return new Promise((resolve) => waiting.resolve = resolve);
    }
    if (this.#closed) return Promise.resolve(refuse(RefusalReason.Moved, 0));
    if (this.#crashes.blocks(receivedReq.parts ?? [])) {
      return Promise.resolve(refuse(RefusalReason.Blocked, 0));
    }
    if (getRank(receivedReq) > 0) this.#lowerRankSeenAt = this.#now();
    const req = this.#adjustDeadline(receivedReq);
    const refusal = this.#refuseForVersion(req) ??
      this.#refuseOnArrival(req) ?? this.#refuseUnpaid(req);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const cost = this.#getCost(req);
      const { workspace, account, priority } = req;
      const waiter: QueuedRequest = {
        req,
        workspace,
        account,
        rank: getRank(req),
        priority,
        cost,
        promptTokens: req.promptTokens,
        heldTokens: req.heldTokens ?? 0,
        queuedAt: this.#now(),
        firstOutputMs: this.#forecastFirstOutputMs(req),
        costAboveAtStart: this.#sumCostAbove(getRank(req)),
        resolve,
      };
      this.#queuedByAttempt.set(key, waiter);
      this.#workspaces.add(workspace, 1);
      this.#queue.push(waiter);
      this.#dispatchQueued();
    });
  }

  /** Refuses a request that can't go on at the version which began its stream. */
  #refuseForVersion(req: AcquireRequest): Decision | undefined {
    const { softwareVersion, resumedStreamId } = req;
    if (softwareVersion === undefined) {
      return resumedStreamId === undefined
        ? undefined
        : refuse(RefusalReason.VersionUnknown, 0);
    }
    for (const server of this.#pools.decodes.servers.values()) {
      if (hasRequiredVersion(server, req)) return undefined;
    }
    return refuse(RefusalReason.VersionGone, NO_SERVER_RETRY_MS);
  }

  /**
   * Shortens the deadline of a returning caller by the time that it has already waited.
   * Where that leaves too little time, or a prompt is too long to be on time even without
   * queueing, the request gets the relaxed deadline instead and, unless it is a retry after
   * a failure or takes up a stream, batch priority.
   */
  #adjustDeadline(req: AcquireRequest): AcquireRequest {
    const { patience, workspace, priority } = req;
    if (patience === undefined) return req;
    const now = this.#now();
    // The gateway, whose callers state their patience, uses the route as the workspace.
    const rank = getRank(req);
    const waitedMs = this.#getReturningCallers(rank).getWaitedMs(workspace, {
      patienceMs: patience.remainingMs,
      now,
    });
    if (waitedMs === 0 && req.attempt === 1) {
      this.#retryAfterScheduler.recordFirstArrival({
        work: req.heldTokens ?? 0,
        now,
        rank,
      });
    }
    const deadline = req.deadline - waitedMs;
    const neededMs = Math.max(
      MIN_FIRST_OUTPUT_MS,
      waitedMs === 0 ? this.#forecastFirstOutputMs(req) : 0,
    );
    if (deadline - now >= neededMs) return { ...req, deadline };
    // What has begun keeps its priority: the work already done would otherwise be wasted.
    const hasBegun = req.attempt > 1 || req.resumedStreamId !== undefined;
    return {
      ...req,
      deadline: patience.relaxedDeadline,
      priority: hasBegun ? priority : Priority.Batch,
    };
  }

  /** Removes a queued request whose caller disconnected. */
  withdraw(id: AttemptId): void {
    this.#resolveQueued(getAttemptKey(id), refuse(RefusalReason.Withdrawn, 0));
  }

  /** Refuses queued requests whose prompts are blocked; call after a new verdict. */
  refuseBlocked(): void {
    for (const [key, { req }] of [...this.#queuedByAttempt]) {
      if (!this.#crashes.blocks(req.parts ?? [])) continue;
      this.#resolveQueued(key, refuse(RefusalReason.Blocked, 0));
    }
    this.#dispatchQueued();
  }

  /** Records the end of a grant's prefill, reported before its first output. */
  prefilled(id: AttemptId): void {
    const grant = this.findGrant(id);
    if (grant === undefined) return;
    this.#grants.prefilled(grant, this.#now());
    this.#dispatchQueued();
  }

  /** Records the first output of a grant, which ends its prefill and KV cache transfer. */
  started(
    id: AttemptId,
    result: { cachedTokens: number; transferMs: number },
  ): void {
    const grant = this.findGrant(id);
    if (grant === undefined) return;
    this.#grants.started(grant, { ...result, now: this.#now() });
    this.#crashes.recordBegin(grant.parts ?? []);
    this.#recordVersion(grant);
    this.#dispatchQueued();
  }

  /** Records which version writes a grant's stream, unless its server has changed since. */
  #recordVersion({ streamId, decode, decodeVersion }: GrantState): void {
    // A server that leaves is no longer in the pool.
    const server = this.#pools.decodes.servers.get(decode);
    const version = server?.softwareVersion ?? decodeVersion;
    if (version === undefined) return;
    if (decodeVersion !== undefined && decodeVersion !== version) return;
    this.#streams.record(streamId, { version, serverId: decode });
  }

  /** Ends a grant, frees what it reserved and updates the estimates from its result. */
  release(id: AttemptId, info: ReleaseInfo): void {
    const grant = this.findGrant(id);
    if (grant === undefined) return;
    this.#grants.release(grant, { ...info, now: this.#now() });
    if (info.outputTokens > 0) this.#recordVersion(grant);
    this.#dispatchQueued();
  }

  /** Adopts a grant of an earlier dispatcher, as reported by its entry VM. */
  adopt(grant: Grant & { phase: Phase }): void {
    this.#grants.adopt(grant, this.#now());
  }

  /**
   * Drops all queued requests and grants of a dead entry VM; returns the grants so that
   * they can be cancelled.
   */
  dropOwner(vmId: string): Grant[] {
    const dropped = this.#grants.listByOwner(vmId);
    for (const grant of dropped) this.#grants.remove(grant, this.#now());
    for (const [key, waiter] of this.#queuedByAttempt) {
      if (waiter.req.owner === vmId) {
        // If its VM lives after all, it asks again.
        this.#resolveQueued(key, refuse(RefusalReason.Moved, 0));
      }
    }
    this.#dispatchQueued();
    return dropped;
  }

  /** Drops one grant whose owner no longer claims it. */
  drop(id: AttemptId): void {
    const grant = this.findGrant(id);
    if (grant === undefined) return;
    this.#grants.remove(grant, this.#now());
    this.#dispatchQueued();
  }

  /** Applies a load report of a server. */
  setReport(serverId: string, load: EngineLoad): void {
    this.#pools.setReport(serverId, { ...load, now: this.#now() });
  }

  /** Sets whether a server is leaving; a leaving server gets no new work. */
  setLeaving(serverId: string, leaving: boolean): void {
    if (this.#pools.setLeaving(serverId, leaving)) this.#dispatchQueued();
  }

  /** Records that a server failed a request. */
  recordFailure(serverId: string, kind: ServerFailure): void {
    this.#pools.recordFailure(serverId, { kind, now: this.#now() });
  }

  /** Samples the utilization of both pools and lets estimates recover; call periodically. */
  samplePressure(): void {
    this.#pools.samplePressure(this.#now());
  }

  /** Smoothed utilization of both pools. */
  get pressure(): PoolPressure {
    return this.#pools.pressure;
  }

  /** Recent load with the measured prefill rate; undefined until enough runs have ended. */
  get observedLoad():
    | ObservedLoad & { prefillTokensPerMs: number }
    | undefined {
    const observed = this.#load.getObserved(this.#now());
    if (observed === undefined) return undefined;
    const { meanTokensPerMs } = this.#pools.prefills;
    return { ...observed, prefillTokensPerMs: meanTokensPerMs };
  }

  /** Whether this dispatcher has granted or adopted runs. */
  get hasServed(): boolean {
    return this.#load.hasGrants || this.#grants.size > 0;
  }

  /** All running grants. */
  listGrants(): Iterable<GrantState> {
    return this.#grants.list();
  }

  findGrant(id: AttemptId): GrantState | undefined {
    return this.#grants.find(id);
  }

  /** Number of queued requests. */
  get queued(): number {
    return this.#queue.size;
  }

  /** Number of running grants. */
  get granted(): number {
    return this.#grants.size;
  }

  /** Free slots of all decode servers. */
  getFreeSlots(): number {
    return this.#pools.getFreeSlots(this.#now());
  }

  /** Predicted queueing delay of a new request, in milliseconds. */
  predictWait(
    req:
      & Pick<AcquireRequest, "workspace" | "priority">
      & Partial<AcquireRequest>,
  ): number {
    return this.#createForecast().getWaitMs(req, this.#sumAhead(req));
  }

  /** Predicted queueing delay if no request of a more urgent rank were queued. */
  predictWaitInRank(req: AcquireRequest): number {
    const ahead = this.#sumAhead(req, { ignoresMoreUrgent: true });
    return this.#createForecast().getWaitMs(req, ahead);
  }

  /** Number of queued requests of more urgent ranks. */
  countMoreUrgent(req: AcquireRequest): number {
    return this.#queue.sumMoreUrgent(getRank(req), Infinity).requests;
  }

  #createForecast(): WaitForecast {
    return new WaitForecast(this.#pools, {
      now: this.#now(),
      canPrefillOnDecode: this.#config.canPrefillOnDecode === true,
    });
  }

  /** Predicted queueing delay, for batch requests with the first arrivals to come. */
  #predictOwnWait(req: AcquireRequest): number {
    const wait = this.predictWait(req);
    if (req.priority !== Priority.Batch) return wait;
    const now = this.#now();
    const capacity = this.#pools.decodes.getMemoryReleaseRate(now);
    const spareShare = this.#retryAfterScheduler.getSpareShare({
      now,
      capacity,
      rank: getRank(req),
    });
    return wait * Math.min(MAX_BATCH_WAIT_FACTOR, 1 / spareShare);
  }

  #sumAhead(
    req:
      & Pick<AcquireRequest, "workspace" | "priority">
      & Partial<AcquireRequest>,
    options?: { ignoresMoreUrgent: boolean },
  ): QueuedWork {
    const { workspace, account, priority } = req;
    const rank = getRank(req);
    const cost = rank === 0 ? 0 : this.#getCost(req);
    const entry = { workspace, account, rank, priority, cost };
    return this.#queue.sumAhead(entry, options);
  }

  /** State for operators. */
  summarize(): QueueSummary {
    const now = this.#now();
    const queued = new Map<string, number>();
    for (const { workspace } of this.#queue) {
      queued.set(workspace, (queued.get(workspace) ?? 0) + 1);
    }
    const workspaces = [...this.#workspaces].map(([workspace, total]) => ({
      workspace,
      queued: queued.get(workspace) ?? 0,
      granted: total - (queued.get(workspace) ?? 0),
    }));
    const wait = this.predictWait({ workspace: "", priority: 1 });
    return {
      service: this.service,
      queued: this.#queue.size,
      granted: this.#grants.size,
      freeSlots: this.getFreeSlots(),
      queueDelayMs: Number.isFinite(wait) ? Math.round(wait) : -1,
      pressure: this.pressure,
      workspaces,
      servers: summarizeServers(
        this.#pools.prefills,
        this.#pools.decodes,
        now,
      ),
    };
  }

  /** Stops dispatching; queued requests are refused so that they go to the new dispatcher. */
  close(): void {
    this.#closed = true;
    this.#cancelWake?.();
    for (const key of [...this.#queuedByAttempt.keys()]) {
      this.#resolveQueued(key, refuse(RefusalReason.Moved, 0));
    }
  }

  /** Cost of a request in the fair queue. */
  #getCost(
    req: Pick<AcquireRequest, "workspace"> & Partial<AcquireRequest>,
  ): number {
    const { promptTokens = 0, heldTokens = 0, workspace, maxTokens = 0 } = req;
    const output = heldTokens - promptTokens;
    // Memory is the bottleneck here: mean tokens held, times output tokens as duration.
    if (output > 0) return (promptTokens + output / 2) * output;
    return promptTokens +
      OUTPUT_TOKEN_COST *
        this.#pools.decodes.getExpectedLength(workspace, maxTokens);
  }

  /**
   * Admission control: refuses a request if its service has no servers, its workspace has
   * too many requests in flight, or its first output is predicted to be late.
   */
  #refuseOnArrival(req: AcquireRequest): Decision | undefined {
    if (!this.#policy.hasAdmissionControl) return undefined;
    const { prefills, decodes } = this.#pools;
    const hasPrefill = prefills.servers.size > 0 ||
      this.#config.canPrefillOnDecode === true;
    if (!hasPrefill || decodes.servers.size === 0) {
      return refuse(RefusalReason.NoServers, MIN_RETRY_AFTER_MS);
    }
    const wait = this.#predictOwnWait(req);
    if (
      this.#workspaces.get(req.workspace) >=
        this.#config.perWorkspaceInFlight
    ) {
      return refuse(
        RefusalReason.WorkspaceLimit,
        Math.max(MIN_RETRY_AFTER_MS, decodes.meanHoldMs),
      );
    }
    if (!Number.isFinite(wait)) return undefined;
    const predictedMs = this.#forecastFirstOutputMs(req);
    const latestWaitMs = req.deadline - this.#now() - predictedMs;
    if (wait <= latestWaitMs) return undefined;
    const isForUrgent = getRank(req) > 0 &&
      this.predictWaitInRank(req) <= latestWaitMs;
    return refuse(
      isForUrgent ? RefusalReason.Priority : RefusalReason.Late,
      this.#scheduleRetryAfterMs(req, wait),
    );
  }

  /** Charges a retry, or refuses it if there are too few retry tokens. */
  #refuseUnpaid({ retriedCalls = 0 }: AcquireRequest): Decision | undefined {
    if (this.#config.hasRetryBudget !== true) return undefined;
    return this.#retryTokens.tryTake(retriedCalls)
      ? undefined
      : refuse(RefusalReason.RetryBudget, MIN_RETRY_AFTER_MS);
  }

  /** Predicted time from grant to first output, without queueing. */
  #forecastFirstOutputMs(req: AcquireRequest): number {
    return forecastFirstOutput(this.#pools, req, this.#predictionErrors);
  }

  /** Grants queued requests that fit now and schedules the next attempt for the others. */
  #dispatchQueued(): void {
    if (this.#closed) return;
    const now = this.#now();
    let wakeAt = Infinity;
    for (
      let waiter = this.#queue.peek();
      waiter !== undefined;
      waiter = this.#queue.peek()
    ) {
      if (
        this.#policy.hasAdmissionControl &&
        now + this.#forecastFirstOutputMs(waiter.req) > waiter.req.deadline
      ) {
        this.#refuseLate(waiter);
        continue;
      }
      const versionRefusal = this.#refuseForVersion(waiter.req);
      if (versionRefusal !== undefined) {
        this.#resolveQueued(getAttemptKey(waiter.req), versionRefusal);
        continue;
      }
      const choice = this.#policy.choose(
        waiter.req,
        this.#createPolicyView(now, waiter),
      );
      if (
        choice.kind === "place" && this.#wouldBeLate(waiter, choice.placement)
      ) {
        this.#refuseLate(waiter);
        continue;
      }
      if (choice.kind === "place") {
        this.#grant(waiter, choice.placement);
        continue;
      }
      wakeAt = choice.kind === "wait"
        ? choice.until
        : now + NO_SERVER_RETRY_MS / 4;
      if (choice.kind === "wait" && choice.maySmallerFit) {
        this.#backfill(now, waiter);
      }
      break;
    }
    if (this.#queue.size > 0) {
      this.#scheduleWake(
        Math.max(now + 1, Math.min(wakeAt, now + EXPIRY_SWEEP_MS)),
      );
    }
  }

  /**
   * Backfills: grants queued requests that fit while the one at the head does not.
   * When long prompts are queued among short ones and memory is nearly full, a long prompt
   * at the head waits until one server has enough free memory. Without backfilling, the
   * smaller free memory of all other servers would stay unused during that time. Less
   * urgent requests leave the server out that will probably take the one at the head.
   */
  #backfill(now: number, head: QueuedRequest): void {
    if (this.#config.memoryTokens === undefined) return;
    const reserved = this.#findEmptiest(now, head);
    for (const waiter of this.#listBackfillCandidates()) {
      const { req } = waiter;
      const isLessUrgent = waiter.rank > head.rank && reserved !== undefined;
      const choice = this.#policy.choose(
        isLessUrgent ? { ...req, avoid: [...req.avoid, reserved] } : req,
        this.#createPolicyView(now, waiter),
      );
      if (choice.kind !== "place") {
        if (choice.kind === "wait" && choice.maySmallerFit) continue;
        return;
      }
      if (!this.#wouldBeLate(waiter, choice.placement)) {
        this.#grant(waiter, choice.placement);
      }
    }
  }

  /** Decode server with the largest share of memory free, of those that may take `head`. */
  #findEmptiest(now: number, { req }: QueuedRequest): string | undefined {
    const { decodes } = this.#pools;
    let best: string | undefined;
    let lowestShare = Infinity;
    for (const server of decodes.servers.values()) {
      if (!isUsable(server, now) || req.avoid.includes(server.id)) continue;
      const share = decodes.getMemoryShare(server, 0);
      if (share >= lowestShare) continue;
      lowestShare = share;
      best = server.id;
    }
    return best;
  }

  /** The first queued requests; grants change the queue, so it is read before. */
  #listBackfillCandidates(): QueuedRequest[] {
    const candidates: QueuedRequest[] = [];
    for (const waiter of this.#queue) {
      if (candidates.length >= MAX_BACKFILL_CANDIDATES) break;
      candidates.push(waiter);
    }
    return candidates;
  }

  /** Whether a placement would probably miss the request's deadline. */
  #wouldBeLate(waiter: QueuedRequest, placement: Placement): boolean {
    if (!this.#policy.hasAdmissionControl) return false;
    return placement.firstOutputAt + this.#predictionErrors.marginMs >
      waiter.req.deadline;
  }

  /** Runs the queue again at `at` or earlier. */
  #scheduleWake(at: number): void {
    if (at >= this.#wakeAt) return;
    this.#cancelWake?.();
    this.#wakeAt = at;
    this.#cancelWake = this.#schedule(Math.max(1, at - this.#now()), () => {
      this.#wakeAt = Infinity;
      this.#refuseExpired();
      this.#refuseOvertaken();
      this.#dispatchQueued();
    });
  }

  /**
   * Refuses queued requests that will be late because more urgent ones are served first, so
   * that their callers know at once.
   */
  #refuseOvertaken(): void {
    const now = this.#now();
    if (!this.#policy.hasAdmissionControl) return;
    if (now - this.#lowerRankSeenAt > RANKS_IN_USE_MS) return;
    const forecast = this.#createForecast();
    for (let rank = 1; rank < RANK_COUNT; rank++) {
      const ahead = createWork();
      for (const waiter of [...this.#queue.listRank(rank)]) {
        const { req, firstOutputMs } = waiter;
        const latestWaitMs = req.deadline - now - firstOutputMs;
        const total = this.#queue.sumMoreUrgent(rank, ahead.cost + waiter.cost);
        addWork(total, ahead);
        const wait = forecast.getWaitMs(req, total);
        const isOvertaken = wait > latestWaitMs && Number.isFinite(wait) &&
          (this.#wasOvertaken(waiter) ||
            forecast.getWaitMs(req, ahead) <= latestWaitMs);
        if (isOvertaken) this.#refuseLate(waiter, RefusalReason.Priority);
        else addWork(ahead, toWork(waiter));
      }
    }
  }

  /** Whether more urgent requests were granted what a queued one needs since it came. */
  #wasOvertaken({ rank, cost, costAboveAtStart }: QueuedRequest): boolean {
    return this.#sumCostAbove(rank) - costAboveAtStart >= cost;
  }

  /** Cost granted so far to ranks that are more urgent than `rank`. */
  #sumCostAbove(rank: number): number {
    let cost = 0;
    for (let above = 0; above < rank; above++) {
      cost += this.#grantedCosts[above]!;
    }
    return cost;
  }

  /** Refuses queued requests whose deadline has passed, at any position. */
  #refuseExpired(): void {
    if (!this.#policy.hasAdmissionControl) return;
    const now = this.#now();
    const expired = [...this.#queue].filter((waiter) =>
      now >= waiter.req.deadline
    );
    for (const waiter of expired) this.#refuseLate(waiter);
  }

  #refuseLate(
    waiter: QueuedRequest,
    reason = this.#wasOvertaken(waiter) && waiter.rank > 0
      ? RefusalReason.Priority
      : RefusalReason.Late,
  ): void {
    const wait = this.predictWait(waiter.req);
    const retryAfterMs = Number.isFinite(wait)
      ? this.#scheduleRetryAfterMs(waiter.req, wait)
      : NO_SERVER_RETRY_MS;
    this.#resolveQueued(
      getAttemptKey(waiter.req),
      refuse(reason, retryAfterMs),
    );
  }

  /** Retry-after of a refused caller, in milliseconds. */
  #scheduleRetryAfterMs(req: AcquireRequest, waitMs: number): number {
    const now = this.#now();
    const rank = getRank(req);
    this.#getReturningCallers(rank).recordRefusal(now);
    const capacity = this.#pools.decodes.getMemoryReleaseRate(now);
    return this.#retryAfterScheduler.schedule(
      {
        waitMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
        work: req.heldTokens ?? 0,
        rank,
        account: req.account,
      },
      { now, capacity },
    );
  }

  #getReturningCallers(rank: number): ReturningCallerDetector {
    return this.#returningCallers[rank] ??= new ReturningCallerDetector();
  }

  #createPolicyView(now: number, { rank }: QueuedRequest): PolicyView {
    const { goodput, wastedPrefill } = this.#config.weights;
    const overbookingShare = goodput === 0
      ? 0
      : goodput / (goodput + wastedPrefill);
    return {
      prefills: this.#pools.prefills,
      decodes: this.#pools.decodes,
      prefixes: this.#pools.prefixes,
      now,
      overbookingShare,
      canPrefillOnDecode: this.#config.canPrefillOnDecode === true,
      mayUseReserve: rank === 0 &&
        now - this.#lowerRankSeenAt <= RANKS_IN_USE_MS,
    };
  }

  #grant(waiter: QueuedRequest, placement: Placement): void {
    const { req } = waiter;
    this.#queue.take(waiter);
    this.#grantedCosts[waiter.rank]! += waiter.cost;
    this.#queuedByAttempt.delete(getAttemptKey(req));
    this.#workspaces.add(req.workspace, -1);
    const grant = this.#grants.grant(req, {
      placement,
      servers: this.#config.servers,
      now: this.#now(),
    });
    if (req.prefilledBy === undefined) this.#countCall(placement.prefill);
    this.#countCall(placement.decode);
    waiter.resolve({ kind: "grant", grant });
  }

  /** Counts a call against the limit of its server. */
  #countCall(serverId: string): void {
    this.#rateLimits.take(serverId);
    this.#applyServerLimit(serverId);
  }

  #applyServerLimit(serverId: string): void {
    const server = this.#pools.find(serverId);
    if (server === undefined) return;
    const waitMs = this.#rateLimits.getWaitMs(serverId);
    server.limitedUntil = waitMs === 0 ? 0 : this.#now() + waitMs;
  }

  /** Removes a queued request and resolves it with `decision`. */
  #resolveQueued(key: string, decision: Decision): void {
    const waiter = this.#queuedByAttempt.get(key);
    if (waiter === undefined) return;
    this.#queuedByAttempt.delete(key);
    this.#queue.remove(waiter);
    this.#workspaces.add(waiter.workspace, -1);
    waiter.resolve(decision);
  }
}

/** Rank of a request within the range that the queue knows. */
function getRank({ rank = 0 }: Partial<AcquireRequest>): number {
  return Math.max(0, Math.min(RANK_COUNT - 1, Math.floor(rank)));
}

function refuse(reason: RefusalReason, retryAfterMs: number): Decision {
  return {
    kind: "refusal",
    reason,
    retryAfterMs: Math.max(0, Math.round(retryAfterMs)),
  };
}

function scheduleTimer(ms: number, run: () => void): () => void {
  const timer = setTimeout(run, ms);
  return () => clearTimeout(timer);
}
