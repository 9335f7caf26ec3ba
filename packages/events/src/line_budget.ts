/**
 * Bounds the log lines of each kind of event, so that a flood of one kind neither fills
 * the log nor hides the others.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";

interface Window {
  startedAt: number;
  written: number;
  suppressed: number;
}

const WINDOW_MS = 1000;

/** Counts lines by kind and second. */
export class LineBudget {
  #linesPerSecond: number;
  readonly #now: Clock;
  readonly #windows = new Map<string, Window>();

  constructor(options: { linesPerSecond: number; now?: Clock }) {
    this.#linesPerSecond = options.linesPerSecond;
    this.#now = options.now ?? monotonicNow;
  }

  configure(options: { linesPerSecond: number }): void {
    this.#linesPerSecond = options.linesPerSecond;
  }

  /**
   * Takes a line of a kind. Undefined when it is to be left out, else the number of
   * lines left out since the last one that was written.
   */
  take(kind: string): number | undefined {
    if (this.#linesPerSecond === Infinity) return 0;
    const now = this.#now();
    let window = this.#windows.get(kind);
    if (window === undefined) {
      window = { startedAt: now, written: 0, suppressed: 0 };
      this.#windows.set(kind, window);
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
