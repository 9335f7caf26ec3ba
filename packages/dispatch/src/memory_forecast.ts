/**
 * Foresees the memory of a decode server. Pattern: runs begin small and grow with each
 * output until they end, so that their largest sizes do not come together; setting all
 * of them aside refuses work that would fit, and counting only today's sizes ends in
 * preemption.
 * @module
 */

/** One run as it is expected to go on. */
export interface RunForecast {
  /** Tokens that it holds now. */
  readonly tokens: number;
  /** Tokens that it will still add before it ends. */
  readonly remaining: number;
  /** Time until it starts to add. */
  readonly startsInMs: number;
}

/**
 * Most tokens that the runs are expected to hold together at any time from now, when
 * each adds `tokensPerMs`.
 */
export function forecastPeak(
  runs: readonly RunForecast[],
  tokensPerMs: number,
): number {
  const pace = Math.max(tokensPerMs, Number.MIN_VALUE);
  const getEnd = (run: RunForecast) => run.startsInMs + run.remaining / pace;
  let peak = 0;
  for (const last of runs) {
    // The sum grows until a run ends, so it is largest just before an end.
    const at = getEnd(last);
    let sum = 0;
    for (const run of runs) {
      if (getEnd(run) < at) continue;
      const added = Math.max(0, at - run.startsInMs) * pace;
      sum += run.tokens + Math.min(run.remaining, added);
    }
    peak = Math.max(peak, sum);
  }
  return peak;
}
