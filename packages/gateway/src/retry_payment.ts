/**
 * Payment for the server calls of one request beyond the first.
 * @module
 */
import {
  type RetryAllowance,
  RetryTokens,
  type TokenBatch,
} from "@bitternfall/dispatch";

/** The part of a {@link RetryAllowance} that pays for requests. */
export type RetryPayer = Pick<
  RetryAllowance,
  "onRequest" | "tryTake" | "putBack"
>;

/** Retries of one request that are paid for, by this VM or by the dispatcher. */
export class RetryPayment {
  readonly #payer: RetryPayer;
  readonly #tokens = new RetryTokens();
  #paidCount = 0;

  constructor(payer: RetryPayer) {
    this.#payer = payer;
  }

  /** Number of retries paid for. */
  get paidCount(): number {
    return this.#paidCount;
  }

  /**
   * Pays from this VM's allowance for all of `arrivals` but the first. Returns the number of
   * retries that it can't pay for, in which case it pays for none.
   */
  payFor(arrivals: number, now: number): number {
    const unpaid = Math.max(0, arrivals - 1 - this.#paidCount);
    if (unpaid === 0) return 0;
    const taken: TokenBatch[] | undefined = this.#payer.tryTake(unpaid, now);
    if (taken === undefined) return unpaid;
    this.#tokens.add(taken);
    this.#paidCount += unpaid;
    return 0;
  }

  /** Counts retries that the dispatcher has paid for. */
  addPaidByDispatcher(count: number): void {
    this.#paidCount += count;
  }

  /** Puts back the tokens of this VM that the request's arrivals did not need. */
  settle(arrivals: number, now: number): void {
    const unneeded = this.#paidCount - Math.max(0, arrivals - 1);
    const returned = Math.min(unneeded, Math.floor(this.#tokens.getCount(now)));
    if (returned <= 0) return;
    this.#payer.putBack(this.#tokens.tryTake(returned, now) ?? []);
    this.#paidCount -= returned;
  }
}
