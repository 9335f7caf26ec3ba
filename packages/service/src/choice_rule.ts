/**
 * How a pool chooses among the servers that may take a call.
 * @module
 */
import type { PooledServer, ServerState } from "./server_state.ts";

/** A server that may be chosen. */
export interface Candidate<S extends PooledServer> {
  readonly server: S;
  readonly state: ServerState;
}

/** Circumstances of a choice. */
export interface ChoiceContext {
  /** Zone of the VM that sends the call. */
  readonly availabilityZone: string;
  readonly random: () => number;
  readonly now: number;
}

/** Chooses among servers. */
export interface ChoiceRule {
  /** Returns one of the candidates; undefined if there are none. */
  choose<S extends PooledServer>(
    candidates: readonly Candidate<S>[],
    context: ChoiceContext,
  ): Candidate<S> | undefined;
}

/** Cost of a server in another availability zone, expressed in calls. */
const OTHER_ZONE_PENALTY_CALLS = 1.5;
/** Cost of a failure rate of 1, expressed in calls. */
const FAILURE_PENALTY_CALLS = 20;
/** Lower latencies count as this one, since differences below it do not reflect load. */
const MIN_LATENCY_MS = 5;

/**
 * Power of two choices: draws two servers and takes the one with the lower cost. The cost is
 * computed from the last reported load, this VM's outstanding calls, the latency and the
 * failures. Servers in the VM's availability zone are preferred.
 */
export class TwoChoices implements ChoiceRule {
  choose<S extends PooledServer>(
    candidates: readonly Candidate<S>[],
    { availabilityZone, random }: ChoiceContext,
  ): Candidate<S> | undefined {
    const first = pickRandom(candidates, random);
    const second = pickRandom(
      candidates.filter((candidate) => candidate !== first),
      random,
    );
    if (first === undefined || second === undefined) return first;
    const firstCost = getCost(first, availabilityZone);
    return firstCost <= getCost(second, availabilityZone) ? first : second;
  }
}

function getCost(
  { server, state }: Candidate<PooledServer>,
  availabilityZone: string,
): number {
  const { outstanding, reportedCalls, latencyMs, failureRate } = state;
  const zonePenalty = server.availabilityZone === availabilityZone
    ? 0
    : OTHER_ZONE_PENALTY_CALLS;
  const calls = Math.max(outstanding, reportedCalls) + outstanding * 0.5 +
    zonePenalty +
    failureRate * FAILURE_PENALTY_CALLS;
  return latencyMs === 0
    ? calls
    : (calls + 1) * Math.max(MIN_LATENCY_MS, latencyMs);
}

function pickRandom<T>(
  items: readonly T[],
  random: () => number,
): T | undefined {
  return items[Math.floor(random() * items.length)];
}
