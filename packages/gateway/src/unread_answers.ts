/**
 * Limits the memory of answers that their callers do not read.
 * @module
 */
import type { MemoryPool } from "@bitternfall/caller";

/** A part of an answer that its caller has not taken yet. */
interface UnreadAnswer {
  readonly bytes: number;
  readonly drop: () => void;
}

/** Drops the answers that have waited longest when all of them take too much memory. */
export class UnreadAnswers {
  readonly #pool: MemoryPool;
  /** In the order in which they began to wait. */
  readonly #waiting = new Set<UnreadAnswer>();

  constructor(pool: MemoryPool) {
    this.#pool = pool;
  }

  /**
   * Counts `bytes` until the returned function is called. `drop` breaks the answer off, to
   * make room for others.
   */
  hold(bytes: number, drop: () => void): () => void {
    const answer = { bytes, drop };
    while (!this.#pool.hold(bytes, 0)) {
      const [longest] = this.#waiting;
      if (longest === undefined) return () => {};
      this.#release(longest);
      longest.drop();
    }
    this.#waiting.add(answer);
    return () => this.#release(answer);
  }

  #release(answer: UnreadAnswer): void {
    if (this.#waiting.delete(answer)) this.#pool.free(answer.bytes);
  }
}
