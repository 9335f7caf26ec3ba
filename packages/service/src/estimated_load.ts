/**
 * Chooses the server at which a call is expected to end first, by the estimated load.
 * @module
 */
import type { Candidate, ChoiceContext, ChoiceRule } from "./choice_rule.ts";
import type { PooledServer } from "./server_state.ts";

/** Cost of a failure rate of 1, relative to the time of a call. */
const FAILURE_PENALTY = 4;
/**
 * Cost of a server in another zone, relative to the time of a call: less than that of a call
 * which waits, so the preference decides only where it delays no caller.
 */
const OTHER_ZONE_PENALTY = 0.03;
/** Decides between servers of which the same is known. */
const TIE_BREAK = 1e-6;

/**
 * Draws the number of calls at each server from what is known of it, and takes the server
 * with the lowest expected time. With new reports that is the best one; with old ones,
 * VMs that know the same choose different servers.
 */
export class EstimatedLoad implements ChoiceRule {
  choose<S extends PooledServer>(
    candidates: readonly Candidate<S>[],
    { availabilityZone, random, now }: ChoiceContext,
  ): Candidate<S> | undefined {
    const usualMs = getUsualMs(candidates);
    let best: Candidate<S> | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const { estimate, outstanding, failureRate } = candidate.state;
      const context = { now, usualMs };
      const { mean, variance } = estimate.getCalls(outstanding, context);
      const spread = variance > 0
        ? Math.sqrt(variance) * drawNormal(random)
        : 0;
      const calls = Math.max(outstanding, mean + spread);
      const isOtherZone =
        candidate.server.availabilityZone !== availabilityZone;
      const penalty = FAILURE_PENALTY * failureRate +
        (isOtherZone ? OTHER_ZONE_PENALTY : 0) +
        TIE_BREAK * random();
      const cost = estimate.getCost(calls, context) + usualMs * penalty;
      if (cost >= bestCost) continue;
      best = candidate;
      bestCost = cost;
    }
    return best;
  }
}

/** Mean time of a call at the servers that have served one. */
function getUsualMs(candidates: readonly Candidate<PooledServer>[]): number {
  const times = candidates.map(({ state }) => state.estimate.callMs)
    .filter((ms) => ms > 0);
  if (times.length === 0) return 1;
  return times.reduce((sum, ms) => sum + ms, 0) / times.length;
}

function drawNormal(random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
}
