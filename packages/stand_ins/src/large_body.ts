/**
 * Bodies of some MB that many requests can share, which their readers compare as they come
 * and keep as short texts.
 * @module
 */
import { Buffer } from "node:buffer";

/** Largest filling of a {@link createLargeBody}. */
export const MAX_FILLING_BYTES = 12_000_000;
/** Bodies up to this size are kept as they are. */
const MAX_TEXT_BYTES = 10_000;
const BYTES_PER_NUMBER = 4;

/** Consecutive numbers, so that exchanged or lost parts change a digest. */
let filling: Buffer | undefined;

/** Creates a body that begins with `text`; its filling is shared, not copied. */
export function createLargeBody(
  text: string,
  fillingBytes: number,
): readonly [Buffer, Buffer] {
  filling ??= createFilling();
  return [Buffer.from(`${text}\n`), filling.subarray(0, fillingBytes)];
}

function createFilling(): Buffer {
  const numbers = new Uint32Array(MAX_FILLING_BYTES / BYTES_PER_NUMBER);
  for (let index = 0; index < numbers.length; index++) numbers[index] = index;
  return Buffer.from(numbers.buffer);
}

/** Describes a body of {@link createLargeBody} as {@link BodyReader} does. */
export function describeLargeBody(text: string, fillingBytes: number): string {
  return `${text} and ${fillingBytes} bytes`;
}

/** Reads a body: a short one as text, a long one as its first line and its size. */
export class BodyReader {
  #start: Buffer[] = [];
  #startBytes = 0;
  #firstLine: string | undefined;
  #fillingBytes = 0;
  #isAltered = false;

  add(chunk: Buffer): void {
    if (this.#firstLine !== undefined) return this.#compare(chunk);
    this.#start.push(chunk);
    this.#startBytes += chunk.length;
    if (this.#startBytes <= MAX_TEXT_BYTES) return;
    const start = Buffer.concat(this.#start);
    const lineBytes = start.indexOf("\n") + 1;
    this.#firstLine = start.subarray(0, Math.max(0, lineBytes - 1)).toString();
    this.#start = [];
    this.#compare(start.subarray(lineBytes));
  }

  finish(): string {
    if (this.#firstLine === undefined) {
      return Buffer.concat(this.#start).toString();
    }
    const text = describeLargeBody(this.#firstLine, this.#fillingBytes);
    return this.#isAltered ? `${text}, altered` : text;
  }

  #compare(chunk: Buffer): void {
    const from = this.#fillingBytes;
    this.#fillingBytes += chunk.length;
    const sent = createLargeBody("", this.#fillingBytes)[1].subarray(from);
    this.#isAltered ||= !chunk.equals(sent);
  }
}
