/**
 * Forecasts the queueing delay of a request, and the time from its grant to its first
 * output.
 * @module
 */
import type { AcquireRequest } from "./model.ts";
import type { PredictionError } from "./prediction_error.ts";
import type { ServerPools } from "./server_pools.ts";

/** Properties of a request on which queueing delay depends. */
export type WaitingRequest = Pick<
  AcquireRequest,
  "promptTokens" | "heldTokens" | "prefilledBy"
>;

/** Options of {@link forecastWait}. */
export interface WaitForecastOptions {
  /** Queued requests that are served before. */
  readonly ahead: Iterable<WaitingRequest>;
  readonly now: number;
  readonly canPrefillOnDecode: boolean;
}

/** Predicted queueing delay of a new request; infinite if no server takes work. */
export function forecastWait(
  pools: ServerPools,
  req: Partial<WaitingRequest>,
  options: WaitForecastOptions,
): number {
  const { ahead, now, canPrefillOnDecode } = options;
  const { prefills, decodes } = pools;
  const prefillRate = prefills.getTotalRate(now);
  const slots = decodes.getTotalLimit(now);
  const needsNoPrefill = req.prefilledBy !== undefined ||
    (prefillRate === 0 && canPrefillOnDecode);
  if (slots === 0 || (prefillRate === 0 && !needsNoPrefill)) return Infinity;
  let tokens = 0;
  let requests = 0;
  let heldTokens = req.heldTokens ?? 0;
  for (const other of ahead) {
    tokens += other.promptTokens;
    heldTokens += other.heldTokens ?? 0;
    requests++;
  }
  let backlogMs = Infinity;
  for (const server of prefills.servers.values()) {
    backlogMs = Math.min(backlogMs, Math.max(0, server.busyUntil - now));
  }
  const decodesAbleToPrefill = canPrefillOnDecode
    ? decodes.countAbleToPrefill(now)
    : 0;
  if (decodesAbleToPrefill > 0) backlogMs = 0;
  const totalPrefillRate = prefillRate +
    decodesAbleToPrefill * prefills.prefillOnDecodeRate;
  const prefillWaitMs = needsNoPrefill
    ? 0
    : backlogMs + tokens / totalPrefillRate;
  const missingSlots = requests + 1 - pools.getFreeSlots(now);
  const slotWaitMs = missingSlots <= 0
    ? 0
    : missingSlots / decodes.getSlotReleaseRate(now);
  const memoryWaitMs = decodes.predictMemoryWait(heldTokens, now);
  return Math.max(prefillWaitMs, slotWaitMs, memoryWaitMs);
}

/** Shortest predicted time from grant to first output, including the safety margin. */
export function forecastFirstOutput(
  pools: ServerPools,
  req: AcquireRequest,
  predictionErrors: PredictionError,
): number {
  const { prefills, decodes } = pools;
  return forecastPrefill(pools, req) +
    prefills.getTransferMs(req.promptTokens + req.outputTokens) +
    decodes.intervalMs + predictionErrors.marginMs;
}

function forecastPrefill(
  { prefills, prefixes }: ServerPools,
  req: AcquireRequest,
): number {
  if (req.prefilledBy !== undefined) return 0;
  const cached = prefixes.match(req.hashes);
  const tokens = req.promptTokens + req.outputTokens;
  let best = Infinity;
  for (const server of prefills.servers.values()) {
    const uncached = Math.max(1, tokens - (cached.get(server.id) ?? 0));
    best = Math.min(best, prefills.getPrefillMs(server, uncached));
  }
  return best === Infinity ? prefills.getPrefillOnDecodeMs(tokens) : best;
}
