import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  findLimitOverrun,
  LIMIT_BOUND,
  type LimitBound,
  type StagedServer,
} from "@bitternfall/stand-ins";
import { getDispatcherRole } from "@bitternfall/dispatch-host";
import { pickOwner } from "@bitternfall/membership";
import { monotonicNow, sleep } from "@bitternfall/types";
import { TestGateway } from "./test_gateway.ts";

const VM_COUNT = 3;
const REQUESTS_PER_SECOND = 10;
/** The users' bound with a shorter window, so that the test is short. */
const BOUND: LimitBound = {
  windowMs: 1000,
  settleMs: 600,
  toldMs: 200,
  factor: 1.5,
  slack: 5,
};
/** As low as the limits of a soak; less than a takeover lets pass without any limit. */
const LOW_LIMIT = 2;
const LOAD_MS = 2000;
const SEND_INTERVAL_MS = 25;

let deployment: TestGateway;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start();
});
afterEach(() => deployment.close());

/** Sends requests to all VMs at a steady rate; the ids begin with the VM's number. */
async function load(
  send: (id: string, vm: number) => Promise<{ status: number }>,
  durationMs = LOAD_MS,
): Promise<number[]> {
  const responses: Promise<{ status: number }>[] = [];
  const end = monotonicNow() + durationMs;
  for (let sent = 0; monotonicNow() < end; sent++) {
    for (let vm = 0; vm < VM_COUNT; vm++) {
      responses.push(send(`${vm}-${sent}`, vm));
    }
    await sleep(SEND_INTERVAL_MS);
  }
  return (await Promise.all(responses)).map(({ status }) => status);
}

function findOverrun(
  { receivedRequests, namedLimits }: StagedServer,
  bound = BOUND,
) {
  const arrivals = receivedRequests.map(({ requestId, at, endedAt }) => ({
    at,
    endedAt,
    vm: requestId.split("-")[0]!,
  }));
  return findLimitOverrun(arrivals, namedLimits, bound);
}

async function addGateways(): Promise<void> {
  for (let vm = 0; vm < VM_COUNT; vm++) await deployment.addGateway();
}

describe("the limit that a server names, over all VMs", () => {
  // Guards against a limit that is ignored, or that each VM keeps by itself.
  it("is kept for a server of a plain service, while another one serves the rest", async () => {
    const limited = await deployment.addServer({ id: "s1" });
    const other = await deployment.addServer({ id: "s2" });
    await addGateways();
    limited.nameLimit(REQUESTS_PER_SECOND);
    const statuses = await load((id, vm) =>
      deployment.send({ id, path: "/unsafe/x", method: "POST" }, vm)
    );
    expect(findOverrun(limited)).toBeUndefined();
    expect(new Set(statuses)).toEqual(new Set([200]));
    expect(other.runs.length).toBeGreaterThan(limited.runs.length);
  });

  // Guards against a limit that holds for plain services only.
  it("is kept for the servers of a model service", async () => {
    const lm = { service: "lm", events: 2 };
    const prefill = await deployment.addServer({
      id: "p1",
      role: "prefill",
      ...lm,
    });
    await deployment.addServer({ id: "p2", role: "prefill", ...lm });
    const decode = await deployment.addServer({
      id: "d1",
      role: "decode",
      ...lm,
    });
    await deployment.addServer({ id: "d2", role: "decode", ...lm });
    await addGateways();
    prefill.nameLimit(REQUESTS_PER_SECOND);
    decode.nameLimit(REQUESTS_PER_SECOND);
    const statuses = await load((id, vm) => deployment.stream({ id }, vm));
    expect(findOverrun(prefill)).toBeUndefined();
    expect(findOverrun(decode)).toBeUndefined();
    expect(statuses).toContain(200);
  });

  // Guards against a dispatcher that does not know the limit until the server answers again.
  it("is kept for a model server while its dispatchers end one after the other", async () => {
    const lm = { service: "lm", events: 2 };
    await deployment.addServer({ id: "p1", role: "prefill", ...lm });
    const decode = await deployment.addServer({
      id: "d1",
      role: "decode",
      eventMs: 100,
      ...lm,
    });
    const ids = Array.from({ length: 6 }, (_, index) => `vm-${index + 1}`);
    for (const _ of ids) await deployment.addGateway();
    const role = getDispatcherRole("lm");
    const staying = [...ids];
    const dispatchers = Array.from({ length: 3 }, () => {
      const owner = pickOwner(role, staying)!;
      staying.splice(staying.indexOf(owner), 1);
      return deployment.gateways[ids.indexOf(owner)]!;
    });
    decode.nameLimit(LOW_LIMIT);
    const loading = load(
      (id, vm) => deployment.stream({ id }, ids.indexOf(staying[vm]!)),
      2 * LOAD_MS,
    );
    for (const dispatcher of dispatchers) {
      await sleep(LOAD_MS / 2);
      await dispatcher.close();
    }
    await loading;
    const bound = { ...BOUND, windowMs: LIMIT_BOUND.windowMs };
    expect(findOverrun(decode, bound)).toBeUndefined();
    expect(decode.runs.length).toBeGreaterThan(LOW_LIMIT);
  });

  // Guards against a server that gets nothing for good once it has named a limit.
  it("ends when the server names none any more", async () => {
    const server = await deployment.addServer({ id: "s1" });
    await addGateways();
    server.nameLimit(REQUESTS_PER_SECOND);
    const send = (id: string, vm: number) =>
      deployment.send({ id, path: "/unsafe/x", method: "POST" }, vm);
    const limited = await load(send);
    expect(limited).toContain(503);
    expect(findOverrun(server)).toBeUndefined();
    // The server still gets what it takes.
    expect(server.runs.length).toBeGreaterThan(
      0.5 * REQUESTS_PER_SECOND * LOAD_MS / 1000,
    );
    server.nameLimit(undefined);
    await load(send, LOAD_MS / 2);
    expect(new Set(await load(send, LOAD_MS / 4))).toEqual(new Set([200]));
  });
});
