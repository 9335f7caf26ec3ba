/**
 * Rate limit for the log lines of each kind of event, so that a flood of one kind
 * neither fills the log nor hides the others.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";

interface RateWindow {
  startedAt: number;
  written: number;
  suppressed: number;
}

const WINDOW_MS = 1000;

/** Limits the lines of each kind in fixed windows of one second. */
export class LogRateLimiter {
  #linesPerSecond: number;
  readonly #now: Clock;
  readonly #windowsByKind = new Map<string, RateWindow>();

  constructor(options: { linesPerSecond: number; now?: Clock }) {
    this.#linesPerSecond = options.linesPerSecond;
    this.#now = options.now ?? monotonicNow;
  }

  /** Replaces the limit; windows that have begun keep their counts. */
  configure(options: { linesPerSecond: number }): void {
    this.#linesPerSecond = options.linesPerSecond;
  }

  /**
   * Counts a line of `kind` against its limit. Returns undefined if the line must be
   * suppressed; otherwise the number of lines suppressed since the last written one.
   */
  tryAcquire(kind: string): number | undefined {
    if (this.#linesPerSecond === Infinity) return 0;
    const now = this.#now();
    let window = this.#windowsByKind.get(kind);
    if (window === undefined) {
      window = { startedAt: now, written: 0, suppressed: 0 };
      this.#windowsByKind.set(kind, window);
    }
    if (now - window.startedAt >= WINDOW_MS) {
      window.startedAt = now;
      window.written = 0;
    }
    if (window.written >= this.#linesPerSecond) {
      window.suppressed++;
      return undefined;
    }
    window.written++;
    const { suppressed } = window;
    window.suppressed = 0;
    return suppressed;
  }
}
