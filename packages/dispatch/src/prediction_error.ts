/**
 * How far predictions of the first output are off, so that admission can keep a margin.
 * @module
 */

const GAIN = 0.05;
/** Deviations that the margin covers on top of the mean error. */
const MARGIN_DEVIATIONS = 2;
const INITIAL_DEVIATION_MS = 15;
/** A stall says nothing of the next prediction, so a single error counts no more. */
const MAX_ERROR_MS = 100;

/** Running mean and mean deviation of prediction errors. */
export class PredictionError {
  #meanMs = 0;
  #deviationMs = INITIAL_DEVIATION_MS;

  /** Time that has to be allowed for on top of a prediction. */
  get marginMs(): number {
    return Math.max(0, this.#meanMs + MARGIN_DEVIATIONS * this.#deviationMs);
  }

  /** A first output came `lateMs` later than predicted; earlier when negative. */
  add(lateMs: number): void {
    const ms = Math.max(-MAX_ERROR_MS, Math.min(MAX_ERROR_MS, lateMs));
    this.#meanMs += GAIN * (ms - this.#meanMs);
    this.#deviationMs += GAIN *
      (Math.abs(ms - this.#meanMs) - this.#deviationMs);
  }
}
