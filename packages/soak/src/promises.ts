/**
 * Checks the gateways' promises against what callers sent and received and what servers
 * received.
 * @module
 */
import {
  CRASH_BOUND,
  type CrashBound,
  findCrashOverrun,
  findLimitOverrun,
  findMixedStreams,
  findRecoveryShortfall,
  findRequestsInPause,
  findRequestsWhileLeaving,
  findRetryOverrun,
  type NoticedArrival,
  type NoticeOverrun,
  REPEATED_CRASH_BOUND,
} from "@bitternfall/stand-ins";
import { BODY_CHECKS } from "./body_promises.ts";
import { STORE } from "./disturbances.ts";
import {
  type Check,
  describeCall,
  type IndexedObservations,
  indexObservations,
  isUndisturbed,
  type Observations,
  type ObservedFleet,
} from "./observations.ts";
import type { SoakCall } from "./soak_clients.ts";
import {
  BOUNDS,
  EVENTS_PER_STREAM,
  getFlipService,
  getTimeoutMs,
  SERVERS,
} from "./soak_config.ts";
import { START_CHECKS } from "./start_promises.ts";
import { STOP_CHECKS } from "./stop_promises.ts";
import { WORKSPACE_CHECKS } from "./workspace_promises.ts";

export type { ObservedFleet };

/** A broken promise and its first case. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** Statuses of refusals: the gateway states that no server ran the request. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const STREAM_ROUTES = new Set(["chat", "once"]);
/** Routes whose requests must not be retried once a server may have run them. */
const RUN_ONCE_ROUTES = new Set(["unsafe", "once"]);

const MAX_MIXED_STREAMS = 2;

const CHECKS: { readonly [promise: string]: Check } = {
  "a request runs as its caller sent it": findAlteredRequests,
  "what may not be repeated runs once": findDoubleRuns,
  "a refused request has not run": findExecutedRefusals,
  "an answer is the server's own and whole": findWrongResponses,
  "a request gets an answer": findUnansweredRequests,
  "an answer comes by the route's timeout": findLateResponses,
  "a leaving server gets no new requests": findRequestsAfterDrain,
  "servers stop what its caller has left": findUncancelledRuns,
  "a route leads where a configuration in force says": findMisrouted,
  "repeats stay within the budget": findRetryBudgetOverruns,
  "a server gets no more than the limit that it names": findLimitOverruns,
  "a server that says that it leaves gets no more requests of the VM that it told":
    findRequestsAfterNotice,
  "a server that wants no requests for a while gets none of the VM that it told":
    findRequestsInPauses,
  "a part that ends servers soon reaches no more of them": findCrashOverruns,
  "a repeated request that ends servers soon reaches no more of them":
    findRepeatedCrashOverruns,
  "a prompt that ends no server is not blocked": findBlockedSoundPrompts,
  "a plain request that ends no server is not blocked":
    findBlockedSoundRequests,
  "callers of a VM that reaches no server are served": findLostCallers,
  "a stream holds events of one software version": findStreamsOfTwoVersions,
  "one holder orders with one fencing number, which never falls":
    findFencingViolations,
  "a gateway ends only when told to, in time": findUnexpectedExits,
  ...START_CHECKS,
  ...BODY_CHECKS,
  ...STOP_CHECKS,
  ...WORKSPACE_CHECKS,
};

/** Returns the broken promises, each with its first case. */
export function findViolations(observations: Observations): Violation[] {
  const index = indexObservations(observations);
  const violations: Violation[] = [];
  for (const [promise, check] of Object.entries(CHECKS)) {
    for (const detail of check(index)) {
      violations.push({ promise, detail });
      break;
    }
  }
  return violations;
}

function* findAlteredRequests(
  { arrivals, callsById }: IndexedObservations,
): Iterable<string> {
  for (const { requestId, path, body, server } of arrivals) {
    const call = callsById.get(requestId);
    if (call === undefined) yield `${requestId} at ${server} was never sent`;
    else if (call.path !== path || call.payload !== body) {
      yield `${requestId} at ${server}: ${path} ${body}`;
    }
  }
}

