/**
 * One seeded fault run: a deployment under load, its faults, and the checks.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import { createRandom } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { Deployment } from "./deployment.ts";
import { FaultActions } from "./fault_actions.ts";
import { checkFaultRun } from "./fault_checks.ts";
import { FAULT_CALLER_KEY, FaultLoad } from "./fault_load.ts";
import { ConfigMonitor, HeldMonitor, RACED_RECORD } from "./fault_monitor.ts";
import { planFaults } from "./fault_plan.ts";
import type { FaultScenario } from "./fault_scenario.ts";
import {
  applyRecords,
  createAssignment,
  createModelService,
  createPlainService,
} from "./records.ts";
import type { ResultLine } from "./report_lines.ts";

/** Result of a run. */
export interface FaultRunResult {
  readonly lines: readonly ResultLine[];
  /** The faults as they were carried out. */
  readonly faults: readonly string[];
}

/** Options of a run. */
export interface FaultRunOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Where the logs of a run with failed checks are kept; nowhere by default. */
  readonly keepLogsIn?: string | undefined;
}

/** Time after the last fault for everything to settle. */
const SETTLE_MS = 3500;

/** Runs a scenario once. */
export async function runFaults(
  scenario: FaultScenario,
  options: FaultRunOptions,
): Promise<FaultRunResult> {
  const { seed, seconds, keepLogsIn } = options;
  const deployment = await startDeployment(scenario, seed);
  let kept = false;
  try {
    const load = new FaultLoad(deployment, { scenario, seed });
    const held = new HeldMonitor(deployment, load.records);
    const config = new ConfigMonitor(deployment, {
      random: createRandom(seed + 104_729),
    });
    const actions = new FaultActions(deployment);
    const stopLoad = new AbortController();
    const stopWatch = new AbortController();
    const watching = Promise.all([
      held.run(stopWatch.signal),
      config.run({ rate: scenario.changes, signal: stopWatch.signal }),
    ]);
    const loading = load.run(stopLoad.signal);
    const startedAt = performance.now();
    await Promise.all(
      planFaults(scenario, { seed, seconds }).map(async (fault) => {
        await sleep(fault.at - (performance.now() - startedAt));
        await actions.run(fault);
      }),
    );
    await sleep(seconds * 1000 - (performance.now() - startedAt));
    stopLoad.abort();
    await loading;
    await sleep(SETTLE_MS);
    stopWatch.abort();
    await watching;
    const lines = await checkFaultRun({
      deployment,
      calls: load.records,
      faults: actions.record,
      held,
      config,
    });
    const failed = lines.some((line) => line.ok === false);
    if (failed && keepLogsIn !== undefined) {
      kept = true;
      keepLogs(deployment, {
        directory: path.join(keepLogsIn, `seed-${seed}`),
        load,
        faults: actions.record.lines,
      });
    }
    return { lines, faults: actions.record.lines };
  } finally {
    await deployment.stop({ keepLogs: kept });
  }
}

async function startDeployment(
  scenario: FaultScenario,
  seed: number,
): Promise<Deployment> {
  const { zones, daemons, engines, services } = scenario;
  const deployment = await Deployment.start({
    zones,
    daemons,
    engines: { "planner-lm": engines as Deployment["spec"]["engines"][string] },
    services: { app: services },
    seed,
    settings: { log: { level: "debug" } },
  });
  await applyRecords(deployment, [
    createModelService(deployment, "planner-lm", {
      targets: { firstOutputMs: 2000, betweenOutputsMs: 60 },
    }),
    createPlainService(deployment, "app", { timeoutMs: 1500 }),
    {
      kind: "RoutingRecord",
      schemaVersion: 1,
      name: "main",
      models: { planner: "planner-lm" },
      services: ["app"],
    },
    { ...RACED_RECORD, schemaVersion: 1, models: {} },
    createAssignment({
      office: "office-1",
      workspace: "claro",
      routing: "main",
      key: FAULT_CALLER_KEY,
    }),
  ]);
  return deployment;
}

function keepLogs(
  deployment: Deployment,
  options: { directory: string; load: FaultLoad; faults: readonly string[] },
): void {
  const { directory, load, faults } = options;
  fs.rmSync(directory, { recursive: true, force: true });
  fs.mkdirSync(path.dirname(directory), { recursive: true });
  fs.cpSync(deployment.directory, directory, { recursive: true });
  fs.writeFileSync(
    path.join(directory, "calls.json"),
    JSON.stringify(load.records, null, 1),
  );
  fs.writeFileSync(path.join(directory, "faults.txt"), faults.join("\n"));
  fs.rmSync(deployment.directory, { recursive: true, force: true });
}
