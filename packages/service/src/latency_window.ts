/**
 * Percentiles of recent latencies.
 * @module
 */
import { RecentValues } from "@bitternfall/types";

/** Latencies below which a percentile says nothing. */
const MIN_LATENCIES = 20;

/** The last latencies, with a percentile that is worked out now and then. */
export class LatencyWindow {
  readonly #latencies = new RecentValues();

  /** Adds a latency in milliseconds. */
  add(ms: number): void {
    this.#latencies.add(ms);
  }

  /** The latency that a share of the window stays below; infinite while there is too little. */
  getPercentile(share: number): number {
    const { sorted, count } = this.#latencies;
    if (count < MIN_LATENCIES) return Infinity;
    const index = Math.min(
      sorted.length - 1,
      Math.floor(share * sorted.length),
    );
    return sorted[index]!;
  }
}
