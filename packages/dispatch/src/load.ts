/**
 * Load of an engine as it reports it.
 * @module
 */

/** A lagging load report. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Age of the figures when they came, in milliseconds. */
  readonly ageMs: number;
}
