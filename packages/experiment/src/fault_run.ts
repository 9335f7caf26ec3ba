/**
 * Executes one seeded fault run: starts a deployment under load, injects faults, and
 * checks the results.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import { createRandom } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { Deployment } from "./deployment.ts";
import { FaultInjector } from "./fault_injector.ts";
import { checkFaultRun } from "./fault_checks.ts";
import { FAULT_CALLER_KEY, FaultLoad } from "./fault_load.ts";
import {
  ConfigMonitor,
  OrphanedMemoryMonitor,
  RACED_RECORD,
} from "./fault_monitor.ts";
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
  /** One line per injected fault. */
  readonly faults: readonly string[];
}

/** Options of a run. */
export interface FaultRunOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Directory that receives the logs of a run with failed checks; none are kept by default. */
  readonly keepLogsIn?: string | undefined;
}

/** Time after the last call for the deployment to free memory and propagate changes. */
const RECOVERY_MS = 3500;

/** Runs a scenario with one seed. */
export async function runFaults(
  scenario: FaultScenario,
  options: FaultRunOptions,
): Promise<FaultRunResult> {
  const { seed, seconds, keepLogsIn } = options;
  const deployment = await startDeployment(scenario, seed);
  let areLogsKept = false;
  try {
    const load = new FaultLoad(deployment, { scenario, seed });
    const orphanedMemory = new OrphanedMemoryMonitor(deployment, load.records);
    const configMonitor = new ConfigMonitor(deployment, {
      random: createRandom(seed + 104_729),
    });
    const injector = new FaultInjector(deployment);
    const stopLoad = new AbortController();
    const stopMonitors = new AbortController();
    const monitorRuns = Promise.all([
      orphanedMemory.run(stopMonitors.signal),
      configMonitor.run({
        rate: scenario.changes,
        signal: stopMonitors.signal,
      }),
    ]);
    const loadRun = load.run(stopLoad.signal);
    const startedAt = performance.now();
    await Promise.all(
      planFaults(scenario, { seed, seconds }).map(async (fault) => {
        await sleep(fault.startMs - (performance.now() - startedAt));
        await injector.inject(fault);
      }),
    );
    await sleep(seconds * 1000 - (performance.now() - startedAt));
    stopLoad.abort();
    await loadRun;
    await sleep(RECOVERY_MS);
    stopMonitors.abort();
    await monitorRuns;
    const lines = await checkFaultRun({
      deployment,
      calls: load.records,
      faults: injector.injected,
      orphanedMemory,
      configMonitor,
    });
    const failed = lines.some((line) => line.ok === false);
    if (failed && keepLogsIn !== undefined) {
      areLogsKept = true;
      keepLogs(deployment, {
        directory: path.join(keepLogsIn, `seed-${seed}`),
        load,
        faults: injector.injected.logLines,
      });
    }
    return { lines, faults: injector.injected.logLines };
  } finally {
    await deployment.stop({ keepLogs: areLogsKept });
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

/** Copies the logs of a run, its calls and its faults to a directory. */
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
