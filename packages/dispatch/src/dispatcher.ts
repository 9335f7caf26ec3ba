/**
 * Queue, admission and placement of one model service in one cell. All state is soft:
 * a new dispatcher gets the running grants from their entry VMs.
 * @module
 */
import {
  type Clock,
  monotonicNow,
  Priority,
  ServerRole,
} from "@bitternfall/types";
import { DecodePool, type DecodeServer } from "./decode_pool.ts";
import { FairQueue } from "./fair_queue.ts";
import {
  type AcquireRequest,
  type AttemptId,
  type Decision,
  type EngineLoad,
  type Grant,
  type GrantState,
  NO_PREFILL,
  Phase,
  type Placement,
  RefusalReason,
  type ServiceConfig,
} from "./model.ts";
import {
  createPolicy,
  type PlacementPolicy,
  PolicyName,
  type PolicyView,
} from "./policy.ts";
import { PrefillPool, type PrefillServer } from "./prefill_pool.ts";
import { PredictionError } from "./prediction_error.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { RetryBudget } from "./retry_budget.ts";
import {
  type PoolPressure,
  type QueueSummary,
  summarizeServers,
} from "./queue_summary.ts";
import { ReturnSpread } from "./return_spread.ts";
import { ReturningCallers } from "./returning_callers.ts";
import {
  noteFailure,
  noteSuccess,
  ServerFailure,
  type ServerHealth,
} from "./server_health.ts";

/** Starts a timer and returns how to cancel it. */
export type Scheduler = (ms: number, run: () => void) => () => void;

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly service: string;
  readonly config: ServiceConfig;
  readonly policy?: PolicyName;
  readonly now?: Clock;
  readonly random?: () => number;
  readonly schedule?: Scheduler;
}

interface Waiter {
  readonly req: AcquireRequest;
  readonly workspace: string;
  readonly priority: number;
  readonly cost: number;
  readonly queuedAt: number;
  settle: (decision: Decision) => void;
}

/** What is known when a grant ends. */
export interface ReleaseInfo {
  readonly outputTokens: number;
  /** Mean time between outputs; 0 when unknown. */
  readonly intervalMs: number;
  /** A server that failed the request, if any, and how. */
  readonly failedServer?: string | undefined;
  readonly failure?: ServerFailure | undefined;
}

const PRESSURE_GAIN = 0.06;
const QUANTUM = 4000;
/** Weight of an output token in the cost of a request, in prefilled tokens. */
const OUTPUT_COST = 20;
/** Where no server takes work, this is how soon one may again. */
const NO_SERVER_MS = 1000;
/** Waiting requests that are tried when the first one does not fit; bounds a decision. */
const LOOK_AHEAD = 24;
const SWEEP_MS = 50;
const MIN_RETRY_AFTER_MS = 200;
/** With less time than this to its first output, a returning caller counts as late. */
const LEAST_FIRST_OUTPUT_MS = 250;

/** The dispatcher of one service. */
export class Dispatcher {
  readonly service: string;
  readonly #now: Clock;
  readonly #schedule: Scheduler;
  readonly #policy: PlacementPolicy;
  readonly #queue = new FairQueue<Waiter>({ quantum: QUANTUM });
  readonly #prefills = new PrefillPool();
  readonly #decodes = new DecodePool();
  readonly #prefixes = new PrefixIndex();
  readonly #errors = new PredictionError();
  readonly #returns = new ReturnSpread();
  readonly #returning = new ReturningCallers();
  readonly #grants = new Map<string, GrantState>();
  readonly #waiting = new Map<string, Waiter>();
  #budget: RetryBudget | undefined;
  readonly #perWorkspace = new Map<string, number>();
  #config: ServiceConfig;
  #cancelWake: (() => void) | undefined;
  #wakeAt = Infinity;
  #closed = false;
  readonly #pressure = { prefill: 0, decode: 0 };

  constructor(options: DispatcherOptions) {
    const {
      service,
      config,
      policy = PolicyName.Joint,
      now = monotonicNow,
    } = options;
    this.service = service;
    this.#now = now;
    this.#schedule = options.schedule ?? scheduleTimer;
    this.#policy = createPolicy(policy, options.random ?? Math.random);
    this.#config = config;
    this.configure(config);
  }

