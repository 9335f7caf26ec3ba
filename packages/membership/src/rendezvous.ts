/**
 * Rendezvous hashing: every VM that knows the same members picks the same owner, and
 * a member that comes or goes moves only its own share.
 * @module
 */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** The member that owns `role`, or undefined without members. */
export function pickOwner(
  role: string,
  members: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const member of members) {
    const score = h32(`${role}|${member}`);
    if (score < bestScore || (score === bestScore && member > best!)) continue;
    best = member;
    bestScore = score;
  }
  return best;
}
