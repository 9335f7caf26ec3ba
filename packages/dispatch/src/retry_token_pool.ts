/**
 * The retry tokens that a dispatcher has received from all VMs.
 * @module
 */
import { type Clock, ClockJumpDetector } from "@bitternfall/types";
import { RetryTokens, type TokenBatch } from "./retry_tokens.ts";

/** Options of a {@link RetryTokenPool}. */
export interface RetryTokenPoolOptions {
  /** The monotonic clock on which tokens expire. */
  readonly now: Clock;
  /** The time of day, which also counts while the machine is suspended. */
  readonly wallClock?: Clock | undefined;
}

/** Holds the pooled tokens. After a suspension of the machine, it drops them. */
export class RetryTokenPool {
  readonly #tokens = new RetryTokens();
  readonly #now: Clock;
  readonly #clockJumps: ClockJumpDetector;

  constructor({ now, wallClock: wall }: RetryTokenPoolOptions) {
    this.#now = now;
    this.#clockJumps = new ClockJumpDetector({ now, wall });
  }

  /** Number of tokens left, which may be a fraction. */
  getCount(): number {
    this.#dropIfSuspended();
    return this.#tokens.getCount(this.#now());
  }

  /** Adds tokens that this VM has created or held. */
  add(batches: Iterable<TokenBatch>): void {
    this.#dropIfSuspended();
    this.#tokens.add(batches);
  }

  /** Takes `count` tokens; takes none and returns false if fewer are left. */
  tryTake(count: number): boolean {
    this.#dropIfSuspended();
    return this.#tokens.tryTake(count, this.#now()) !== undefined;
  }

  /** Takes all tokens. */
  takeAll(): TokenBatch[] {
    this.#dropIfSuspended();
    return this.#tokens.takeExpiringBefore(Infinity, this.#now());
  }

  /**
   * The monotonic clock stands during a suspension, so the tokens would outlive their window,
   * while the VMs that created them went on creating others.
   */
  #dropIfSuspended(): void {
    if (this.#clockJumps.detectJumpMs() > 0) this.#tokens.clear();
  }
}
