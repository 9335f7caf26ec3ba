import * as path from "node:path";
import * as url from "node:url";
import { describe, expect, it } from "vitest";
import { runFaults } from "./fault_run.ts";
import { readFaultScenario } from "./fault_scenario.ts";

const SCENARIOS = path.join(
  path.dirname(url.fileURLToPath(import.meta.url)),
  "../../../scenarios",
);
const SECONDS = 10;

describe("a seeded fault run", () => {
  for (const seed of [3, 7]) {
    it(`holds every promise with seed ${seed}`, async () => {
      const scenario = readFaultScenario(
        path.join(SCENARIOS, "faults_all.json"),
      );
      const { lines, faults } = await runFaults(scenario, {
        seed,
        seconds: SECONDS,
      });
      expect(lines.filter((line) => line.ok === false), faults.join("\n"))
        .toEqual([]);
      expect(lines.filter((line) => line.ok === true).length).toBe(14);
      expect(faults.length).toBeGreaterThan(3);
    }, 90_000);
  }
});
