/**
 * Detects that the machine may have been suspended: the wall clock counts that time and the
 * monotonic clock does not. The wall clock may also have been set, so a jump only justifies
 * giving up what must not outlive a suspension, such as a lease.
 * @module
 */
import { type Clock, monotonicNow } from "./clock.ts";

/** Smaller differences come from the gradual adjustment of the wall clock. */
const MIN_JUMP_MS = 250;

/** Compares the wall clock with the monotonic clock. */
export class ClockJumpDetector {
  readonly #now: Clock;
  readonly #wallClock: Clock;
  #offset: number;

  constructor(
    options: { now?: Clock | undefined; wall?: Clock | undefined } = {},
  ) {
    this.#now = options.now ?? monotonicNow;
    this.#wallClock = options.wall ?? Date.now;
    this.#offset = this.#wallClock() - this.#now();
  }

  /** Milliseconds that the wall clock has jumped since the last call; 0 if none. */
  detectJumpMs(): number {
    const offset = this.#wallClock() - this.#now();
    const jumpMs = offset - this.#offset;
    if (Math.abs(jumpMs) < MIN_JUMP_MS) return 0;
    this.#offset = offset;
    return jumpMs;
  }
}
