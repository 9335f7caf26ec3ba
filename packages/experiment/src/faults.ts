/**
 * `npm run faults`: executes seeded fault runs on deployments of child processes behind
 * fault proxies.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
import { cac } from "cac";
import { runFaults } from "./fault_run.ts";
import { readFaultScenario } from "./fault_scenario.ts";
import { exitAfter, ResultLines } from "./report_lines.ts";

interface Flags {
  readonly scenario: string;
  readonly seed: number;
  readonly runs: number;
  readonly seconds: number;
  readonly keepLogs?: string;
  readonly json?: boolean;
  readonly quiet?: boolean;
}

async function run(flags: Flags): Promise<number> {
  const { seed, runs, seconds, keepLogs, json = false, quiet = false } = flags;
  const scenario = readFaultScenario(flags.scenario);
  const lines = new ResultLines({ json });
  for (let currentSeed = seed; currentSeed < seed + runs; currentSeed++) {
    try {
      const result = await runFaults(scenario, {
        seed: currentSeed,
        seconds,
        keepLogsIn: keepLogs,
      });
      const failed = result.lines.filter((line) => line.ok === false);
      const shownLines = quiet ? failed : result.lines;
      if (!quiet) {
        for (const fault of result.faults) {
          lines.add({ name: `seed ${currentSeed} fault`, value: fault });
        }
      }
      for (const line of shownLines) {
        lines.add({ ...line, name: `seed ${currentSeed} ${line.name}` });
      }
      if (quiet && failed.length === 0) {
        lines.add({
          name: `seed ${currentSeed}`,
          value: "all checks held",
          ok: true,
        });
      }
    } catch (err) {
      lines.add({
        name: `seed ${currentSeed}`,
        value: getMessage(err),
        ok: false,
      });
    }
  }
  return lines.close();
}

const cli = cac("faults");
cli.option("--scenario <file>", "Scenario file", {
  default: "scenarios/faults_all.json",
});
cli.option("--seed <n>", "First seed", { default: 1 });
cli.option("--runs <n>", "Number of runs, with consecutive seeds", {
  default: 1,
});
cli.option("--seconds <s>", "Length of a run in seconds", { default: 20 });
cli.option("--keep-logs <directory>", "Keep logs of runs with failed checks");
cli.option("--quiet", "Print failed checks only");
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options as unknown as Flags));
