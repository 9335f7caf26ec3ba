/**
 * Choice of a plain-service server: power of two choices on reported load, own
 * outstanding calls, latency and failures; the own availability zone is preferred.
 * @module
 */
import { type Clock, monotonicNow, type Upstream } from "@bitternfall/types";

interface ServerState {
  /** Calls of this VM under way. */
  outstanding: number;
  reported: number;
  leaving: boolean;
  avoidUntil: number;
  /** Running mean of the latency; 0 until a call has ended. */
  latencyMs: number;
  /** Running share of calls that failed. */
  failures: number;
}

/** A server as the pool chooses among them. */
export type PooledServer = Pick<Upstream, "id" | "availabilityZone">;

/** Options of a {@link ServerPool}. */
export interface ServerPoolOptions {
  readonly availabilityZone: string;
  /** Whether a server is known to be leaving from elsewhere. */
  readonly isLeaving?: (id: string) => boolean;
  readonly random?: () => number;
  readonly now?: Clock;
}

const AVOID_MS = 1000;
/** Calls that another zone must have less of to be preferred. */
const OTHER_ZONE_CALLS = 1.5;
const GAIN = 0.1;
/** Calls that a server which fails always counts as having more. */
const FAILURE_CALLS = 20;
/** A latency below this says nothing of load. */
const LEAST_LATENCY_MS = 5;

/** Load of plain-service servers as this VM sees it. */
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
   * Picks a server; undefined when none is left. A server with `maxOutstanding` calls
   * of this VM is passed over.
   */
  pick<S extends PooledServer>(
    servers: readonly S[],
    tried: readonly string[],
    options: { maxOutstanding?: number } = {},
  ): S | undefined {
    const { maxOutstanding = Infinity } = options;
    const now = this.#now();
    const untried = servers.filter(({ id }) =>
      !tried.includes(id) && this.#getState(id).outstanding < maxOutstanding
    );
    const usable = untried.filter(({ id }) =>
      !this.isLeaving(id) && this.#getState(id).avoidUntil <= now
    );
    // A server that failed a moment ago is better than none.
    const left = usable.length > 0 ? usable : untried;
    const first = this.#pickRandom(left);
    const second = this.#pickRandom(left.filter((server) => server !== first));
    if (first === undefined || second === undefined) return first;
    return this.#getCost(first) <= this.#getCost(second) ? first : second;
  }

  isLeaving(id: string): boolean {
    return this.#getState(id).leaving ||
      this.#options.isLeaving?.(id) === true;
  }

  /** Counts a call; the returned function ends it. */
  begin(id: string): () => void {
    const state = this.#getState(id);
    state.outstanding++;
    return () => state.outstanding--;
  }

  /** A server failed: others are preferred for a while. */
  avoid(id: string): void {
    this.#getState(id).avoidUntil = this.#now() + AVOID_MS;
  }

  /** Takes a load report in. */
  setReport(id: string, report: { running: number; leaving: boolean }): void {
    const state = this.#getState(id);
    state.reported = report.running;
    state.leaving = report.leaving;
  }

  /** A call ended: how long it took and whether the server answered it properly. */
  noteCall(id: string, call: { ms: number; failed: boolean }): void {
    const state = this.#getState(id);
    state.failures += GAIN * (Number(call.failed) - state.failures);
    if (call.failed) return;
    const from = state.latencyMs === 0 ? call.ms : state.latencyMs;
    state.latencyMs = from + GAIN * (call.ms - from);
  }

  /** Drops what is known of servers that are gone. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, state] of this.#states) {
      if (state.outstanding === 0 && !isKnown(id)) this.#states.delete(id);
    }
  }

  #getCost(server: PooledServer): number {
    const { outstanding, reported, latencyMs, failures } = this.#getState(
      server.id,
    );
    const zone = server.availabilityZone === this.#options.availabilityZone
      ? 0
      : OTHER_ZONE_CALLS;
    const calls = Math.max(outstanding, reported) + outstanding * 0.5 + zone +
      failures * FAILURE_CALLS;
    return latencyMs === 0
      ? calls
      : (calls + 1) * Math.max(LEAST_LATENCY_MS, latencyMs);
  }

  #pickRandom<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#random() * items.length)];
  }

  #getState(id: string): ServerState {
    let state = this.#states.get(id);
    if (state === undefined) {
      state = {
        outstanding: 0,
        reported: 0,
        leaving: false,
        avoidUntil: 0,
        latencyMs: 0,
        failures: 0,
      };
      this.#states.set(id, state);
    }
    return state;
  }
}
