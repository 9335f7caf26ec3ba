/**
 * Splits the model servers of a service between prefill and decode. With a wrong split,
 * for instance for long prompts with long outputs, the pool that is too small refuses
 * requests while the other one idles.
 * @module
 */
import { PREFILL_ON_DECODE_SLOWDOWN } from "@bitternfall/dispatch";
import { ServerRole } from "@bitternfall/types";
import type { EngineTraits, ServerEntry } from "./model.ts";

/** Typical size and duration of a service's model requests. */
export interface RequestMix {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefillTokensPerMs: number;
  /** Fixed time of a prefill, apart from its tokens. */
  readonly prefillBaseMs: number;
  /** Time that a run occupies a slot at a decode server. */
  readonly holdMs: number;
}

/** A server that should change its role. */
export interface RoleChange {
  readonly server: ServerEntry;
  readonly role: ServerRole;
}

/**
 * Cost of a prefill on a decode server, as a share of a request: besides the capacity that
 * it uses, it delays the outputs of the server's other runs.
 */
const OWN_PREFILL_COST = 0.05;

/**
 * Returns the number of prefill servers that gives the highest request rate, with all
 * other servers decoding; `current` where the gain over it is at most `minRateGain`.
 * There are no spare prefill servers: decode servers prefill prompts themselves while the
 * prefill servers have a backlog, while each missing decode slot refuses a request.
 */
export function planPrefillCount(
  { total, current }: { total: number; current?: number },
  engine: EngineTraits,
  mix: RequestMix & { minRateGain?: number },
): number {
  if (total < 2) return total;
  const { minRateGain = 0 } = mix;
  const prefillMs = mix.promptTokens / mix.prefillTokensPerMs;
  const prefillRate = 1 / (prefillMs + mix.prefillBaseMs);
  const runTokens = mix.promptTokens + mix.outputTokens;
  const concurrentRuns = Math.min(
    engine.slots,
    engine.memoryTokens / runTokens,
  );
  const decodeRate = concurrentRuns / mix.holdMs;
  // Share of a decode server's time for the prompts that it prefills itself, per request.
  const ownPrefillLoad = PREFILL_ON_DECODE_SLOWDOWN * prefillMs * decodeRate;
  const getRate = (count: number) => {
    const prefillCapacity = count * prefillRate;
    const decodeCapacity = (total - count) * decodeRate;
    if (decodeCapacity <= prefillCapacity) return decodeCapacity;
    // Decode servers prefill what exceeds the capacity of the prefill servers.
    const rate = (decodeCapacity + ownPrefillLoad * prefillCapacity) /
      (1 + ownPrefillLoad);
    return rate - OWN_PREFILL_COST * (rate - prefillCapacity);
  };
  let best = 1;
  for (let count = 2; count < total; count++) {
    if (getRate(count) > getRate(best)) best = count;
  }
  if (current === undefined) return best;
  const isWorthwhile = getRate(best) > (1 + minRateGain) * getRate(current);
  return isWorthwhile ? best : current;
}

/**
 * Returns the role changes that lead to `prefillCount` prefill servers. Servers are taken
 * first from the zones with the most servers of the surplus role, so that both roles stay
 * spread over zones. The last server of a role is never taken.
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
  for (
    let remaining = Math.abs(surplus);
    remaining > 0 && donors.length > 1;
    remaining--
  ) {
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
