/**
 * Retry budget: bounds retries to a share of recent requests, so that retries do not
 * overload a failing pool.
 * @module
 */

/** Token bucket that first attempts fill and retries draw from. */
export class RetryBudget {
  readonly #share: number;
  readonly #burst: number;
  #balance: number;

  constructor(
    options: { share?: number; burst?: number; initial?: number } = {},
  ) {
    const { share = 0.1, burst = 10, initial = 2 } = options;
    this.#share = share;
    this.#burst = burst;
    this.#balance = Math.min(initial, burst);
  }

  /** Credits the budget for a first attempt. */
  onRequest(): void {
    this.#balance = Math.min(this.#burst, this.#balance + this.#share);
  }

  /** Takes `count` retries from the budget, or none and returns false if it has fewer. */
  tryTake(count = 1): boolean {
    if (this.#balance < count) return false;
    this.#balance -= count;
    return true;
  }
}
