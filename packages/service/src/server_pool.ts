/**
 * Load balancing among the servers of a plain service by power of two choices: picks two
 * servers at random and takes the one with the lower cost. The cost is computed from the
 * reported load, this VM's outstanding calls, the latency and the failures. Servers in this
 * VM's availability zone are preferred.
 * @module
 */
import { type Clock, monotonicNow, type Upstream } from "@bitternfall/types";

interface ServerState {
  /** Start time of the process that all of this is known of. */
  readonly bornAt: number | undefined;
  /** Calls of this VM in flight. */
  outstanding: number;
  /** Running calls according to the server's last load report. */
  reportedCalls: number;
  leaving: boolean;
  /** Until then, the server is picked only if no other is left. */
  avoidUntil: number;
  /** Moving average of the latency; 0 until a call has succeeded. */
  latencyMs: number;
  /** Moving average of the share of calls that failed. */
  failureRate: number;
}

/** A server process; `bornAt` is undefined where processes are not told apart. */
export interface ServerProcess {
  readonly id: string;
  /** Start time of the process. */
  readonly bornAt?: number | undefined;
}

/** What the pool needs to know of a server. */
export type PooledServer = ServerProcess & Pick<Upstream, "availabilityZone">;

/** Options of a {@link ServerPool}. */
export interface ServerPoolOptions {
  readonly availabilityZone: string;
  /** Whether another source than the load reports says that a server is leaving. */
  readonly isLeaving?: (id: string) => boolean;
  readonly random?: () => number;
  readonly now?: Clock;
}

const AVOID_AFTER_FAILURE_MS = 1000;
/** Cost of a server in another availability zone, expressed in calls. */
const OTHER_ZONE_PENALTY_CALLS = 1.5;
/** Weight of the newest call in the moving averages. */
const SMOOTHING_FACTOR = 0.1;
/** Cost of a failure rate of 1, expressed in calls. */
const FAILURE_PENALTY_CALLS = 20;
/** Lower latencies count as this one, since differences below it do not reflect load. */
const MIN_LATENCY_MS = 5;

/** Tracks the load of plain-service servers as seen by this VM, and picks among them. */
export class ServerPool {
  readonly #options: ServerPoolOptions;
  readonly #states = new Map<string, ServerState>();
  readonly #random: () => number;
  readonly #now: Clock;

  constructor(options: ServerPoolOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
    this.#now = options.now ?? monotonicNow;
  }

  /**
   * Picks a server whose id is not in `tried`; `undefined` if none is left. Servers that
   * already have `maxOutstanding` calls of this VM are skipped.
   */
  pick<S extends PooledServer>(
    servers: readonly S[],
    tried: readonly string[],
    options: { maxOutstanding?: number } = {},
  ): S | undefined {
    const { maxOutstanding = Infinity } = options;
    const now = this.#now();
    for (const server of servers) this.#forgetPredecessor(server);
    const untried = servers.filter(({ id }) =>
      !tried.includes(id) && this.#getState(id).outstanding < maxOutstanding
    );
    const usable = untried.filter(({ id }) =>
      !this.isLeaving(id) && this.#getState(id).avoidUntil <= now
    );
    // A leaving server, or one that has just failed, is better than none.
    const candidates = usable.length > 0 ? usable : untried;
    const first = this.#pickRandom(candidates);
    const second = this.#pickRandom(
      candidates.filter((server) => server !== first),
    );
    if (first === undefined || second === undefined) return first;
    return this.#getCost(first) <= this.#getCost(second) ? first : second;
  }

  isLeaving(id: string): boolean {
    return this.#getState(id).leaving ||
      this.#options.isLeaving?.(id) === true;
  }

  /** Counts a call as outstanding until the returned function is called. */
  begin(server: ServerProcess): () => void {
    const state = this.#findState(server);
    if (state === undefined) return () => {};
    state.outstanding++;
    return () => state.outstanding--;
  }

  /** Prefers other servers for a short time after this one failed. */
  avoid(server: ServerProcess): void {
    const state = this.#findState(server);
    if (state !== undefined) {
      state.avoidUntil = this.#now() + AVOID_AFTER_FAILURE_MS;
    }
  }

  /** Stores a server's load report. */
  setReport(
    server: ServerProcess,
    report: { running: number; leaving: boolean },
  ): void {
    const state = this.#findState(server);
    if (state === undefined) return;
    state.reportedCalls = report.running;
    state.leaving = report.leaving;
  }

  /** Updates the averages with a finished call; only successful calls count for latency. */
  recordCall(
    server: ServerProcess,
    call: { ms: number; failed: boolean },
  ): void {
    const state = this.#findState(server);
    if (state === undefined) return;
    state.failureRate += SMOOTHING_FACTOR *
      (Number(call.failed) - state.failureRate);
    if (call.failed) return;
    const previousMs = state.latencyMs === 0 ? call.ms : state.latencyMs;
    state.latencyMs = previousMs + SMOOTHING_FACTOR * (call.ms - previousMs);
  }

  /** Forgets servers that are no longer known and have no outstanding calls. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, state] of this.#states) {
      if (state.outstanding === 0 && !isKnown(id)) this.#states.delete(id);
    }
  }

  #getCost(server: PooledServer): number {
    const { outstanding, reportedCalls, latencyMs, failureRate } = this
      .#getState(server.id);
    const zonePenalty =
      server.availabilityZone === this.#options.availabilityZone
        ? 0
        : OTHER_ZONE_PENALTY_CALLS;
    const calls = Math.max(outstanding, reportedCalls) + outstanding * 0.5 +
      zonePenalty +
      failureRate * FAILURE_PENALTY_CALLS;
    return latencyMs === 0
      ? calls
      : (calls + 1) * Math.max(MIN_LATENCY_MS, latencyMs);
  }

  #pickRandom<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#random() * items.length)];
  }

  /** Starts anew with a server whose process has been replaced under its id. */
  #forgetPredecessor({ id, bornAt }: ServerProcess): void {
    const state = this.#states.get(id);
    if (state !== undefined && state.bornAt !== bornAt) this.#states.delete(id);
    this.#getState(id, bornAt);
  }

  /** State of a process; undefined if another one has the id now. */
  #findState({ id, bornAt }: ServerProcess): ServerState | undefined {
    const state = this.#getState(id, bornAt);
    return state.bornAt === bornAt ? state : undefined;
  }

  #getState(id: string, bornAt?: number): ServerState {
    let state = this.#states.get(id);
    if (state === undefined) {
      state = {
        bornAt,
        outstanding: 0,
        reportedCalls: 0,
        leaving: false,
        avoidUntil: 0,
        latencyMs: 0,
        failureRate: 0,
      };
      this.#states.set(id, state);
    }
    return state;
  }
}
