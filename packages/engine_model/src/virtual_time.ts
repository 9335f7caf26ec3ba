/**
 * Virtual clock with an event queue: tasks run in order of their due times, and the
 * promises that a task resolves settle before the next task runs.
 * @module
 */

interface Task {
  readonly dueAt: number;
  /** Order of scheduling, for tasks that are due at the same time. */
  readonly scheduleOrder: number;
  readonly run: () => void;
  isCancelled: boolean;
}

/** Microtask turns after a task; enough to settle the longest chain of promises. */
const MICROTASK_TURNS = 12;

/** A clock that jumps to the due time of the next task. */
export class VirtualTime {
  #now = 0;
  #nextScheduleOrder = 0;
  /** Binary heap, earliest task first. */
  readonly #heap: Task[] = [];

  /** Returns the virtual time in milliseconds. */
  readonly now = (): number => this.#now;

  /** Schedules a task in `ms`; returns a function that cancels it. */
  readonly schedule = (ms: number, run: () => void): () => void => {
    const dueAt = this.#now + Math.max(0, ms);
    const task = {
      dueAt,
      scheduleOrder: this.#nextScheduleOrder++,
      run,
      isCancelled: false,
    };
    this.#push(task);
    return () => task.isCancelled = true;
  };

  /** Runs all tasks that are due by `endMs`, then sets the time to `endMs`. */
  async run(endMs: number): Promise<void> {
    for (;;) {
      const task = this.#heap[0];
      if (task === undefined || task.dueAt > endMs) break;
      this.#pop();
      if (task.isCancelled) continue;
      this.#now = task.dueAt;
      task.run();
      for (let turn = 0; turn < MICROTASK_TURNS; turn++) await undefined;
    }
    this.#now = endMs;
  }

  #push(task: Task): void {
    const heap = this.#heap;
    let index = heap.push(task) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(task, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = task;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(a: Task, b: Task): boolean {
  return a.dueAt < b.dueAt ||
    (a.dueAt === b.dueAt && a.scheduleOrder < b.scheduleOrder);
}
