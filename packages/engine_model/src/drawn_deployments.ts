/**
 * Deployments drawn at random within the range that users describe, to see whether the
 * dispatcher's decisions hold on deployments that nobody tuned for.
 * @module
 */
import { PolicyName, type ServiceConfig } from "@bitternfall/dispatch";
import { createRandom } from "@bitternfall/stand-ins";
import { type Arrival, getPatience, type Load } from "./load.ts";
import { type DayResult, simulateDay } from "./day.ts";
import type { ServerTraits } from "./servers.ts";

/** A deployment and the load of one day. */
export interface DrawnDeployment {
  readonly seed: number;
  readonly traits: ServerTraits;
  readonly prefills: number;
  readonly decodes: number;
  readonly load: Load;
  readonly aimMs: number;
}

/** Results of one day with the same arrivals under several ways to decide. */
export interface DrawnResult {
  readonly deployment: DrawnDeployment;
  readonly joint: DayResult;
  /** Without prefill on decode servers. */
  readonly prefillServersOnly: DayResult;
  /** Round robin without admission control or a queue. */
  readonly roundRobin: DayResult;
}

const LATE_CREDIT = 0.2;
/** Factor of the caller's estimate up to which a run's output is reserved. */
const LENGTH_FACTOR = 1.5;

/** Draws a deployment; the same seed draws the same one. */
export function drawDeployment(seed: number): DrawnDeployment {
  const random = createRandom(seed);
  const between = (low: number, high: number) => low + random() * (high - low);
  const servers = Math.round(between(5, 40));
  const prefills = Math.max(1, Math.round(between(0.2, 0.4) * servers));
  const decodes = servers - prefills;
  const promptTokens = between(1500, 6000);
  const events = between(40, 100);
  const tokensPerEvent = Math.round(between(8, 80));
  const runTokens = promptTokens + events * tokensPerEvent;
  const slots = Math.round(between(8, 48));
  const memoryTokens = Math.round(between(6, 14) * runTokens);
  const eventMs = between(30, 60);
  const prefillTokensPerMs = between(25, 60);
  const traits: ServerTraits = {
    slots,
    memoryTokens,
    tokensPerEvent,
    prefillTokensPerMs,
    prefillBaseMs: between(10, 35),
    stepMs: 0.9 * eventMs / tokensPerEvent,
    stepMsPerRun: 0.01 * eventMs / tokensPerEvent,
  };
  const runsPerServer = Math.min(slots, memoryTokens / runTokens);
  const decodeRate = decodes * runsPerServer / (events * eventMs);
  const prefillRate = prefills * prefillTokensPerMs / promptTokens;
  const capacityPerSecond = 1000 * Math.min(decodeRate, prefillRate);
  const firstBurstAtMs = between(3000, 8000);
  const load: Load = {
    perSecond: between(0.55, 0.8) * capacityPerSecond,
    lengthMs: 30_000,
    bursts: [0, 1].map((burst) => ({
      atMs: firstBurstAtMs + burst * 11_000,
      forMs: between(3000, 5000),
      factor: between(1.6, 2.4),
    })),
    promptTokens: { mean: promptTokens, spread: 0.5, max: 2.2 * promptTokens },
    events: { mean: events, spread: between(0.4, 0.7), max: 2 * events },
    hintSpread: between(0.3, 0.6),
    patienceSpreadMs: random() < 0.5 ? 0 : 2000,
  };
  return { seed, traits, prefills, decodes, load, aimMs: 900 };
}

/** Simulates the day of a drawn deployment under each way to decide. */
export async function simulateDrawn(
  deployment: DrawnDeployment,
): Promise<DrawnResult> {
  const run = (
    config: Partial<ServiceConfig>,
    policy = PolicyName.Joint,
  ) =>
    simulateDay({
      ...deployment,
      lateCredit: LATE_CREDIT,
      config,
      policy,
      buildRequestFields: (arrival, waitedMs) =>
        buildFields(deployment, { arrival, waitedMs }),
    });
  return {
    deployment,
    joint: await run({ canPrefillOnDecode: true }),
    prefillServersOnly: await run({ canPrefillOnDecode: false }),
    roundRobin: await run({}, PolicyName.RoundRobin),
  };
}

function buildFields(
  { traits, load, aimMs }: DrawnDeployment,
  { arrival, waitedMs }: { arrival: Arrival; waitedMs: number },
) {
  const maxTokens = load.events.max * traits.tokensPerEvent;
  const estimate = LENGTH_FACTOR * arrival.expectedEvents *
    traits.tokensPerEvent;
  return {
    maxTokens,
    heldTokens: arrival.promptTokens + Math.min(maxTokens, estimate),
    deadline: arrival.atMs + waitedMs + aimMs,
    patience: getPatience(arrival, waitedMs),
  };
}
