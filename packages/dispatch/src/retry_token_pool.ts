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

/** The clock of a pool, on which the tokens that other VMs pass to it expire. */
export interface RetryTokenClock {
  /** Changes with each process and each suspension. */
  readonly poolId: number;
  readonly now: number;
}

const MAX_POOL_ID = 2 ** 31;

/** Holds the pooled tokens. After a suspension of the machine, it drops them. */
export class RetryTokenPool {
  #id = createPoolId();
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

  /** Reads the clock by which {@link receive} expects tokens to expire. */
  readClock(): RetryTokenClock {
    this.#dropIfSuspended();
    return { poolId: this.#id, now: this.#now() };
  }

  /** Adds tokens from another VM, unless it has read the clock of another pool. */
  receive(poolId: number, batches: Iterable<TokenBatch>): void {
    this.#dropIfSuspended();
    if (poolId === this.#id) this.#tokens.add(batches);
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
    if (this.#clockJumps.detectJumpMs() <= 0) return;
    this.#tokens.clear();
    this.#id = createPoolId();
  }
}

function createPoolId(): number {
  return Math.floor(Math.random() * MAX_POOL_ID);
}
