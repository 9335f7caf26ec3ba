/**
 * What the requests of one service have lately been like, from the runs that ended.
 * @module
 */

/** Typical request of a service. */
export interface ObservedLoad {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time from the grant of a run to its end, in milliseconds. */
  readonly holdMs: number;
}

/** Runs to observe before their means are used. */
const MIN_RUNS = 30;
/**
 * Time to observe, as a multiple of the mean duration of a run. Short runs end first, so the
 * means of a shorter time are too low.
 */
const MIN_OBSERVED_HOLDS = 3;
/** Share of the newest run in the moving averages. */
const SMOOTHING = 0.01;

/** Moving averages over the runs of one service. */
export class LoadProfile {
  #runs = 0;
  #firstGrantAt: number | undefined;
  #means: ObservedLoad = { promptTokens: 0, outputTokens: 0, holdMs: 0 };

  /** Records that a run was granted. */
  recordGrant(now: number): void {
    this.#firstGrantAt ??= now;
  }

  /** Whether any run was granted. */
  get hasGrants(): boolean {
    return this.#firstGrantAt !== undefined;
  }

  /** Records a run that has ended after at least one output. */
  recordRun(run: ObservedLoad): void {
    this.#runs++;
    // The first runs have equal weights, so that no initial value remains in the means.
    const weight = Math.max(1 / this.#runs, SMOOTHING);
    const mix = (mean: number, value: number) => mean + weight * (value - mean);
    this.#means = {
      promptTokens: mix(this.#means.promptTokens, run.promptTokens),
      outputTokens: mix(this.#means.outputTokens, run.outputTokens),
      holdMs: mix(this.#means.holdMs, run.holdMs),
    };
  }

  /** Returns the means, or undefined until enough runs have ended. */
  getObserved(now: number): ObservedLoad | undefined {
    if (this.#firstGrantAt === undefined || this.#runs < MIN_RUNS) {
      return undefined;
    }
    const observedMs = now - this.#firstGrantAt;
    const isLongEnough = observedMs >= MIN_OBSERVED_HOLDS * this.#means.holdMs;
    return isLongEnough ? this.#means : undefined;
  }
}
