/**
 * Scenario files of `npm run virtual`, and the days that they describe.
 * @module
 */
import * as zod from "zod";
import type { Arrival } from "./load.ts";
import { type DayResult, playDay } from "./day.ts";

const length = zod.strictObject({
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
    /** Callers' patience is shorter than the longest by up to this. */
    patienceSpreadMs: zod.number().min(0).default(0),
    /** Factor on the caller's estimate of the output. */
    lengthFactor: zod.number().positive().default(1.5),
  })).min(1),
  lengthMs: zod.int().min(1),
  bursts: zod.array(zod.strictObject({
    atMs: zod.number().min(0),
    forMs: zod.number().positive(),
    factor: zod.number().positive(),
  })),
  promptTokens: length,
  events: length,
  hintSpread: zod.number().min(0),
});

/** A checked scenario. */
export type VirtualScenario = zod.infer<typeof virtualScenarioSchema>;

/** Mean results of one day over several seeds. */
export interface VirtualResult {
  readonly name: string;
  readonly seeds: number;
  readonly result: DayResult;
}

/** A returning caller waits so long for its first event at most, as gateways have it. */
const LATE_FIRST_EVENT_MS = 2000;
const LATE_SHARE = 0.35;

/** Plays every day of a scenario once for each seed, in virtual time. */
export async function playScenario(
  scenario: VirtualScenario,
  seeds: readonly number[],
): Promise<VirtualResult[]> {
  const results: VirtualResult[] = [];
  for (const day of scenario.days) {
    const played: DayResult[] = [];
    for (const seed of seeds) {
      played.push(await playOnce(scenario, { day, seed }));
    }
    const result = getMean(played);
    results.push({ name: day.name, seeds: seeds.length, result });
  }
  return results;
}

async function playOnce(
  scenario: VirtualScenario,
  { day, seed }: { day: VirtualScenario["days"][number]; seed: number },
): Promise<DayResult> {
  const { traits, aimMs, lateCredit, days: _, ...load } = scenario;
  const { prefills, decodes, perSecond, patienceSpreadMs, lengthFactor } = day;
  const longestOutput = scenario.events.max * traits.tokensPerEvent;
  return await playDay({
    traits,
    prefills,
    decodes,
    load: { ...load, perSecond, patienceSpreadMs },
    seed,
    aimMs,
    lateCredit,
    describe: (arrival: Arrival, waitedMs: number) => {
      const now = arrival.atMs + waitedMs;
      const leftMs = arrival.patienceMs - waitedMs;
      const output = lengthFactor * arrival.expectedEvents *
        traits.tokensPerEvent;
      return {
        heldTokens: arrival.promptTokens + Math.min(longestOutput, output),
        deadline: now + aimMs,
        patience: {
          remainingMs: leftMs,
          relaxedDeadline: now +
            Math.min(LATE_SHARE * leftMs, LATE_FIRST_EVENT_MS),
        },
      };
    },
  });
}

function getMean(results: readonly DayResult[]): DayResult {
  const names = Object.keys(results[0]!) as (keyof DayResult)[];
  const means = names.map((name) => {
    const sum = results.reduce((total, result) => total + result[name], 0);
    return [name, sum / results.length] as const;
  });
  return Object.fromEntries(means) as unknown as DayResult;
}
