/**
 * A monotonic clock that also counts the time for which the machine was suspended. The
 * time of day is not used: it may jump.
 * @module
 */
import * as os from "node:os";
import { type Clock, monotonicNow } from "@bitternfall/types";

/** Differences below this are the resolution of the system's uptime. */
const RESOLUTION_MS = 50;
/** Time from the start of a process for which differences are not counted. */
const SETTLE_MS = 1500;
const MS_PER_S = 1000;

/** Counts suspended time on top of the monotonic clock. */
export class SuspensionClock {
  readonly #now: Clock;
  readonly #uptime: Clock;
  readonly #startedAt: number;
  #base: number;
  #suspendedMs = 0;

  constructor(
    options: { now?: Clock; uptime?: Clock } = {},
  ) {
    const { now = monotonicNow, uptime = () => os.uptime() * MS_PER_S } =
      options;
    this.#now = now;
    this.#uptime = uptime;
    this.#startedAt = now();
    this.#base = uptime() - now();
  }

  /** Milliseconds, the time that the machine was suspended included. */
  readonly now: Clock = () => this.#now() + this.#suspendedMs;

  /** Looks for a suspension; returns the milliseconds newly found. */
  check(): number {
    // The two clocks run apart while a process starts on a machine that is just up.
    if (this.#now() - this.#startedAt < SETTLE_MS) {
      this.#base = this.#uptime() - this.#now();
      return 0;
    }
    const total = this.#uptime() - this.#now() - this.#base;
    const added = total - this.#suspendedMs;
    if (added < RESOLUTION_MS) return 0;
    this.#suspendedMs = total;
    return added;
  }
}
