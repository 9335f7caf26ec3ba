import { beforeEach, describe, expect, it } from "vitest";
import { type QuotaLimit, QuotaUnit } from "@bitternfall/access";
import { VirtualTime } from "@bitternfall/engine-model";
import { QuotaSource } from "./account.ts";
import { QuotaClient, TAKE_TIMEOUT_MS } from "./client.ts";
import { NOT_ISSUER, type QuotaReply, type QuotaRequest } from "./messages.ts";

const LIMIT: QuotaLimit = {
  unit: QuotaUnit.Tokens,
  perSecond: 1000,
  burst: 1000,
  plainTokens: 200,
};
const BOUND = { windowMs: 8000, tolerance: 0.1, slack: 0 };
const VM_COUNT = 4;
/** After the first window of the process, in which it may not overdraw. */
const START_MS = 9000;
/** A quarter of the tolerance of 900, shared by four VMs. */
const CREDIT = 56;
const DELAY_MS = 20;

let time: VirtualTime;
let client: QuotaClient;
let messages: QuotaRequest[][];
let reply: (req: QuotaRequest) => QuotaReply;
let isReachable: boolean;

beforeEach(async () => {
  time = new VirtualTime();
  messages = [];
  isReachable = true;
  reply = ([, least, waiting]) => [least + waiting, least && 500];
  client = new QuotaClient({
    bound: BOUND,
    getIssuer: () => "issuer",
    getVmCount: () => VM_COUNT,
    now: time.now,
    schedule: time.schedule,
    send: (_issuer, _id, requests) => {
      messages.push([...requests]);
      return new Promise((resolve, reject) => {
        time.schedule(TAKE_TIMEOUT_MS, () => reject(new Error("timeout")));
        if (!isReachable) return;
        time.schedule(DELAY_MS, () => resolve(requests.map(reply)));
      });
    },
  });
  client.setLimits(new Map([["a", LIMIT], ["b", LIMIT]]));
  await time.run(START_MS);
});

/** Takes costs at once; returns the results, or undefined for those that still wait. */
async function take(workspace: string, ...costs: number[]) {
  const results = costs.map(() => undefined) as Awaited<
    ReturnType<QuotaClient["take"]>
  >[];
  for (const [index, cost] of costs.entries()) {
    void client.take(workspace, cost).then((res) => results[index] = res);
  }
  await time.run(time.now());
  return results;
}

async function takeAndWait(workspace: string, ...costs: number[]) {
  const results = await take(workspace, ...costs);
  await time.run(time.now() + 2 * TAKE_TIMEOUT_MS);
  return results;
}

describe("a request that the lease does not cover", () => {
  // Guards against a message for each of many requests.
  it("shares its message with those of other workspaces", async () => {
    const granted: unknown[] = [];
    for (const [workspace, cost] of [["a", 400], ["a", 300], ["b", 500]]) {
      void client.take(workspace as string, cost as number)
        .then((res) => granted.push(res?.tag));
    }
    await time.run(time.now());
    await time.run(time.now() + 2 * DELAY_MS);
    expect(messages).toEqual([[
      ["a", 400, 300, 0, 0, 0],
      ["b", 500, 0, 0, 0, 0],
    ]]);
    expect(granted).toEqual(Array(3).fill("granted"));
  });

  // Guards against requests that wait for tokens in place of a refusal.
  it("is refused by the reply if too little is issued", async () => {
    reply = ([, least]) => [least, 500];
    const results = await takeAndWait("a", 400, 300);
    expect(results.map((res) => res?.tag)).toEqual(["granted", "refused"]);
    expect(messages).toHaveLength(1);
  });

  // Guards against a reply that decides what it was not asked for.
  it("is asked for by the next message if it comes after the last one", async () => {
    void client.take("a", 400);
    await time.run(time.now() + DELAY_MS / 2);
    const [late] = await takeAndWait("a", 300);
    expect(messages.map(([req]) => req![1])).toEqual([400, 300]);
    expect(late?.tag).toBe("granted");
  });

  // Guards against a request that waits for two messages, or for ever.
  it("waits for no longer than a message may take", async () => {
    isReachable = false;
    const results = await take("a", 400);
    await time.run(time.now() + TAKE_TIMEOUT_MS - 1);
    expect(results).toEqual([undefined]);
    await time.run(time.now() + 1);
    expect(results[0]?.tag).toBe("refused");
  });

  // Guards against a message for each request of a workspace over its limit.
  it("is refused at once until the time that the issuer has named", async () => {
    reply = () => [0, 1000];
    await takeAndWait("a", 400);
    const [first, second] = await take("a", 400, 400);
    expect(first).toMatchObject({ tag: "refused" });
    expect(messages).toHaveLength(1);
    const getRetryAfterMs = (res: typeof first) =>
      res?.tag === "refused" ? res.retryAfterMs : 0;
    expect(getRetryAfterMs(second)).toBeGreaterThan(getRetryAfterMs(first));
    await time.run(time.now() + 1000);
    await take("a", 400);
    expect(messages).toHaveLength(2);
  });
});

