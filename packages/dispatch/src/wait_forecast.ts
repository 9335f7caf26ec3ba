/**
 * How long a request of a service would wait, and how long it then takes to its first
 * output.
 * @module
 */
import type { AcquireRequest } from "./model.ts";
import type { PredictionError } from "./prediction_error.ts";
import type { ServerPools } from "./server_pools.ts";

/** A request as far as its wait depends on it. */
export type WaitingRequest = Pick<
  AcquireRequest,
  "promptTokens" | "heldTokens" | "prefilledBy"
>;

/** Options of {@link forecastWait}. */
export interface WaitForecastOptions {
  /** Requests that are served before. */
  readonly ahead: Iterable<WaitingRequest>;
  readonly now: number;
  readonly canPrefillOnDecode: boolean;
}

/** Predicted wait of a further request; infinite where no server takes work. */
export function forecastWait(
  pools: ServerPools,
  req: Partial<WaitingRequest>,
  options: WaitForecastOptions,
): number {
  const { ahead, now, canPrefillOnDecode: canDecodeUnread } = options;
  const { prefills, decodes } = pools;
  const prefillRate = prefills.getTotalRate(now);
  const slots = decodes.getTotalLimit(now);
  const needsNoPrefill = req.prefilledBy !== undefined ||
    (prefillRate === 0 && canDecodeUnread);
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
  const prefillMs = needsNoPrefill ? 0 : backlogMs + tokens / prefillRate;
  const short = requests + 1 - pools.getFreeSlots(now);
  const slotMs = short <= 0 ? 0 : short * decodes.meanHoldMs / slots;
  const memoryMs = decodes.predictMemoryWait(heldTokens, now);
  return Math.max(prefillMs, slotMs, memoryMs);
}

/** Least time from grant to first output, with the margin that predictions need. */
export function forecastFirstOutput(
  pools: ServerPools,
  req: AcquireRequest,
  errors: PredictionError,
): number {
  const { prefills, decodes } = pools;
  return forecastPrefill(pools, req) +
    prefills.getTransferMs(req.promptTokens + req.outputTokens) +
    decodes.intervalMs + errors.marginMs;
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
