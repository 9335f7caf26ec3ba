import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type CrashBound, findCrashOverrun } from "@bitternfall/stand-ins";
import { monotonicNow, sleep } from "@bitternfall/types";
import { OWN_HEADERS } from "./own_dialect.ts";
import {
  getServedShare,
  TestGateway,
  type TestResponse,
} from "./test_gateway.ts";

const VM_COUNT = 3;
const DECODE_COUNT = 4;
const CRASHING_PART = "bad";
/** The users' bound with a shorter time to settle, so that the test is short. */
const BOUND: CrashBound = { crashes: 5, settleMs: 600, requests: 3 };
const SEND_INTERVAL_MS = 25;
/** Every so many requests, one has the part that crashes servers. */
const CRASHING_EVERY = 3;

/** A request that the test sent. */
interface SentRequest {
  readonly isSound: boolean;
  readonly sentAt: number;
  readonly response: Promise<TestResponse | undefined>;
}

let deployment: TestGateway;
let sent: SentRequest[];

beforeEach(async () => {
  sent = [];
  deployment = new TestGateway();
  await deployment.start();
  await deployment.addServer({ id: "p1", service: "lm", role: "prefill" });
  for (let index = 1; index <= DECODE_COUNT; index++) {
    await deployment.addServer({
      id: `d${index}`,
      service: "lm",
      role: "decode",
      crashingParts: new Set([CRASHING_PART]),
      restartMs: 150,
      onRestart: (server) =>
        void deployment.registerAgain(server, {
          service: "lm",
          role: "decode",
        }),
    });
  }
  for (let vm = 0; vm < VM_COUNT; vm++) await deployment.addGateway();
});
afterEach(() => deployment.close());

/** Sends sound and crashing requests at a steady rate to the last VMs that were started. */
async function load(durationMs: number): Promise<void> {
  const end = monotonicNow() + durationMs;
  while (monotonicNow() < end) {
    const index = sent.length;
    const isSound = index % CRASHING_EVERY !== 0;
    const middle = isSound ? `case${index % 7}` : CRASHING_PART;
    // The part stands behind parts that differ, and the parts around it are shared.
    const parts = index % 2 === 0
      ? `common:400,office${index % 5}:200,${middle}:300,own${index}:100`
      : `common:400,${middle}:500,own${index}:100`;
    const vm = deployment.gateways.length - 1 - index % VM_COUNT;
    const response = deployment.stream({
      id: `r${index}`,
      path: index % 4 === 0 ? "/chat/x" : "/once/x",
      headers: { [OWN_HEADERS.promptParts]: parts },
    }, vm).catch(() => undefined);
    sent.push({ isSound, sentAt: monotonicNow(), response });
    await sleep(SEND_INTERVAL_MS);
  }
  await Promise.all(sent.map(({ response }) => response));
}

function findOverrun() {
  return findCrashOverrun(
    deployment.servers.flatMap(({ crashes }) => crashes.map(({ at }) => at)),
    deployment.servers.flatMap(({ receivedRequests }) =>
      receivedRequests.filter(({ headers }) =>
        String(headers[OWN_HEADERS.promptParts]).includes(`${CRASHING_PART}:`)
      ).map(({ at }) => at)
    ),
    BOUND,
  );
}

/** Share of the sound requests since a time that were answered whole. */
function getSoundShare(since: number): Promise<number> {
  const sound = sent.filter((req) => req.isSound && req.sentAt >= since);
  return getServedShare(sound.map(({ response }) => response));
}

describe("a part of a prompt that crashes servers", () => {
  // Guards against servers that end one after the other, since nothing is learnt from it.
  it(
    "reaches at most three more servers after five crashes, and sound requests are served",
    async () => {
      await load(4000);
      expect(findOverrun()).toBeUndefined();
      expect(await getSoundShare(sent[0]!.sentAt + 2000)).toBeGreaterThan(0.9);
    },
    20_000,
  );

  // Guards against a verdict that one VM keeps and loses.
  it("stays blocked after all VMs are killed at once", async () => {
    await load(2500);
    await deployment.closeGateways();
    for (let vm = 0; vm < VM_COUNT; vm++) await deployment.addGateway();
    const restartedAt = monotonicNow();
    await load(2000);
    expect(findOverrun()).toBeUndefined();
    expect(await getSoundShare(restartedAt)).toBeGreaterThan(0.9);
  }, 20_000);

  // Guards against callers who come back again and again, or wait for nothing.
  it(
    "is refused at once as not run, and not with a time to return",
    async () => {
      await load(2500);
      const askedAt = monotonicNow();
      const res = await deployment.stream({
        id: "refused",
        headers: {
          [OWN_HEADERS.promptParts]: `new:5,${CRASHING_PART}:9,own:1`,
        },
      });
      expect(monotonicNow() - askedAt).toBeLessThan(200);
      expect(res.status).toBe(400);
      expect(res.headers["retry-after"]).toBeUndefined();
    },
    20_000,
  );
});
