import * as fs from "node:fs";
import { describe, expect, it } from "vitest";
import { simulateScenario, virtualScenarioSchema } from "./virtual_scenario.ts";

const FILE = new URL("../../../scenarios/virtual_days.json", import.meta.url);
const scenario = virtualScenarioSchema.parse(
  JSON.parse(fs.readFileSync(FILE, "utf8")),
);

describe("a virtual scenario", () => {
  it("gives the same results for the same seeds", async () => {
    const shortScenario = {
      ...scenario,
      lengthMs: 8000,
      days: scenario.days.slice(0, 1),
    };
    const [first] = await simulateScenario(shortScenario, [1, 2]);
    const [second] = await simulateScenario(shortScenario, [1, 2]);
    expect(second).toEqual(first);
    const { asked, onTime, late, refused } = first!.result;
    expect(onTime + late + refused).toBeCloseTo(asked, 6);
  });

  it("is rejected with the path of the invalid field", () => {
    const parsed = virtualScenarioSchema.safeParse({ ...scenario, days: [] });
    expect(parsed.error?.issues[0]?.path).toEqual(["days"]);
  });
});
