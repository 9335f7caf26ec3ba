/**
 * Rendezvous hashing: every VM that knows the same members picks the same owner, and
 * a member that joins or leaves moves only the roles that it gains or loses.
 * @module
 */
import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** A VM to be ranked by its CPU capacity. */
export interface RankedVm {
  readonly id: string;
  /** Cores, or share of a core; 1 when absent. */
  readonly strength?: number | undefined;
}

/**
 * Ranks VMs for roles that receive messages from all other VMs: the most cores first,
 * ties in an order that is the same on every VM.
 */
export function rankVms<V extends RankedVm>(vms: readonly V[]): V[] {
  const scores = new Map(vms.map(({ id }) => [id, h32(`rank|${id}`)]));
  return [...vms].sort((a, b) =>
    (b.strength ?? 1) - (a.strength ?? 1) ||
    scores.get(b.id)! - scores.get(a.id)! || (a.id < b.id ? -1 : 1)
  );
}

/** Picks the member that owns `role`; undefined without members. */
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
