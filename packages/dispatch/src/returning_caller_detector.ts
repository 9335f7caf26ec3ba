/**
 * Tells callers who come back from those who come for the first time. Pattern: every
 * caller says how long it still waits, and one that was refused has less left; but on
 * some deployments the first-comers differ by seconds too, and taking these for
 * returning ones leaves half of a loaded service's requests waiting behind the others.
 * @module
 */
import { RecentValues } from "@bitternfall/types";

/** Before this many first-comers were seen, a short patience says nothing. */
const MIN_SAMPLES = 20;
/** Most callers are at least a little less patient; a few may name any time. */
const LONGEST_PATIENCE_QUANTILE = 0.95;
/** Share of the first-comers that is taken for no more patient than a returning caller. */
const SHORTEST_PATIENCE_QUANTILE = 0.03;
/** No first-comer's patience is taken to be shorter than the longest by more than this. */
const MAX_PATIENCE_SPREAD_MS = 3000;
/** Patience is counted down on the way, by less than this. */
const TRANSIT_ALLOWANCE_MS = 60;

/** What is known of the callers of one route. */
interface RoutePatience {
  /** Patience of all callers, and of those that came for the first time for certain. */
  readonly all: RecentValues;
  readonly first: RecentValues;
}

/** Learns how patient first-comers are, by route. */
export class ReturningCallerDetector {
  readonly #routes = new Map<string, RoutePatience>();
  #lastRefusalAt = -Infinity;

  /** A caller was told to come back. */
  recordRefusal(now: number): void {
    this.#lastRefusalAt = now;
  }

  /**
   * How long ago a caller came for the first time; 0 for a first-comer. `patienceMs` is
   * how long it still waits.
   */
  getWaitedMs(
    route: string,
    { patienceMs, now }: { patienceMs: number; now: number },
  ): number {
    const { all, first } = this.#getRoute(route);
    all.add(patienceMs);
    const longestMs = all.getQuantile(LONGEST_PATIENCE_QUANTILE);
    const missingMs = Math.max(0, longestMs - patienceMs);
    const sinceRefusalMs = now - this.#lastRefusalAt;
    // Whoever was refused has lost at least the time since then.
    if (missingMs < sinceRefusalMs) {
      const isCalm = sinceRefusalMs > MAX_PATIENCE_SPREAD_MS &&
        missingMs < MAX_PATIENCE_SPREAD_MS;
      if (isCalm) first.add(patienceMs);
      return 0;
    }
    const leastMs = first.count < MIN_SAMPLES
      ? longestMs - MAX_PATIENCE_SPREAD_MS
      : first.getQuantile(SHORTEST_PATIENCE_QUANTILE);
    return patienceMs >= leastMs - TRANSIT_ALLOWANCE_MS ? 0 : missingMs;
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
