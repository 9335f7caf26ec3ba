/**
 * What the gateways promise, held against what callers and servers have seen.
 * @module
 */
import type { ReceivedRequest } from "@bitternfall/stand-ins";
import { OBSERVER, STORE } from "./disturbances.ts";
import type { SoakCall } from "./soak_clients.ts";
import { BOUNDS, EVENTS, getFlipService, SERVERS } from "./soak_config.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakRegistry } from "./soak_registry.ts";
import type { SoakServer } from "./soak_server.ts";

/** A promise that was broken, with one case of it. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** A request at a server. */
interface Arrival extends ReceivedRequest {
  readonly server: string;
  readonly service: string;
}

/** What the checks need to know of the fleet. */
export interface ObservedFleet
  extends Pick<SoakFleet, "disturbances" | "exits"> {
  readonly servers: readonly Pick<
    SoakServer,
    "id" | "spec" | "seen" | "orders"
  >[];
  readonly registry: Pick<SoakRegistry, "configs" | "leaving">;
}

/** All that the checks look at. */
export interface Evidence {
  readonly fleet: ObservedFleet;
  readonly calls: readonly SoakCall[];
  readonly now: number;
}

/** What the checks look up, made once a round. */
interface Index extends Evidence {
  readonly byId: ReadonlyMap<string, SoakCall>;
  readonly arrivals: readonly Arrival[];
  readonly runsById: ReadonlyMap<string, readonly Arrival[]>;
}

const NOT_RUN = new Set([408, 421, 429, 503]);
const STREAMS = new Set(["chat", "once"]);
const RUN_ONCE = new Set(["unsafe", "once"]);

type Check = (index: Index) => Iterable<string>;

const CHECKS: { readonly [promise: string]: Check } = {
  "a request runs as its caller sent it": findAltered,
  "what may not be repeated runs once": findDoubleRuns,
  "a refused request has not run": findFalseRefusals,
  "an answer is the server's own and whole": findWrongAnswers,
  "a request gets an answer": findLost,
  "an answer comes by the route's timeout": findLate,
  "a leaving server gets no new requests": findLateDrains,
  "servers stop what its caller has left": findAbandoned,
  "a route leads where a configuration in force says": findMisrouted,
  "repeats stay within the budget": findOverspent,
  "one holder orders with one fencing number, which never falls": findOrders,
  "a gateway ends only when told to, in time": findBadExits,
};

/** The promises that are broken, each with its first case. */
export function findViolations(evidence: Evidence): Violation[] {
  const index = createIndex(evidence);
  const violations: Violation[] = [];
  for (const [promise, check] of Object.entries(CHECKS)) {
    for (const detail of check(index)) {
      violations.push({ promise, detail });
      break;
    }
  }
  return violations;
}

function createIndex(evidence: Evidence): Index {
  const arrivals = evidence.fleet.servers.flatMap(({ id, spec, seen }) =>
    seen.map((one) => ({ ...one, server: id, service: spec.service }))
  );
  const runsById = new Map<string, Arrival[]>();
  for (const arrival of arrivals) {
    if (!arrival.ran) continue;
    const runs = runsById.get(arrival.requestId) ?? [];
    runs.push(arrival);
    runsById.set(arrival.requestId, runs);
  }
  const byId = new Map(evidence.calls.map((call) => [call.id, call]));
  return { ...evidence, byId, arrivals, runsById };
}

function isCalm(
  { fleet }: Index,
  targets: readonly string[],
  time: { from: number; to: number },
): boolean {
  return !fleet.disturbances.touches([...targets, OBSERVER], time);
}

function describe({ id, route, vm, status, error }: SoakCall): string {
  return `${id} ${route} on ${vm}: ${status ?? "no answer"} ${error ?? ""}`;
}

function* findAltered({ arrivals, byId }: Index): Iterable<string> {
  for (const { requestId, path, body, server } of arrivals) {
    const call = byId.get(requestId);
    if (call === undefined) yield `${requestId} at ${server} was never sent`;
    else if (call.path !== path || call.payload !== body) {
      yield `${requestId} at ${server}: ${path} ${body}`;
    }
  }
}

function* findDoubleRuns({ runsById, byId }: Index): Iterable<string> {
  for (const [id, runs] of runsById) {
    if (!RUN_ONCE.has(byId.get(id)?.route ?? "") || runs.length < 2) continue;
    yield `${id} ran at ${runs.map(({ server }) => server).join(" and ")}`;
  }
}

function* findFalseRefusals({ calls, runsById }: Index): Iterable<string> {
  for (const call of calls) {
    if (!NOT_RUN.has(call.status ?? 0)) continue;
    const [run] = runsById.get(call.id) ?? [];
    if (run !== undefined) yield `${describe(call)}, ran at ${run.server}`;
  }
}

function* findWrongAnswers({ calls, runsById }: Index): Iterable<string> {
  for (const call of calls) {
    if (call.status !== 200 || !call.isComplete) continue;
    const runs = runsById.get(call.id) ?? [];
    const isOwn = runs.some(({ server }) => server === call.seal);
    const isWhole = STREAMS.has(call.route)
      ? isWholeStream(call.body)
      : call.body === `${call.seal} ran ${call.id}`;
    if (!isOwn || !isWhole) {
      yield `${describe(call)}, seal ${call.seal}: ${call.body}`;
    }
  }
}

function isWholeStream(body: string): boolean {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  return ids.length === EVENTS && ids.every((id, at) => id === at + 1);
}

