/**
 * `npm run bench`: measures the overhead of bitternfall and checks it against the targets.
 * @module
 */
import { cac } from "cac";
import { benchBodies } from "./bench_bodies.ts";
import { benchControl } from "./bench_control.ts";
import { benchDecision } from "./bench_decision.ts";
import { benchJournal } from "./bench_journal.ts";
import { benchFirstOutput, benchRelay } from "./bench_relay.ts";
import { exitAfter, ResultLines } from "./report_lines.ts";

const BENCHMARKS = {
  decision: benchDecision,
  relay: benchRelay,
  "first-output": benchFirstOutput,
  journal: benchJournal,
  control: benchControl,
  bodies: benchBodies,
} as const;

async function run(flags: { only?: string; json?: boolean }): Promise<number> {
  const lines = new ResultLines({ json: flags.json === true });
  for (const [name, bench] of Object.entries(BENCHMARKS)) {
    if (flags.only !== undefined && flags.only !== name) continue;
    for (const line of await bench()) lines.add(line);
  }
  return lines.close();
}

const cli = cac("bench");
cli.option(
  "--only <part>",
  `Benchmark to run: one of ${
    Object.keys(BENCHMARKS).join(", ")
  } (default: all)`,
);
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options));
