/**
 * Command line of `npm run soak`: runs soaks for consecutive seeds, one after the other.
 * @module
 */
import * as path from "node:path";
import process from "node:process";
import { exitAfter, ResultLines } from "@bitternfall/experiment";
import { getMessage } from "@bitternfall/errors";
import { cac } from "cac";
import {
  BODY_KINDS,
  FLOOD_KINDS,
  LIMIT_KINDS,
  LINK_KINDS,
  NOTICE_KINDS,
  PROMPT_KINDS,
  RETRY_KINDS,
  START_KINDS,
  STOP_KINDS,
  VERSION_KINDS,
  WORKSPACE_KINDS,
} from "./soak_plan.ts";
import { runSoak } from "./soak_run.ts";

interface Flags {
  readonly seed: number;
  readonly minutes: number;
  readonly runs: number;
  readonly vms: number;
  readonly only?: string;
  readonly keepLogs?: string;
  readonly json?: boolean;
}

const MS_PER_MINUTE = 60_000;
/** Values of `--only`. */
const KINDS_BY_NAME = new Map([
  ["limits", LIMIT_KINDS],
  ["prompts", PROMPT_KINDS],
  ["retries", RETRY_KINDS],
  ["versions", VERSION_KINDS],
  ["links", LINK_KINDS],
  ["notices", NOTICE_KINDS],
  ["starts", START_KINDS],
  ["bodies", BODY_KINDS],
  ["stops", STOP_KINDS],
  ["floods", FLOOD_KINDS],
  ["workspaces", WORKSPACE_KINDS],
]);

async function run(flags: Flags): Promise<number> {
  const { minutes, runs, vms, only, keepLogs, json = false } = flags;
  const kinds = only === undefined ? undefined : KINDS_BY_NAME.get(only);
  if (only !== undefined && kinds === undefined) {
    throw new Error(`--only takes one of ${[...KINDS_BY_NAME.keys()]}`);
  }
  const lines = new ResultLines({ json });
  const stop = new AbortController();
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => stop.abort());
  }
  for (let seed = flags.seed; seed < flags.seed + runs; seed++) {
    const keepLogsIn = keepLogs === undefined
      ? undefined
      : path.join(keepLogs, `seed-${seed}`);
    const durationMs = minutes * MS_PER_MINUTE;
    try {
      const result = await runSoak({
        seed,
        durationMs,
        vms,
        kinds,
        keepLogsIn,
        signal: stop.signal,
      });
      for (const { promise, detail } of result.violations) {
        lines.add({
          name: `seed ${seed} ${promise}`,
          value: detail,
          ok: false,
        });
      }
      const { peakMemoryMb } = result;
      const peak = peakMemoryMb === 0
        ? ""
        : `, peak of ${Math.round(peakMemoryMb)} MB`;
      const counts = [...result.responsesByStatus].map(([status, count]) =>
        `${status}: ${count}`
      );
      lines.add({
        name: `seed ${seed}, ${result.faults.length} faults`,
        value: `${
          counts.join(", ")
        }; soak process stalled ${result.stallCount} times${peak}`,
        ok: result.violations.length === 0,
      });
      if (result.violations.length === 0) continue;
      for (const fault of result.faults) {
        lines.add({ name: `seed ${seed} fault`, value: fault });
      }
    } catch (err) {
      lines.add({ name: `seed ${seed}`, value: getMessage(err), ok: false });
    }
    if (stop.signal.aborted) break;
  }
  return lines.close();
}

const cli = cac("soak");
cli.option("--seed <n>", "First seed", { default: 1 });
cli.option("--runs <n>", "Number of seeds", { default: 1 });
cli.option("--minutes <m>", "Minutes of faults in each run", { default: 0.5 });
cli.option("--vms <n>", "Number of gateway processes", { default: 6 });
cli.option(
  "--only <kinds>",
  `Faults to draw from: ${
    [...KINDS_BY_NAME.keys()].join(", ")
  }; all by default`,
);
cli.option(
  "--keep-logs <directory>",
  "Keep logs of runs that broke a promise or failed",
);
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options as unknown as Flags));
