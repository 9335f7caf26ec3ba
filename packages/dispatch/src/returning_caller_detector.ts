/**
 * Detects returning callers, which were refused before, by their patience (the time that
 * they are still willing to wait). A caller that was refused has less patience left when
 * it returns. On some deployments, though, the patience of first-time callers differs by
 * seconds too; taking these for returning callers would put half of a loaded service's
 * requests behind the others.
 * @module
 */
import { RecentValues } from "@bitternfall/types";

/** First-time callers to sample before their patience quantile is used. */
const MIN_SAMPLES = 20;
/** Quantile taken as the longest patience; the few above it may state any value. */
const LONGEST_PATIENCE_QUANTILE = 0.95;
/** Quantile of first-time callers' patience below which a caller counts as returning. */
const SHORTEST_PATIENCE_QUANTILE = 0.03;
/** Largest assumed difference between the longest and a first-time caller's patience. */
const MAX_PATIENCE_SPREAD_MS = 3000;
/** Patience decreases by less than this while the request is in transit. */
const TRANSIT_ALLOWANCE_MS = 60;

/** Recent patience of the callers of one route. */
interface RoutePatience {
  /** Of all callers, and of those that are certainly first-time callers. */
  readonly all: RecentValues;
  readonly first: RecentValues;
}

/** Learns the patience of first-time callers by route. */
export class ReturningCallerDetector {
  readonly #routes = new Map<string, RoutePatience>();
  #lastRefusalAt = -Infinity;

  /** Records that a caller was refused and will probably return. */
  recordRefusal(now: number): void {
    this.#lastRefusalAt = now;
  }

  /**
   * Estimates how long a caller has waited since its first request; 0 for a first-time
   * caller. `patienceMs` is how long it is still willing to wait.
   */
  getWaitedMs(
    route: string,
    { patienceMs, now }: { patienceMs: number; now: number },
  ): number {
    const { all, first } = this.#getRoute(route);
    all.add(patienceMs);
    const longestMs = all.getQuantile(LONGEST_PATIENCE_QUANTILE);
    const lostMs = Math.max(0, longestMs - patienceMs);
    const sinceRefusalMs = now - this.#lastRefusalAt;
    // A refused caller has lost at least the time since the last refusal.
    if (lostMs < sinceRefusalMs) {
      const isFirstTime = sinceRefusalMs > MAX_PATIENCE_SPREAD_MS &&
        lostMs < MAX_PATIENCE_SPREAD_MS;
      if (isFirstTime) first.add(patienceMs);
      return 0;
    }
    const shortestMs = first.count < MIN_SAMPLES
      ? longestMs - MAX_PATIENCE_SPREAD_MS
      : first.getQuantile(SHORTEST_PATIENCE_QUANTILE);
    return patienceMs >= shortestMs - TRANSIT_ALLOWANCE_MS ? 0 : lostMs;
  }

  #getRoute(name: string): RoutePatience {
    let callers = this.#routes.get(name);
    if (callers === undefined) {
      callers = { all: new RecentValues(), first: new RecentValues() };
      this.#routes.set(name, callers);
    }
    return callers;
  }
}
