/**
 * Bounds retries to a share of recent requests, so that a failing pool does not get
 * more load for failing.
 * @module
 */

/** A budget that requests fill and retries spend. */
export class RetryBudget {
  #share: number;
  #burst: number;
  #balance: number;

  constructor(
    options: { share?: number; burst?: number; initial?: number } = {},
  ) {
    const { share = 0.1, burst = 10, initial = 2 } = options;
    this.#share = share;
    this.#burst = burst;
    this.#balance = Math.min(initial, burst);
  }

  /** Sets other bounds, for instance when the VMs that share a budget change. */
  configure(options: { share: number; burst: number }): void {
    this.#share = options.share;
    this.#burst = options.burst;
    this.#balance = Math.min(this.#balance, options.burst);
  }

  /** A first attempt was made. */
  onRequest(): void {
    this.#balance = Math.min(this.#burst, this.#balance + this.#share);
  }

  /** Takes retries out of the budget, all or none; false when it is used up. */
  tryTake(count = 1): boolean {
    if (this.#balance < count) return false;
    this.#balance -= count;
    return true;
  }
}
