/**
 * Splits an event stream into complete events, so that a truncated event is never passed
 * on.
 * @module
 */
import { Buffer } from "node:buffer";

/** Complete events, with the id of the last one that has an id. */
export interface FramedEvents {
  /** The events, and blocks without an event beside them. */
  readonly bytes: Buffer;
  /** Number of events; 0 if there are only comments and blank lines. */
  readonly count: number;
  readonly lastId: string | undefined;
  /** Whether something else than an event follows, such as an error that broke in. */
  readonly isSpoilt: boolean;
}

const LF = 0x0a;
const CR = 0x0d;
/** A line that is neither a field of an event nor a comment nor blank. */
const FOREIGN_LINE = /^(?!(?:data|event|id|retry)(?::|\r?$)|:|\r?$)/m;
/** A line without which a block is no event, but a comment or blank lines. */
const EVENT_LINE = /^(?:data|event|id)/m;
/** A server's own field, which may begin an event. */
const EXTENSION_LINE = /^x-[\w-]+:.*\n/i;
const INITIAL_CAPACITY = 4096;
/** A larger buffer is given up after its event. */
const MAX_KEPT_CAPACITY = 16_384;
/** Longest end of an event, less one byte: LF CR LF. */
const MAX_END_OVERLAP = 2;
/** Longest block of blank lines: CR LF CR LF. */
const MAX_BLANK_BYTES = 4;

/** Frames the events of one stream. */
export class EventFramer {
  /** Holds the bytes of an incomplete event, and room for more. */
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;
  /** Length of the blocks at the start of the buffer, which precede the first event. */
  #heldBytes = 0;
  #hasEvents = false;
  #idleBytes = 0;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#length - this.#heldBytes;
  }

  /** Bytes since the last event, without those of an incomplete one. */
  get idleBytes(): number {
    return this.#idleBytes;
  }

  /** Returns the complete blocks of a stream that has ended without an event, if any. */
  takeHeld(): Buffer | undefined {
    if (this.#heldBytes === 0) return undefined;
    const held = Buffer.from(this.#buffer.subarray(0, this.#heldBytes));
    this.#length = 0;
    this.#heldBytes = 0;
    return held;
  }

  /** Adds bytes and returns the events that they complete, if any. */
  push(chunk: Buffer): FramedEvents | undefined {
    // The bytes that are pending hold no end of an event, except for a part of one.
    const searchFrom = Math.max(
      this.#heldBytes,
      this.#length - MAX_END_OVERLAP,
    );
    let bytes = chunk;
    if (this.#length > 0) {
      this.#append(chunk);
      bytes = this.#buffer.subarray(0, this.#length);
    }
    let end = 0;
    let count = 0;
    let lastId: string | undefined;
    let isSpoilt = false;
    let start = this.#heldBytes;
    for (let from = searchFrom; from < bytes.length;) {
      const next = findEventEnd(bytes, from);
      if (next < 0) break;
      const text = bytes.toString("latin1", start, next);
      isSpoilt = FOREIGN_LINE.test(text.replace(EXTENSION_LINE, ""));
      if (isSpoilt) break;
      if (text.length > MAX_BLANK_BYTES && EVENT_LINE.test(text)) {
        lastId = readId(text) ?? lastId;
        count++;
        this.#hasEvents = true;
        this.#idleBytes = 0;
      } else this.#idleBytes += text.length;
      // What precedes the first event must not begin the response to the caller.
      if (this.#hasEvents) end = next;
      start = next;
      from = next;
    }
    if (end === 0 && !isSpoilt) {
      if (bytes === chunk) this.#append(chunk);
      this.#heldBytes = start;
      return undefined;
    }
    const events = Buffer.from(bytes.subarray(0, end));
    this.#length = 0;
    this.#heldBytes = start - end;
    if (this.#buffer.length > MAX_KEPT_CAPACITY) this.#buffer = Buffer.alloc(0);
    this.#append(bytes.subarray(end));
    return { bytes: events, count, lastId, isSpoilt };
  }

  /** Adds bytes to the buffer, whose capacity doubles, so that each is copied few times. */
  #append(bytes: Buffer): void {
    const length = this.#length + bytes.length;
    if (length > this.#buffer.length) {
      const capacity = Math.max(INITIAL_CAPACITY, 2 * length);
      const grown = Buffer.allocUnsafe(capacity);
      this.#buffer.copy(grown, 0, 0, this.#length);
      this.#buffer = grown;
    }
    bytes.copy(this.#buffer, this.#length);
    this.#length = length;
  }
}

/** Offset after the first blank line that ends at or after `from`, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LF, from); at >= 0;) {
    const next = at + 1;
    if (bytes[next] === LF) return next + 1;
    if (bytes[next] === CR && bytes[next + 1] === LF) return next + 2;
    at = bytes.indexOf(LF, next);
  }
  return -1;
}

function readId(text: string): string | undefined {
  const match = /^id:[ ]?(.*?)\r?$/m.exec(text);
  return match?.[1];
}
