/**
 * Headers that concern one connection only, and those that are passed on.
 * @module
 */

const CONNECTION_HEADERS = new Set([
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

/** Raw headers as a map from lower-case names; of repeated ones the first counts. */
export function indexHeaders(raw: readonly string[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    if (!headers.has(name)) headers.set(name, raw[at + 1]!);
  }
  return headers;
}

/** Bytes that raw headers take on the wire. */
export function countHeaderBytes(raw: readonly string[]): number {
  let bytes = 0;
  for (const text of raw) bytes += text.length + 2;
  return bytes;
}

/** Raw headers without those of one connection and without those that `isDropped` names. */
export function passHeaders(
  raw: readonly string[],
  isDropped: (lowerCaseName: string) => boolean = () => false,
): string[] {
  const named = new Set<string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]!.toLowerCase() !== "connection") continue;
    for (const name of raw[at + 1]!.split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  const passed: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    const isOwn = CONNECTION_HEADERS.has(name) || named.has(name);
    if (isOwn || isDropped(name)) continue;
    passed.push(raw[at]!, raw[at + 1]!);
  }
  return passed;
}
