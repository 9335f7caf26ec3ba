/**
 * `npm run experiment`: runs the same trace with each dispatch policy and compares the
 * results.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import { PolicyName } from "@bitternfall/dispatch";
import { cac } from "cac";
import {
  computeMetrics,
  getQuantile,
  type Metrics,
} from "./experiment_metrics.ts";
import { runExperiment } from "./experiment_run.ts";
import { readExperimentScenario } from "./experiment_scenario.ts";
import { renderReport } from "./report_html.ts";
import { exitAfter } from "./report_lines.ts";

interface Flags {
  readonly scenario: string;
  readonly policy?: string | string[];
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly report?: string;
  readonly json?: boolean;
  readonly settings?: string;
}

async function run(flags: Flags): Promise<number> {
  const { seed, seeds, seconds, json = false } = flags;
  const scenario = readExperimentScenario(flags.scenario);
  const settings = flags.settings === undefined
    ? {}
    : JSON.parse(flags.settings) as object;
  const policies = flags.policy === undefined
    ? Object.values(PolicyName)
    : [flags.policy].flat();
  const runs: Metrics[] = [];
  for (let runSeed = seed; runSeed < seed + seeds; runSeed++) {
    for (const policy of policies) {
      const metrics = computeMetrics(
        scenario,
        await runExperiment(scenario, {
          policy,
          seed: runSeed,
          seconds,
          settings,
        }),
      );
      runs.push(metrics);
      process.stdout.write(
        (json ? JSON.stringify(summarize(metrics)) : formatRun(metrics)) + "\n",
      );
    }
  }
  const reportFile = flags.report ??
    path.join("reports", `${path.basename(flags.scenario, ".json")}.html`);
  fs.mkdirSync(path.dirname(reportFile), { recursive: true });
  fs.writeFileSync(reportFile, renderReport({ scenario, seconds, runs }));
  process.stdout.write(
    json
      ? JSON.stringify({ report: reportFile }) + "\n"
      : `report: ${reportFile}\n`,
  );
  return runs.every((metrics) => metrics.offered > 0) ? 0 : 1;
}

function summarize(metrics: Metrics): object {
  const { firstOutputMs, betweenMs, byLoad: _, ...rest } = metrics;
  return {
    ...rest,
    firstOutputP50: getQuantile(firstOutputMs, 0.5),
    firstOutputP95: getQuantile(firstOutputMs, 0.95),
    betweenP50: getQuantile(betweenMs, 0.5),
    betweenP95: getQuantile(betweenMs, 0.95),
  };
}

function formatRun(metrics: Metrics): string {
  const {
    policy,
    seed,
    offered,
    good,
    bound,
    wastedShare,
    refused,
    failed,
    firstOutputMs,
    betweenMs,
  } = metrics;
  return [
    `seed ${seed}`,
    policy.padEnd(22),
    `offered ${offered}`,
    `good ${good} (${(100 * metrics.goodShare).toFixed(1)}%)`,
    `of bound ${(100 * good / Math.max(1, bound)).toFixed(1)}%`,
    `wasted ${(100 * wastedShare).toFixed(2)}%`,
    `refused ${refused}`,
    `failed ${failed}`,
    `first p50 ${getQuantile(firstOutputMs, 0.5).toFixed(0)} p95 ${
      getQuantile(firstOutputMs, 0.95).toFixed(0)
    } ms`,
    `between p95 ${getQuantile(betweenMs, 0.95).toFixed(1)} ms`,
    `lookup p95 ${metrics.lookupP95.toFixed(1)} (added ${
      metrics.lookupAddedP95.toFixed(1)
    }) ms`,
    metrics.byWorkspace.map((counts) =>
      `${counts.workspace} ${counts.good}/${counts.offered}`
    ).join(" "),
  ].join("  ");
}

const cli = cac("experiment");
cli.option("--scenario <file>", "Scenario file", {
  default: "scenarios/plochka_peak.json",
});
cli.option(
  "--policy <name>",
  "Dispatch policy; may be given more than once (default: all)",
);
cli.option("--seed <n>", "First seed", { default: 1 });
cli.option("--seeds <n>", "Number of seeds", { default: 1 });
cli.option("--seconds <s>", "Length of a run in seconds", { default: 30 });
cli.option(
  "--report <file>",
  "Output file of the HTML report (default: reports/SCENARIO.html)",
);
cli.option(
  "--settings <json>",
  "JSON object that overrides settings of the entry VMs",
);
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options as unknown as Flags));
