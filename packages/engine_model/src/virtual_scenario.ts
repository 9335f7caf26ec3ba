/**
 * Schema of the scenario files of `npm run virtual`, and the simulation of their days.
 * @module
 */
import * as zod from "zod";
import { type Arrival, getPatience } from "./load.ts";
import { type DayResult, simulateDay } from "./day.ts";

const logNormal = zod.strictObject({
  mean: zod.number().positive(),
  spread: zod.number().min(0),
  max: zod.number().positive(),
});

/** Schema of a scenario; docs/EXPERIMENTS.md documents the keys. */
export const virtualScenarioSchema = zod.strictObject({
  traits: zod.strictObject({
    slots: zod.int().min(1),
    memoryTokens: zod.int().min(1),
    tokensPerEvent: zod.number().positive(),
    prefillTokensPerMs: zod.number().positive(),
    prefillBaseMs: zod.number().min(0),
    stepMs: zod.number().positive(),
    stepMsPerRun: zod.number().min(0),
  }),
  aimMs: zod.number().positive(),
  lateCredit: zod.number().min(0).max(1),
  days: zod.array(zod.strictObject({
    name: zod.string().min(1),
    prefills: zod.int().min(0),
    decodes: zod.int().min(1),
    perSecond: zod.number().positive(),
    /** Patience is uniform between the longest patience less this and the longest. */
    patienceSpreadMs: zod.number().min(0).default(0),
    /** Factor by which the caller's estimate of the output is multiplied. */
    lengthFactor: zod.number().positive().default(1.5),
    /** Lasting speeds of the servers of each role, in turn, and passing slowdowns. */
    speeds: zod.strictObject({
      prefills: zod.array(zod.number().positive()).min(1).optional(),
      decodes: zod.array(zod.number().positive()).min(1).optional(),
      slowdowns: zod.strictObject({
        factor: zod.number().min(1),
        forMs: zod.number().positive(),
        share: zod.number().positive().max(1),
      }).optional(),
    }).optional(),
  })).min(1),
  lengthMs: zod.int().min(1),
  bursts: zod.array(zod.strictObject({
    atMs: zod.number().min(0),
    forMs: zod.number().positive(),
    factor: zod.number().positive(),
  })),
  /** Sinusoidal waves of the arrival rate. */
  waves: zod.strictObject({
    share: zod.number().min(0).max(1),
    periodMs: zod.number().positive(),
  }).optional(),
  promptTokens: logNormal,
  events: logNormal,
  hintSpread: zod.number().min(0),
  /** Whether decode servers may prefill prompts themselves. */
  canPrefillOnDecode: zod.boolean().default(false),
});

/** A validated scenario. */
export type VirtualScenario = zod.infer<typeof virtualScenarioSchema>;

/** Mean results of one day over several seeds. */
export interface VirtualResult {
  readonly name: string;
  readonly seeds: number;
  readonly result: DayResult;
}

/** Simulates every day of a scenario once per seed and averages the results of each day. */
export async function simulateScenario(
  scenario: VirtualScenario,
  seeds: readonly number[],
): Promise<VirtualResult[]> {
  const results: VirtualResult[] = [];
  for (const day of scenario.days) {
    const seedResults: DayResult[] = [];
    for (const seed of seeds) {
      seedResults.push(await simulateSeed(scenario, { day, seed }));
    }
    const result = averageResults(seedResults);
    results.push({ name: day.name, seeds: seeds.length, result });
  }
  return results;
}

async function simulateSeed(
  scenario: VirtualScenario,
  { day, seed }: { day: VirtualScenario["days"][number]; seed: number },
): Promise<DayResult> {
  const { traits, aimMs, lateCredit, days: _, canPrefillOnDecode, ...load } =
    scenario;
  const { prefills, decodes, perSecond, patienceSpreadMs, lengthFactor } = day;
  const { speeds } = day;
  const longestOutputTokens = scenario.events.max * traits.tokensPerEvent;
  return await simulateDay({
    traits,
    prefills,
    decodes,
    speeds,
    config: { canPrefillOnDecode },
    load: { ...load, perSecond, patienceSpreadMs },
    seed,
    aimMs,
    lateCredit,
    buildRequestFields: (arrival: Arrival, waitedMs: number) => {
      const estimatedTokens = lengthFactor * arrival.expectedEvents *
        traits.tokensPerEvent;
      return {
        heldTokens: arrival.promptTokens +
          Math.min(longestOutputTokens, estimatedTokens),
        deadline: arrival.atMs + waitedMs + aimMs,
        patience: getPatience(arrival, waitedMs),
      };
    },
  });
}

function averageResults(results: readonly DayResult[]): DayResult {
  const names = Object.keys(results[0]!) as (keyof DayResult)[];
  const means = names.map((name) => {
    const sum = results.reduce((total, result) => total + result[name], 0);
    return [name, sum / results.length] as const;
  });
  return Object.fromEntries(means) as unknown as DayResult;
}
