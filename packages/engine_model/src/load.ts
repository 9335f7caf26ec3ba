/**
 * Generates the load of a model service: arrival times and sizes of requests.
 * @module
 */
import type { CallerPatience } from "@bitternfall/dispatch";
import { createRandom } from "@bitternfall/stand-ins";

/** Interval in which the arrival rate is multiplied by a factor. */
export interface Burst {
  readonly atMs: number;
  readonly forMs: number;
  readonly factor: number;
}

/** Load of a service; sizes are log-normal, cut off at `max`. */
export interface Load {
  readonly perSecond: number;
  readonly lengthMs: number;
  readonly bursts: readonly Burst[];
  readonly promptTokens: { mean: number; spread: number; max: number };
  readonly events: { mean: number; spread: number; max: number };
  /** Standard deviation of the logarithm of the callers' error in estimating their output. */
  readonly hintSpread: number;
  /** Patience is uniform between {@link MAX_PATIENCE_MS} less this and that maximum. */
  readonly patienceSpreadMs?: number;
}

/** A request and its caller's patience. */
export interface Arrival {
  readonly id: string;
  readonly atMs: number;
  readonly promptTokens: number;
  /** Number of output events. */
  readonly events: number;
  /** The caller's estimate of {@link events}. */
  readonly expectedEvents: number;
  /** Time from the arrival until the caller's timeout, over all its attempts. */
  readonly patienceMs: number;
  /** Target of its first event, where it differs from the day's. */
  readonly aimMs?: number;
  /** Urgency at the servers; 0 is the most urgent. */
  readonly rank?: number;
}

const MS_PER_S = 1000;
/** Longest time until a caller's timeout. */
export const MAX_PATIENCE_MS = 14_000;
/** Patience has its own random sequence, so that drawing it changes no other value. */
const PATIENCE_SEED_OFFSET = 6151;

/** Longest wait of a returning caller for its first event; the gateway uses the same value. */
const MAX_RELAXED_WAIT_MS = 2000;
/** Share of a returning caller's remaining patience that may pass before its first event. */
const RELAXED_WAIT_SHARE = 0.35;

/** Returns the patience of a caller `waitedMs` after its first request. */
export function getPatience(
  { atMs, patienceMs }: Arrival,
  waitedMs: number,
): CallerPatience {
  const remainingMs = patienceMs - waitedMs;
  const relaxedWaitMs = Math.min(
    RELAXED_WAIT_SHARE * remainingMs,
    MAX_RELAXED_WAIT_MS,
  );
  return { remainingMs, relaxedDeadline: atMs + waitedMs + relaxedWaitMs };
}

/** Generates the requests of a day in order of arrival, as a Poisson process. */
export function createArrivals(load: Load, seed: number): Arrival[] {
  const random = createRandom(seed);
  const randomPatience = createRandom(seed + PATIENCE_SEED_OFFSET);
  const { patienceSpreadMs = 0 } = load;
  const arrivals: Arrival[] = [];
  for (let timeMs = 0; timeMs < load.lengthMs;) {
    const arrivalsPerMs = load.perSecond / MS_PER_S *
      getBurstFactor(load, timeMs);
    timeMs += -Math.log(1 - random()) / arrivalsPerMs;
    const { events, promptTokens } = load;
    const eventCount = drawLogNormal(events, random);
    const estimate = eventCount *
      Math.exp(load.hintSpread * drawStandardNormal(random));
    arrivals.push({
      id: `r${arrivals.length}`,
      atMs: timeMs,
      promptTokens: 200 + drawLogNormal(promptTokens, random),
      events: eventCount,
      expectedEvents: Math.max(1, Math.min(events.max, Math.round(estimate))),
      patienceMs: MAX_PATIENCE_MS - randomPatience() * patienceSpreadMs,
    });
  }
  return arrivals;
}

function getBurstFactor(load: Load, timeMs: number): number {
  let factor = 1;
  for (const { atMs, forMs, factor: burstFactor } of load.bursts) {
    if (timeMs >= atMs && timeMs < atMs + forMs) factor *= burstFactor;
  }
  return factor;
}

/** Draws from a log-normal distribution with the given mean, cut off at `max`. */
function drawLogNormal(
  { mean, spread, max }: { mean: number; spread: number; max: number },
  random: () => number,
): number {
  const value = mean *
    Math.exp(spread * drawStandardNormal(random) - spread * spread / 2);
  return Math.max(1, Math.min(max, Math.round(value)));
}

function drawStandardNormal(random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
}
