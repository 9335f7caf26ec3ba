/**
 * Computes the metrics of an experiment from callers' results and the engines' ledgers.
 * @module
 */
import type { EngineLedger } from "@bitternfall/stand-ins";
import type { CallResult } from "./client.ts";
import type { ExperimentScenario } from "./experiment_scenario.ts";
import type { TraceRequest } from "./trace.ts";

/** A model request and the result that its caller received. */
export interface ModelRequestOutcome {
  readonly request: TraceRequest;
  readonly result: CallResult;
}

/** Raw results of one run. */
export interface RunResults {
  readonly policy: string;
  readonly seed: number;
  readonly seconds: number;
  readonly modelOutcomes: readonly ModelRequestOutcome[];
  /** Latencies of successful lookups through the router. */
  readonly lookupsMs: readonly number[];
  /** Latencies of the lookups that were sent directly to a server. */
  readonly directLookupsMs: readonly number[];
  readonly lookupsFailed: number;
  readonly engineLedgers: readonly EngineLedger[];
  /** Upper bound on the number of requests that can meet both targets. */
  readonly bound: number;
}

/** Why prefilled tokens were wasted. */
export enum WasteCause {
  /** No decode stream used the finished prefill, as when its KV cache was evicted first. */
  Evicted = "evicted",
  /** The decode stream failed. */
  ServerFailed = "server failed",
  /** The prefill or the decode stream was cancelled: the request ended or moved. */
  Cancelled = "cancelled",
}

/** Metrics of one run. */
export interface Metrics {
  readonly policy: string;
  readonly seed: number;
  readonly offered: number;
  /** Number of requests that met both targets. */
  readonly good: number;
  readonly goodShare: number;
  readonly bound: number;
  /** Number of complete responses. */
  readonly whole: number;
  readonly refused: number;
  readonly failed: number;
  /** Time to first output of each complete response, ascending. */
  readonly firstOutputMs: readonly number[];
  /** Mean time between outputs of each complete response with several outputs, ascending. */
  readonly betweenMs: readonly number[];
  /** Share of the prefilled tokens whose decode stream did not complete. */
  readonly wastedShare: number;
  readonly wastedByCause: { readonly [cause in WasteCause]: number };
  readonly prefilledTokens: number;
  readonly byWorkspace: readonly {
    workspace: string;
    offered: number;
    good: number;
  }[];
  /** Offered requests and goodput, per second, in each time window; ascending by `rate`. */
  readonly byLoad: readonly { rate: number; goodRate: number }[];
  readonly lookupP95: number;
  /** Difference of the 95th percentiles of routed and direct lookups, in milliseconds. */
  readonly lookupAddedP95: number;
  readonly lookupsFailed: number;
}

/** Length of the windows of `byLoad`. */
const LOAD_WINDOW_MS = 2000;

/** Computes the metrics of a run. */
export function computeMetrics(
  scenario: ExperimentScenario,
  run: RunResults,
): Metrics {
  const { modelOutcomes, engineLedgers } = run;
  const goodOutcomes = modelOutcomes.filter((outcome) =>
    meetsTargets(scenario, outcome)
  );
  const completeOutcomes = modelOutcomes.filter(({ result }) => result.whole);
  const refusedOutcomes = modelOutcomes.filter(({ result }) =>
    result.outcome === "not-run"
  );
  const waste = computeWaste(engineLedgers);
  return {
    policy: run.policy,
    seed: run.seed,
    offered: modelOutcomes.length,
    good: goodOutcomes.length,
    goodShare: goodOutcomes.length / Math.max(1, modelOutcomes.length),
    bound: run.bound,
    whole: completeOutcomes.length,
    refused: refusedOutcomes.length,
    failed: modelOutcomes.length - completeOutcomes.length -
      refusedOutcomes.length,
    firstOutputMs: completeOutcomes.map(({ result }) => result.firstOutputMs)
      .sort(
        compareAscending,
      ),
    betweenMs: completeOutcomes.filter(({ result }) => result.outputs > 1).map((
      { result },
    ) => result.betweenMs).sort(compareAscending),
    ...waste,
    byWorkspace: scenario.load.workspaces.map(({ name }) => ({
      workspace: name,
      offered: modelOutcomes.filter(({ request }) => request.workspace === name)
        .length,
      good:
        goodOutcomes.filter(({ request }) => request.workspace === name).length,
    })),
    byLoad: computeGoodputByLoad(modelOutcomes, goodOutcomes),
    lookupP95: getQuantile([...run.lookupsMs].sort(compareAscending), 0.95),
    lookupAddedP95:
      getQuantile([...run.lookupsMs].sort(compareAscending), 0.95) -
      getQuantile([...run.directLookupsMs].sort(compareAscending), 0.95),
    lookupsFailed: run.lookupsFailed,
  };
}

