/**
 * Promises on what callers get of a gateway that is stopped.
 * @module
 */
import { SOAK_PROCESS } from "./disturbances.ts";
import {
  type Check,
  describeCall,
  type IndexedObservations,
  isUndisturbed,
} from "./observations.ts";
import type { SoakCall } from "./soak_clients.ts";
import { BOUNDS, getTimeoutMs } from "./soak_config.ts";
import type { VmPeriod } from "./soak_processes.ts";

/** The checks by promise. */
export const STOP_CHECKS: { readonly [promise: string]: Check } = {
  "a stop cuts no answer, also short of processor time": findCutByStop,
};

/** Long requests that reached a server and got no whole answer in a stop. */
function* findCutByStop(index: IndexedObservations): Iterable<string> {
  for (const call of index.calls) {
    const isCut = call.workMs > 0 && call.error !== undefined &&
      call.disconnectedAt === Infinity;
    if (!isCut || call.endedAt >= call.sentAt + getTimeoutMs(call)) continue;
    const stop = index.fleet.stops.find(({ vm, from, until }) =>
      vm === call.vm && from < call.endedAt && until >= call.sentAt
    );
    if (stop === undefined || mayBeCut(index, call, stop)) continue;
    const ms = Math.round(call.endedAt - stop.from);
    yield `${describeCall(call)}, ${ms} ms after SIGTERM`;
  }
}

/** Whether no server was at work, or one was still in the last part of the grace time. */
function mayBeCut(
  index: IndexedObservations,
  call: SoakCall,
  stop: VmPeriod,
): boolean {
  const runs = index.runsByRequestId.get(call.id) ?? [];
  const run = runs.at(-1);
  if (run === undefined) return true;
  const time = { from: call.sentAt, to: call.endedAt };
  const targets = [run.server, SOAK_PROCESS];
  if (!isUndisturbed(index, targets, time)) return true;
  const cutsFrom = stop.from + BOUNDS.graceMs * (1 - BOUNDS.stopCutShare);
  return run.endedAt >= cutsFrom &&
    call.sentAt <= stop.from + BOUNDS.stopTakeMs;
}
