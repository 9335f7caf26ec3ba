/**
 * Names of any length that are told apart but not interpreted, as messages can carry them.
 * @module
 */
import * as crypto from "node:crypto";

/** Returns a name as it is kept and exchanged: a long one as its digest. */
export function toShortName(
  text: string,
  { maxLength }: { maxLength: number },
): string {
  if (text.length <= maxLength) return text;
  return `sha256:${crypto.createHash("sha256").update(text).digest("hex")}`;
}
