/**
 * Spreads the times at which refused callers are told to come back. Pattern: a burst of
 * which a part is refused; callers who all come back after the same short time meet the
 * same full servers and one another.
 * @module
 */

interface Return {
  readonly at: number;
  readonly work: number;
}

/**
 * Share of the servers' capacity that is expected to be free for callers who come back,
 * beside new ones.
 */
const SPARE_SHARE = 0.5;
/** Callers honour a third of what they have left, 4.7 s of the usual 14 s. */
const LONGEST_MS = 4500;

/** Remembers the work that was told to come back. */
export class ReturnSpread {
  #returns: Return[] = [];

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
    const debtMs = capacity > 0 ? ahead / (SPARE_SHARE * capacity) : 0;
    const ms = Math.min(LONGEST_MS, refused.waitMs + debtMs);
    this.#returns.push({ at: now + ms, work: refused.work });
    return ms;
  }
}
