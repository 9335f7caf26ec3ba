/**
 * Queued requests of one service: strict priority between classes, and fair queueing by
 * deficit round robin across workspaces within a class.
 * @module
 */

/** Properties by which the queue orders an entry. */
export interface QueueEntry {
  readonly workspace: string;
  readonly priority: number;
  /** Work of the entry; the unit is that of the quantum. */
  readonly cost: number;
}

/** Entries of one workspace in one class. */
interface Lane<T> {
  readonly entries: T[];
  deficit: number;
  /** Whether the lane has received its quantum for this round. */
  hasQuantum: boolean;
}

const PRIORITY_CLASSES = 3;

/** A queue with priority classes that is fair to workspaces by cost. */
export class FairQueue<T extends QueueEntry> {
  readonly #classes: Map<string, Lane<T>>[] = Array.from(
    { length: PRIORITY_CLASSES },
    () => new Map(),
  );
  readonly #quantum: number;
  #size = 0;

  constructor(options: { quantum: number }) {
    this.#quantum = options.quantum;
  }

  get size(): number {
    return this.#size;
  }

  push(entry: T): void {
    const lanes = this.#classes[entry.priority]!;
    const lane = lanes.get(entry.workspace);
    if (lane === undefined) {
      lanes.set(entry.workspace, {
        entries: [entry],
        deficit: 0,
        hasQuantum: false,
      });
    } else lane.entries.push(entry);
    this.#size++;
  }

  /** The next entry; it stays in the queue until {@link take} or {@link remove}. */
  peek(): T | undefined {
    for (const lanes of this.#classes) {
      if (lanes.size > 0) return this.#peekClass(lanes);
    }
    return undefined;
  }

  /** Removes an entry and charges its cost to its workspace. */
  take(entry: T): void {
    const lane = this.#classes[entry.priority]!.get(entry.workspace);
    if (lane !== undefined) lane.deficit -= entry.cost;
    this.remove(entry);
  }

  /** Removes an entry without charging for it; false when it is not queued. */
  remove(entry: T): boolean {
    const lanes = this.#classes[entry.priority]!;
    const lane = lanes.get(entry.workspace);
    const index = lane?.entries.indexOf(entry) ?? -1;
    if (lane === undefined || index < 0) return false;
    lane.entries.splice(index, 1);
    if (lane.entries.length === 0) lanes.delete(entry.workspace);
    this.#size--;
    return true;
  }

  /** Estimates which entries are served before a new one of this workspace and class. */
  *listAhead(options: { workspace: string; priority: number }): Generator<T> {
    const { workspace, priority } = options;
    for (let higher = 0; higher < priority; higher++) {
      yield* this.#listClass(higher);
    }
    const lanes = this.#classes[priority]!;
    const ownCount = lanes.get(workspace)?.entries.length ?? 0;
    for (const [name, lane] of lanes) {
      const count = name === workspace
        ? ownCount
        : Math.min(lane.entries.length, ownCount + 1);
      for (let index = 0; index < count; index++) yield lane.entries[index]!;
    }
  }

  *[Symbol.iterator](): Generator<T> {
    for (let priority = 0; priority < PRIORITY_CLASSES; priority++) {
      yield* this.#listClass(priority);
    }
  }

  *#listClass(priority: number): Generator<T> {
    for (const lane of this.#classes[priority]!.values()) yield* lane.entries;
  }

  #peekClass(lanes: Map<string, Lane<T>>): T | undefined {
    for (;;) {
      for (const [workspace, lane] of lanes) {
        const entry = lane.entries[0]!;
        if (!lane.hasQuantum) {
          lane.deficit += this.#quantum;
          lane.hasQuantum = true;
        }
        if (lane.deficit >= entry.cost) return entry;
        // The deficit doesn't cover the entry yet: it is kept, and the lane goes to the end.
        lane.hasQuantum = false;
        lanes.delete(workspace);
        lanes.set(workspace, lane);
        break;
      }
    }
  }
}
