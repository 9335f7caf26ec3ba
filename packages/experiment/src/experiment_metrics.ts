/**
 * What an experiment measures, from callers' results and the engines' ledgers.
 * @module
 */
import type { CallResult } from "./client.ts";
import type { ExperimentScenario } from "./experiment_scenario.ts";
import type { TraceRequest } from "./trace.ts";

/** A model request with what its caller got. */
export interface ModelOutcome {
  readonly request: TraceRequest;
  readonly result: CallResult;
}

/** What one engine did, as its ledger tells. */
export interface EngineWork {
  readonly prefills: readonly {
    requestId: string;
    attempt: number;
    tokens: number;
    done: boolean;
  }[];
  readonly streams: readonly {
    requestId: string;
    attempt: number;
    end: "done" | "cancelled" | "failed";
  }[];
}

/** Raw results of one run. */
export interface RunResults {
  readonly policy: string;
  readonly seed: number;
  readonly seconds: number;
  readonly models: readonly ModelOutcome[];
  /** Latencies of lookups through the router, and of the same lookups sent directly. */
  readonly lookups: readonly number[];
  readonly directLookups: readonly number[];
  readonly lookupsFailed: number;
  readonly engines: readonly EngineWork[];
  readonly bound: number;
}

/** Why prefilled tokens were wasted. */
export enum WasteCause {
  /** The result met eviction before it was imported. */
  Evicted = "evicted",
  /** The decode server failed. */
  ServerFailed = "server failed",
  /** The request was cancelled or moved. */
  Cancelled = "cancelled",
}

/** Measures of one run. */
export interface Metrics {
  readonly policy: string;
  readonly seed: number;
  readonly offered: number;
  /** Requests that met both targets. */
  readonly good: number;
  readonly goodShare: number;
  readonly bound: number;
  readonly whole: number;
  readonly refused: number;
  readonly failed: number;
  readonly firstOutputMs: readonly number[];
  readonly betweenMs: readonly number[];
  readonly wastedShare: number;
  readonly wastedByCause: { readonly [cause in WasteCause]: number };
  readonly prefilledTokens: number;
  readonly byWorkspace: readonly {
    workspace: string;
    offered: number;
    good: number;
  }[];
  /** Goodput in steps of offered load. */
  readonly byLoad: readonly { rate: number; goodRate: number }[];
  readonly lookupP95: number;
  readonly lookupAddedP95: number;
  readonly lookupsFailed: number;
}

const BUCKET_MS = 2000;

/** Works the measures of a run out. */
export function measureRun(
  scenario: ExperimentScenario,
  run: RunResults,
): Metrics {
  const { models, engines } = run;
  const good = models.filter((outcome) => isGood(scenario, outcome));
  const whole = models.filter(({ result }) => result.whole);
  const refused = models.filter(({ result }) => result.outcome === "not-run");
  const waste = measureWaste(engines);
  return {
    policy: run.policy,
    seed: run.seed,
    offered: models.length,
    good: good.length,
    goodShare: good.length / Math.max(1, models.length),
    bound: run.bound,
    whole: whole.length,
    refused: refused.length,
    failed: models.length - whole.length - refused.length,
    firstOutputMs: whole.map(({ result }) => result.firstOutputMs).sort(
      ascending,
    ),
    betweenMs: whole.filter(({ result }) => result.outputs > 1).map((
      { result },
    ) => result.betweenMs).sort(ascending),
    ...waste,
    byWorkspace: scenario.load.workspaces.map(({ name }) => ({
      workspace: name,
      offered:
        models.filter(({ request }) => request.workspace === name).length,
      good: good.filter(({ request }) => request.workspace === name).length,
    })),
    byLoad: measureByLoad(models, good),
    lookupP95: getPercentile([...run.lookups].sort(ascending), 0.95),
    lookupAddedP95: getPercentile([...run.lookups].sort(ascending), 0.95) -
      getPercentile([...run.directLookups].sort(ascending), 0.95),
    lookupsFailed: run.lookupsFailed,
  };
}

/** Whether a request met both targets. */
export function isGood(
  scenario: ExperimentScenario,
  { result }: ModelOutcome,
): boolean {
  const { firstOutputMs, betweenOutputsMs } = scenario.model.targets;
  return result.whole && result.firstOutputMs <= firstOutputMs &&
    result.betweenMs <= betweenOutputsMs;
}

/** Value that a share of sorted values stays below. */
export function getPercentile(
  sorted: readonly number[],
  share: number,
): number {
  if (sorted.length === 0) return 0;
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ]!;
}

function measureWaste(
  engines: readonly EngineWork[],
): Pick<Metrics, "wastedShare" | "wastedByCause" | "prefilledTokens"> {
  const ends = new Map<string, "done" | "cancelled" | "failed">();
  for (const { streams } of engines) {
    for (const { requestId, attempt, end } of streams) {
      ends.set(`${requestId}.${attempt}`, end);
    }
  }
  const wastedByCause = {
    [WasteCause.Evicted]: 0,
    [WasteCause.ServerFailed]: 0,
    [WasteCause.Cancelled]: 0,
  };
  let prefilledTokens = 0;
  let wasted = 0;
  for (const { prefills } of engines) {
    for (const { requestId, attempt, tokens, done } of prefills) {
      prefilledTokens += tokens;
      const end = ends.get(`${requestId}.${attempt}`);
      if (done && end === "done") continue;
      wasted += tokens;
      const cause = end === "failed"
        ? WasteCause.ServerFailed
        : end === "cancelled" || !done
        ? WasteCause.Cancelled
        : WasteCause.Evicted;
      wastedByCause[cause] += tokens;
    }
  }
  return {
    wastedShare: wasted / Math.max(1, prefilledTokens),
    wastedByCause,
    prefilledTokens,
  };
}

function measureByLoad(
  models: readonly ModelOutcome[],
  good: readonly ModelOutcome[],
): Metrics["byLoad"] {
  const offered = new Map<number, number>();
  const met = new Map<number, number>();
  for (const { request } of models) {
    add(offered, Math.floor(request.at / BUCKET_MS));
  }
  for (const { request } of good) add(met, Math.floor(request.at / BUCKET_MS));
  const toRate = (count: number) => count / BUCKET_MS * 1000;
  return [...offered].map(([bucket, count]) => ({
    rate: toRate(count),
    goodRate: toRate(met.get(bucket) ?? 0),
  }))
    .sort((a, b) => a.rate - b.rate);
}

function add(counts: Map<number, number>, key: number): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function ascending(a: number, b: number): number {
  return a - b;
}