describe("a small request", () => {
  // Guards against a round trip for each small request.
  it("is paid by overdraft, which the next message settles once", async () => {
    const [small] = await take("a", CREDIT);
    expect(small?.figures.source).toBe(QuotaSource.Overdraft);
    expect(messages).toHaveLength(0);
    await takeAndWait("a", 400);
    await takeAndWait("a", 400);
    expect(messages.map(([req]) => req![4])).toEqual([CREDIT, 0]);
  });

  // Guards against overdraft that a lost message makes free.
  it("stays on the account until a message is answered", async () => {
    await take("a", CREDIT);
    isReachable = false;
    await takeAndWait("a", 400);
    isReachable = true;
    await takeAndWait("a", 400);
    expect(messages.map(([req]) => req![4])).toEqual([CREDIT, CREDIT]);
  });
});

describe("a lease", () => {
  // Guards against tokens that nobody can use.
  it("is returned once if it ends unspent", async () => {
    const [granted] = await takeAndWait("a", 400);
    client.giveBack("a", 400, time.now());
    await time.run(time.now() + 200);
    await takeAndWait("a", 400);
    expect(granted?.tag).toBe("granted");
    expect(messages.map(([req]) => req![5])).toEqual([0, 400, 0]);
  });

  // Guards against leases that have ended while the process was suspended.
  it("is void after a suspension, also one whose reply is on its way", async () => {
    reply = ([, least]) => [least + 800, 5000];
    await takeAndWait("a", 400);
    const results = await take("a", 900);
    client.voidLeases();
    await time.run(time.now() + 2 * DELAY_MS);
    expect(results[0]?.tag).toBe("refused");
    expect((await take("a", 400))[0]?.tag).not.toBe("granted");
  });

  // Guards against a workspace that goes on after its removal.
  it("is lost with its workspace", async () => {
    reply = ([, least]) => [least + 800, 5000];
    await takeAndWait("a", 400);
    client.setLimits(new Map());
    expect(await take("a", 400)).toEqual([undefined]);
    client.setLimits(new Map([["a", LIMIT]]));
    await takeAndWait("a", 400);
    expect(messages).toHaveLength(2);
  });
});

describe("while no issuer answers", () => {
  // Guards against a workspace without service, or with its whole limit at each VM.
  it.each([
    ["it is unreachable", () => isReachable = false],
    ["it is not the issuer by its own view", () => reply = () => NOT_ISSUER],
  ])("a VM spends its share after one lease time: %s", async (_, fail) => {
    await takeAndWait("a", 400);
    fail();
    const failedAt = time.now();
    let used = 0;
    for (let tick = 0; tick < 400; tick++) {
      const [res] = await take("a", 50);
      await time.run(time.now() + 25);
      if (res?.tag === "granted") used += 50;
    }
    await time.run(time.now() + TAKE_TIMEOUT_MS);
    const share = LIMIT.perSecond / VM_COUNT * (time.now() - failedAt) / 1000;
    expect(used).toBeGreaterThan(0.7 * share);
    expect(used).toBeLessThan(share + LIMIT.burst / VM_COUNT + CREDIT);
  });
});