/** A request that reached a server and whose connection ends without an answer. */
function* findLost(index: Index): Iterable<string> {
  const arrived = new Set(index.arrivals.map(({ requestId }) => requestId));
  for (const call of index.calls) {
    const isAnswered = call.status !== undefined || call.leftAt < Infinity;
    if (isAnswered || call.error === undefined) continue;
    const time = { from: call.sentAt, to: call.endedAt };
    if (arrived.has(call.id) && isCalm(index, [call.vm], time)) {
      yield describe(call);
    }
  }
}

function* findLate(index: Index): Iterable<string> {
  for (const call of index.calls) {
    const to = Math.min(call.endedAt, call.leftAt, index.now);
    const ms = to - call.sentAt;
    if (ms <= BOUNDS.timeoutMs + BOUNDS.answerSlackMs) continue;
    if (isCalm(index, [call.vm], { from: call.sentAt, to })) {
      yield `${describe(call)}, ${Math.round(ms)} ms`;
    }
  }
}

function* findLateDrains(index: Index): Iterable<string> {
  const { fleet: { registry }, arrivals, byId } = index;
  for (const { server, ackedAt, until } of registry.leaving) {
    for (const { server: at, requestId, at: arrivedAt } of arrivals) {
      const isLate = arrivedAt > ackedAt + BOUNDS.drainMs && arrivedAt < until;
      if (at !== server || !isLate) continue;
      const { vm = "" } = byId.get(requestId) ?? {};
      const time = { from: ackedAt, to: arrivedAt };
      if (!isCalm(index, [vm, STORE, server], time)) continue;
      const ms = Math.round(arrivedAt - ackedAt);
      yield `${requestId} by ${vm} at ${server}, ${ms} ms after it left`;
    }
  }
}

function* findAbandoned(index: Index): Iterable<string> {
  for (const call of index.calls) {
    if (call.leftAt === Infinity) continue;
    const limit = call.leftAt + BOUNDS.goneMs;
    for (const run of index.runsById.get(call.id) ?? []) {
      if (Math.min(run.endedAt, index.now) <= limit) continue;
      const time = { from: run.at, to: limit };
      if (!isCalm(index, [call.vm, run.server], time)) continue;
      yield `${describe(call)}, left, still at ${run.server}`;
    }
  }
}

function* findMisrouted(index: Index): Iterable<string> {
  const { registry: { configs } } = index.fleet;
  for (const { requestId, service, at } of index.arrivals) {
    const call = index.byId.get(requestId);
    if (call === undefined) continue;
    if (call.route !== "flip") {
      if (service !== getService(call)) yield `${requestId} ran at ${service}`;
      continue;
    }
    const acked = configs.findLast(({ ackedAt }) =>
      ackedAt + BOUNDS.configMs < call.sentAt
    );
    const allowed = configs.filter(({ version, sentAt }) =>
      version >= (acked?.version ?? 1) && sentAt <= at
    );
    if (
      allowed.some(({ version }) => getFlipService(version) === service)
    ) continue;
    const time = { from: acked?.ackedAt ?? 0, to: at };
    if (!isCalm(index, [call.vm, STORE], time)) continue;
    yield `${requestId} ran at ${service} under version ${acked?.version}`;
  }
}

function getService({ route }: SoakCall): string {
  return STREAMS.has(route) ? "lm" : "app";
}

function* findOverspent(index: Index): Iterable<string> {
  const { budgetWindowMs, budgetRatio, budgetSlack } = BOUNDS;
  for (const service of new Set(SERVERS.map(({ service }) => service))) {
    const arrivals = index.arrivals.filter((one) => one.service === service)
      .sort((a, b) => a.at - b.at);
    const seen = new Set<string>();
    const extras: number[] = [];
    for (const { requestId, stage, at } of arrivals) {
      const key = `${stage} ${requestId}`;
      if (seen.has(key)) extras.push(at);
      seen.add(key);
    }
    const sent = index.calls.filter((call) => getTarget(call) === service);
    for (const from of extras) {
      const to = from + budgetWindowMs;
      const count = extras.filter((at) => at >= from && at < to).length;
      const requests = sent.filter(({ sentAt }) =>
        sentAt >= from && sentAt < to
      ).length;
      if (count <= budgetRatio * requests + budgetSlack) continue;
      yield `${count} repeats of ${requests} requests for ${service}`;
    }
  }
}

function getTarget(call: SoakCall): string | undefined {
  // Requests of the route that changes its service are few and count for neither.
  return call.route === "flip" ? undefined : getService(call);
}

function* findOrders(index: Index): Iterable<string> {
  for (const { id, orders } of index.fleet.servers) {
    const holders = new Map<number, string>();
    let highest = 0;
    for (const { at, order: { fence, holder } } of orders) {
      const known = holders.get(fence) ?? holder;
      holders.set(fence, known);
      if (known !== holder) {
        yield `${id} got orders under ${fence} by ${known} and ${holder}`;
      }
      const from = at - BOUNDS.thawMs;
      const isThawing = !isCalm(index, [holder, id], { from, to: at });
      if (fence < highest && !isThawing) {
        yield `${id} got an order under ${fence} after ${highest}`;
      }
      highest = Math.max(highest, fence);
    }
  }
}

function* findBadExits({ fleet: { exits } }: Index): Iterable<string> {
  for (const { vm, code, cause, tookMs } of exits) {
    if (cause === "kill" || (cause === "stop" && code === 0)) continue;
    yield `${vm} ended (${cause}) with ${code} after ${Math.round(tookMs)} ms`;
  }
}
