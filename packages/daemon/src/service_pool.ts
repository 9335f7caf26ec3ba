/**
 * Choice of a plain-service server: power of two choices on reported load and own
 * outstanding calls, own availability zone preferred.
 * @module
 */
import type { PlainService } from "@bitternfall/records";
import { monotonicNow, sleep, type Upstream } from "@bitternfall/types";
import type { Upstreams } from "./upstreams.ts";

interface ServerState {
  /** Calls of this VM under way. */
  outstanding: number;
  reported: number;
  leaving: boolean;
  avoidUntil: number;
}

/** Options of a {@link ServicePool}. */
export interface ServicePoolOptions {
  readonly availabilityZone: string;
  readonly upstreams: Upstreams;
  readonly random?: () => number;
}

const AVOID_MS = 1000;
const REPORT_MS = 1000;
/** Services without calls for this long are not polled. */
const QUIET_MS = 10_000;
/** Calls that another zone must have less of to be preferred. */
const OTHER_ZONE_CALLS = 1.5;

/** Load of plain-service servers as this VM sees it. */
export class ServicePool {
  readonly #options: ServicePoolOptions;
  readonly #states = new Map<string, ServerState>();
  readonly #usedAt = new Map<string, number>();
  readonly #random: () => number;

  constructor(options: ServicePoolOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
  }

  /** Picks a server; undefined when none is left. */
  pick(service: PlainService, tried: readonly string[]): Upstream | undefined {
    this.#usedAt.set(service.name, monotonicNow());
    const now = monotonicNow();
    const usable = service.servers.filter((server) => {
      const state = this.#getState(server.id);
      return !tried.includes(server.id) && !this.isLeaving(server.id) &&
        state.avoidUntil <= now;
    });
    // A server that failed a moment ago is better than none.
    const left = usable.length > 0
      ? usable
      : service.servers.filter(({ id }) => !tried.includes(id));
    const first = this.#pickRandom(left);
    const second = this.#pickRandom(left.filter((server) => server !== first));
    if (first === undefined || second === undefined) return first;
    return this.#getCost(first) <= this.#getCost(second) ? first : second;
  }

  isLeaving(id: string): boolean {
    return this.#getState(id).leaving || this.#options.upstreams.isLeaving(id);
  }

  /** Counts a call; the returned function ends it. */
  begin(id: string): () => void {
    const state = this.#getState(id);
    state.outstanding++;
    return () => state.outstanding--;
  }

  /** A server failed: others are preferred for a while. */
  avoid(id: string): void {
    this.#getState(id).avoidUntil = monotonicNow() + AVOID_MS;
  }

  /** Reads load reports of the services in use until aborted. */
  async run(
    options: {
      listServices: () => Iterable<PlainService>;
      signal: AbortSignal;
    },
  ): Promise<void> {
    const { listServices, signal } = options;
    while (!signal.aborted) {
      const now = monotonicNow();
      const polls: Promise<void>[] = [];
      for (const service of listServices()) {
        if (now - (this.#usedAt.get(service.name) ?? -Infinity) > QUIET_MS) {
          continue;
        }
        for (const server of service.servers) polls.push(this.#poll(server.id));
      }
      await Promise.all(polls);
      await sleep(REPORT_MS, signal);
    }
  }

  async #poll(id: string): Promise<void> {
    const report = await this.#options.upstreams.findService(id)?.getReport();
    const state = this.#getState(id);
    state.reported = report?.running ?? 0;
    state.leaving = report?.leaving ?? false;
  }

  #getCost(server: Upstream): number {
    const { outstanding, reported } = this.#getState(server.id);
    const zone = server.availabilityZone === this.#options.availabilityZone
      ? 0
      : OTHER_ZONE_CALLS;
    return Math.max(outstanding, reported) + outstanding * 0.5 + zone;
  }

  #pickRandom<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#random() * items.length)];
  }

  #getState(id: string): ServerState {
    let state = this.#states.get(id);
    if (state === undefined) {
      state = { outstanding: 0, reported: 0, leaving: false, avoidUntil: 0 };
      this.#states.set(id, state);
    }
    return state;
  }
}
