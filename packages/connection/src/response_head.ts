/**
 * Checks the heads of responses byte by byte. The parser of Node.js accepts names of fields
 * with blanks and, as the end of a head, a line feed or a carriage return alone, so that
 * what follows is taken for the body.
 * @module
 */
import type { Buffer } from "node:buffer";

const STATUS_LINE =
  /^HTTP\/1\.[01] ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?\r$/;
const FIELD_LINE = /^[!#$%&'*+\-.^`|~\w]+:[\t\x20-\x7e\x80-\xff]*\r$/;
/** A carriage return that no line feed follows. */
const LONE_RETURN = /\r[^]/;
const LF = 0x0a;
const SWITCHING_PROTOCOLS = "101";

/** Reads the heads of one response: interim ones, and the final one. */
export class ResponseHeadCheck {
  /** What has been read of a line. */
  #line = "";
  /** Status of the head that is being read; undefined before its first line. */
  #status: string | undefined;
  #isDone = false;

  /**
   * Reads bytes that are about to be parsed; returns false if they are no part of a head.
   * Accepts all bytes after the final head.
   */
  push(bytes: Buffer): boolean {
    let from = 0;
    while (!this.#isDone) {
      const end = bytes.indexOf(LF, from);
      // Only the head is decoded, as the same bytes may hold much of the body.
      const text = bytes.toString("latin1", from, end < 0 ? undefined : end);
      const line = this.#line + text;
      if (end < 0) {
        this.#line = line;
        return !LONE_RETURN.test(line);
      }
      this.#line = "";
      if (!this.#readLine(line)) return false;
      from = end + 1;
    }
    return true;
  }

  /** Reads a line without its line feed; returns false if it is malformed. */
  #readLine(line: string): boolean {
    if (line === "\r") {
      this.#endHead();
      return true;
    }
    if (this.#status !== undefined) return FIELD_LINE.test(line);
    this.#status = STATUS_LINE.exec(line)?.[1];
    return this.#status !== undefined;
  }

  #endHead(): void {
    // Blank lines before a head are no end of one.
    if (this.#status === undefined) return;
    const isInterim = this.#status.startsWith("1") &&
      this.#status !== SWITCHING_PROTOCOLS;
    this.#status = undefined;
    this.#isDone = !isInterim;
  }
}
