/**
 * An upper bound on the requests of a trace that can meet both targets, with the whole
 * trace known beforehand: no policy on these engines can do better.
 * @module
 */
import {
  DEFAULT_ENGINE_PARAMETERS,
  type EngineParameters,
  getStepMs,
} from "@bitternfall/stand-ins";
import type { ExperimentScenario } from "./experiment_scenario.ts";
import type { TraceRequest } from "./trace.ts";

/** Requests that can meet both targets at most. */
export function getOfflineBound(
  scenario: ExperimentScenario,
  options: { trace: readonly TraceRequest[]; seconds: number },
): number {
  const { trace, seconds } = options;
  const parameters: EngineParameters = {
    ...DEFAULT_ENGINE_PARAMETERS,
    ...scenario.model.parameters,
  };
  const { firstOutputMs, betweenOutputsMs } = scenario.model.targets;
  const feasible = trace.filter((request) =>
    getLeastFirstOutputMs(request, parameters) <= firstOutputMs
  );
  const prefillMs = scenario.model.prefills * (seconds * 1000 + firstOutputMs);
  const prefillCosts = feasible.map((request) =>
    getPrefillMs(request, parameters)
  );
  const rate = getBestTokenRate(parameters, betweenOutputsMs);
  const longest = Math.max(
    0,
    ...feasible.map((request) => request.outputTokens),
  );
  const tokens = scenario.model.decodes * rate *
    (seconds * 1000 + firstOutputMs + longest * betweenOutputsMs);
  const decodeCosts = feasible.map((request) => request.outputTokens);
  return Math.min(
    countCheapest(prefillCosts, prefillMs),
    countCheapest(decodeCosts, tokens),
  );
}

/** Time of a prefill whose shared prefix is cached. */
function getPrefillMs(
  request: TraceRequest,
  parameters: EngineParameters,
): number {
  const own = request.promptTokens - request.sharedTokens;
  return parameters.prefillBaseMs + own / parameters.prefillRate * 1000;
}

function getLeastFirstOutputMs(
  request: TraceRequest,
  parameters: EngineParameters,
): number {
  const { kvBytesPerToken, linkBytesPerSecond } = parameters;
  const transferMs = request.promptTokens * kvBytesPerToken /
    linkBytesPerSecond * 1000;
  return getPrefillMs(request, parameters) + transferMs +
    getStepMs(parameters, { size: 1, contextTokens: 0 });
}

/** Most tokens a millisecond of one decode server at the target between outputs. */
function getBestTokenRate(
  parameters: EngineParameters,
  targetMs: number,
): number {
  let best = 0;
  for (let size = 1; size <= parameters.slots; size++) {
    const stepMs = getStepMs(parameters, { size, contextTokens: 0 });
    if (stepMs <= targetMs) best = Math.max(best, size / stepMs);
  }
  return best;
}

/** How many of the cheapest fit into a capacity. */
function countCheapest(costs: readonly number[], capacity: number): number {
  let left = capacity;
  let fitting = 0;
  for (const cost of [...costs].sort((a, b) => a - b)) {
    left -= cost;
    if (left < 0) break;
    fitting++;
  }
  return fitting;
}
