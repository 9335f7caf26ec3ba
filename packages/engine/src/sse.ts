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
  #incomplete: Buffer | undefined;

  /** Returns the events that `chunk` completes, or `undefined` if the stream is malformed. */
  push(chunk: Buffer): StreamEvent[] | undefined {
    const buffer = this.#incomplete === undefined
      ? chunk
      : Buffer.concat([this.#incomplete, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = buffer.indexOf(EVENT_SEPARATOR, start);
      if (end < 0) break;
      const event = parseEvent(buffer, { start, end });
      if (event === undefined) return undefined;
      events.push(event);
      start = end + EVENT_SEPARATOR.length;
    }
    this.#incomplete = start === buffer.length
      ? undefined
      : buffer.subarray(start);
    if (
      this.#incomplete !== undefined &&
      this.#incomplete.length > MAX_EVENT_BYTES
    ) {
      return undefined;
    }
    return events;
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
