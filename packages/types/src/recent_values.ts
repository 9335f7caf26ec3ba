/**
 * Quantiles over a sliding window of recent values.
 * @module
 */

const WINDOW_SIZE = 200;
/** Number of values added between two sorts; each value up to that number triggers one. */
const SORT_EVERY = 20;

/** Sliding window over the last {@link WINDOW_SIZE} values. */
export class RecentValues {
  readonly #values: number[] = [];
  #added = 0;
  #sorted: readonly number[] = [];

  /** Total number of values added, including those that have left the window. */
  get count(): number {
    return this.#added;
  }

  add(value: number): void {
    this.#values[this.#added % WINDOW_SIZE] = value;
    this.#added++;
    if (this.#added > SORT_EVERY && this.#added % SORT_EVERY !== 0) return;
    this.#sorted = [...this.#values].sort((a, b) => a - b);
  }

  /** Values of the window in ascending order, as of the last sort. */
  get sorted(): readonly number[] {
    return this.#sorted;
  }

  /** Value at a quantile from 0 to 1, as of the last sort; 0 while the window is empty. */
  getQuantile(quantile: number): number {
    const lastIndex = this.#sorted.length - 1;
    return this.#sorted[Math.round(quantile * lastIndex)] ?? 0;
  }
}