  /** Takes a changed record into force; running grants stay. */
  configure(config: ServiceConfig): void {
    this.#config = config;
    this.#prefills.configure({ tokensPerMs: config.prefillTokensPerMs });
    this.#decodes.configure({
      slots: config.decodeSlots,
      targetMs: config.betweenOutputsMs,
      memoryTokens: config.memoryTokens ?? Infinity,
      tokensPerOutput: config.tokensPerOutput ?? 1,
    });
    this.#configureBudget(config);
    const wanted = new Map(config.servers.map((server) => [server.id, server]));
    const known = new Set([
      ...this.#prefills.servers.keys(),
      ...this.#decodes.servers.keys(),
    ]);
    this.#removeOthers(wanted);
    for (const server of wanted.values()) {
      const pool = server.role === ServerRole.Prefill
        ? this.#prefills
        : this.#decodes;
      if (pool.servers.has(server.id)) continue;
      pool.add(server);
      // A server that changes its stage takes no work until it reports that it has.
      if (known.has(server.id) && !config.hasReportedRoles) {
        this.setLeaving(server.id, true);
      }
    }
    this.#pump();
  }

  #configureBudget({ retryBudget }: ServiceConfig): void {
    if (retryBudget === undefined) return void (this.#budget = undefined);
    const { burst } = retryBudget;
    // An earlier dispatcher may just have spent half of it.
    this.#budget ??= new RetryBudget({ ...retryBudget, initial: burst / 2 });
    this.#budget.configure(retryBudget);
  }

  /**
   * Asks for servers; resolves once they are granted or the request is refused. The same
   * attempt may be asked for again: it keeps its grant or its place in the queue.
   */
  acquire(asked: AcquireRequest): Promise<Decision> {
    const key = getAttemptKey(asked);
    const granted = this.#grants.get(key);
    if (granted !== undefined) {
      return Promise.resolve({ kind: "grant", grant: granted });
    }
    const waiting = this.#waiting.get(key);
    if (waiting !== undefined) {
      waiting.settle(refuse(RefusalReason.Withdrawn, 0));
      return new Promise((settle) => waiting.settle = settle);
    }
    if (this.#closed) return Promise.resolve(refuse(RefusalReason.Moved, 0));
    if (asked.attempt === 1) this.#budget?.onRequest();
    else if (this.#budget?.tryTake(asked.repeats ?? 1) === false) {
      return Promise.resolve(
        refuse(RefusalReason.RetryBudget, MIN_RETRY_AFTER_MS),
      );
    }
    const req = this.#placeInTime(asked);
    const refusal = this.#refuseEarly(req);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((settle) => {
      const cost = this.#getCost(req);
      const { workspace, priority } = req;
      const waiter: Waiter = {
        req,
        workspace,
        priority,
        cost,
        queuedAt: this.#now(),
        settle,
      };
      this.#waiting.set(key, waiter);
      this.#addWorkspace(workspace, 1);
      this.#queue.push(waiter);
      this.#pump();
    });
  }

  /** A caller that comes back has less time until its first output, or is late already. */
  #placeInTime(req: AcquireRequest): AcquireRequest {
    const { patience, workspace, priority } = req;
    if (patience === undefined) return req;
    const now = this.#now();
    const waitedMs = this.#returning.getWaitedMs(workspace, {
      patienceMs: patience.leftMs,
      now,
    });
    if (waitedMs === 0 && req.attempt === 1) {
      this.#returns.noteArrival({ work: req.heldTokens ?? 0, now });
    }
    const deadline = req.deadline - waitedMs;
    if (deadline - now >= LEAST_FIRST_OUTPUT_MS) return { ...req, deadline };
    // Work that has begun goes on first: its prefill would otherwise be wasted.
    const isBegun = req.attempt > 1;
    return {
      ...req,
      deadline: patience.lateDeadline,
      priority: isBegun ? priority : Priority.Batch,
    };
  }

  /** The caller of a queued request has gone. */
  withdraw(id: AttemptId): void {
    this.#settle(getAttemptKey(id), refuse(RefusalReason.Withdrawn, 0));
  }

  /** The prefill of a grant is over, before its first output is seen. */
  prefilled(id: AttemptId): void {
    const grant = this.findGrant(id);
    if (grant === undefined || grant.isPrefilled) return;
    const endAt = this.#now();
    this.#endPrefill(grant, { endAt, processed: grant.uncachedTokens });
    this.#noteServed(this.#prefills.servers.get(grant.prefill));
    this.#pump();
  }

  /** The first output of a grant was seen, so both its prefill and its transfer are over. */
  started(
    id: AttemptId,
    result: { cachedTokens: number; transferMs: number },
  ): void {
    const grant = this.findGrant(id);
    if (grant === undefined || grant.phase === Phase.Decode) return;
    const now = this.#now();
    const { cachedTokens, transferMs } = result;
    const endAt = now - transferMs;
    const processed = Math.max(0, grant.promptTokens - cachedTokens);
    this.#endPrefill(grant, { endAt, processed });
    this.#errors.add(now - grant.firstOutputAt);
    if (grant.prefill !== NO_PREFILL) {
      this.#learnTransfer(grant, { now, transferMs });
    }
    grant.phase = Phase.Decode;
    grant.decodeStartedAt = now;
    const decode = this.#decodes.servers.get(grant.decode);
    if (decode !== undefined) this.#decodes.noteCount(decode, now);
    this.#noteServed(decode);
    grant.batchAtStart = decode?.grants.size ?? 0;
    this.#pump();
  }

  #learnTransfer(
    grant: GrantState,
    { now, transferMs }: { now: number; transferMs: number },
  ): void {
    this.#prefills.learnTransfer({
      tokens: grant.promptTokens,
      ms: Math.max(0, transferMs - this.#decodes.intervalMs),
      sharers: this.#countTransfers(grant.prefill, now),
    });
  }

  /** A grant is over. */
  release(id: AttemptId, info: ReleaseInfo): void {
    const grant = this.findGrant(id);
    if (grant === undefined) return;
    const now = this.#now();
    this.#remove(grant);
    const { failedServer, failure = ServerFailure.Down } = info;
    if (failedServer !== undefined) this.noteFailure(failedServer, failure);
    const decode = this.#decodes.servers.get(grant.decode);
    if (info.outputTokens > 0 && grant.phase === Phase.Decode) {
      this.#decodes.learn(decode, {
        workspace: grant.workspace,
        tokens: info.outputTokens,
        intervalMs: info.intervalMs,
        holdMs: now - grant.grantedAt,
        batch: Math.max(grant.batchAtStart, (decode?.grants.size ?? 0) + 1),
        now,
      });
    }
    this.#pump();
  }

  /** Takes over a grant of an earlier dispatcher, as its entry VM reports it. */
  adopt(grant: Grant & { phase: Phase }): void {
    if (this.findGrant(grant) !== undefined) return;
    const now = this.#now();
    this.#insert({
      ...grant,
      grantedAt: now,
      uncachedTokens: 0,
      hashes: [],
      prefillEndAt: now,
      isPrefilled: false,
      decodeStartedAt: now,
      firstOutputAt: now,
      verifiedAt: now,
      batchAtStart: 0,
    });
  }

  /** Drops everything of an entry VM that died and returns its grants, to be cancelled. */
  dropOwner(vmId: string): Grant[] {
    const dropped = [...this.#grants.values()].filter((grant) =>
      grant.owner === vmId
    );
    for (const grant of dropped) this.#remove(grant);
    for (const [key, waiter] of this.#waiting) {
      if (waiter.req.owner === vmId) {
        this.#settle(key, refuse(RefusalReason.Withdrawn, 0));
      }
    }
    this.#pump();
    return dropped;
  }

  /** Drops one grant whose owner no longer claims it. */
  drop(id: AttemptId): void {
    const grant = this.findGrant(id);
    if (grant === undefined) return;
    this.#remove(grant);
    this.#pump();
  }

  /** Takes in a load report. */
  setReport(serverId: string, load: EngineLoad): void {
    const now = this.#now();
    const prefill = this.#prefills.servers.get(serverId);
    if (prefill !== undefined) {
      prefill.reported = { running: load.running, waiting: load.waiting };
    }
    const decode = this.#decodes.servers.get(serverId);
    if (decode !== undefined) this.#decodes.setReport(decode, { ...load, now });
  }

  /** A server is leaving, or no longer is. */
  setLeaving(serverId: string, leaving: boolean): void {
    const server = this.#findServer(serverId);
    if (server === undefined || server.leaving === leaving) return;
    server.leaving = leaving;
    this.#pump();
  }

  /** A server failed a request. */
  noteFailure(serverId: string, kind: ServerFailure): void {
    const server = this.#findServer(serverId);
    if (server === undefined) return;
    noteFailure(server, { kind, now: this.#now() });
    // What a server that was down had cached is lost.
    if (kind === ServerFailure.Down) this.#prefixes.forget(serverId);
  }

  #noteServed(server: ServerHealth | undefined): void {
    if (server !== undefined) noteSuccess(server);
  }

  /** Notes how busy both pools are, and lets estimates recover; called at a steady pace. */
  samplePressure(): void {
    const now = this.#now();
    let prefills = 0;
    let busy = 0;
    for (const server of this.#prefills.servers.values()) {
      if (server.leaving) continue;
      prefills++;
      if (server.busyUntil > now) busy++;
    }
    this.#prefills.recover();
    const slots = this.#decodes.getTotalLimit(now);
    const free = this.getFreeSlots();
    this.#pressure.prefill += PRESSURE_GAIN *
      (busy / Math.max(1, prefills) - this.#pressure.prefill);
    this.#pressure.decode += PRESSURE_GAIN *
      (1 - free / Math.max(1, slots) - this.#pressure.decode);
  }

  /** Share of time that prefill servers work and of decode slots that are held. */
  get pressure(): PoolPressure {
    return { ...this.#pressure };
  }

  /** All grants that are held. */
  listGrants(): Iterable<GrantState> {
    return this.#grants.values();
  }

  findGrant(
    id: { requestId: string; attempt: number },
  ): GrantState | undefined {
    return this.#grants.get(getAttemptKey(id));
  }

  /** Requests that wait. */
  get queued(): number {
    return this.#queue.size;
  }

  /** Grants that are held. */
  get granted(): number {
    return this.#grants.size;
  }

  /** Free slots of all decode servers. */
  getFreeSlots(): number {
    const now = this.#now();
    let free = 0;
    for (const server of this.#decodes.servers.values()) {
      if (!server.leaving && server.avoidUntil <= now) {
        free += Math.max(0, this.#decodes.getFree(server));
      }
    }
    return free;
  }

  /** Predicted wait of a new request of a workspace. */
  predictWait(
    options: {
      workspace: string;
      priority: number;
      heldTokens?: number | undefined;
      prefilledBy?: string | undefined;
    },
  ): number {
    const now = this.#now();
    const prefillRate = this.#prefills.getTotalRate(now);
    const slots = this.#decodes.getTotalLimit(now);
    const needsNoPrefill = options.prefilledBy !== undefined ||
      (prefillRate === 0 && this.#config.canDecodeUnread === true);
    if (slots === 0 || (prefillRate === 0 && !needsNoPrefill)) return Infinity;
    let tokens = 0;
    let requests = 0;
    let heldTokens = options.heldTokens ?? 0;
    for (const waiter of this.#queue.listAhead(options)) {
      tokens += waiter.req.promptTokens;
      heldTokens += waiter.req.heldTokens ?? 0;
      requests++;
    }
    let backlogMs = Infinity;
    for (const server of this.#prefills.servers.values()) {
      backlogMs = Math.min(backlogMs, Math.max(0, server.busyUntil - now));
    }
    const prefillMs = needsNoPrefill ? 0 : backlogMs + tokens / prefillRate;
    const short = requests + 1 - this.getFreeSlots();
    const slotMs = short <= 0 ? 0 : short * this.#decodes.holdMs / slots;
    const memoryMs = this.#decodes.predictMemoryWait(heldTokens, now);
    return Math.max(prefillMs, slotMs, memoryMs);
  }

  /** State for operators. */
  summarize(): QueueSummary {
    const now = this.#now();
    const queued = new Map<string, number>();
    for (const { workspace } of this.#queue) {
      queued.set(workspace, (queued.get(workspace) ?? 0) + 1);
    }
    const workspaces = [...this.#perWorkspace].map(([workspace, total]) => ({
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
      servers: summarizeServers(this.#prefills, this.#decodes, now),
    };
  }

  /** Gives the role up: queued requests are told to ask the new dispatcher. */
  close(): void {
    this.#closed = true;
    this.#cancelWake?.();
    for (const key of [...this.#waiting.keys()]) {
      this.#settle(key, refuse(RefusalReason.Moved, 0));
    }
  }

  /** Work that a request brings. */
  #getCost(req: AcquireRequest): number {
    const { promptTokens, heldTokens = 0, workspace, maxTokens } = req;
    const output = heldTokens - promptTokens;
    // Memory is what runs out: what a run holds in the mean, for as long as it lasts.
    if (output > 0) return (promptTokens + output / 2) * output;
    return promptTokens +
      OUTPUT_COST * this.#decodes.getExpectedLength(workspace, maxTokens);
  }

  #refuseEarly(req: AcquireRequest): Decision | undefined {
    if (!this.#policy.admits) return undefined;
    const hasPrefill = this.#prefills.servers.size > 0 ||
      this.#config.canDecodeUnread === true;
    if (!hasPrefill || this.#decodes.servers.size === 0) {
      return refuse(RefusalReason.NoServers, MIN_RETRY_AFTER_MS);
    }
    const wait = this.predictWait(req);
    if (
      (this.#perWorkspace.get(req.workspace) ?? 0) >=
        this.#config.perWorkspaceInFlight
    ) {
      return refuse(
        RefusalReason.WorkspaceLimit,
        Math.max(MIN_RETRY_AFTER_MS, this.#decodes.holdMs),
      );
    }
    if (!Number.isFinite(wait)) return undefined;
    const own = this.#getOwnMs(req);
    if (this.#now() + wait + own <= req.deadline) return undefined;
    return refuse(RefusalReason.Late, this.#getReturnMs(req, wait));
  }

  /** Least time from grant to first output, with the margin that predictions need. */
  #getOwnMs(req: AcquireRequest): number {
    return this.#getPrefillMs(req) +
      this.#prefills.getTransferMs(req.promptTokens + req.outputTokens) +
      this.#decodes.intervalMs + this.#errors.marginMs;
  }

  #getPrefillMs(req: AcquireRequest): number {
    if (req.prefilledBy !== undefined) return 0;
    const cached = this.#prefixes.match(req.hashes);
    const tokens = req.promptTokens + req.outputTokens;
    let best = Infinity;
    for (const server of this.#prefills.servers.values()) {
      const uncached = Math.max(1, tokens - (cached.get(server.id) ?? 0));
      best = Math.min(best, this.#prefills.getPrefillMs(server, uncached));
    }
    return best === Infinity ? this.#prefills.getUnreadMs(tokens) : best;
  }

  /** Grants what can be granted now, and sets a timer for what becomes possible with time. */
  #pump(): void {
    if (this.#closed) return;
    const now = this.#now();
    let wakeAt = Infinity;
    for (
      let waiter = this.#queue.peek();
      waiter !== undefined;
      waiter = this.#queue.peek()
    ) {
      if (
        this.#policy.admits &&
        now + this.#getOwnMs(waiter.req) > waiter.req.deadline
      ) {
        this.#refuseLate(waiter);
        continue;
      }
      const choice = this.#policy.choose(waiter.req, this.#getView(now));
      if (choice.kind === "place" && this.#isLate(waiter, choice.placement)) {
        this.#refuseLate(waiter);
        continue;
      }
      if (choice.kind === "place") {
        this.#grant(waiter, choice.placement);
        continue;
      }
      wakeAt = choice.kind === "wait" ? choice.until : now + NO_SERVER_MS / 4;
      if (choice.kind === "wait" && choice.maySmallerFit) this.#fillGaps(now);
      break;
    }
    if (this.#queue.size > 0) {
      this.#wakeBy(Math.max(now + 1, Math.min(wakeAt, now + SWEEP_MS)));
    }
  }

  /**
   * Grants what fits beside the request whose turn it is. Pattern: long prompts among
   * short ones while memory is nearly full; the long one waits until a whole server's
   * gap is large enough, and the small gaps of all others would stay empty.
   */
  #fillGaps(now: number): void {
    if (this.#config.memoryTokens === undefined) return;
    let looked = 0;
    for (const waiter of [...this.#queue]) {
      if (looked++ >= LOOK_AHEAD) return;
      const choice = this.#policy.choose(waiter.req, this.#getView(now));
      if (choice.kind !== "place") {
        if (choice.kind === "wait" && choice.maySmallerFit) continue;
        return;
      }
      if (!this.#isLate(waiter, choice.placement)) {
        this.#grant(waiter, choice.placement);
      }
    }
  }

  #isLate(waiter: Waiter, placement: Placement): boolean {
    if (!this.#policy.admits) return false;
    return placement.firstOutputAt + this.#errors.marginMs >
      waiter.req.deadline;
  }

  #wakeBy(at: number): void {
    if (at >= this.#wakeAt) return;
    this.#cancelWake?.();
    this.#wakeAt = at;
    this.#cancelWake = this.#schedule(Math.max(1, at - this.#now()), () => {
      this.#wakeAt = Infinity;
      this.#refuseExpired();
      this.#pump();
    });
  }

  /** Refuses whatever can no longer come in time, wherever it stands in the queue. */
  #refuseExpired(): void {
    if (!this.#policy.admits) return;
    const now = this.#now();
    const expired = [...this.#queue].filter((waiter) =>
      now >= waiter.req.deadline
    );
    for (const waiter of expired) this.#refuseLate(waiter);
  }

  #refuseLate(waiter: Waiter): void {
    const wait = this.predictWait(waiter.req);
    const retryAfterMs = Number.isFinite(wait)
      ? this.#getReturnMs(waiter.req, wait)
      : NO_SERVER_MS;
    this.#settle(
      getAttemptKey(waiter.req),
      refuse(RefusalReason.Late, retryAfterMs),
    );
  }

  /** When a refused caller should come back. */
  #getReturnMs(req: AcquireRequest, waitMs: number): number {
    const now = this.#now();
    this.#returning.noteRefusal(now);
    const capacity = this.#decodes.getMemoryRate(now);
    return this.#returns.schedule(
      {
        waitMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
        work: req.heldTokens ?? 0,
      },
      { now, capacity },
    );
  }

  #getView(now: number): PolicyView {
    const { goodput, wastedPrefill } = this.#config.weights;
    const overbook = goodput === 0 ? 0 : goodput / (goodput + wastedPrefill);
    return {
      prefills: this.#prefills,
      decodes: this.#decodes,
      prefixes: this.#prefixes,
      now,
      overbook,
      canDecodeUnread: this.#config.canDecodeUnread === true,
    };
  }

  #grant(waiter: Waiter, placement: Placement): void {
    const { req } = waiter;
    const now = this.#now();
    this.#queue.take(waiter);
    this.#waiting.delete(getAttemptKey(req));
    const tokens = req.promptTokens + req.outputTokens;
    const prefill = this.#prefills.servers.get(placement.prefill);
    const isPrefilled = req.prefilledBy !== undefined;
    if (prefill !== undefined) {
      if (!isPrefilled) {
        const { uncachedTokens } = placement;
        this.#prefills.reserve(prefill, { tokens: uncachedTokens, now });
      }
      this.#prefills.reserveTransfer(prefill, {
        tokens,
        readyAt: placement.prefillEndAt,
      });
    }
    const grant: GrantState = {
      requestId: req.requestId,
      attempt: req.attempt,
      workspace: req.workspace,
      owner: req.owner,
      prefill: placement.prefill,
      decode: placement.decode,
      promptTokens: tokens,
      maxTokens: req.maxTokens,
      phase: Phase.Prefill,
      grantedAt: now,
      uncachedTokens: placement.uncachedTokens,
      hashes: req.hashes,
      prefillEndAt: placement.prefillEndAt,
      isPrefilled,
      decodeStartedAt: now,
      firstOutputAt: placement.firstOutputAt,
      verifiedAt: now,
      prefillAddress: this.#findAddress(placement.prefill),
      decodeAddress: this.#findAddress(placement.decode),
      heldTokens: req.heldTokens ?? 0,
      batchAtStart: 0,
    };
    this.#addWorkspace(req.workspace, -1);
    this.#insert(grant);
    if (grant.prefill !== NO_PREFILL) {
      this.#prefixes.store(grant.prefill, req.hashes);
    }
    waiter.settle({ kind: "grant", grant });
  }

  #insert(grant: GrantState): void {
    this.#grants.set(getAttemptKey(grant), grant);
    this.#addWorkspace(grant.workspace, 1);
    this.#decodes.addGrant(grant);
  }

  #remove(grant: GrantState): void {
    const now = this.#now();
    this.#grants.delete(getAttemptKey(grant));
    this.#addWorkspace(grant.workspace, -1);
    this.#endPrefill(grant, { endAt: now, processed: undefined });
    const decode = this.#decodes.servers.get(grant.decode);
    if (decode === undefined) return;
    this.#decodes.removeGrant(decode, grant);
    this.#decodes.noteCount(decode, now);
  }

  /** Ends a prefill, successfully where `processed` tokens are known. */
  #endPrefill(
    grant: GrantState,
    end: { endAt: number; processed: number | undefined },
  ): void {
    if (grant.phase !== Phase.Prefill || grant.isPrefilled) return;
    grant.isPrefilled = true;
    const server = this.#prefills.servers.get(grant.prefill);
    if (server === undefined) return;
    const { uncachedTokens: reserved, grantedAt } = grant;
    this.#prefills.finish(server, { ...end, reserved, grantedAt });
  }

  /** Transfers that a prefill server probably has under way. */
  #countTransfers(prefill: string, now: number): number {
    let count = 1;
    for (const grant of this.#grants.values()) {
      const isTransfer = grant.phase === Phase.Prefill &&
        grant.prefillEndAt < now;
      if (isTransfer && grant.prefill === prefill) count++;
    }
    return count;
  }

  #findAddress(id: string): string | undefined {
    return this.#config.servers.find((server) => server.id === id)?.address;
  }

  #settle(key: string, decision: Decision): void {
    const waiter = this.#waiting.get(key);
    if (waiter === undefined) return;
    this.#waiting.delete(key);
    this.#queue.remove(waiter);
    this.#addWorkspace(waiter.workspace, -1);
    waiter.settle(decision);
  }

  #addWorkspace(workspace: string, by: number): void {
    const count = (this.#perWorkspace.get(workspace) ?? 0) + by;
    if (count > 0) this.#perWorkspace.set(workspace, count);
    else this.#perWorkspace.delete(workspace);
  }

  #findServer(id: string): PrefillServer | DecodeServer | undefined {
    return this.#prefills.servers.get(id) ?? this.#decodes.servers.get(id);
  }

  #removeOthers(wanted: ReadonlyMap<string, { role: ServerRole }>): void {
    for (const id of this.#prefills.servers.keys()) {
      if (wanted.get(id)?.role !== ServerRole.Prefill) {
        this.#prefills.servers.delete(id);
      }
    }
    for (const id of this.#decodes.servers.keys()) {
      if (wanted.get(id)?.role !== ServerRole.Decode) {
        this.#decodes.servers.delete(id);
      }
    }
  }
}

function getAttemptKey(id: AttemptId): string {
  return `${id.requestId}.${id.attempt}`;
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
