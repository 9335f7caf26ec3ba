/**
 * Spreads the retry-after times of refused callers. When part of a burst of requests is
 * refused, retries during the burst find the servers still full, and simultaneous retries
 * compete with each other. The capacity left for retries is estimated as the servers'
 * capacity less the current arrival rate of new work. Work is counted in tokens of KV
 * cache memory that requests hold. Callers give way to those of their own and of more
 * urgent ranks, and for each other account to no more work than their own account's.
 * @module
 */

interface ScheduledRetry {
  readonly at: number;
  readonly rank: number;
  readonly account: string | undefined;
  readonly work: number;
}

/** Share of the servers' capacity assumed for retries at any arrival rate. */
const MIN_SPARE_SHARE = 0.1;
/** Callers honour up to a third of their remaining time: 4.7 s of the usual 14 s. */
const MAX_RETRY_AFTER_MS = 4500;
/** Time constant of the arrival rate; bursts last a few times as long. */
const ARRIVAL_WINDOW_MS = 1500;

/** Tracks recent first arrivals and scheduled retries to choose retry-after times. */
export class RetryAfterScheduler {
  #scheduledRetries: ScheduledRetry[] = [];
  /** Work of first arrivals by rank, decayed to the last arrival of the rank. */
  readonly #firstArrivals: { work: number; lastAt: number }[] = [];

  /** Records the first request of a caller. */
  recordFirstArrival(
    { work, now, rank = 0 }: { work: number; now: number; rank?: number },
  ): void {
    while (this.#firstArrivals.length <= rank) {
      this.#firstArrivals.push({ work: 0, lastAt: 0 });
    }
    const arrivals = this.#firstArrivals[rank]!;
    arrivals.work = getDecayedWork(arrivals, now) + work;
    arrivals.lastAt = now;
  }

  /**
   * Returns the retry-after of a refused caller: the time until the current queue and all
   * earlier scheduled retries are served. `capacity` is the work that the servers finish per
   * millisecond.
   */
  schedule(
    refused: {
      waitMs: number;
      work: number;
      rank?: number;
      account?: string | undefined;
    },
    { now, capacity }: { now: number; capacity: number },
  ): number {
    const { waitMs, work, rank = 0, account } = refused;
    this.#scheduledRetries = this.#scheduledRetries.filter(({ at }) =>
      at > now
    );
    const scheduledWork = this.#sumScheduled({ work, rank, account });
    const spareCapacity = capacity *
      this.getSpareShare({ now, capacity, rank });
    const retryBacklogMs = capacity > 0 ? scheduledWork / spareCapacity : 0;
    const ms = Math.min(MAX_RETRY_AFTER_MS, waitMs + retryBacklogMs);
    this.#scheduledRetries.push({ at: now + ms, work, rank, account });
    return ms;
  }

  /** Work of the scheduled retries that are to be served before a refused request's. */
  #sumScheduled(
    refused: { work: number; rank: number; account: string | undefined },
  ): number {
    const workByAccount = new Map<string | undefined, number>();
    for (const { rank, account, work } of this.#scheduledRetries) {
      if (rank > refused.rank) continue;
      workByAccount.set(account, (workByAccount.get(account) ?? 0) + work);
    }
    const own = workByAccount.get(refused.account) ?? 0;
    let sum = own;
    for (const [account, work] of workByAccount) {
      if (account === refused.account) continue;
      sum += Math.min(work, own + refused.work);
    }
    return sum;
  }

  /**
   * Share of the servers' `capacity`, in work per millisecond, that the current rate of
   * first arrivals of `rank` and more urgent ones leaves.
   */
  getSpareShare(
    { now, capacity, rank = 0 }: {
      now: number;
      capacity: number;
      rank?: number;
    },
  ): number {
    if (capacity <= 0) return 1;
    let work = 0;
    for (const arrivals of this.#firstArrivals.slice(0, rank + 1)) {
      work += getDecayedWork(arrivals, now);
    }
    const arrivalRate = work / ARRIVAL_WINDOW_MS;
    return Math.max(MIN_SPARE_SHARE, 1 - arrivalRate / capacity);
  }
}

function getDecayedWork(
  { work, lastAt }: { work: number; lastAt: number },
  now: number,
): number {
  return work * Math.exp((lastAt - now) / ARRIVAL_WINDOW_MS);
}
