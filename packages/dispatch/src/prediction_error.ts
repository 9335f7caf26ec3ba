/**
 * Tracks the error of first-output predictions, from which admission derives its margin.
 * @module
 */

const SMOOTHING = 0.05;
/** Mean deviations that the margin adds to the mean error. */
const MARGIN_DEVIATIONS = 2;
const INITIAL_DEVIATION_MS = 15;
/** Errors are clamped to this, because a stall says nothing about the next prediction. */
const MAX_ERROR_MS = 100;

/** Moving averages of prediction errors and of their deviation. */
export class PredictionError {
  #meanMs = 0;
  #deviationMs = INITIAL_DEVIATION_MS;

  /** Safety margin to add to a prediction. */
  get marginMs(): number {
    return Math.max(0, this.#meanMs + MARGIN_DEVIATIONS * this.#deviationMs);
  }

  /** Adds a first output that came `lateMs` after its predicted time; negative if before. */
  add(lateMs: number): void {
    const errorMs = Math.max(-MAX_ERROR_MS, Math.min(MAX_ERROR_MS, lateMs));
    this.#meanMs += SMOOTHING * (errorMs - this.#meanMs);
    this.#deviationMs += SMOOTHING *
      (Math.abs(errorMs - this.#meanMs) - this.#deviationMs);
  }
}