function* findDoubleRuns(
  { runsByRequestId, callsById }: IndexedObservations,
): Iterable<string> {
  for (const [id, runs] of runsByRequestId) {
    if (
      !RUN_ONCE_ROUTES.has(callsById.get(id)?.route ?? "") || runs.length < 2
    ) {
      continue;
    }
    yield `${id} ran at ${runs.map(({ server }) => server).join(" and ")}`;
  }
}

function* findExecutedRefusals(
  { calls, runsByRequestId }: IndexedObservations,
): Iterable<string> {
  for (const call of calls) {
    if (!NOT_RUN_STATUSES.has(call.status ?? 0)) continue;
    const [run] = runsByRequestId.get(call.id) ?? [];
    if (run !== undefined) yield `${describeCall(call)}, ran at ${run.server}`;
  }
}

function* findWrongResponses(
  { calls, runsByRequestId }: IndexedObservations,
): Iterable<string> {
  for (const call of calls) {
    if (call.status !== 200 || !call.isComplete) continue;
    const runs = runsByRequestId.get(call.id) ?? [];
    const isOwn = runs.some(({ server }) => server === call.seal);
    const isIntact = STREAM_ROUTES.has(call.route)
      ? isCompleteStream(call)
      : call.body === `${call.seal} ran ${call.id}`;
    if (!isOwn || !isIntact) {
      yield `${describeCall(call)}, seal ${call.seal}: ${call.body}`;
    }
  }
}

function isCompleteStream({ body, resumes }: SoakCall): boolean {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const lastId = Number(resumes?.lastId ?? 0);
  return ids.length === EVENTS_PER_STREAM - lastId &&
    ids.every((id, index) => id === lastId + index + 1);
}

/** Requests that reached a server but whose connection ended without a response. */
function* findUnansweredRequests(index: IndexedObservations): Iterable<string> {
  const arrived = new Set(index.arrivals.map(({ requestId }) => requestId));
  for (const call of index.calls) {
    const isAnsweredOrCancelled = call.status !== undefined ||
      call.disconnectedAt < Infinity;
    if (isAnsweredOrCancelled || call.error === undefined) continue;
    const time = { from: call.sentAt, to: call.endedAt };
    if (arrived.has(call.id) && isUndisturbed(index, [call.vm], time)) {
      yield describeCall(call);
    }
  }
}

function* findLateResponses(index: IndexedObservations): Iterable<string> {
  for (const call of index.calls) {
    // A caller that reads slowly ends its call late by itself.
    const endedAt = call.readsSlowly ? call.headAt : call.endedAt;
    const to = Math.min(endedAt, call.disconnectedAt, index.now);
    const ms = to - call.sentAt;
    if (ms <= getTimeoutMs(call) + BOUNDS.responseSlackMs) continue;
    if (isUndisturbed(index, [call.vm], { from: call.sentAt, to })) {
      yield `${describeCall(call)}, ${Math.round(ms)} ms`;
    }
  }
}

function* findRequestsAfterDrain(index: IndexedObservations): Iterable<string> {
  const { fleet: { registry }, arrivals, callsById } = index;
  for (const { server, ackedAt, until } of registry.drainPeriods) {
    for (
      const { server: arrivedServer, requestId, at: arrivedAt } of arrivals
    ) {
      const isLate = arrivedAt > ackedAt + BOUNDS.drainNoticeMs &&
        arrivedAt < until;
      if (arrivedServer !== server || !isLate) continue;
      const { vm = "" } = callsById.get(requestId) ?? {};
      const time = { from: ackedAt, to: arrivedAt };
      if (!isUndisturbed(index, [vm, STORE, server], time)) continue;
      const ms = Math.round(arrivedAt - ackedAt);
      yield `${requestId} by ${vm} at ${server}, ${ms} ms after it began to drain`;
    }
  }
}

