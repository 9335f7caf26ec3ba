/**
 * Percentiles of recent latencies.
 * @module
 */

const CAPACITY = 200;
const FRESH_EVERY = 20;

/** The last latencies, with a percentile that is worked out now and then. */
export class LatencyWindow {
  readonly #values: number[] = [];
  #next = 0;
  #added = 0;
  #sorted: number[] = [];

  /** Adds a latency in milliseconds. */
  add(ms: number): void {
    this.#values[this.#next] = ms;
    this.#next = (this.#next + 1) % CAPACITY;
    this.#added++;
    if (this.#added % FRESH_EVERY === 0) {
      this.#sorted = [...this.#values].sort((a, b) => a - b);
    }
  }

  /** The latency that a share of the window stays below; infinite while there is too little. */
  getPercentile(share: number): number {
    if (this.#sorted.length === 0) return Infinity;
    return this
      .#sorted[
        Math.min(
          this.#sorted.length - 1,
          Math.floor(share * this.#sorted.length),
        )
      ]!;
  }
}
