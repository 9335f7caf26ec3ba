/**
 * Tells callers who come back from those who come for the first time. Pattern: every
 * caller says how long it still waits, and one that was refused has less left; but on
 * some deployments the first-comers differ by seconds too, and taking these for
 * returning ones leaves half of a loaded service's requests waiting behind the others.
 * @module
 */

/** Before this many first-comers were seen, a short patience says nothing. */
const MIN_SAMPLES = 20;
const CAPACITY = 200;
const SORT_EVERY = 20;
/** Share of the first-comers whose patience is taken for usual. */
const USUAL_SHARE = 0.97;
/** No first-comer's patience is taken to be shorter than the longest by more than this. */
const WIDEST_MS = 3000;
/** Patience is counted down on the way, by less than this. */
const TRANSIT_MS = 60;

/** What is known of the callers of one route. */
interface RouteCallers {
  longestMs: number;
  readonly samples: number[];
  next: number;
  added: number;
  /** By how much less than the longest a first-comer's patience may be. */
  spreadMs: number;
}

/** Learns how patient first-comers are, by route. */
export class ReturningCallers {
  readonly #routes = new Map<string, RouteCallers>();
  #refusedAt = -Infinity;

  /** A caller was told to come back. */
  noteRefusal(now: number): void {
    this.#refusedAt = now;
  }

  /**
   * How long ago a caller came for the first time; 0 for a first-comer. `patienceMs` is
   * how long it still waits.
   */
  getWaitedMs(
    route: string,
    { patienceMs, now }: { patienceMs: number; now: number },
  ): number {
    const callers = this.#getRoute(route);
    callers.longestMs = Math.max(callers.longestMs, patienceMs);
    const missingMs = callers.longestMs - patienceMs;
    const sinceRefusalMs = now - this.#refusedAt;
    // Whoever was refused has lost at least the time since then.
    if (missingMs < sinceRefusalMs) {
      if (sinceRefusalMs > WIDEST_MS) learn(callers, missingMs);
      return 0;
    }
    return missingMs <= callers.spreadMs + TRANSIT_MS ? 0 : missingMs;
  }

  #getRoute(name: string): RouteCallers {
    let callers = this.#routes.get(name);
    if (callers === undefined) {
      callers = {
        longestMs: 0,
        samples: [],
        next: 0,
        added: 0,
        spreadMs: WIDEST_MS,
      };
      this.#routes.set(name, callers);
    }
    return callers;
  }
}

function learn(callers: RouteCallers, missingMs: number): void {
  if (missingMs > WIDEST_MS) return;
  callers.samples[callers.next] = missingMs;
  callers.next = (callers.next + 1) % CAPACITY;
  callers.added++;
  const isDue = callers.added === MIN_SAMPLES ||
    callers.added % SORT_EVERY === 0;
  if (callers.added < MIN_SAMPLES || !isDue) return;
  const sorted = [...callers.samples].sort((a, b) => a - b);
  callers.spreadMs = sorted[Math.floor(USUAL_SHARE * (sorted.length - 1))]!;
}
