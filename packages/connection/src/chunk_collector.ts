/**
 * Keeps bytes that arrive in chunks. A chunk of few bytes takes some hundred bytes of heap
 * as a `Buffer` of its own, so that a body in small chunks would take far more than it holds.
 * @module
 */
import { Buffer } from "node:buffer";

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 65_536;

/** Copies chunks into blocks as they come; holds at most one block more than their bytes. */
export class ChunkCollector {
  #blocks: Buffer[] = [];
  #last: Buffer = Buffer.alloc(0);
  /** Bytes of the last block that are in use. */
  #used = 0;
  #size = 0;

  /** Number of bytes that were added since the last call of {@link take}. */
  get size(): number {
    return this.#size;
  }

  /** Adds the bytes of a chunk, which is not kept. */
  add(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      if (this.#used === this.#last.length) this.#open(chunk.length - copied);
      const count = chunk.copy(this.#last, this.#used, copied);
      this.#used += count;
      copied += count;
    }
    this.#size += chunk.length;
  }

  /** Returns all bytes, in as few parts as they are kept in, and begins anew. */
  take(): Buffer[] {
    const parts = this.#blocks;
    if (this.#used > 0) parts.push(this.#last.subarray(0, this.#used));
    this.#blocks = [];
    this.#last = Buffer.alloc(0);
    this.#used = 0;
    this.#size = 0;
    return parts;
  }

  /** Opens a block as large as what has been added, within limits. */
  #open(neededBytes: number): void {
    if (this.#used > 0) this.#blocks.push(this.#last);
    const bytes = Math.max(MIN_BLOCK_BYTES, neededBytes, this.#size);
    this.#last = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, bytes));
    this.#used = 0;
  }
}
