/**
 * Upper bound on the number of requests of a trace that can meet both targets on a
 * scenario's engines. It is computed offline from the complete trace, so no policy can
 * exceed it.
 * @module
 */
import {
  DEFAULT_ENGINE_PARAMETERS,
  type EngineParameters,
  getStepMs,
} from "@bitternfall/stand-ins";
import type { ExperimentScenario } from "./experiment_scenario.ts";
import type { TraceRequest } from "./trace.ts";

/**
 * Returns the upper bound: the requests that could meet the first-output target on idle
 * engines, as far as the total prefill time and the total decode tokens allow.
 */
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
    getMinFirstOutputMs(request, parameters) <= firstOutputMs
  );
  const prefillCapacityMs = scenario.model.prefills *
    (seconds * 1000 + firstOutputMs);
  const prefillCostsMs = feasible.map((request) =>
    getPrefillMs(request, parameters)
  );
  const tokensPerMs = getMaxTokensPerMs(parameters, betweenOutputsMs);
  const longestOutputTokens = Math.max(
    0,
    ...feasible.map((request) => request.outputTokens),
  );
  const decodeCapacityTokens = scenario.model.decodes * tokensPerMs *
    (seconds * 1000 + firstOutputMs + longestOutputTokens * betweenOutputsMs);
  const decodeCostsTokens = feasible.map((request) => request.outputTokens);
  return Math.min(
    countFittingCosts(prefillCostsMs, prefillCapacityMs),
    countFittingCosts(decodeCostsTokens, decodeCapacityTokens),
  );
}

/** Returns the duration of a prefill whose shared prefix is cached. */
function getPrefillMs(
  request: TraceRequest,
  parameters: EngineParameters,
): number {
  const uncachedTokens = request.promptTokens - request.sharedPrefixTokens;
  return parameters.prefillBaseMs +
    uncachedTokens / parameters.prefillRate * 1000;
}

/** Returns the time to first output on idle servers: prefill, KV cache transfer, one step. */
function getMinFirstOutputMs(
  request: TraceRequest,
  parameters: EngineParameters,
): number {
  const { kvBytesPerToken, linkBytesPerSecond } = parameters;
  const transferMs = request.promptTokens * kvBytesPerToken /
    linkBytesPerSecond * 1000;
  return getPrefillMs(request, parameters) + transferMs +
    getStepMs(parameters, { size: 1, contextTokens: 0 });
}

/**
 * Returns the highest throughput of one decode server, in tokens per millisecond, over the
 * batch sizes whose step meets the target between outputs.
 */
function getMaxTokensPerMs(
  parameters: EngineParameters,
  targetMs: number,
): number {
  let maxRate = 0;
  for (let size = 1; size <= parameters.slots; size++) {
    const stepMs = getStepMs(parameters, { size, contextTokens: 0 });
    if (stepMs <= targetMs) maxRate = Math.max(maxRate, size / stepMs);
  }
  return maxRate;
}

/** Returns how many requests fit into a capacity if the cheapest are taken first. */
function countFittingCosts(costs: readonly number[], capacity: number): number {
  let remaining = capacity;
  let fittingCount = 0;
  for (const cost of [...costs].sort((a, b) => a - b)) {
    remaining -= cost;
    if (remaining < 0) break;
    fittingCount++;
  }
  return fittingCount;
}
