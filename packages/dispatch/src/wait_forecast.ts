/**
 * Forecasts the queueing delay of a request, and the time from its grant to its first
 * output.
 * @module
 */
import type { QueuedWork } from "./fair_queue.ts";
import type { AcquireRequest } from "./model.ts";
import type { PredictionError } from "./prediction_error.ts";
import type { ServerPools } from "./server_pools.ts";

/** Properties of a request on which queueing delay depends. */
export type WaitingRequest = Pick<
  AcquireRequest,
  "heldTokens" | "prefilledBy"
>;

/** Work of queued requests that are served before. */
export type WorkAhead = Pick<
  QueuedWork,
  "requests" | "promptTokens" | "heldTokens"
>;

/** Predicts queueing delays from the state of the servers at one time. */
export class WaitForecast {
  readonly #pools: ServerPools;
  readonly #now: number;
  readonly #canPrefillOnDecode: boolean;
  readonly #prefillRate: number;
  readonly #slots: number;
  readonly #freeSlots: number;
  readonly #backlogMs: number;
  readonly #totalPrefillRate: number;

  constructor(
    pools: ServerPools,
    options: { now: number; canPrefillOnDecode: boolean },
  ) {
    const { now, canPrefillOnDecode } = options;
    const { prefills, decodes } = pools;
    this.#pools = pools;
    this.#now = now;
    this.#canPrefillOnDecode = canPrefillOnDecode;
    this.#prefillRate = prefills.getTotalRate(now);
    this.#slots = decodes.getTotalLimit(now);
    this.#freeSlots = pools.getFreeSlots(now);
    let backlogMs = Infinity;
    for (const server of prefills.servers.values()) {
      backlogMs = Math.min(backlogMs, Math.max(0, server.busyUntil - now));
    }
    const decodesAbleToPrefill = canPrefillOnDecode
      ? decodes.countAbleToPrefill(now)
      : 0;
    this.#backlogMs = decodesAbleToPrefill > 0 ? 0 : backlogMs;
    this.#totalPrefillRate = this.#prefillRate +
      decodesAbleToPrefill * prefills.prefillOnDecodeRate;
  }

  /** Predicted delay of a request behind others; infinite if no server takes work. */
  getWaitMs(req: Partial<WaitingRequest>, ahead: WorkAhead): number {
    const { decodes } = this.#pools;
    const needsNoPrefill = req.prefilledBy !== undefined ||
      (this.#prefillRate === 0 && this.#canPrefillOnDecode);
    if (this.#slots === 0 || (this.#prefillRate === 0 && !needsNoPrefill)) {
      return Infinity;
    }
    const prefillWaitMs = needsNoPrefill
      ? 0
      : this.#backlogMs + ahead.promptTokens / this.#totalPrefillRate;
    const missingSlots = ahead.requests + 1 - this.#freeSlots;
    const slotWaitMs = missingSlots <= 0
      ? 0
      : missingSlots * decodes.meanHoldMs / this.#slots;
    const memoryWaitMs = decodes.predictMemoryWait(
      (req.heldTokens ?? 0) + ahead.heldTokens,
      this.#now,
    );
    return Math.max(prefillWaitMs, slotWaitMs, memoryWaitMs);
  }
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
