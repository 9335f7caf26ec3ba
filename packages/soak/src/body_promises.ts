/**
 * Promises on large bodies and answers, and on the memory that they take.
 * @module
 */
import { findRecoveryShortfall } from "@bitternfall/stand-ins";
import {
  type Check,
  describeCall,
  type IndexedObservations,
  isUndisturbed,
} from "./observations.ts";
import type { SoakCall } from "./soak_clients.ts";
import { BOUNDS, getTimeoutMs } from "./soak_config.ts";

/** How much less often callers of small requests beside large ones may be served. */
const SIDE_BOUND = { settleMs: 0, share: 2 / 3, slack: 5, ratio: 1 / 50 };
const STREAM_ROUTES = new Set(["chat", "once"]);

/** The checks by promise. */
export const BODY_CHECKS: { readonly [promise: string]: Check } = {
  "a caller that has sent a large body gets a whole answer": findLostAnswers,
  "an answer whose caller reads on is not cut": findCutAnswers,
  "callers with small requests beside large ones are served": findSideCallers,
  "a gateway's memory stays within its VM's": findMemoryOverruns,
};

/** Calls whose caller waited for the end, at VMs that were not disturbed until then. */
function* findEndedCalls(index: IndexedObservations): Iterable<SoakCall> {
  for (const call of index.calls) {
    if (call.endedAt === Infinity || call.disconnectedAt < Infinity) continue;
    // A VM that was stopped counts as disturbed from its end on, which may have cut the call.
    const stop = findStop(index, call);
    const to = Math.min(call.endedAt, (stop?.until ?? Infinity) - 1);
    const time = { from: call.sentAt, to };
    if (isUndisturbed(index, [call.vm], time)) yield call;
  }
}

function findStop({ fleet }: IndexedObservations, call: SoakCall) {
  return fleet.stops.find(({ vm, from, until }) =>
    vm === call.vm && from < call.endedAt && until > call.sentAt
  );
}

function* findLostAnswers(index: IndexedObservations): Iterable<string> {
  for (const call of findEndedCalls(index)) {
    if (!call.hasLargeBody || call.isComplete) continue;
    // A VM that stops may refuse a connection, or close one before it has read all.
    if (!call.isSent && findStop(index, call) !== undefined) continue;
    yield `${describeCall(call)}, ${call.payload}`;
  }
}

function* findCutAnswers(index: IndexedObservations): Iterable<string> {
  for (const call of findEndedCalls(index)) {
    const isCut = call.status !== undefined && !call.isComplete;
    if (!isCut || STREAM_ROUTES.has(call.route)) continue;
    // An operator wants no request kept for longer than its route's timeout.
    if (call.endedAt >= call.sentAt + getTimeoutMs(call)) continue;
    const runs = index.runsByRequestId.get(call.id) ?? [];
    const time = { from: call.sentAt, to: call.endedAt };
    const servers = runs.map(({ server }) => server);
    if (!isUndisturbed(index, servers, time)) continue;
    const stop = findStop(index, call);
    const stopped = stop === undefined
      ? ""
      : `, ${Math.round(call.endedAt - stop.from)} ms after SIGTERM`;
    yield `${describeCall(call)}${stopped}`;
  }
}

/** First tries of small requests at VMs with large ones, and at the others meanwhile. */
function* findSideCallers(index: IndexedObservations): Iterable<string> {
  const { fleet, calls, now } = index;
  const small = calls.filter((call) =>
    !call.hasLargeBody && !call.readsSlowly && call.endedAt < Infinity &&
    call.disconnectedAt === Infinity && findStop(index, call) === undefined &&
    isUndisturbed(index, [call.vm], { from: call.sentAt, to: call.endedAt })
  );
  for (const load of fleet.bodyLoads) {
    if (load.until > now) continue;
    const tries = small.map(({ vm, sentAt, status, isComplete }) => ({
      at: sentAt,
      isCut: vm === load.vm,
      isServed: status === 200 && isComplete,
    }));
    const shortfall = findRecoveryShortfall(tries, load, SIDE_BOUND);
    if (shortfall === undefined) continue;
    const { cut, others } = shortfall;
    yield `${load.vm} served ${cut.served} of ${cut.tries}, others ${others.served} of ${others.tries}`;
  }
}

function* findMemoryOverruns({ fleet }: IndexedObservations): Iterable<string> {
  const boundMb = BOUNDS.memoryMb * BOUNDS.memoryShare;
  for (const [vm, peakMb] of fleet.memoryPeaksMb) {
    if (peakMb > boundMb) yield `${vm}: ${Math.round(peakMb)} of ${boundMb} MB`;
  }
}
