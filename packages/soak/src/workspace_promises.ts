/**
 * Promises on keys and quotas of workspaces.
 * @module
 */
import { QuotaUnit, type Workspace } from "@bitternfall/access";
import { OWN_HEADERS } from "@bitternfall/gateway";
import {
  type Arrival,
  type Check,
  describeCall,
  type IndexedObservations,
  isUndisturbed,
} from "./observations.ts";
import type { SoakCall } from "./soak_clients.ts";
import { BOUNDS } from "./soak_config.ts";
import { KEY_MARK, STREAM_TOKENS } from "./soak_workspaces.ts";

type Quota = NonNullable<Workspace["quota"]>;

/** The checks by promise; they find nothing where configurations have no workspaces. */
export const WORKSPACE_CHECKS: { readonly [promise: string]: Check } = {
  "a request runs only with a key in force, as its workspace's":
    findRunsWithoutKey,
  "no server sees a key": findSeenKeys,
  "a sound key is not refused": findRefusedKeys,
  "a workspace's use stays within its quota": findQuotaOverruns,
  "a workspace within its quota is not refused for it": findQuotaRefusals,
};

const MS_PER_S = 1000;

/**
 * The workspaces that hold a call's key, for each configuration that may be in force at a
 * gateway from its start until `at`; undefined for one that does not know the key.
 */
function listHolders(
  { fleet }: IndexedObservations,
  { key, sentAt }: SoakCall,
  at: number,
): (string | undefined)[] {
  const { configs } = fleet.registry;
  const acked = configs.findLast(({ ackedAt }) =>
    ackedAt + BOUNDS.configApplyMs < sentAt
  );
  return configs.filter((config) =>
    config.version >= (acked?.version ?? 1) && config.sentAt <= at
  ).map(({ workspaces }) =>
    workspaces?.find(({ keys }) => keys.includes(key))?.name
  );
}

function getSeenWorkspace({ headers }: Arrival): string | undefined {
  return headers[OWN_HEADERS.workspace]?.toString();
}

function* findRunsWithoutKey(index: IndexedObservations): Iterable<string> {
  for (const arrival of index.arrivals) {
    const call = index.callsById.get(arrival.requestId);
    if (call === undefined || call.key === "") continue;
    const seen = getSeenWorkspace(arrival);
    const holders = listHolders(index, call, arrival.at);
    if (seen !== undefined && holders.includes(seen)) continue;
    const time = { from: call.sentAt, to: arrival.at };
    if (!isUndisturbed(index, [], time)) continue;
    yield `${
      describeCall(call)
    } with ${call.key} at ${arrival.server} as ${seen}`;
  }
}

function* findSeenKeys({ arrivals }: IndexedObservations): Iterable<string> {
  for (const { requestId, server, headers } of arrivals) {
    const values = Object.values(headers);
    if (!values.some((value) => String(value).includes(KEY_MARK))) continue;
    yield `${requestId} at ${server}`;
  }
}

/** Answers of 401 with a key that each configuration in question holds. */
function* findRefusedKeys(index: IndexedObservations): Iterable<string> {
  for (const call of index.calls) {
    if (call.status !== 401) continue;
    if (listHolders(index, call, call.endedAt).includes(undefined)) continue;
    const time = { from: call.sentAt, to: call.endedAt };
    if (!isUndisturbed(index, [], time)) continue;
    yield `${describeCall(call)} with ${call.key}`;
  }
}

/** What servers ran for a workspace in a window beyond its quota. */
function* findQuotaOverruns(index: IndexedObservations): Iterable<string> {
  const { quotaWindowMs, quotaTolerance, quotaSlack } = BOUNDS;
  const first = [...index.runsByRequestId].map(([id, runs]) => ({
    call: index.callsById.get(id),
    run: runs.toSorted((a, b) => a.at - b.at)[0]!,
  })).sort((a, b) => a.run.at - b.run.at);
  for (const [name, quota] of listQuotas(index)) {
    const bound = (1 + quotaTolerance) *
        (quota.perSecond * quotaWindowMs / MS_PER_S + quota.burst) + quotaSlack;
    const uses = first.flatMap(({ call, run }) =>
      call !== undefined && getSeenWorkspace(run) === name
        ? [{ at: run.at, cost: getCost(quota, call) }]
        : []
    );
    let used = 0;
    let oldest = 0;
    for (const { at, cost } of uses) {
      used += cost;
      while (uses[oldest]!.at <= at - quotaWindowMs) {
        used -= uses[oldest++]!.cost;
      }
      if (used <= bound) continue;
      yield `${name} used ${used} of ${bound} by ${Math.round(at)}`;
      break;
    }
  }
}

/**
 * Refusals of requests that a bucket of the workspace's own still covers, though its callers
 * have taken from it with all requests, and have not exceeded it for a window.
 */
function* findQuotaRefusals(index: IndexedObservations): Iterable<string> {
  const calls = index.calls.toSorted((a, b) => a.sentAt - b.sentAt);
  const vms = [...new Set(calls.map(({ vm }) => vm))];
  const isCalm = (time: { from: number; to: number }) =>
    isUndisturbed(index, vms, time) &&
    !index.fleet.stops.some(({ from, until }) =>
      from <= time.to && until + BOUNDS.recoveryMs >= time.from
    );
  for (const [name, quota] of listQuotas(index)) {
    let balance = quota.burst;
    let lastAt = 0;
    let exceededAt = -Infinity;
    for (const call of calls) {
      const { sentAt, endedAt, status, body } = call;
      if (!listHolders(index, call, endedAt).includes(name)) continue;
      const growth = (sentAt - lastAt) * quota.perSecond / MS_PER_S;
      balance = Math.min(quota.burst, balance + growth) - getCost(quota, call);
      lastAt = sentAt;
      if (balance < 0) exceededAt = sentAt;
      balance = Math.max(0, balance);
      const isRefused = status === 429 && body.includes("quota");
      if (!isRefused || exceededAt + BOUNDS.quotaWindowMs > sentAt) continue;
      if (isCalm({ from: sentAt, to: endedAt })) {
        yield `${describeCall(call)} of ${name}, ${Math.floor(balance)} left`;
      }
    }
  }
}

/** The quotas by workspace, which all configurations agree on. */
function listQuotas({ fleet }: IndexedObservations): [string, Quota][] {
  const workspaces = fleet.registry.configs.at(-1)?.workspaces ?? [];
  return workspaces.flatMap(({ name, quota }): [string, Quota][] =>
    quota === undefined ? [] : [[name, quota]]
  );
}

function getCost({ unit, plainTokens }: Quota, call: SoakCall): number {
  if (unit === QuotaUnit.Requests) return 1;
  return call.promptParts === undefined ? plainTokens : STREAM_TOKENS;
}
