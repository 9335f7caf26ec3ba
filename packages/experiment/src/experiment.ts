/**
 * `npm run experiment`: the same trace against each policy, side by side.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import { PolicyName } from "@bitternfall/dispatch";
import { cac } from "cac";
import {
  getPercentile,
  measureRun,
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
  for (let current = seed; current < seed + seeds; current++) {
    for (const policy of policies) {
      const metrics = measureRun(
        scenario,
        await runExperiment(scenario, {
          policy,
          seed: current,
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
  const file = flags.report ??
    path.join("reports", `${path.basename(flags.scenario, ".json")}.html`);
  fs.mkdirSync(path.dirname(file), { recursive: true });
  fs.writeFileSync(file, renderReport({ scenario, seconds, runs }));
  process.stdout.write(
    json ? JSON.stringify({ report: file }) + "\n" : `report: ${file}\n`,
  );
  return runs.every((metrics) => metrics.offered > 0) ? 0 : 1;
}

function summarize(metrics: Metrics): object {
  const { firstOutputMs, betweenMs, byLoad: _, ...rest } = metrics;
  return {
    ...rest,
    firstOutputP50: getPercentile(firstOutputMs, 0.5),
    firstOutputP95: getPercentile(firstOutputMs, 0.95),
    betweenP50: getPercentile(betweenMs, 0.5),
    betweenP95: getPercentile(betweenMs, 0.95),
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
    `first p50 ${getPercentile(firstOutputMs, 0.5).toFixed(0)} p95 ${
      getPercentile(firstOutputMs, 0.95).toFixed(0)
    } ms`,
    `between p95 ${getPercentile(betweenMs, 0.95).toFixed(1)} ms`,
    `lookup p95 ${metrics.lookupP95.toFixed(1)} (added ${
      metrics.lookupAddedP95.toFixed(1)
    }) ms`,
    metrics.byWorkspace.map((one) =>
      `${one.workspace} ${one.good}/${one.offered}`
    ).join(" "),
  ].join("  ");
}

const cli = cac("experiment");
cli.option("--scenario <file>", "Scenario file", {
  default: "scenarios/plochka_peak.json",
});
cli.option(
  "--policy <name>",
  "Policy; may be given more than once (default: all)",
);
cli.option("--seed <n>", "First seed", { default: 1 });
cli.option("--seeds <n>", "Number of seeds", { default: 1 });
cli.option("--seconds <s>", "Length of a run", { default: 30 });
cli.option("--report <file>", "Where the HTML report goes");
cli.option("--settings <json>", "Settings that go over those of the entry VMs");
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options as unknown as Flags));
