/**
 * Estimates the memory that the head of a request takes.
 * @module
 */

/** A request in flight with its connection, timers and log fields. */
const REQUEST_BYTES = 10_000;
/** Both strings of a header, and their places in the arrays that hold them. */
const HEADER_BYTES = 128;
/** Copies of the text that are held at once: as it arrived, and as it is sent on. */
const TEXT_COPIES = 2;

/** Estimates the heap that a request takes, from the alternating names and values. */
export function estimateHeadBytes(rawHeaders: readonly string[]): number {
  let textBytes = 0;
  for (const text of rawHeaders) textBytes += text.length;
  return REQUEST_BYTES + rawHeaders.length / 2 * HEADER_BYTES +
    textBytes * TEXT_COPIES;
}
