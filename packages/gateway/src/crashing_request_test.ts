import { Buffer } from "node:buffer";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { encodeHashes } from "@bitternfall/dispatch";
import {
  type CrashBound,
  findCrashOverrun,
  REPEATED_CRASH_BOUND,
  type StagedServer,
} from "@bitternfall/stand-ins";
import { monotonicNow, sleep } from "@bitternfall/types";
import { hashRequest } from "./request_identity.ts";
import {
  getServedShare,
  TestGateway,
  type TestRequest,
  type TestResponse,
} from "./test_gateway.ts";

const VM_COUNT = 3;
const SERVER_COUNT = 5;
const CRASHING_BODY = "ends servers";
/** The users' bound with a shorter time to settle, so that the test is short. */
const BOUND: CrashBound = { ...REPEATED_CRASH_BOUND, settleMs: 1000 };
const SEND_INTERVAL_MS = 25;
/** Every so many requests, one crashes servers. */
const CRASHING_EVERY = 4;

/** A request that the test sent. */
interface SentRequest {
  readonly body: string;
  readonly sentAt: number;
  readonly response: Promise<TestResponse | undefined>;
}

let deployment: TestGateway;
let sent: SentRequest[];

beforeEach(async () => {
  sent = [];
  deployment = new TestGateway();
  await deployment.start();
  for (let index = 1; index <= SERVER_COUNT; index++) {
    await deployment.addServer({
      id: `s${index}`,
      crashingBodies: new Set([CRASHING_BODY]),
      runMs: 30,
      restartMs: 400,
      onRestart: (server) => void deployment.registerAgain(server),
    });
  }
  for (let vm = 0; vm < VM_COUNT; vm++) await deployment.addGateway();
});
afterEach(() => deployment.close());

/** Adds model servers that a stream with the crashing body ends. */
async function addModelServers(): Promise<void> {
  const service = "lm";
  await deployment.addServer({ id: "p1", service, role: "prefill" });
  for (let index = 1; index <= SERVER_COUNT; index++) {
    await deployment.addServer({
      id: `d${index}`,
      service,
      role: "decode",
      crashingBodies: new Set([CRASHING_BODY]),
      restartMs: 400,
      onRestart: (server) =>
        void deployment.registerAgain(server, { service, role: "decode" }),
    });
  }
}

/** Sends one request to the last VMs that were started, in turn. */
function send(req: Omit<TestRequest, "id">): SentRequest {
  const index = sent.length;
  const vm = deployment.gateways.length - 1 - index % VM_COUNT;
  const request = {
    body: req.body ?? "",
    sentAt: monotonicNow(),
    response: deployment.send({ method: "POST", ...req, id: `r${index}` }, vm)
      .catch(() => undefined),
  };
  sent.push(request);
  return request;
}

/** Sends sound requests and repetitions of the one that crashes servers at a steady rate. */
async function load(
  durationMs: number,
  req: Omit<TestRequest, "id">,
): Promise<void> {
  const end = monotonicNow() + durationMs;
  while (monotonicNow() < end) {
    const isSound = sent.length % CRASHING_EVERY !== 0;
    send({ ...req, body: isSound ? `sound ${sent.length}` : CRASHING_BODY });
    await sleep(SEND_INTERVAL_MS);
  }
  await Promise.all(sent.map(({ response }) => response));
}

function findOverrun(servers: readonly StagedServer[] = deployment.servers) {
  return findCrashOverrun(
    servers.flatMap(({ crashes }) => crashes.map(({ at }) => at)),
    servers.flatMap(({ receivedRequests }) =>
      receivedRequests.filter(({ body }) => body === CRASHING_BODY)
        .map(({ at }) => at)
    ),
    BOUND,
  );
}

/** Share of the sound requests since a time that were answered. */
function getSoundShare(since: number): Promise<number> {
  const sound = sent.filter(({ body, sentAt }) =>
    body !== CRASHING_BODY && sentAt >= since
  );
  return getServedShare(sound.map(({ response }) => response));
}

