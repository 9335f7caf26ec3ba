import * as path from "node:path";
import { describe, expect, it } from "vitest";
import {
  BODY_KINDS,
  FLOOD_KINDS,
  KINDS_ON_REQUEST,
  LIMIT_KINDS,
  LINK_KINDS,
  NOTICE_KINDS,
  planSoak,
  PROMPT_KINDS,
  RETRY_KINDS,
  SoakFault,
  START_KINDS,
  STOP_KINDS,
  VERSION_KINDS,
  WORKSPACE_KINDS,
} from "./soak_plan.ts";
import { runSoak } from "./soak_run.ts";
import { REGRESSIONS } from "./regressions.ts";

/** Long enough for a few series of faults to overlap, short enough to run on each change. */
const CI_MS = 8000;
const CI_VMS = 4;
/** For kinds that need no overlap. */
const SHORT_CI_MS = 2000;
const LOG_DIRECTORY = path.join("reports", "soak");
const CI_SEEDS = [
  { seed: 1 },
  { seed: 2, kinds: RETRY_KINDS },
  { seed: 3, kinds: LIMIT_KINDS },
  { seed: 4, kinds: PROMPT_KINDS },
  { seed: 5, kinds: VERSION_KINDS },
  { seed: 6, kinds: LINK_KINDS },
  { seed: 7, kinds: NOTICE_KINDS },
  { seed: 16, kinds: START_KINDS, durationMs: SHORT_CI_MS },
  { seed: 17, kinds: BODY_KINDS, durationMs: SHORT_CI_MS },
  { seed: 18, kinds: STOP_KINDS, durationMs: SHORT_CI_MS },
  { seed: 18, kinds: FLOOD_KINDS, durationMs: SHORT_CI_MS },
  { seed: 23, kinds: WORKSPACE_KINDS, durationMs: SHORT_CI_MS },
];

describe("planSoak", () => {
  const options = { seed: 4, durationMs: 600_000 };
  const listKinds = (kinds?: readonly SoakFault[]) => {
    const faults = planSoak({ ...options, ...(kinds && { kinds }) });
    return [...new Set(faults.map(({ kind }) => kind))].sort();
  };

  it("returns the same plan for the same seed, with every fault kind in ten minutes", () => {
    expect(planSoak(options)).toEqual(planSoak(options));
    const all = Object.values(SoakFault);
    expect(listKinds()).toEqual(
      all.filter((kind) => !KINDS_ON_REQUEST.has(kind)).sort(),
    );
    expect(listKinds(START_KINDS)).toEqual([...START_KINDS].sort());
    expect(listKinds(BODY_KINDS)).toEqual([...BODY_KINDS].sort());
    expect(listKinds(STOP_KINDS)).toEqual([...STOP_KINDS].sort());
    expect(listKinds(FLOOD_KINDS)).toEqual([...FLOOD_KINDS].sort());
    expect(listKinds(WORKSPACE_KINDS)).toEqual([...WORKSPACE_KINDS].sort());
  });
});

describe("a seeded soak", () => {
  for (const options of [...CI_SEEDS, ...REGRESSIONS]) {
    it(`breaks no promise with seed ${options.seed}`, async () => {
      const result = await runSoak({
        durationMs: CI_MS,
        vms: CI_VMS,
        keepLogsIn: path.join(LOG_DIRECTORY, `seed-${options.seed}`),
        ...options,
      });
      expect(result.violations, result.faults.join("\n")).toEqual([]);
      expect(result.responsesByStatus.get("200")).toBeGreaterThan(100);
    }, 90_000);
  }
});
