/**
 * Spreads the times at which refused callers are told to come back. Pattern: a burst of
 * which a part is refused; callers who come back while it lasts meet the same full
 * servers, and callers who come back together meet one another. How much room will be
 * left for them shows in how much of the servers new callers take now.
 * @module
 */

interface ScheduledRetry {
  readonly at: number;
  readonly work: number;
}

/** Share of the servers' capacity that is counted on however many new callers there are. */
const MIN_SPARE_SHARE = 0.1;
/** Callers honour a third of what they have left, 4.7 s of the usual 14 s. */
const MAX_RETRY_AFTER_MS = 4500;
/** New callers of about this time make up the rate; bursts last a few times as long. */
const ARRIVAL_WINDOW_MS = 1500;

/** Remembers the work that came lately, and the work that was told to come back. */
export class RetryAfterScheduler {
  #scheduledRetries: ScheduledRetry[] = [];
  /** Work of new callers, decayed to `#arrivedAt`. */
  #firstArrivalWork = 0;
  #lastArrivalAt = 0;

  /** A caller has come for the first time. */
  recordFirstArrival({ work, now }: { work: number; now: number }): void {
    this.#firstArrivalWork = this.#getDecayedWork(now) + work;
    this.#lastArrivalAt = now;
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
    this.#scheduledRetries = this.#scheduledRetries.filter(({ at }) =>
      at > now
    );
    let ahead = 0;
    for (const { work } of this.#scheduledRetries) ahead += work;
    const spare = Math.max(
      MIN_SPARE_SHARE * capacity,
      capacity - this.#getDecayedWork(now) / ARRIVAL_WINDOW_MS,
    );
    const debtMs = capacity > 0 ? ahead / spare : 0;
    const ms = Math.min(MAX_RETRY_AFTER_MS, refused.waitMs + debtMs);
    this.#scheduledRetries.push({ at: now + ms, work: refused.work });
    return ms;
  }

  #getDecayedWork(now: number): number {
    return this.#firstArrivalWork *
      Math.exp((this.#lastArrivalAt - now) / ARRIVAL_WINDOW_MS);
  }
}
