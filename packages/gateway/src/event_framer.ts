/**
 * Cuts an event stream into whole events, so that an event that breaks off midway is
 * never passed on.
 * @module
 */
import { Buffer } from "node:buffer";

/** Whole events with the id of the last of them. */
export interface FramedEvents {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastId: string | undefined;
}

const NEWLINE = 0x0a;
const RETURN = 0x0d;

/** Collects the bytes of one stream. */
export class EventFramer {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not yet whole. */
  get pendingBytes(): number {
    return this.#rest.length;
  }

  /** Adds bytes and returns the events that are whole now, if any. */
  push(chunk: Buffer): FramedEvents | undefined {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
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
    this.#rest = Buffer.from(bytes.subarray(end));
    if (count === 0) return undefined;
    return { bytes: bytes.subarray(0, end), count, lastId };
  }
}

/** Position after the blank line that ends the event which begins at `from`, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(NEWLINE, from); at >= 0;) {
    const next = at + 1;
    if (bytes[next] === NEWLINE) return next + 1;
    if (bytes[next] === RETURN && bytes[next + 1] === NEWLINE) return next + 2;
    at = bytes.indexOf(NEWLINE, next);
  }
  return -1;
}

function readId(bytes: Buffer, from: number, to: number): string | undefined {
  const text = bytes.toString("latin1", from, to);
  const match = /^id:[ ]?(.*?)\r?$/m.exec(text);
  return match?.[1];
}
