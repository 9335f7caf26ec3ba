/**
 * Parses JSON of other writers within a bound on memory. `JSON.parse` needs up to twenty
 * times the size of a text of many small values, and more for deeply nested ones.
 * @module
 */
import { Buffer } from "node:buffer";

/** Options of {@link parseBoundedJson}. */
export interface BoundedJsonOptions {
  /**
   * Nesting of the values that may be replaced by an empty object, 1 for the root. What
   * stands around them is always kept.
   */
  readonly valueDepth: number;
  /** Levels of a value that are kept. */
  readonly maxValueLevels: number;
}

/** Texts up to this size are parsed as they are. */
const MAX_UNCHECKED_BYTES = 16_384;
/** Estimated memory of all values of a text. */
const MAX_PARSED_BYTES = 8_000_000;
/** Smallest limit on one value, above the size of a server's entry. */
const MIN_VALUE_BYTES = 4096;
const LIMIT_STEP = 4;

// Sizes in V8 without pointer compression, which the estimate adds up.
const OBJECT_BYTES = 56;
const ARRAY_BYTES = 48;
/** A slot for a value, with a number or the header of a string. */
const VALUE_BYTES = 32;

/** An empty object, and the parts of the text around it while they are joined. */
const CUT_BYTES = 200;

const EMPTY_VALUE = Buffer.from("{}");

const QUOTE = 0x22;
const COMMA = 0x2c;
const BACKSLASH = 0x5c;
const OPEN_ARRAY = 0x5b;
const CLOSE_ARRAY = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;

/** A part of a text that is left out, as offsets of its first byte and behind its last. */
interface Cut {
  readonly start: number;
  readonly end: number;
}

interface Scan {
  /** In the order of the text; none lies in another. */
  readonly cuts: readonly Cut[];
  /** Estimated memory of what is kept. */
  readonly parsedBytes: number;
  /** Whether a container is not closed. */
  readonly isUnfinished: boolean;
}

/**
 * Parses JSON; undefined if it is malformed. Values that are nested too deeply, and as many
 * of the largest as the bound asks for, become empty objects, which readers reject.
 */
export function parseBoundedJson(
  body: Buffer,
  options: BoundedJsonOptions,
): unknown {
  try {
    return JSON.parse(pruneJson(body, options).toString("utf8"));
  } catch {
    return undefined;
  }
}

/** Replaces values that are nested too deeply or take too much memory. */
function pruneJson(body: Buffer, options: BoundedJsonOptions): Buffer {
  if (body.length <= MAX_UNCHECKED_BYTES) return body;
  let maxValueBytes = MAX_PARSED_BYTES;
  let scan = scanJson(body, { ...options, maxValueBytes });
  if (scan.isUnfinished) throw new SyntaxError("unexpected end of JSON");
  while (
    scan.parsedBytes > MAX_PARSED_BYTES && maxValueBytes > MIN_VALUE_BYTES
  ) {
    maxValueBytes = Math.max(MIN_VALUE_BYTES, maxValueBytes / LIMIT_STEP);
    scan = scanJson(body, { ...options, maxValueBytes });
  }
  return scan.cuts.length === 0 ? body : removeParts(body, scan.cuts);
}

/**
 * Finds the containers whose values take more than `maxValueBytes`, inner ones first, and
 * those beyond the levels that are kept. It does not check the syntax.
 */
function scanJson(
  body: Buffer,
  options: BoundedJsonOptions & { maxValueBytes: number },
): Scan {
  const { valueDepth, maxValueLevels, maxValueBytes } = options;
  const maxDepth = valueDepth + maxValueLevels;
  const cuts: Cut[] = [];
  /** Start and estimated memory of each open container. */
  const starts: number[] = [];
  const sizes: number[] = [0];
  let depth = 0;
  for (let at = 0; at < body.length; at++) {
    const byte = body[at]!;
    if (byte === QUOTE) {
      const end = findStringEnd(body, at + 1);
      sizes[sizes.length - 1]! += end - at;
      at = end;
    } else if (byte === COMMA) {
      sizes[sizes.length - 1]! += VALUE_BYTES;
    } else if (byte === OPEN_OBJECT || byte === OPEN_ARRAY) {
      if (++depth > maxDepth) continue;
      starts.push(at);
      sizes.push(byte === OPEN_OBJECT ? OBJECT_BYTES : ARRAY_BYTES);
    } else if (byte === CLOSE_OBJECT || byte === CLOSE_ARRAY) {
      if (depth === 0) continue;
      if (depth-- > maxDepth) continue;
      const start = starts.pop()!;
      const size = sizes.pop()! + VALUE_BYTES;
      const closedDepth = depth + 1;
      const isCut = closedDepth === maxDepth ||
        (closedDepth >= valueDepth && size > maxValueBytes);
      sizes[sizes.length - 1]! += isCut ? CUT_BYTES : size;
      if (!isCut) continue;
      while (cuts.length > 0 && cuts.at(-1)!.start > start) cuts.pop();
      cuts.push({ start, end: at + 1 });
    }
  }
  return { cuts, parsedBytes: sizes[0]!, isUnfinished: depth > 0 };
}

/** Returns the offset of the quote that ends a string, found from its first character on. */
function findStringEnd(body: Buffer, from: number): number {
  let at = from;
  while (at < body.length && body[at] !== QUOTE) {
    at += body[at] === BACKSLASH ? 2 : 1;
  }
  return at;
}

function removeParts(body: Buffer, cuts: readonly Cut[]): Buffer {
  const parts: Buffer[] = [];
  let from = 0;
  for (const { start, end } of cuts) {
    parts.push(body.subarray(from, start), EMPTY_VALUE);
    from = end;
  }
  parts.push(body.subarray(from));
  return Buffer.concat(parts);
}
