/**
 * The times of the last steps of a stop. They come sooner in a process that is short of
 * processor time, which shows in timers that fire late.
 * @module
 */
import { type Clock, monotonicNow, withTimeout } from "@bitternfall/types";

/** Part of the grace time that is kept for ending the requests that still run. */
const CLOSE_MARGIN_MS = 600;
/** Part of it that is kept for the end of the process. */
const EXIT_MARGIN_MS = 200;
/** What is added to both for each millisecond by which timers are late. */
const MARGIN_PER_LATE_MS = 4;
/** Largest share of the grace time that the margins take, unless it is short. */
const MAX_MARGIN_SHARE = 1 / 6;
const TICK_MS = 20;

/** Measures how late timers fire, and paces a stop by it. */
export class StopSchedule {
  readonly #startedAt: number;
  readonly #graceMs: number;
  readonly #now: Clock;
  #lateMs = 0;

  constructor(options: { graceMs: number; now?: Clock }) {
    const { graceMs, now = monotonicNow } = options;
    this.#now = now;
    this.#startedAt = now();
    this.#graceMs = graceMs;
  }

  /** Time since the begin of the stop. */
  get elapsedMs(): number {
    return this.#now() - this.#startedAt;
  }

  /** The most by which a timer has been late. */
  get lateMs(): number {
    return this.#lateMs;
  }

  /** Time after the begin at which requests without an answer are ended. */
  get cutAtMs(): number {
    return this.#before(CLOSE_MARGIN_MS);
  }

  /** Time after the begin at which the process closes everything. */
  get closeAtMs(): number {
    return this.#before(EXIT_MARGIN_MS);
  }

  /** Resolves once `done` has, or at a time after the begin, which may come closer meanwhile. */
  async waitUntil(
    getAtMs: () => number,
    done: Promise<void> = new Promise(() => {}),
  ): Promise<void> {
    const isDone = done.then(() => true);
    for (;;) {
      const leftMs = getAtMs() - this.elapsedMs;
      if (leftMs <= 0) return;
      const ms = Math.min(TICK_MS, leftMs);
      const dueAt = this.#now() + ms;
      if (await withTimeout(isDone, { ms, fallback: false })) return;
      this.#lateMs = Math.max(this.#lateMs, this.#now() - dueAt);
    }
  }

  #before(marginMs: number): number {
    const maxMs = Math.max(marginMs, this.#graceMs * MAX_MARGIN_SHARE);
    const lateMs = MARGIN_PER_LATE_MS * this.#lateMs;
    return this.#graceMs - Math.min(maxMs, marginMs + lateMs);
  }
}
