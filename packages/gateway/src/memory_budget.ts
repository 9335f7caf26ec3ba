/**
 * Shares the memory of the process among what it holds for callers. Memory is reserved
 * before it is used; what does not fit is refused.
 * @module
 */

import { MemoryPool } from "@bitternfall/caller";

/** What memory is held for. */
export enum MemoryUse {
  /** Heads of requests, on the heap of the runtime. */
  Heads = "heads",
  /** Bodies of requests, outside of that heap. */
  Bodies = "bodies",
  /** Answers that their callers have not read yet, outside of that heap. */
  Answers = "answers",
}

const BYTES_PER_MB = 1e6;
/** Share of the machine's memory that is never planned for. */
const SAFETY_SHARE = 0.1;
/** Resident memory of a gateway without requests, with its connections to other VMs. */
const IDLE_BYTES = 90 * BYTES_PER_MB;
/**
 * Memory of connections, with the bytes that wait to be parsed, and memory no longer used
 * that the runtime has not returned.
 */
const COLLECTOR_LAG_BYTES = 68 * BYTES_PER_MB;
const MIN_SHARED_BYTES = 16 * BYTES_PER_MB;
const HEAD_SHARE = 0.35;
const BODY_SHARE = 0.4;
/** Share of the machine's memory; much of it is free whenever few callers send. */
const ANSWER_SHARE = 0.16;
/** Heads lie on the heap, which has a limit of its own. */
const MAX_HEAD_BYTES = 24 * BYTES_PER_MB;
/** One pool for each use, which together fit into a machine's memory. */
export class MemoryBudget {
  readonly pools: { readonly [use in MemoryUse]: MemoryPool };
  readonly #bodyBytes: number;

  constructor(options: { memoryMb: number; heldBodyBytes: number }) {
    const { memoryMb, heldBodyBytes } = options;
    const sharedBytes = Math.max(
      MIN_SHARED_BYTES,
      memoryMb * BYTES_PER_MB * (1 - SAFETY_SHARE) - IDLE_BYTES -
        COLLECTOR_LAG_BYTES,
    );
    const headBytes = Math.min(sharedBytes * HEAD_SHARE, MAX_HEAD_BYTES);
    this.#bodyBytes = sharedBytes * BODY_SHARE;
    this.pools = {
      heads: new MemoryPool(headBytes),
      bodies: new MemoryPool(0),
      answers: new MemoryPool(memoryMb * BYTES_PER_MB * ANSWER_SHARE),
    };
    this.limitBodies(heldBodyBytes);
  }

  /** Limits the bodies further; takes force for what is reserved from now on. */
  limitBodies(heldBodyBytes: number): void {
    this.pools.bodies.limitBytes = Math.min(this.#bodyBytes, heldBodyBytes);
  }
}
