/**
 * Promises on starts that something disturbs.
 * @module
 */
import { STORE } from "./disturbances.ts";
import type { Check, IndexedObservations } from "./observations.ts";
import { BOUNDS } from "./soak_config.ts";

/** The checks by promise. */
export const START_CHECKS: { readonly [promise: string]: Check } = {
  "a gateway whose start is hindered serves soon after": findLateStarts,
  "no port is open while another one can't be opened": findEarlyListeners,
  "settings that come just after the start are in force": findLostReloads,
};

function* findLateStarts(
  { fleet, now }: IndexedObservations,
): Iterable<string> {
  for (const { vm, disturbance, freeAt, readyAt } of fleet.starts) {
    const to = freeAt + BOUNDS.startMs;
    if (Math.min(readyAt, now) <= to) continue;
    if (fleet.disturbances.hasOverlap([STORE], { from: freeAt, to })) continue;
    const ms = Math.round(readyAt - freeAt);
    yield `${vm}, ${disturbance}: ready ${ms} ms after nothing hindered it`;
  }
}

function* findEarlyListeners({ fleet }: IndexedObservations): Iterable<string> {
  for (const { vm, disturbance, openedEarly } of fleet.starts) {
    if (openedEarly === undefined) continue;
    yield `${vm}, ${disturbance}: the ${openedEarly} port took a connection`;
  }
}

function* findLostReloads({ fleet }: IndexedObservations): Iterable<string> {
  for (const { vm, isReloaded } of fleet.starts) {
    if (isReloaded === false) yield `${vm} keeps its earlier log level`;
  }
}