/** VMs that may have sent a call to a server: any one if its own VM was cut meanwhile. */
function listPossibleSenders(
  { calls, fleet }: IndexedObservations,
  { vm, sentAt, disconnectedAt }: SoakCall,
): Iterable<string> {
  const wasCut = fleet.lostLinks.some((cut) =>
    cut.vm === vm && cut.from < disconnectedAt && cut.until > sentAt
  );
  return wasCut ? new Set(calls.map((call) => call.vm)) : [vm];
}

function* findUncancelledRuns(index: IndexedObservations): Iterable<string> {
  for (const call of index.calls) {
    if (call.disconnectedAt === Infinity) continue;
    const limit = call.disconnectedAt + BOUNDS.cancellationMs;
    for (const run of index.runsByRequestId.get(call.id) ?? []) {
      if (Math.min(run.endedAt, index.now) <= limit) continue;
      // A VM that forwards may send the request late, after a suspension.
      const time = { from: Math.min(run.at, call.disconnectedAt), to: limit };
      const senders = listPossibleSenders(index, call);
      if (!isUndisturbed(index, [...senders, run.server], time)) continue;
      yield `${
        describeCall(call)
      }, caller disconnected, still running at ${run.server}`;
    }
  }
}

function* findMisrouted(index: IndexedObservations): Iterable<string> {
  const { registry: { configs } } = index.fleet;
  for (const { requestId, service, at } of index.arrivals) {
    const call = index.callsById.get(requestId);
    if (call === undefined) continue;
    if (call.route !== "flip") {
      if (service !== getFixedService(call)) {
        yield `${requestId} ran at ${service}`;
      }
      continue;
    }
    // Allowed are the newest version that every VM must have applied when the request was
    // sent, and later versions whose write had begun when it reached the server.
    const acked = configs.findLast(({ ackedAt }) =>
      ackedAt + BOUNDS.configApplyMs < call.sentAt
    );
    const allowed = configs.filter(({ version, sentAt }) =>
      version >= (acked?.version ?? 1) && sentAt <= at
    );
    if (
      allowed.some(({ version }) => getFlipService(version) === service)
    ) continue;
    const time = { from: acked?.ackedAt ?? 0, to: at };
    if (!isUndisturbed(index, [call.vm, STORE], time)) continue;
    yield `${requestId} ran at ${service} under version ${acked?.version}`;
  }
}

function getFixedService({ route }: SoakCall): string {
  return STREAM_ROUTES.has(route) ? "lm" : "app";
}

function* findRetryBudgetOverruns(
  index: IndexedObservations,
): Iterable<string> {
  const { retryBudgetWindowMs, retryBudgetRatio, retryBudgetSlack } = BOUNDS;
  for (const service of new Set(SERVERS.map(({ service }) => service))) {
    const arrivals = index.arrivals.filter((arrival) =>
      arrival.service === service
    );
    const calls = index.calls.filter((call) =>
      getBudgetedService(call) === service
    );
    const overrun = findRetryOverrun(
      arrivals,
      calls.map(({ sentAt }) => sentAt),
      {
        ratio: retryBudgetRatio,
        slack: retryBudgetSlack,
        windowMs: retryBudgetWindowMs,
      },
    );
    if (overrun === undefined) continue;
    const { retries, requests } = overrun;
    yield `${retries} retries for ${requests} requests to ${service}`;
  }
}

function getBudgetedService(call: SoakCall): string | undefined {
  // `flip` alternates between two services and has few requests: they are left out.
  return call.route === "flip" ? undefined : getFixedService(call);
}

/** Requests of undisturbed VMs beyond the limit of an undisturbed server. */
function* findLimitOverruns(index: IndexedObservations): Iterable<string> {
  for (const { id, receivedRequests, namedLimits } of index.fleet.servers) {
    const arrivals = receivedRequests.flatMap(({ requestId, at, endedAt }) => {
      const vm = index.callsById.get(requestId)?.vm ?? "";
      const isCounted = isUndisturbed(index, [vm, id], { from: at, to: at });
      return isCounted ? [{ vm, at, endedAt }] : [];
    });
    const overrun = findLimitOverrun(arrivals, namedLimits);
    if (overrun === undefined) continue;
    const { requests, allowed } = overrun;
    yield `${requests} requests to ${id} in a window that allows ${allowed}`;
  }
}

