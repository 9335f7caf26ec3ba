import * as fs from "node:fs";
import { describe, expect, it } from "vitest";
import type { DayResult } from "./day.ts";
import { simulateScenario, virtualScenarioSchema } from "./virtual_scenario.ts";

const FILE = new URL("../../../scenarios/virtual_speeds.json", import.meta.url);
const scenario = virtualScenarioSchema.parse(
  JSON.parse(fs.readFileSync(FILE, "utf8")),
);

async function simulate(name: string, seed: number): Promise<DayResult> {
  const days = scenario.days.filter((day) => day.name === name);
  const [first] = await simulateScenario({ ...scenario, days }, [seed]);
  return first!.result;
}

describe("34 servers of speeds 0.55, 1.2, 1.2 and 1.2 in turn", () => {
  // Guards against a slow server that gets as many runs as a fast one, and against slow
  // prefill servers that are idle while callers wait for fast ones. The bounds are what the
  // same days gave on average before speeds were measured.
  it.each([1, 2, 3])(
    "serve more of a day with waves and bursts on time than without speeds (seed %i)",
    async (seed) => {
      const day = await simulate("speeds in turn, 5 prefill", seed);
      expect(day.onTime / day.asked).toBeGreaterThan(0.806);
      expect(day.intervalMs).toBeLessThan(53.8);
      // The goal for all days, see heavy_day_test.ts.
      expect(day.wastedShare).toBeLessThanOrEqual(0.08);
    },
  );
});

describe("34 equal servers that share their machines", () => {
  // Guards against decisions that follow noise: at speed 1 every rule is as without speeds.
  it.each([1, 2, 3, 4])(
    "are all taken for equal at all times, with slowdowns and without (seed %i)",
    async (seed) => {
      const slowed = await simulate("equal speeds, slowdowns", seed);
      const equal = await simulate("equal speeds", seed);
      expect([slowed.unequalServers, equal.unequalServers]).toEqual([0, 0]);
    },
  );
});