/** Returns whether a response is complete and met both targets. */
export function meetsTargets(
  scenario: ExperimentScenario,
  { result }: ModelRequestOutcome,
): boolean {
  const { firstOutputMs, betweenOutputsMs } = scenario.model.targets;
  return result.whole && result.firstOutputMs <= firstOutputMs &&
    result.betweenMs <= betweenOutputsMs;
}

/** Returns a quantile of ascending values, or 0 if there are none. */
export function getQuantile(
  sorted: readonly number[],
  share: number,
): number {
  if (sorted.length === 0) return 0;
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ]!;
}

function computeWaste(
  engineLedgers: readonly EngineLedger[],
): Pick<Metrics, "wastedShare" | "wastedByCause" | "prefilledTokens"> {
  const streamEnds = new Map<string, "done" | "cancelled" | "failed">();
  for (const { streams } of engineLedgers) {
    for (const { requestId, attempt, end } of streams) {
      streamEnds.set(`${requestId}.${attempt}`, end);
    }
  }
  const wastedByCause = {
    [WasteCause.Evicted]: 0,
    [WasteCause.ServerFailed]: 0,
    [WasteCause.Cancelled]: 0,
  };
  let prefilledTokens = 0;
  let wastedTokens = 0;
  for (const { prefills } of engineLedgers) {
    for (const { requestId, attempt, tokens, done } of prefills) {
      prefilledTokens += tokens;
      const end = streamEnds.get(`${requestId}.${attempt}`);
      if (done && end === "done") continue;
      wastedTokens += tokens;
      const cause = end === "failed"
        ? WasteCause.ServerFailed
        : end === "cancelled" || !done
        ? WasteCause.Cancelled
        : WasteCause.Evicted;
      wastedByCause[cause] += tokens;
    }
  }
  return {
    wastedShare: wastedTokens / Math.max(1, prefilledTokens),
    wastedByCause,
    prefilledTokens,
  };
}

function computeGoodputByLoad(
  modelOutcomes: readonly ModelRequestOutcome[],
  goodOutcomes: readonly ModelRequestOutcome[],
): Metrics["byLoad"] {
  const offeredCounts = new Map<number, number>();
  const goodCounts = new Map<number, number>();
  for (const { request } of modelOutcomes) {
    increment(offeredCounts, Math.floor(request.atMs / LOAD_WINDOW_MS));
  }
  for (const { request } of goodOutcomes) {
    increment(goodCounts, Math.floor(request.atMs / LOAD_WINDOW_MS));
  }
  const toRatePerSecond = (count: number) => count / LOAD_WINDOW_MS * 1000;
  return [...offeredCounts].map(([windowIndex, count]) => ({
    rate: toRatePerSecond(count),
    goodRate: toRatePerSecond(goodCounts.get(windowIndex) ?? 0),
  }))
    .sort((a, b) => a.rate - b.rate);
}

function increment(counts: Map<number, number>, key: number): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function compareAscending(a: number, b: number): number {
  return a - b;
}
