/**
 * `npm run virtual`: simulates the days of a scenario in virtual time with the real
 * dispatcher.
 * @module
 */
import process from "node:process";
import {
  simulateScenario,
  type VirtualResult,
  virtualScenarioSchema,
} from "@bitternfall/engine-model";
import { cac } from "cac";
import { exitAfter } from "./report_lines.ts";
import { readScenarioFile } from "./scenario_file.ts";

interface Flags {
  readonly scenario: string;
  readonly seeds: number;
  readonly json?: boolean;
}

async function run(flags: Flags): Promise<number> {
  const scenario = readScenarioFile(flags.scenario, virtualScenarioSchema);
  const seeds = Array.from({ length: flags.seeds }, (_, index) => index + 1);
  for (const result of await simulateScenario(scenario, seeds)) {
    const line = flags.json ? JSON.stringify(result) : formatResult(result);
    process.stdout.write(line + "\n");
  }
  return 0;
}

function formatResult({ name, seeds, result }: VirtualResult): string {
  const { asked, onTime, late, refused, credit, worstCredit } = result;
  const counts = [asked, onTime, late, refused].map(Math.round);
  const wasted = (100 * result.wastedShare).toFixed(1);
  return `${name}: of ${counts[0]} (mean of ${seeds} seeds) ${
    counts[1]
  } in time, ` +
    `${counts[2]} late, ${counts[3]} refused; credit ${credit.toFixed(3)}, ` +
    `worst windows ${worstCredit.toFixed(3)}, ` +
    `${
      result.preemptions.toFixed(1)
    } preempted, ${wasted}% of prefilled tokens wasted or recomputed`;
}

const cli = cac("virtual");
cli.option("--scenario <file>", "Scenario file", {
  default: "scenarios/virtual_days.json",
});
cli.option("--seeds <n>", "Number of seeds; the first is 1", { default: 4 });
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options as unknown as Flags));
