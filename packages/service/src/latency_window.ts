/**
 * Quantiles of recent latencies.
 * @module
 */
import { RecentValues } from "@bitternfall/types";

/** With fewer samples, a quantile is not meaningful. */
const MIN_SAMPLES = 20;

/** A sliding window of latencies. Its quantiles may lag behind the newest samples. */
export class LatencyWindow {
  readonly #latencies = new RecentValues();

  /** Adds a latency in milliseconds. */
  add(ms: number): void {
    this.#latencies.add(ms);
  }

  /** Value at a quantile from 0 to 1; `Infinity` with too few samples. */
  getQuantile(quantile: number): number {
    const { sorted, count } = this.#latencies;
    if (count < MIN_SAMPLES) return Infinity;
    const index = Math.min(
      sorted.length - 1,
      Math.floor(quantile * sorted.length),
    );
    return sorted[index]!;
  }
}
