/**
 * Splits an engine's output stream into server-sent events, without parsing their payloads
 * and without copying events that arrive in one chunk.
 * @module
 */
import { Buffer } from "node:buffer";

/** One server-sent event of a stream. */
export interface StreamEvent {
  readonly attempt: number;
  /** Position of the event in the output; for the end event, the length of the output. */
  readonly offset: number;
  readonly isEnd: boolean;
  /** Payload of the `data:` line. */
  readonly data: Buffer;
  /** The complete event with its terminating blank line. */
  readonly raw: Buffer;
}

const EMPTY = Buffer.alloc(0);
const MIN_CAPACITY = 512;
const EVENT_SEPARATOR = Buffer.from("\n\n");
const DATA_PREFIX = Buffer.from("\ndata: ");
const NEWLINE = 0x0a;
const DOT = 0x2e;
const DIGIT_0 = 0x30;
const MAX_EVENT_BYTES = 1_000_000;
/** Length of `id: `. */
const ID_PREFIX_BYTES = 4;

/** Incremental splitter of events whose `id`, `event` and `data` lines come in this order. */
export class EventSplitter {
  /** Holds the bytes of an incomplete event, and room for more. */
  #buffer: Buffer = EMPTY;
  #length = 0;

  /** Returns the events that `chunk` completes, or `undefined` if the stream is malformed. */
  push(chunk: Buffer): StreamEvent[] | undefined {
    // The bytes that are held may end with the first half of a separator.
    const searchFrom = Math.max(0, this.#length - 1);
    const isBuffered = this.#length > 0;
    if (isBuffered) this.#append(chunk);
    const buffer = isBuffered ? this.#buffer.subarray(0, this.#length) : chunk;
    const events: StreamEvent[] = [];
    let start = 0;
    for (let from = searchFrom;;) {
      const end = buffer.indexOf(EVENT_SEPARATOR, from);
      if (end < 0) break;
      const event = parseEvent(buffer, { start, end });
      if (event === undefined) return undefined;
      events.push(event);
      start = end + EVENT_SEPARATOR.length;
      from = start;
    }
    if (buffer.length - start > MAX_EVENT_BYTES) return undefined;
    if (events.length === 0 && isBuffered) return events;
    // The events are views of the buffer, so it is not used again.
    this.#buffer = EMPTY;
    this.#length = 0;
    if (start < buffer.length) this.#append(buffer.subarray(start));
    return events;
  }

  /** Adds bytes to the buffer, whose capacity doubles, so that each is copied few times. */
  #append(bytes: Buffer): void {
    const length = this.#length + bytes.length;
    if (length > this.#buffer.length) {
      const grown = Buffer.allocUnsafe(Math.max(MIN_CAPACITY, 2 * length));
      this.#buffer.copy(grown, 0, 0, this.#length);
      this.#buffer = grown;
    }
    bytes.copy(this.#buffer, this.#length);
    this.#length = length;
  }
}

function parseEvent(
  buffer: Buffer,
  range: { start: number; end: number },
): StreamEvent | undefined {
  const { start, end } = range;
  if (
    buffer[start] !== 0x69 || buffer[start + 1] !== 0x64 ||
    buffer[start + 2] !== 0x3a
  ) return undefined;
  let at = start + ID_PREFIX_BYTES;
  const attempt = parseNumber(buffer, { at, terminator: DOT });
  if (attempt === undefined) return undefined;
  at = attempt.next;
  const offset = parseNumber(buffer, { at, terminator: NEWLINE });
  if (offset === undefined) return undefined;
  const lineEnd = offset.next - 1;
  const dataAt = buffer.indexOf(DATA_PREFIX, lineEnd);
  if (dataAt < 0 || dataAt >= end) return undefined;
  const isEnd = dataAt !== lineEnd;
  return {
    attempt: attempt.value,
    offset: offset.value,
    isEnd,
    data: buffer.subarray(dataAt + DATA_PREFIX.length, end),
    raw: buffer.subarray(start, end + EVENT_SEPARATOR.length),
  };
}

function parseNumber(
  buffer: Buffer,
  options: { at: number; terminator: number },
): { value: number; next: number } | undefined {
  let { at } = options;
  let value = 0;
  const first = at;
  for (; at < buffer.length; at++) {
    const byte = buffer[at]!;
    if (byte === options.terminator) {
      return at === first ? undefined : { value, next: at + 1 };
    }
    const digit = byte - DIGIT_0;
    if (digit < 0 || digit > 9 || value > 1e12) return undefined;
    value = value * 10 + digit;
  }
  return undefined;
}
