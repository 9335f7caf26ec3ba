/**
 * Rendezvous hashing: every VM that knows the same members picks the same owner, and
 * a member that comes or goes moves only its own share.
 * @module
 */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** A VM with what it can bear. */
export interface RankedVm {
  readonly id: string;
  readonly strength?: number | undefined;
}

/**
 * VMs in the order in which they take roles that hear from all others: the strongest
 * first, equal ones in an order that is the same on every VM.
 */
export function rankVms<V extends RankedVm>(vms: readonly V[]): V[] {
  const score = new Map(vms.map(({ id }) => [id, h32(`rank|${id}`)]));
  return [...vms].sort((a, b) =>
    (b.strength ?? 1) - (a.strength ?? 1) ||
    score.get(b.id)! - score.get(a.id)! || (a.id < b.id ? -1 : 1)
  );
}

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
