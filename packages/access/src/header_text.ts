/**
 * Names and keys as values of headers, which carry bytes. A header's text has one character
 * for each byte, as Node.js reads and writes it.
 * @module
 */
import { Buffer } from "node:buffer";

const ASCII_PATTERN = /^[\x20-\x7e]*$/;
const LATIN1_PATTERN = /^[^\u{100}-\u{10ffff}]*$/u;
/** What a header carries unchanged: no control characters, and no blanks around it. */
const VALUE_PATTERN =
  /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;
const UNPAIRED_SURROGATE = /\p{Surrogate}/u;

/**
 * Returns a text as the value of a header: as it is where Latin-1 has all its characters,
 * and otherwise in UTF-8.
 */
export function toHeaderText(text: string): string {
  return LATIN1_PATTERN.test(text) ? text : encodeUtf8(text);
}

/** Whether the value of a header can carry a text. */
export function fitsHeader(text: string): boolean {
  return !UNPAIRED_SURROGATE.test(text) &&
    VALUE_PATTERN.test(toHeaderText(text));
}

/** The values by which callers may send a text: in Latin-1, or in UTF-8. */
export function listHeaderTexts(text: string): string[] {
  if (ASCII_PATTERN.test(text)) return [text];
  const utf8 = encodeUtf8(text);
  return LATIN1_PATTERN.test(text) ? [text, utf8] : [utf8];
}

function encodeUtf8(text: string): string {
  return Buffer.from(text, "utf8").toString("latin1");
}