function* findRequestsAfterNotice(
  index: IndexedObservations,
): Iterable<string> {
  yield* findNoticeOverruns(index, findRequestsWhileLeaving);
}

function* findRequestsInPauses(index: IndexedObservations): Iterable<string> {
  yield* findNoticeOverruns(index, findRequestsInPause);
}

/** Applies a check to the arrivals at each server process from each VM that sends itself. */
function* findNoticeOverruns(
  index: IndexedObservations,
  find: (arrivals: readonly NoticedArrival[]) => NoticeOverrun | undefined,
): Iterable<string> {
  const { callsById, fleet: { servers, lostLinks } } = index;
  for (const { id, requestsByInstance } of servers) {
    for (const receivedRequests of requestsByInstance) {
      const byVm = new Map<string, NoticedArrival[]>();
      for (const { requestId, ...arrival } of receivedRequests) {
        const call = callsById.get(requestId);
        if (call === undefined) continue;
        const { vm, sentAt } = call;
        byVm.set(vm, [...byVm.get(vm) ?? [], { ...arrival, sentAt }]);
      }
      for (const [vm, arrivals] of byVm) {
        // A VM that was cut forwards requests, which then reach the server from another VM.
        if (lostLinks.some((cut) => cut.vm === vm)) continue;
        const overrun = find(arrivals);
        if (overrun === undefined || !isUndisturbed(index, [vm], overrun)) {
          continue;
        }
        yield `${overrun.requests} requests of ${vm} to ${id}`;
      }
    }
  }
}

/** Requests of undisturbed VMs with a part under which five servers have ended. */
function* findCrashOverruns(index: IndexedObservations): Iterable<string> {
  for (const part of index.fleet.crashingParts) {
    const has = ({ promptParts }: SoakCall) =>
      promptParts?.includes(`${part}:`) ?? false;
    yield* findOverrunOf(index, { name: part, has, bound: CRASH_BOUND });
  }
}

/** Sends of undisturbed VMs of a request that has ended three servers. */
function* findRepeatedCrashOverruns(
  index: IndexedObservations,
): Iterable<string> {
  const { calls, fleet } = index;
  const repeated = calls.filter(({ payload }) =>
    fleet.crashingBodies.has(payload)
  );
  for (const name of new Set(repeated.map(({ path }) => path))) {
    const has = ({ path }: SoakCall) => path === name;
    yield* findOverrunOf(index, { name, has, bound: REPEATED_CRASH_BOUND });
  }
}

/** Requests of some calls that reach servers later than a bound allows. */
function* findOverrunOf(
  index: IndexedObservations,
  calls: { name: string; has: (call: SoakCall) => boolean; bound: CrashBound },
): Iterable<string> {
  const { arrivals, callsById, fleet } = index;
  const find = (requestId: string) => {
    const call = callsById.get(requestId);
    return call !== undefined && calls.has(call) ? call : undefined;
  };
  const crashes = fleet.servers.flatMap((server) =>
    server.crashes.filter(({ requestId }) => find(requestId) !== undefined)
  );
  const counted = arrivals.filter(({ requestId, at }) => {
    const call = find(requestId);
    const time = { from: at, to: at };
    return call !== undefined && isUndisturbed(index, [call.vm], time);
  });
  const overrun = findCrashOverrun(
    crashes.map(({ at }) => at),
    counted.map(({ at }) => at),
    calls.bound,
  );
  if (overrun === undefined) return;
  yield `${calls.name}: ${overrun.requests} requests late, ${overrun.crashes} crashes`;
}

function* findBlockedSoundRequests(
  { calls, fleet }: IndexedObservations,
): Iterable<string> {
  for (const call of calls) {
    if (call.status !== 400 || call.promptParts !== undefined) continue;
    if (!isCrashing(call, fleet)) yield describeCall(call);
  }
}

