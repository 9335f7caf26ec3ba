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

  /** Quantile of the window for a `share` from 0 to 1; `Infinity` with too few samples. */
  getQuantile(share: number): number {
    const { sorted, count } = this.#latencies;
    if (count < MIN_SAMPLES) return Infinity;
    const index = Math.min(
      sorted.length - 1,
      Math.floor(share * sorted.length),
    );
    return sorted[index]!;
  }
}
