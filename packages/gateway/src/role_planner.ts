/**
 * Splits the model servers of a service between prefill and decode. Pattern: long
 * prompts with long answers, where the pool that is too small refuses work while the
 * other one idles.
 * @module
 */
import { ServerRole } from "@bitternfall/types";
import type { EngineTraits, ServerEntry } from "./model.ts";

/** What model requests of a service are like. */
export interface RequestMix {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefillTokensPerMs: number;
  /** Time of a prefill beside its tokens. */
  readonly prefillBaseMs: number;
  /** Time that a run holds its place at a decode server. */
  readonly holdMs: number;
}

/** A server that should change its role. */
export interface RoleChange {
  readonly server: ServerEntry;
  readonly role: ServerRole;
}

/**
 * Prefill servers that serve the most requests together with the others decoding. None
 * are kept in reserve: a burst ends before their queue is long, while every place that
 * decode lacks refuses a request.
 */
export function planPrefillCount(
  total: number,
  engine: EngineTraits,
  mix: RequestMix,
): number {
  if (total < 2) return total;
  const prefillMs = mix.promptTokens / mix.prefillTokensPerMs +
    mix.prefillBaseMs;
  const perPrefill = 1 / prefillMs;
  const runTokens = mix.promptTokens + mix.outputTokens;
  const places = Math.min(engine.slots, engine.memoryTokens / runTokens);
  const perDecode = places / mix.holdMs;
  let best = 1;
  let bestRate = 0;
  for (let count = 1; count < total; count++) {
    const rate = Math.min(count * perPrefill, (total - count) * perDecode);
    if (rate <= bestRate) continue;
    best = count;
    bestRate = rate;
  }
  return best;
}

/**
 * The changes that lead to `prefillCount` prefill servers. Zones with the most servers
 * of the larger role give first, so that the roles stay spread.
 */
export function planRoleChanges(
  servers: readonly ServerEntry[],
  prefillCount: number,
): RoleChange[] {
  const byRole = (role: ServerRole) =>
    servers.filter((server) => server.role === role);
  const surplus = byRole(ServerRole.Prefill).length - prefillCount;
  const from = surplus > 0 ? ServerRole.Prefill : ServerRole.Decode;
  const role = surplus > 0 ? ServerRole.Decode : ServerRole.Prefill;
  const donors = byRole(from);
  const changes: RoleChange[] = [];
  for (let left = Math.abs(surplus); left > 0 && donors.length > 1; left--) {
    const server = pickDonor(donors);
    donors.splice(donors.indexOf(server), 1);
    changes.push({ server, role });
  }
  return changes;
}

function pickDonor(donors: readonly ServerEntry[]): ServerEntry {
  const perZone = new Map<string, number>();
  for (const { availabilityZone } of donors) {
    perZone.set(availabilityZone, (perZone.get(availabilityZone) ?? 0) + 1);
  }
  let best = donors[0]!;
  for (const donor of donors) {
    const count = perZone.get(donor.availabilityZone)!;
    const most = perZone.get(best.availabilityZone)!;
    if (count > most || (count === most && donor.id < best.id)) best = donor;
  }
  return best;
}