/** First tries at undisturbed VMs that were cut from all servers for a while. */
function* findLostCallers(index: IndexedObservations): Iterable<string> {
  const { fleet, calls, now } = index;
  const isCutAt = (vm: string, at: number) =>
    fleet.lostLinks.some((cut) =>
      cut.vm === vm && cut.from < at && cut.until > at
    );
  for (const { vm, from, until } of fleet.lostLinks) {
    const tries = calls.flatMap((call) => {
      const time = { from: call.sentAt, to: Math.min(call.endedAt, now) };
      const isOther = !isCutAt(call.vm, call.sentAt);
      const isCounted = call.endedAt < Infinity && call.resumes === undefined &&
        call.disconnectedAt === Infinity && (isOther || call.vm === vm) &&
        !isCrashing(call, fleet) &&
        isUndisturbed(index, [call.vm, STORE], time);
      if (!isCounted) return [];
      const isServed = call.status === 200 && call.isComplete;
      return [{ at: call.sentAt, isCut: !isOther, isServed }];
    });
    const shortfall = findRecoveryShortfall(tries, { from, until });
    if (shortfall === undefined) continue;
    const { cut, others } = shortfall;
    yield `${vm} served ${cut.served} of ${cut.tries}, others ${others.served} of ${others.tries}`;
  }
}

/** Whether a call ends the servers that run it. */
function isCrashing(
  { payload, promptParts = "" }: SoakCall,
  { crashingParts, crashingBodies }: ObservedFleet,
): boolean {
  return crashingBodies.has(payload) ||
    promptParts.split(",").some((part) =>
      crashingParts.has(part.split(":")[0]!)
    );
}

function* findStreamsOfTwoVersions(
  { calls }: IndexedObservations,
): Iterable<string> {
  const mixed = findMixedStreams(
    calls.filter(({ route }) => STREAM_ROUTES.has(route)).map((
      { id, resumes, body },
    ) => ({ streamId: resumes?.streamId ?? id, body })),
  );
  // A server may have started again just before its entry says so.
  if (mixed.length > MAX_MIXED_STREAMS) yield mixed.join();
}

function* findBlockedSoundPrompts(
  { calls, fleet }: IndexedObservations,
): Iterable<string> {
  for (const call of calls) {
    if (call.status !== 400 || call.promptParts === undefined) continue;
    if (!isCrashing(call, fleet)) {
      yield `${describeCall(call)}: ${call.promptParts}`;
    }
  }
}

function* findFencingViolations(index: IndexedObservations): Iterable<string> {
  for (const { id, orders } of index.fleet.servers) {
    const holders = new Map<number, string>();
    let highest = 0;
    for (const { at, order: { fence, holder } } of orders) {
      const firstHolder = holders.get(fence) ?? holder;
      holders.set(fence, firstHolder);
      if (firstHolder !== holder) {
        yield `${id} got orders with fencing number ${fence} from ${firstHolder} and ${holder}`;
      }
      const from = at - BOUNDS.lateOrderMs;
      // An order may arrive late, after newer ones, if its holder or the server was disturbed.
      const isDisturbed = !isUndisturbed(index, [holder, id], {
        from,
        to: at,
      });
      if (fence < highest && !isDisturbed) {
        yield `${id} got an order with fencing number ${fence} after ${highest}`;
      }
      highest = Math.max(highest, fence);
    }
  }
}

function* findUnexpectedExits(
  index: IndexedObservations,
): Iterable<string> {
  for (const exit of index.fleet.exits) {
    const { vm, code, cause, tookMs, timeShare = 1, from = 0 } = exit;
    if (cause === "kill" || (cause === "stop" && code === 0)) continue;
    const isKilled = cause === "stop" && code === -1;
    // A gateway that is frozen in turns stays so while the soak's process is held up.
    const isFrozenLonger = isKilled && timeShare < 1 &&
      !isUndisturbed(index, [], { from, to: from + tookMs });
    if (isFrozenLonger) continue;
    const share = timeShare < 1
      ? `, of which it got ${timeShare.toFixed(2)}`
      : "";
    yield `${vm} ended (${cause}) with ${code} after ${Math.round(tookMs)} ms` +
      share;
  }
}
