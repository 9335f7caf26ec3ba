/**
 * `npm run virtual`: simulates the days of a scenario in virtual time with the real
 * dispatcher.
 * @module
 */
import process from "node:process";
import {
  CONTENDED_DAY,
  drawDeployment,
  type DrawnResult,
  getShare,
  simulateContention,
  simulateDrawn,
  simulateScenario,
  type StreamOutcome,
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
  /** Number of deployments to draw instead of a scenario. */
  readonly drawn?: number;
  /** Whether to simulate urgent and routine streams of many accounts instead. */
  readonly contention?: boolean;
  /** First seed of the drawn deployments or of the contention. */
  readonly seed: number;
}

async function run(flags: Flags): Promise<number> {
  if (flags.drawn !== undefined) return await runDrawn(flags.drawn, flags);
  if (flags.contention) return await runContention(flags);
  const scenario = readScenarioFile(flags.scenario, virtualScenarioSchema);
  const seeds = Array.from({ length: flags.seeds }, (_, index) => index + 1);
  for (const result of await simulateScenario(scenario, seeds)) {
    const line = flags.json ? JSON.stringify(result) : formatResult(result);
    process.stdout.write(line + "\n");
  }
  return 0;
}

async function runDrawn(count: number, flags: Flags): Promise<number> {
  const results: DrawnResult[] = [];
  for (let seed = flags.seed; seed < flags.seed + count; seed++) {
    const result = await simulateDrawn(drawDeployment(seed));
    results.push(result);
    const line = flags.json ? JSON.stringify(result) : formatDrawn(result);
    process.stdout.write(line + "\n");
  }
  if (!flags.json) process.stdout.write(formatDrawnMeans(results) + "\n");
  return 0;
}

async function runContention({ seeds, seed: first }: Flags): Promise<number> {
  const ways = [
    { name: "alike", hasRanks: false, hasAccounts: false },
    { name: "by rank", hasRanks: true, hasAccounts: false },
    { name: "by rank and account", hasRanks: true, hasAccounts: true },
    // The most that giving up routine runs could gain.
    { name: "urgent alone", kinds: CONTENDED_DAY.kinds.slice(0, 1) },
  ];
  for (let seed = first; seed < first + seeds; seed++) {
    for (const { name, ...way } of ways) {
      const day = { ...CONTENDED_DAY, ...way, seed };
      const { streams } = await simulateContention(day);
      const line = `seed ${seed}, ${name}: ${formatContention(streams)}`;
      process.stdout.write(line + "\n");
    }
  }
  return 0;
}

function formatContention(streams: readonly StreamOutcome[]): string {
  const [flood] = CONTENDED_DAY.floods;
  const format = (name: string, group: readonly StreamOutcome[]) => {
    const percent = (100 * getShare(group, "on-time")).toFixed(1);
    return `${name} ${percent}% of ${group.length}`;
  };
  const routine = streams.filter(({ kind }) => kind === "routine");
  const beside = routine.filter(({ atMs }) =>
    atMs >= flood!.atMs && atMs < flood!.atMs + flood!.forMs
  );
  const isFlood = ({ account }: StreamOutcome) => account === flood!.account;
  return "on time: " + [
    format("urgent", streams.filter(({ kind }) => kind === "urgent")),
    format("routine", routine),
    format("beside a flood", beside.filter((stream) => !isFlood(stream))),
    format("the flood", beside.filter(isFlood)),
  ].join(", ");
}

function formatDrawn(result: DrawnResult): string {
  const { seed, prefills, decodes } = result.deployment;
  return `seed ${seed}, ${prefills} prefill and ${decodes} decode: ` +
    formatCredits(({ credit }) => credit, [result]);
}

function formatDrawnMeans(results: readonly DrawnResult[]): string {
  return `mean of ${results.length}: ` +
    formatCredits(({ credit }) => credit, results) + "; worst windows " +
    formatCredits(({ worstCredit }) => worstCredit, results);
}

function formatCredits(
  getCredit: (day: DrawnResult["joint"]) => number,
  results: readonly DrawnResult[],
): string {
  const mean = (key: "joint" | "prefillServersOnly" | "roundRobin") => {
    const sum = results.reduce((total, day) => total + getCredit(day[key]), 0);
    return (sum / results.length).toFixed(3);
  };
  return `credit ${mean("joint")}, on prefill servers only ${
    mean("prefillServersOnly")
  }, round robin ${mean("roundRobin")}`;
}

function formatResult({ name, seeds, result }: VirtualResult): string {
  const { asked, onTime, late, refused, credit, worstCredit } = result;
  const counts = [asked, onTime, late, refused].map(Math.round);
  const wasted = (100 * result.wastedShare).toFixed(1);
  const interval = result.intervalMs.toFixed(1);
  const busiest = result.busiestServer.toFixed(2);
  return `${name}: of ${counts[0]} (mean of ${seeds} seeds) ${
    counts[1]
  } in time, ` +
    `${counts[2]} late, ${counts[3]} refused; credit ${credit.toFixed(3)}, ` +
    `worst windows ${worstCredit.toFixed(3)}, ` +
    `${
      result.preemptions.toFixed(1)
    } preempted, ${wasted}% of prefilled tokens wasted or recomputed; ` +
    `${interval} ms between outputs, busiest server ${busiest} of the mean`;
}

const cli = cac("virtual");
cli.option("--scenario <file>", "Scenario file", {
  default: "scenarios/virtual_days.json",
});
cli.option("--seeds <n>", "Number of seeds; the first is 1", { default: 4 });
cli.option("--drawn <n>", "Draw this many deployments instead of a scenario");
cli.option("--contention", "Urgent and routine streams of 16 accounts");
cli.option("--seed <n>", "First seed of --drawn and --contention", {
  default: 1,
});
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options as unknown as Flags));
