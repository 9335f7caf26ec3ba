/**
 * A VM's part of a service's retry budget.
 * @module
 */
import { RetryTokens, type TokenBatch } from "./retry_tokens.ts";

/** Retries that all VMs together may send to one service in any window. */
export interface RetryBudgetOptions {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries beyond those. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Share of the budget that is used. The rest covers calls that arrive some time after they
 * were paid for, so that a window holds calls paid for before it.
 */
const USED_SHARE = 0.9;
/**
 * A token lives for one window, so a window's calls are paid for with the tokens of that
 * window and of the one before it.
 */
const WINDOWS_PER_TOKEN = 2;
/** Tokens that accrued over a longer time expire one after the other, in such steps. */
const ACCRUAL_STEP_MS = 250;
/** Share of its lifetime for which a token stays at the VM that created it. */
const KEPT_SHARE = 0.25;

/**
 * Creates retry tokens at a rate that, over all VMs, stays within the budget: one part for
 * each request that this VM receives, one part with time, divided by the number of VMs.
 * Starts empty, because an earlier process of this VM may have spent its part.
 */
export class RetryAllowance {
  readonly #tokens = new RetryTokens();
  #budget: RetryBudgetOptions;
  #vmCount: number;
  #accruedAt: number;
  #accruesWithTime = true;

  constructor(
    budget: RetryBudgetOptions,
    { vmCount, now }: { vmCount: number; now: number },
  ) {
    this.#budget = budget;
    this.#vmCount = vmCount;
    this.#accruedAt = now;
  }

  /** Number of tokens left, which may be a fraction. */
  getCount(now: number): number {
    this.#accrue(now);
    return this.#tokens.getCount(now);
  }

  /** Applies a changed budget. Tokens created under another one are dropped. */
  configure(budget: RetryBudgetOptions, now: number): void {
    const { ratio, slack, windowMs } = this.#budget;
    const isSame = budget.ratio === ratio && budget.slack === slack &&
      budget.windowMs === windowMs;
    if (isSame) return;
    this.#tokens.clear();
    this.#budget = budget;
    this.#accruedAt = now;
  }

  /** Sets the number of VMs among which the slack is divided. */
  setVmCount(count: number, now: number): void {
    this.#accrue(now);
    this.#vmCount = count;
  }

  /** Ends the accrual with time, once the VM no longer counts among those that share it. */
  stopAccruing(now: number): void {
    this.#accrue(now);
    this.#accruesWithTime = false;
  }

  /** Counts a caller's request. */
  onRequest(now: number): void {
    this.#accrue(now);
    const { ratio, windowMs } = this.#budget;
    const count = USED_SHARE * ratio / WINDOWS_PER_TOKEN;
    this.#tokens.add([{ count, expiresAt: now + windowMs }]);
  }

  /** Takes tokens, or none and returns undefined if too few are left. */
  tryTake(count: number, now: number): TokenBatch[] | undefined {
    this.#accrue(now);
    return this.#tokens.tryTake(count, now);
  }

  /** Puts tokens back that were taken and not spent. */
  putBack(batches: Iterable<TokenBatch>): void {
    this.#tokens.add(batches);
  }

  /**
   * Takes the tokens that this VM passes on to the dispatcher of its service. They all
   * expire with the first of them, so that one batch holds them and the message is short.
   */
  takeSurplus(now: number): TokenBatch[] {
    this.#accrue(now);
    const { windowMs } = this.#budget;
    const keptUntil = now + (1 - KEPT_SHARE) * windowMs;
    const surplus = this.#tokens.takeExpiringBefore(keptUntil, now);
    const [first] = surplus;
    if (first === undefined) return [];
    const count = surplus.reduce((sum, batch) => sum + batch.count, 0);
    return [{ count, expiresAt: first.expiresAt }];
  }

  #accrue(now: number): void {
    const { slack, windowMs } = this.#budget;
    const perMs = USED_SHARE * slack /
      (WINDOWS_PER_TOKEN * windowMs * this.#vmCount);
    let from = Math.max(this.#accruedAt, now - windowMs);
    this.#accruedAt = now;
    if (!this.#accruesWithTime) return;
    while (from < now) {
      const to = Math.min(from + ACCRUAL_STEP_MS, now);
      const expiresAt = from + windowMs;
      this.#tokens.add([{ count: perMs * (to - from), expiresAt }]);
      from = to;
    }
  }
}
