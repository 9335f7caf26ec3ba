/**
 * Seeds that once broke a promise. They stay in the short run of every change.
 * @module
 */

/** Seeds with the cause that was found. */
export const REGRESSIONS: readonly {
  readonly seed: number;
  readonly cause: string;
}[] = [];
