/**
 * Notices that the machine may have been suspended. The monotonic clock does not count
 * that time and the time of day does; but the time of day may also be set, so that a
 * difference is only a reason to give up what must not outlive a suspension.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";

/** Differences below this come from the adjustment of the time of day. */
const LEAST_JUMP_MS = 250;

/** Compares the two clocks. */
export class ClockWatch {
  readonly #now: Clock;
  readonly #wall: Clock;
  #offset: number;

  constructor(options: { now?: Clock; wall?: Clock } = {}) {
    this.#now = options.now ?? monotonicNow;
    this.#wall = options.wall ?? Date.now;
    this.#offset = this.#wall() - this.#now();
  }

  /** Milliseconds by which the time of day has moved on its own since the last look. */
  check(): number {
    const offset = this.#wall() - this.#now();
    const jump = offset - this.#offset;
    if (Math.abs(jump) < LEAST_JUMP_MS) return 0;
    this.#offset = offset;
    return jump;
  }
}
