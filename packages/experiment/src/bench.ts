/**
 * `npm run bench`: measures the overhead of bitternfall and checks it against the targets.
 * @module
 */
import { cac } from "cac";
import { benchAccess } from "./bench_access.ts";
import { benchBodies } from "./bench_bodies.ts";
import { benchControl } from "./bench_control.ts";
import { benchDecision } from "./bench_decision.ts";
import { benchFloods } from "./bench_floods.ts";
import { benchJournal } from "./bench_journal.ts";
import { benchFirstOutput, benchRelay } from "./bench_relay.ts";
import { exitAfter, ResultLines } from "./report_lines.ts";

const BENCHMARKS = {
  decision: benchDecision,
  access: benchAccess,
  relay: benchRelay,
  "first-output": benchFirstOutput,
  journal: benchJournal,
  control: benchControl,
  bodies: benchBodies,
  floods: benchFloods,
} as const;

interface Flags {
  readonly only?: string;
  readonly match?: string;
  readonly json?: boolean;
}

async function run(flags: Flags): Promise<number> {
  const lines = new ResultLines({ json: flags.json === true });
  for (const [name, bench] of Object.entries(BENCHMARKS)) {
    if (flags.only !== undefined && flags.only !== name) continue;
    for await (const line of await bench(flags)) lines.add(line);
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
cli.option(
  "--match <text>",
  "Runs the floods whose names contain a text (default: all)",
);
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options));
