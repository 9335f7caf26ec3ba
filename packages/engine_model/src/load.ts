/**
 * Callers of a model service: when they come and what they ask for.
 * @module
 */
import { createRandom } from "@bitternfall/stand-ins";

/** A time of more load than usual. */
export interface Burst {
  readonly atMs: number;
  readonly forMs: number;
  readonly factor: number;
}

/** Load on a service. */
export interface Load {
  readonly perSecond: number;
  readonly lengthMs: number;
  readonly bursts: readonly Burst[];
  readonly promptTokens: { mean: number; spread: number; max: number };
  readonly events: { mean: number; spread: number; max: number };
  /** Spread of the callers' estimates of the output around the truth. */
  readonly hintSpread: number;
  /** Callers' patience is shorter than the longest by up to this. */
  readonly patienceSpreadMs?: number;
}

/** One caller's request. */
export interface Arrival {
  readonly id: string;
  readonly atMs: number;
  readonly promptTokens: number;
  readonly events: number;
  readonly expectedEvents: number;
  /** How long the caller waits in all. */
  readonly patienceMs: number;
}

const MS_PER_S = 1000;
/** Longest time that a caller waits. */
export const LONGEST_PATIENCE_MS = 14_000;
/** Patience is drawn apart, so that it does not change what else is drawn. */
const PATIENCE_SEED = 6151;

/** All requests of a day, in order. */
export function createArrivals(load: Load, seed: number): Arrival[] {
  const random = createRandom(seed);
  const drawPatience = createRandom(seed + PATIENCE_SEED);
  const { patienceSpreadMs = 0 } = load;
  const arrivals: Arrival[] = [];
  for (let at = 0; at < load.lengthMs;) {
    const rate = load.perSecond / MS_PER_S * getFactor(load, at);
    at += -Math.log(1 - random()) / rate;
    const { events, promptTokens } = load;
    const made = drawLength(events, random);
    const hint = made * Math.exp(load.hintSpread * drawNormal(random));
    arrivals.push({
      id: `r${arrivals.length}`,
      atMs: at,
      promptTokens: 200 + drawLength(promptTokens, random),
      events: made,
      expectedEvents: Math.max(1, Math.min(events.max, Math.round(hint))),
      patienceMs: LONGEST_PATIENCE_MS - drawPatience() * patienceSpreadMs,
    });
  }
  return arrivals;
}

function getFactor(load: Load, at: number): number {
  let factor = 1;
  for (const { atMs, forMs, factor: x } of load.bursts) {
    if (at >= atMs && at < atMs + forMs) factor *= x;
  }
  return factor;
}

/** Log-normal with the given mean. */
function drawLength(
  { mean, spread, max }: { mean: number; spread: number; max: number },
  random: () => number,
): number {
  const value = mean *
    Math.exp(spread * drawNormal(random) - spread * spread / 2);
  return Math.max(1, Math.min(max, Math.round(value)));
}

function drawNormal(random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
}
