/**
 * Load balancing among the servers of a plain service: keeps what this VM knows of them, and
 * lets a {@link ChoiceRule} choose among those that take calls.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";
import { type Candidate, type ChoiceRule, TwoChoices } from "./choice_rule.ts";
import { EstimatedLoad } from "./estimated_load.ts";
import {
  type FinishedCall,
  type LoadReport,
  type PooledServer,
  type ServerProcess,
  ServerState,
} from "./server_state.ts";

/** Names of the rules, as in the settings. */
export enum BalancingPolicy {
  /** Unless a service's servers report their pace. */
  TwoChoices = "two-choices",
  EstimatedLoad = "estimated-load",
}

/** Options of a {@link ServerPool}. */
export interface ServerPoolOptions {
  readonly availabilityZone: string;
  /** Whether another source than the load reports says that a server is leaving. */
  readonly isLeaving?: (id: string) => boolean;
  readonly policy?: BalancingPolicy;
  readonly random?: () => number;
  readonly now?: Clock;
}

const AVOID_AFTER_FAILURE_MS = 1000;

/** Tracks the load of plain-service servers as seen by this VM, and picks among them. */
export class ServerPool {
  readonly #options: ServerPoolOptions;
  readonly #states = new Map<string, ServerState>();
  readonly #random: () => number;
  readonly #now: Clock;
  readonly #twoChoices = new TwoChoices();
  readonly #estimatedLoad = new EstimatedLoad();

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
    options: { maxOutstanding?: number; availabilityZone?: string } = {},
  ): S | undefined {
    const {
      maxOutstanding = Infinity,
      availabilityZone = this.#options.availabilityZone,
    } = options;
    const candidates = this.#listCandidates(servers, tried, maxOutstanding);
    const context = {
      availabilityZone,
      random: this.#random,
      now: this.#now(),
    };
    return this.#getRule(servers).choose(candidates, context)?.server;
  }

  /** The servers among which {@link pick} would choose. */
  listUsable<S extends PooledServer>(
    servers: readonly S[],
    tried: readonly string[],
    { maxOutstanding = Infinity }: { maxOutstanding?: number } = {},
  ): S[] {
    return this.#listCandidates(servers, tried, maxOutstanding)
      .map(({ server }) => server);
  }

  /** Whether the load of these servers is estimated, by the settings or by their reports. */
  estimatesLoad(servers: readonly ServerProcess[]): boolean {
    return this.#options.policy === BalancingPolicy.EstimatedLoad ||
      servers.some(({ id }) => this.#states.get(id)?.estimate.reportsPace);
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

  /** Estimated number of calls at a server, its pace, and the age of the last report. */
  getEstimate(
    server: ServerProcess,
  ): { calls: number; pace: number; ageMs: number } {
    const state = this.#findState(server) ?? new ServerState(server.bornAt);
    const { estimate, outstanding } = state;
    const now = this.#now();
    const { callMs } = estimate;
    return {
      calls: estimate.getCalls(outstanding, { now, usualMs: callMs }).mean,
      pace: estimate.getPace(now),
      ageMs: estimate.getAgeMs(now),
    };
  }

  /** Prefers other servers for a short time after this one failed. */
  avoid(server: ServerProcess): void {
    const state = this.#findState(server);
    if (state !== undefined) {
      state.avoidUntil = this.#now() + AVOID_AFTER_FAILURE_MS;
    }
  }

  /** Stores a server's load report. */
  setReport(server: ServerProcess, report: LoadReport): void {
    this.#findState(server)?.setReport(report, this.#now());
  }

  /** Updates the averages with a finished call; only successful calls count for latency. */
  recordCall(server: ServerProcess, call: FinishedCall): void {
    this.#findState(server)?.recordCall(call, this.#now());
  }

  /** Forgets servers that are no longer known and have no outstanding calls. */
  retain(isKnown: (id: string) => boolean): void {
    for (const [id, state] of this.#states) {
      if (state.outstanding === 0 && !isKnown(id)) this.#states.delete(id);
    }
  }

  #listCandidates<S extends PooledServer>(
    servers: readonly S[],
    tried: readonly string[],
    maxOutstanding: number,
  ): Candidate<S>[] {
    for (const server of servers) this.#forgetPredecessor(server);
    const untried = servers.map((server) => ({
      server,
      state: this.#getState(server.id),
    })).filter(({ server, state }) =>
      !tried.includes(server.id) && state.outstanding < maxOutstanding
    );
    const now = this.#now();
    const usable = untried.filter(({ server, state }) =>
      !this.isLeaving(server.id) && state.avoidUntil <= now
    );
    // A leaving server, or one that has just failed, is better than none.
    return usable.length > 0 ? usable : untried;
  }

  #getRule(servers: readonly ServerProcess[]): ChoiceRule {
    return this.estimatesLoad(servers) ? this.#estimatedLoad : this.#twoChoices;
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
      state = new ServerState(bornAt);
      this.#states.set(id, state);
    }
    return state;
  }
}
