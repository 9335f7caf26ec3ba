/**
 * Software versions of servers, which are compared and never interpreted.
 * @module
 */
import { toShortName } from "./short_name.ts";

/** Above the length of an image's digest, which servers may name. */
const MAX_VERSION_LENGTH = 256;

/** Returns a version as it is kept and exchanged: a long one as its digest. */
export function toSoftwareVersion(text: string): string {
  return toShortName(text, { maxLength: MAX_VERSION_LENGTH });
}