describe("a request that crashes servers, however often it is repeated", () => {
  // Guards against servers that end for as long as the request is repeated, at any VM.
  it.each([
    ["safe", { path: "/safe/x" }],
    ["unsafe", { path: "/unsafe/x" }],
  ])(
    "of a plain %s route reaches at most three more after three crashes",
    async (_, req) => {
      await load(5500, req);
      expect(findOverrun()).toBeUndefined();
      expect(await getSoundShare(sent[0]!.sentAt + 2500)).toBeGreaterThan(0.9);
    },
    20_000,
  );

  // Guards against streams that are only known by the parts that their prompts share.
  it(
    "of a model service reaches at most three more also if its prompt has no shared parts",
    async () => {
      await addModelServers();
      await load(5500, {
        path: "/chat/x",
        headers: { "bitternfall-tokens": "1000,100,50" },
      });
      expect(findOverrun()).toBeUndefined();
      expect(await getSoundShare(sent[0]!.sentAt + 2500)).toBeGreaterThan(0.9);
    },
    20_000,
  );

  // Guards against a verdict that the VMs keep and lose.
  it("stays blocked after all VMs are killed at once", async () => {
    await load(2500, { path: "/safe/x" });
    await deployment.closeGateways();
    for (let vm = 0; vm < VM_COUNT; vm++) await deployment.addGateway();
    const restartedAt = monotonicNow();
    await load(2500, { path: "/safe/x" });
    expect(findOverrun()).toBeUndefined();
    expect(await getSoundShare(restartedAt + 500)).toBeGreaterThan(0.9);
  }, 20_000);

  // Guards against callers who come back again and again, or wait for nothing.
  it(
    "is refused at once as not run, and not with a time to return",
    async () => {
      await load(2500, { path: "/safe/x" });
      const askedAt = monotonicNow();
      const res = await send({ path: "/safe/x", body: CRASHING_BODY }).response;
      expect(monotonicNow() - askedAt).toBeLessThan(200);
      expect(res?.status).toBe(400);
      expect(res?.headers["retry-after"]).toBeUndefined();
    },
    20_000,
  );
});

describe("a popular sound request", () => {
  const POPULAR_BODY = "popular";

  /** Writes a verdict on a request, as the VMs keep it in the object API. */
  async function writeVerdict(body: string): Promise<void> {
    const part = hashRequest({
      method: "POST",
      path: "/safe/x",
      headers: ["host", "test"],
      body: Buffer.from(body),
    });
    await deployment.write("bitternfall-services/crashes-app", {
      reports: [],
      verdicts: [["s1@1", encodeHashes([part]), "", 0]],
      cleared: "",
    });
  }

  // Guards against a verdict that nothing lifts, since what is blocked never runs.
  it(
    "that was blocked wrongly is tried once, and then served at all VMs",
    async () => {
      await writeVerdict(POPULAR_BODY);
      await sleep(300);
      const early = await send({ path: "/safe/x", body: POPULAR_BODY })
        .response;
      expect(early?.status).toBe(400);
      const end = monotonicNow() + 2000;
      while (monotonicNow() < end) {
        send({ path: "/safe/x", body: POPULAR_BODY });
        await sleep(SEND_INTERVAL_MS);
      }
      expect(await getSoundShare(monotonicNow() - 400)).toBe(1);
    },
    20_000,
  );

  // Guards against trials that go on ending servers.
  it("is tried no more than once if it does end servers", async () => {
    await writeVerdict(CRASHING_BODY);
    await load(4000, { path: "/safe/x" });
    expect(deployment.servers.flatMap(({ crashes }) => crashes)).toHaveLength(
      1,
    );
  }, 20_000);

  // Guards against a verdict on the request that most callers repeat when a zone is lost.
  it(
    "is served again soon after servers were lost under it four times",
    async () => {
      const { servers } = deployment;
      let lost = 0;
      const startedAt = monotonicNow();
      while (monotonicNow() - startedAt < 7500) {
        send({ path: "/safe/x", body: POPULAR_BODY });
        if (monotonicNow() - startedAt > 1500 * (lost + 1) && lost < 4) {
          for (let at = 0; at < 3; at++) {
            void servers[(lost + at) % SERVER_COUNT]!.crash();
          }
          lost++;
        }
        await sleep(SEND_INTERVAL_MS / 2);
      }
      expect(lost).toBe(4);
      expect(await getSoundShare(startedAt)).toBeGreaterThan(0.9);
      // Within the last half second, well after the last loss.
      expect(await getSoundShare(monotonicNow() - 500)).toBe(1);
    },
    20_000,
  );
});
