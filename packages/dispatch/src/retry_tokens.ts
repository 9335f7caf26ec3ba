/**
 * Retry tokens: each pays for one server call beyond the first of its request. All tokens
 * of a service are created at the VMs that receive its requests, at a bounded rate, and
 * expire. They are passed on but never copied, so the rate bounds the retries of all VMs
 * together, whatever processes start, stop or hand a role over.
 * @module
 */

/** Tokens that expire together. */
export interface TokenBatch {
  /** May be a fraction. */
  readonly count: number;
  /** On the monotonic clock of the process that holds them. */
  readonly expiresAt: number;
}

/** Times of expiry are rounded down to multiples of this, which bounds the batches kept. */
const BATCH_MS = 250;
/** Tolerance for sums of fractions. */
const EPSILON = 1e-6;

/** Tokens of one service that this process may spend or pass on. */
export class RetryTokens {
  /** Sorted by expiry, one for each time of expiry. */
  #batches: TokenBatch[] = [];

  /** Number of tokens that have not expired. */
  getCount(now: number): number {
    this.#dropExpired(now);
    return this.#batches.reduce((sum, { count }) => sum + count, 0);
  }

  add(batches: Iterable<TokenBatch>): void {
    for (const batch of batches) this.#addBatch(batch);
  }

  /** Takes the tokens that expire first; takes none if fewer than `count` are left. */
  tryTake(count: number, now: number): TokenBatch[] | undefined {
    if (this.getCount(now) + EPSILON < count) return undefined;
    const taken: TokenBatch[] = [];
    for (let missing = count; missing > EPSILON;) {
      const first = this.#batches.shift();
      if (first === undefined) break;
      const part = Math.min(first.count, missing);
      missing -= part;
      taken.push({ ...first, count: part });
      const rest = first.count - part;
      if (rest > 0) this.#batches.unshift({ ...first, count: rest });
    }
    return taken;
  }

  /** Takes all tokens that expire before `time`. */
  takeExpiringBefore(time: number, now: number): TokenBatch[] {
    this.#dropExpired(now);
    const taken = this.#batches.filter(({ expiresAt }) => expiresAt < time);
    this.#batches = this.#batches.slice(taken.length);
    return taken;
  }

  clear(): void {
    this.#batches = [];
  }

  #addBatch({ count, expiresAt }: TokenBatch): void {
    if (count <= 0) return;
    const rounded = Math.floor(expiresAt / BATCH_MS) * BATCH_MS;
    const index = this.#batches.findIndex((batch) =>
      batch.expiresAt >= rounded
    );
    const known = this.#batches[index];
    if (known?.expiresAt === rounded) {
      this.#batches[index] = { count: known.count + count, expiresAt: rounded };
      return;
    }
    const at = index < 0 ? this.#batches.length : index;
    this.#batches.splice(at, 0, { count, expiresAt: rounded });
  }

  #dropExpired(now: number): void {
    while (this.#batches.length > 0 && this.#batches[0]!.expiresAt <= now) {
      this.#batches.shift();
    }
  }
}
