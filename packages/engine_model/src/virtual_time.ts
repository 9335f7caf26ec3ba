/**
 * Virtual time: tasks run in order of their times, and promises settle in between.
 * @module
 */

interface Task {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  isCancelled: boolean;
}

/** Turns of the microtask queue that settle every chain of promises of a task. */
const SETTLE_TURNS = 12;

/** A clock that moves from task to task. */
export class VirtualTime {
  #now = 0;
  #order = 0;
  readonly #heap: Task[] = [];

  /** The time in milliseconds. */
  readonly now = (): number => this.#now;

  /** Runs a task after `ms`; the returned function cancels it. */
  readonly schedule = (ms: number, run: () => void): () => void => {
    const at = this.#now + Math.max(0, ms);
    const task = { at, order: this.#order++, run, isCancelled: false };
    this.#push(task);
    return () => task.isCancelled = true;
  };

  /** Runs all tasks that fall due until `endMs`. */
  async run(endMs: number): Promise<void> {
    for (;;) {
      const task = this.#heap[0];
      if (task === undefined || task.at > endMs) break;
      this.#pop();
      if (task.isCancelled) continue;
      this.#now = task.at;
      task.run();
      for (let turn = 0; turn < SETTLE_TURNS; turn++) await undefined;
    }
    this.#now = endMs;
  }

  #push(task: Task): void {
    const heap = this.#heap;
    let at = heap.push(task) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(task, heap[parent]!)) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = task;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
  }
}

function isBefore(a: Task, b: Task): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
