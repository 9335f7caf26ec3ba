/**
 * Hash chain over a prompt's prefixes. Prefix lengths grow geometrically, so that even
 * the longest prompt needs few hashes.
 * @module
 */
import { Buffer } from "node:buffer";
import xxhash from "xxhash-wasm";

const { h32, h32Raw } = await xxhash();

/** Characters per token, for estimates. */
export const CHARS_PER_TOKEN = 4;

const FIRST_PREFIX_TOKENS = 64;
const MAX_PREFIXES = 24;
/** Hashes are cut to 30 bits, which take five base64 digits. */
const UNUSED_BITS = 2;
const BASE64_DIGITS =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const DIGIT_CODES = Buffer.from(BASE64_DIGITS);
const DIGITS_PER_HASH = 5;

/** Estimates the number of tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}

/** Length in tokens of the prefix that hash `index` covers: 64, 96, 128, 192, 256, … */
export function getPrefixLength(index: number): number {
  const octave = FIRST_PREFIX_TOKENS * 2 ** Math.floor(index / 2);
  return index % 2 === 0 ? octave : octave * 1.5;
}

/** Hashes a text to the same 30 bits as {@link hashPrefixes}. */
export function hashText(text: string): number {
  return h32(text) >>> UNUSED_BITS;
}

/** Hashes bytes to 30 bits; `seed` is the hash of what comes before them. */
export function hashBytes(bytes: Uint8Array, seed = 0): number {
  return h32Raw(bytes, seed) >>> UNUSED_BITS;
}

/** Hashes the prompt's prefixes, shortest first; each hash covers its whole prefix. */
export function hashPrefixes(prompt: string): number[] {
  const hashes: number[] = [];
  let from = 0;
  let seed = 0;
  for (let index = 0; index < MAX_PREFIXES; index++) {
    const to = getPrefixLength(index) * CHARS_PER_TOKEN;
    if (to > prompt.length) break;
    seed = h32(prompt.slice(from, to), seed);
    hashes.push(seed >>> UNUSED_BITS);
    from = to;
  }
  return hashes;
}

/** Encodes hashes as base64 text for messages between VMs. */
export function encodeHashes(hashes: readonly number[]): string {
  const text = Buffer.allocUnsafe(DIGITS_PER_HASH * hashes.length);
  let at = 0;
  for (const hash of hashes) {
    for (let shift = 24; shift >= 0; shift -= 6) {
      text[at++] = DIGIT_CODES[(hash >>> shift) & 63]!;
    }
  }
  return text.toString("latin1");
}

/** Decodes the text of {@link encodeHashes}; invalid characters count as zero. */
export function decodeHashes(text: string): number[] {
  const hashes: number[] = [];
  for (let at = 0; at + DIGITS_PER_HASH <= text.length; at += DIGITS_PER_HASH) {
    let hash = 0;
    for (const digit of text.slice(at, at + DIGITS_PER_HASH)) {
      hash = hash * 64 + Math.max(0, BASE64_DIGITS.indexOf(digit));
    }
    hashes.push(hash);
  }
  return hashes;
}
