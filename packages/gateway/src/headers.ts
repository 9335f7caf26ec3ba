/**
 * Reads raw headers, and tells hop-by-hop from end-to-end headers.
 * @module
 */

const MS_PER_S = 1000;
/** Statuses of responses that end with their head. */
export const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const TOKEN = /^[!#$%&'*+\-.^`|~\w]+$/;

/** Maps lower-case names to values; of repeated headers, the first one wins. */
export function indexHeaders(raw: readonly string[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    if (!headers.has(name)) headers.set(name, raw[at + 1]!);
  }
  return headers;
}

/** Whether all names are tokens; the parser of Node.js lets blanks in names and no name pass. */
export function areNamesValid(raw: readonly string[]): boolean {
  for (let at = 0; at < raw.length; at += 2) {
    if (!TOKEN.test(raw[at]!)) return false;
  }
  return true;
}

/** Returns all values of a header, in order. */
export function listValues(
  raw: readonly string[],
  lowerCaseName: string,
): string[] {
  const values: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]!.toLowerCase() === lowerCaseName) values.push(raw[at + 1]!);
  }
  return values;
}

/** Counts the bytes of the names and values, and two separator bytes for each. */
export function countHeaderBytes(raw: readonly string[]): number {
  let bytes = 0;
  for (const text of raw) bytes += text.length + 2;
  return bytes;
}

/** Returns the value of a header, or the first one if it is repeated. */
export function getFirstValue(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Parses a decimal number that is not negative; undefined if malformed. */
export function parseDecimal(text: string | undefined): number | undefined {
  return /^\d{1,9}(\.\d{1,9})?$/.test(text ?? "") ? Number(text) : undefined;
}

/** Returns the raw headers without hop-by-hop headers and those that `isDropped` selects. */
export function pickEndToEndHeaders(
  raw: readonly string[],
  isDropped: (lowerCaseName: string) => boolean = () => false,
): string[] {
  const listedByConnection = new Set<string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]!.toLowerCase() !== "connection") continue;
    for (const name of raw[at + 1]!.split(",")) {
      listedByConnection.add(name.trim().toLowerCase());
    }
  }
  const endToEnd: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    const isHopByHop = HOP_BY_HOP_HEADERS.has(name) ||
      listedByConnection.has(name);
    if (isHopByHop || isDropped(name)) continue;
    endToEnd.push(raw[at]!, raw[at + 1]!);
  }
  return endToEnd;
}

/** Reads the seconds for which a server that responds with 503 wants no requests. */
export function readPauseMs(
  status: number,
  header: string | string[] | undefined,
): number | undefined {
  if (status !== 503) return undefined;
  const seconds = parseDecimal(getFirstValue(header));
  return seconds === undefined ? undefined : seconds * MS_PER_S;
}
