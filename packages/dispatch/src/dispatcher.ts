/**
 * Queue, admission and placement of one model service in one cell. All state is soft:
 * a new dispatcher gets the running grants from their entry VMs.
 * @module
 */
import { type Clock, monotonicNow, Priority } from "@bitternfall/types";
import { FairQueue } from "./fair_queue.ts";
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
import {
  createPolicy,
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
import { RetryBudget } from "./retry_budget.ts";
import { ReturnSpread } from "./return_spread.ts";
import { ReturningCallers } from "./returning_callers.ts";
import type { ServerFailure } from "./server_health.ts";
import { ServerPools } from "./server_pools.ts";
import { forecastFirstOutput, forecastWait } from "./wait_forecast.ts";
import { WorkspaceCounts } from "./workspace_counts.ts";

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
  readonly #pools = new ServerPools();
  readonly #workspaces = new WorkspaceCounts();
  readonly #errors = new PredictionError();
  readonly #returns = new ReturnSpread();
  readonly #returning = new ReturningCallers();
  readonly #grants = new GrantLedger({
    pools: this.#pools,
    workspaces: this.#workspaces,
    errors: this.#errors,
  });
  readonly #waiting = new Map<string, Waiter>();
  #budget: RetryBudget | undefined;
  #config: ServiceConfig;
  #cancelWake: (() => void) | undefined;
  #wakeAt = Infinity;
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
    this.#schedule = options.schedule ?? scheduleTimer;
    this.#policy = createPolicy(policy, options.random ?? Math.random);
    this.#config = config;
    this.configure(config);
  }

  /** Takes a changed record into force; running grants stay. */
  configure(config: ServiceConfig): void {
    this.#config = config;
    this.#pools.configure(config);
    this.#configureBudget(config);
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
    const granted = this.#grants.find(asked);
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
      this.#workspaces.add(workspace, 1);
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
    if (grant === undefined) return;
    this.#grants.prefilled(grant, this.#now());
    this.#pump();
  }

  /** The first output of a grant was seen, so both its prefill and its transfer are over. */
  started(
    id: AttemptId,
    result: { cachedTokens: number; transferMs: number },
  ): void {
    const grant = this.findGrant(id);
    if (grant === undefined) return;
    this.#grants.started(grant, { ...result, now: this.#now() });
    this.#pump();
  }

  /** A grant is over. */
  release(id: AttemptId, info: ReleaseInfo): void {
    const grant = this.findGrant(id);
    if (grant === undefined) return;
    this.#grants.release(grant, { ...info, now: this.#now() });
    this.#pump();
  }

  /** Takes over a grant of an earlier dispatcher, as its entry VM reports it. */
  adopt(grant: Grant & { phase: Phase }): void {
    this.#grants.adopt(grant, this.#now());
  }

  /** Drops everything of an entry VM that died and returns its grants, to be cancelled. */
  dropOwner(vmId: string): Grant[] {
    const dropped = this.#grants.listOf(vmId);
    for (const grant of dropped) this.#grants.remove(grant, this.#now());
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
    this.#grants.remove(grant, this.#now());
    this.#pump();
  }

  /** Takes in a load report. */
  setReport(serverId: string, load: EngineLoad): void {
    this.#pools.setReport(serverId, { ...load, now: this.#now() });
  }

  /** A server is leaving, or no longer is. */
  setLeaving(serverId: string, leaving: boolean): void {
    if (this.#pools.setLeaving(serverId, leaving)) this.#pump();
  }

  /** A server failed a request. */
  noteFailure(serverId: string, kind: ServerFailure): void {
    this.#pools.noteFailure(serverId, { kind, now: this.#now() });
  }

  /** Notes how busy both pools are, and lets estimates recover; called at a steady pace. */
  samplePressure(): void {
    this.#pools.samplePressure(this.#now());
  }

  /** Share of time that prefill servers work and of decode slots that are held. */
  get pressure(): PoolPressure {
    return this.#pools.pressure;
  }

  /** All grants that are held. */
  listGrants(): Iterable<GrantState> {
    return this.#grants.list();
  }

  findGrant(id: AttemptId): GrantState | undefined {
    return this.#grants.find(id);
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
    return this.#pools.getFreeSlots(this.#now());
  }

  /** Predicted wait of a new request of a workspace. */
  predictWait(
    req:
      & { workspace: string; priority: number }
      & Partial<Pick<AcquireRequest, "heldTokens" | "prefilledBy">>,
  ): number {
    return forecastWait(this.#pools, req, {
      ahead: this.#listAhead(req),
      now: this.#now(),
      canDecodeUnread: this.#config.canDecodeUnread === true,
    });
  }

  *#listAhead(
    req: { workspace: string; priority: number },
  ): Generator<AcquireRequest> {
    for (const { req: other } of this.#queue.listAhead(req)) yield other;
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
      OUTPUT_COST * this.#pools.decodes.getExpectedLength(workspace, maxTokens);
  }

  #refuseEarly(req: AcquireRequest): Decision | undefined {
    if (!this.#policy.admits) return undefined;
    const { prefills, decodes } = this.#pools;
    const hasPrefill = prefills.servers.size > 0 ||
      this.#config.canDecodeUnread === true;
    if (!hasPrefill || decodes.servers.size === 0) {
      return refuse(RefusalReason.NoServers, MIN_RETRY_AFTER_MS);
    }
    const wait = this.predictWait(req);
    if (
      this.#workspaces.get(req.workspace) >=
        this.#config.perWorkspaceInFlight
    ) {
      return refuse(
        RefusalReason.WorkspaceLimit,
        Math.max(MIN_RETRY_AFTER_MS, decodes.holdMs),
      );
    }
    if (!Number.isFinite(wait)) return undefined;
    const own = this.#getOwnMs(req);
    if (this.#now() + wait + own <= req.deadline) return undefined;
    return refuse(RefusalReason.Late, this.#getReturnMs(req, wait));
  }

  #getOwnMs(req: AcquireRequest): number {
    return forecastFirstOutput(this.#pools, req, this.#errors);
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
    const capacity = this.#pools.decodes.getMemoryRate(now);
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
      prefills: this.#pools.prefills,
      decodes: this.#pools.decodes,
      prefixes: this.#pools.prefixes,
      now,
      overbook,
      canDecodeUnread: this.#config.canDecodeUnread === true,
    };
  }

  #grant(waiter: Waiter, placement: Placement): void {
    const { req } = waiter;
    this.#queue.take(waiter);
    this.#waiting.delete(getAttemptKey(req));
    this.#workspaces.add(req.workspace, -1);
    const grant = this.#grants.grant(req, {
      placement,
      servers: this.#config.servers,
      now: this.#now(),
    });
    waiter.settle({ kind: "grant", grant });
  }

  #settle(key: string, decision: Decision): void {
    const waiter = this.#waiting.get(key);
    if (waiter === undefined) return;
    this.#waiting.delete(key);
    this.#queue.remove(waiter);
    this.#workspaces.add(waiter.workspace, -1);
    waiter.settle(decision);
  }
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
