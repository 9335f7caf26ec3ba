/**
 * Quantiles of the last values of a kind.
 * @module
 */

const CAPACITY = 200;
/** The values are sorted anew after this many, and after each of the first. */
const SORT_EVERY = 20;

/** A window of values. */
export class RecentValues {
  readonly #values: number[] = [];
  #added = 0;
  #sorted: readonly number[] = [];

  /** Values that were added in all. */
  get count(): number {
    return this.#added;
  }

  add(value: number): void {
    this.#values[this.#added % CAPACITY] = value;
    this.#added++;
    if (this.#added > SORT_EVERY && this.#added % SORT_EVERY !== 0) return;
    this.#sorted = [...this.#values].sort((a, b) => a - b);
  }

  /** The window's values in order, as of the last time that they were sorted. */
  get sorted(): readonly number[] {
    return this.#sorted;
  }

  /** The value that a share of the window stays at or below; 0 while it is empty. */
  getQuantile(share: number): number {
    const last = this.#sorted.length - 1;
    return this.#sorted[Math.round(share * last)] ?? 0;
  }
}
