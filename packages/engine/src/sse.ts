/**
 * Splits an engine's event stream without copying or parsing the payload.
 * @module
 */
import { Buffer } from "node:buffer";

/** One event of a stream. */
export interface StreamEvent {
  readonly attempt: number;
  /** Position of the output that the event carries, or the length for the end event. */
  readonly offset: number;
  readonly isEnd: boolean;
  /** The payload of the `data:` line. */
  readonly data: Buffer;
  /** The whole event with its closing blank line. */
  readonly raw: Buffer;
}

const SEPARATOR = Buffer.from("\n\n");
const DATA = Buffer.from("\ndata: ");
const NEWLINE = 0x0a;
const DOT = 0x2e;
const DIGIT_0 = 0x30;
const MAX_EVENT_BYTES = 1_000_000;
/** `id: ` */
const ID_LENGTH = 4;

/** Incremental splitter of `id`, `event` and `data` lines in the order engines send them. */
export class EventSplitter {
  #rest: Buffer | undefined;

  /** Splits what is complete after `chunk`; undefined when the stream is malformed. */
  push(chunk: Buffer): StreamEvent[] | undefined {
    const buffer = this.#rest === undefined
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = buffer.indexOf(SEPARATOR, start);
      if (end < 0) break;
      const event = readEvent(buffer, { start, end });
      if (event === undefined) return undefined;
      events.push(event);
      start = end + SEPARATOR.length;
    }
    this.#rest = start === buffer.length ? undefined : buffer.subarray(start);
    if (this.#rest !== undefined && this.#rest.length > MAX_EVENT_BYTES) {
      return undefined;
    }
    return events;
  }
}

function readEvent(
  buffer: Buffer,
  range: { start: number; end: number },
): StreamEvent | undefined {
  const { start, end } = range;
  if (
    buffer[start] !== 0x69 || buffer[start + 1] !== 0x64 ||
    buffer[start + 2] !== 0x3a
  ) return undefined;
  let at = start + ID_LENGTH;
  const attempt = readNumber(buffer, { at, stop: DOT });
  if (attempt === undefined) return undefined;
  at = attempt.next;
  const offset = readNumber(buffer, { at, stop: NEWLINE });
  if (offset === undefined) return undefined;
  const lineEnd = offset.next - 1;
  const dataAt = buffer.indexOf(DATA, lineEnd);
  if (dataAt < 0 || dataAt >= end) return undefined;
  const isEnd = dataAt !== lineEnd;
  return {
    attempt: attempt.value,
    offset: offset.value,
    isEnd,
    data: buffer.subarray(dataAt + DATA.length, end),
    raw: buffer.subarray(start, end + SEPARATOR.length),
  };
}

function readNumber(
  buffer: Buffer,
  options: { at: number; stop: number },
): { value: number; next: number } | undefined {
  let { at } = options;
  let value = 0;
  const first = at;
  for (; at < buffer.length; at++) {
    const byte = buffer[at]!;
    if (byte === options.stop) {
      return at === first ? undefined : { value, next: at + 1 };
    }
    const digit = byte - DIGIT_0;
    if (digit < 0 || digit > 9 || value > 1e12) return undefined;
    value = value * 10 + digit;
  }
  return undefined;
}
