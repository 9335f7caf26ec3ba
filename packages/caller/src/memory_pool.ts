/**
 * Counts the memory that is held for requests. It is reserved before it is used.
 * @module
 */

/** Reservations up to this size may use all of their limit, larger ones only a part. */
export const SMALL_BYTES = 65_536;
const SHARE_OF_LARGE = 0.75;

/** Bytes that are held for one use, up to a limit. */
export class MemoryPool {
  limitBytes: number;
  #heldBytes = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Begins an empty reservation. */
  open(): Reservation {
    return new Reservation(this);
  }

  /** Holds `bytes` more for a reservation of `totalBytes` if they fit. */
  hold(bytes: number, totalBytes: number): boolean {
    const limitBytes = totalBytes > SMALL_BYTES
      ? this.limitBytes * SHARE_OF_LARGE
      : this.limitBytes;
    if (this.#heldBytes + bytes > limitBytes) return false;
    this.#heldBytes += bytes;
    return true;
  }

  free(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}

/** Memory that one request holds of a pool. */
export class Reservation {
  readonly #pool: MemoryPool;
  #bytes = 0;

  constructor(pool: MemoryPool) {
    this.#pool = pool;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Reserves `bytes` more; false if they do not fit, and then nothing changes. */
  reserve(bytes: number): boolean {
    if (!this.#pool.hold(bytes, this.#bytes + bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Gives `bytes` back, by default all of them. */
  release(bytes: number = this.#bytes): void {
    this.#pool.free(bytes);
    this.#bytes -= bytes;
  }
}
