/**
 * `npm run virtual`: days of a scenario in virtual time, with the real dispatcher.
 * @module
 */
import * as fs from "node:fs";
import process from "node:process";
import { cac } from "cac";
import {
  playScenario,
  type VirtualResult,
  virtualScenarioSchema,
} from "./virtual_scenario.ts";

interface Flags {
  readonly scenario: string;
  readonly seeds: number;
  readonly json?: boolean;
}

const EXIT_BAD_USAGE = 2;

async function run(flags: Flags): Promise<void> {
  const text = fs.readFileSync(flags.scenario, "utf8");
  const parsed = virtualScenarioSchema.safeParse(JSON.parse(text));
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const path = issue?.path.join(".");
    process.stderr.write(`${flags.scenario}: ${path}: ${issue?.message}\n`);
    process.exitCode = EXIT_BAD_USAGE;
    return;
  }
  const seeds = Array.from({ length: flags.seeds }, (_, index) => index + 1);
  for (const result of await playScenario(parsed.data, seeds)) {
    const line = flags.json ? JSON.stringify(result) : format(result);
    process.stdout.write(line + "\n");
  }
}

function format({ name, seeds, result }: VirtualResult): string {
  const { asked, onTime, late, refused, credit, worstCredit } = result;
  const counts = [asked, onTime, late, refused].map(Math.round);
  const wasted = (100 * result.wastedShare).toFixed(1);
  return `${name}: of ${counts[0]} (mean of ${seeds} seeds) ${
    counts[1]
  } in time, ` +
    `${counts[2]} late, ${counts[3]} refused; credit ${credit.toFixed(3)}, ` +
    `worst spans ${worstCredit.toFixed(3)}, ` +
    `${result.preemptions.toFixed(1)} preempted, ${wasted}% read in vain`;
}

const cli = cac("virtual");
cli.option("--scenario <file>", "Scenario file", {
  default: "scenarios/virtual_days.json",
});
cli.option("--seeds <n>", "Seeds to play, from 1 on", { default: 4 });
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await run(options as unknown as Flags);
