/**
 * Splits an event stream into complete events, so that a truncated event is never passed
 * on.
 * @module
 */
import { Buffer } from "node:buffer";

/** Complete events, with the id of the last one that has an id. */
export interface FramedEvents {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastId: string | undefined;
}

const LF = 0x0a;
const CR = 0x0d;

/** Frames the events of one stream. */
export class EventFramer {
  #pending: Buffer = Buffer.alloc(0);

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Adds bytes and returns the events that they complete, if any. */
  push(chunk: Buffer): FramedEvents | undefined {
    const bytes = this.#pending.length === 0
      ? chunk
      : Buffer.concat([this.#pending, chunk]);
    let end = 0;
    let count = 0;
    let lastId: string | undefined;
    for (let at = 0; at < bytes.length;) {
      const next = findEventEnd(bytes, at);
      if (next < 0) break;
      lastId = readId(bytes, at, next) ?? lastId;
      count++;
      end = next;
      at = next;
    }
    this.#pending = Buffer.from(bytes.subarray(end));
    if (count === 0) return undefined;
    return { bytes: bytes.subarray(0, end), count, lastId };
  }
}

/** Offset after the blank line that ends the event beginning at `from`, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LF, from); at >= 0;) {
    const next = at + 1;
    if (bytes[next] === LF) return next + 1;
    if (bytes[next] === CR && bytes[next + 1] === LF) return next + 2;
    at = bytes.indexOf(LF, next);
  }
  return -1;
}

function readId(bytes: Buffer, from: number, to: number): string | undefined {
  const text = bytes.toString("latin1", from, to);
  const match = /^id:[ ]?(.*?)\r?$/m.exec(text);
  return match?.[1];
}
