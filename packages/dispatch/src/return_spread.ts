/**
 * Spreads the times at which refused callers are told to come back. Pattern: a burst of
 * which a part is refused; callers who come back while it lasts meet the same full
 * servers, and callers who come back together meet one another. How much room will be
 * left for them shows in how much of the servers new callers take now.
 * @module
 */

interface Return {
  readonly at: number;
  readonly work: number;
}

/** Share of the servers' capacity that is counted on however many new callers there are. */
const LEAST_SPARE_SHARE = 0.1;
/** Callers honour a third of what they have left, 4.7 s of the usual 14 s. */
const LONGEST_MS = 4500;
/** New callers of about this time make up the rate; bursts last a few times as long. */
const RATE_MS = 1500;

/** Remembers the work that came lately, and the work that was told to come back. */
export class ReturnSpread {
  #returns: Return[] = [];
  /** Work of new callers, decayed to `#arrivedAt`. */
  #arrived = 0;
  #arrivedAt = 0;

  /** A caller has come for the first time. */
  noteArrival({ work, now }: { work: number; now: number }): void {
    this.#arrived = this.#decay(now) + work;
    this.#arrivedAt = now;
  }

  /**
   * When a refused caller should come back: once what waits now is served, and after
   * those who were told to come back before it. `capacity` is the work that the servers
   * finish in a millisecond.
   */
  schedule(
    refused: { waitMs: number; work: number },
    options: { now: number; capacity: number },
  ): number {
    const { now, capacity } = options;
    this.#returns = this.#returns.filter(({ at }) => at > now);
    let ahead = 0;
    for (const { work } of this.#returns) ahead += work;
    const spare = Math.max(
      LEAST_SPARE_SHARE * capacity,
      capacity - this.#decay(now) / RATE_MS,
    );
    const debtMs = capacity > 0 ? ahead / spare : 0;
    const ms = Math.min(LONGEST_MS, refused.waitMs + debtMs);
    this.#returns.push({ at: now + ms, work: refused.work });
    return ms;
  }

  #decay(now: number): number {
    return this.#arrived * Math.exp((this.#arrivedAt - now) / RATE_MS);
  }
}
