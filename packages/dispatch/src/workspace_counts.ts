/**
 * Counts the queued and granted requests of each workspace.
 * @module
 */

/** Requests in flight by workspace. */
export class WorkspaceCounts {
  readonly #counts = new Map<string, number>();

  get(workspace: string): number {
    return this.#counts.get(workspace) ?? 0;
  }

  add(workspace: string, by: number): void {
    const count = this.get(workspace) + by;
    if (count > 0) this.#counts.set(workspace, count);
    else this.#counts.delete(workspace);
  }

  [Symbol.iterator](): IterableIterator<[string, number]> {
    return this.#counts[Symbol.iterator]();
  }
}
