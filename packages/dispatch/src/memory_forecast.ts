/**
 * Forecasts the peak memory use of a decode server. Runs start small and grow with each
 * output until they end, so they do not all peak at once: reserving every run's peak would
 * refuse work that fits, and counting only current sizes would lead to preemption.
 * @module
 */

/** Expected growth of one run. */
export interface RunForecast {
  /** Tokens held now. */
  readonly tokens: number;
  /** Tokens still to be added before the run ends. */
  readonly remaining: number;
  /** Time until the run starts to add tokens. */
  readonly startsInMs: number;
}

/**
 * Largest total of tokens that the runs are expected to hold at any time from now on, if
 * each adds `tokensPerMs`.
 */
export function forecastPeak(
  runs: readonly RunForecast[],
  tokensPerMs: number,
): number {
  const growthRate = Math.max(tokensPerMs, Number.MIN_VALUE);
  const getEnd = (run: RunForecast) =>
    run.startsInMs + run.remaining / growthRate;
  let peak = 0;
  for (const last of runs) {
    // The total grows until a run ends, so its maximum is just before the end of a run.
    const at = getEnd(last);
    let sum = 0;
    for (const run of runs) {
      if (getEnd(run) < at) continue;
      const added = Math.max(0, at - run.startsInMs) * growthRate;
      sum += run.tokens + Math.min(run.remaining, added);
    }
    peak = Math.max(peak, sum);
  }
  return peak;
}
