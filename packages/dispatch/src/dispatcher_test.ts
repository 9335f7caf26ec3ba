import { beforeEach, describe, expect, it } from "vitest";
import { createRandom } from "@bitternfall/stand-ins";
import { Priority, ServerRole } from "@bitternfall/types";
import {
  type AcquireRequest,
  type Decision,
  Dispatcher,
  FairQueue,
  type Grant,
  hashPrefixes,
  Phase,
  PrefixIndex,
  RefusalReason,
  RetryBudget,
  ServerFailure,
  type ServiceConfig,
} from "./mod.ts";

/** A clock whose timers run when it is advanced. */
class FakeClock {
  now = 1000;
  readonly #timers = new Set<{ at: number; run: () => void }>();

  readonly schedule = (ms: number, run: () => void): () => void => {
    const timer = { at: this.now + ms, run };
    this.#timers.add(timer);
    return () => this.#timers.delete(timer);
  };

  /** Advances the clock, runs due timers, and lets promises settle. */
  async advance(ms: number): Promise<void> {
    const end = this.now + ms;
    for (;;) {
      const due = [...this.#timers].filter((timer) =>
        timer.at <= end
      ).sort((a, b) => a.at - b.at)[0];
      if (due === undefined) {
        break;
      }
      this.#timers.delete(due);
      this.now = Math.max(this.now, due.at);
      due.run();
    }
    this.now = end;
    await Promise.resolve();
  }
}

const CONFIG: ServiceConfig = {
  servers: [
    { id: "p1", role: ServerRole.Prefill, availabilityZone: "a" },
    { id: "p2", role: ServerRole.Prefill, availabilityZone: "b" },
    { id: "d1", role: ServerRole.Decode, availabilityZone: "a" },
    { id: "d2", role: ServerRole.Decode, availabilityZone: "b" },
  ],
  firstOutputMs: 700,
  betweenOutputsMs: 32,
  decodeSlots: 2,
  perWorkspaceInFlight: 100,
  weights: { goodput: 0, wastedPrefill: 1 },
};

let clock: FakeClock;
let count: number;

beforeEach(() => {
  clock = new FakeClock();
  count = 0;
});

function createDispatcher(config: Partial<ServiceConfig> = {}): Dispatcher {
  return new Dispatcher({
    service: "lm",
    config: { ...CONFIG, ...config },
    now: () => clock.now,
    random: createRandom(1),
    schedule: clock.schedule,
  });
}

function createRequest(fields: Partial<AcquireRequest> = {}): AcquireRequest {
  return {
    requestId: `r${++count}`,
    attempt: 1,
    workspace: "w",
    owner: "vm-1",
    availabilityZone: "a",
    priority: Priority.Normal,
    promptTokens: 400,
    outputTokens: 0,
    maxTokens: 100,
    deadline: clock.now + 700,
    hashes: [],
    avoid: [],
    ...fields,
  };
}

async function acquire(
  dispatcher: Dispatcher,
  fields: Partial<AcquireRequest> = {},
): Promise<Grant> {
  const decision = await dispatcher.acquire(createRequest(fields));
  if (decision.kind !== "grant") throw new Error(`refused: ${decision.reason}`);
  return decision.grant;
}

/** Moves a grant to its decode phase. */
function startDecode(dispatcher: Dispatcher, grant: Grant): void {
  dispatcher.started(grant, { cachedTokens: 0, transferMs: 0 });
}

/** Fills all decode slots with decoding requests. */
async function fillSlots(dispatcher: Dispatcher): Promise<Grant[]> {
  const grants = [];
  for (let i = 0; i < 4; i++) {
    const grant = await acquire(dispatcher);
    startDecode(dispatcher, grant);
    grants.push(grant);
  }
  return grants;
}

describe("Dispatcher", () => {
  it("never grants more decode slots than there are", async () => {
    const dispatcher = createDispatcher();
    const grants = await fillSlots(dispatcher);
    expect(grants.map((grant) => grant.decode).sort()).toEqual([
      "d1",
      "d1",
      "d2",
      "d2",
    ]);
    expect(dispatcher.getFreeSlots()).toBe(0);
  });

  it("starts no prefill before a decode slot is free", async () => {
    const dispatcher = createDispatcher();
    const [first] = await fillSlots(dispatcher);
    let granted: Decision | undefined;
    void dispatcher.acquire(createRequest({ deadline: clock.now + 5000 })).then(
      (decision) => granted = decision,
    );
    await clock.advance(100);
    expect(granted).toBeUndefined();
    dispatcher.release(first!, { outputTokens: 50, intervalMs: 25 });
    await clock.advance(1);
    expect(granted).toMatchObject({
      kind: "grant",
      grant: { decode: first!.decode },
    });
  });

  it("refuses requests that would miss their deadline before their prefill, with a retry-after", async () => {
    const dispatcher = createDispatcher();
    const slow = await dispatcher.acquire(
      createRequest({ promptTokens: 60_000 }),
    );
    expect(slow).toMatchObject({ kind: "refusal", reason: "late" });
    await fillSlots(dispatcher);
    const waiting = dispatcher.acquire(createRequest());
    await clock.advance(800);
    const decision = await waiting;
    expect(decision).toMatchObject({ kind: "refusal", reason: "late" });
    expect(decision.kind === "refusal" && decision.retryAfterMs)
      .toBeGreaterThan(0);
  });

  it("returns the same grant for the same attempt", async () => {
    const dispatcher = createDispatcher();
    const first = await acquire(dispatcher, { requestId: "same" });
    const again = await acquire(dispatcher, { requestId: "same" });
    expect(again).toBe(first);
    const next = await acquire(dispatcher, { requestId: "same", attempt: 2 });
    expect(next).not.toBe(first);
  });

  it("keeps the place in the queue of an attempt whose acquire is repeated", async () => {
    const dispatcher = createDispatcher();
    const grants = await fillSlots(dispatcher);
    const order: string[] = [];
    const acquireAs = (requestId: string, name: string) =>
      void dispatcher.acquire(
        createRequest({ requestId, deadline: clock.now + 5000 }),
      ).then(({ kind }) => order.push(`${name} ${kind}`));
    acquireAs("first", "first");
    acquireAs("second", "second");
    acquireAs("first", "first again");
    dispatcher.release(grants[0]!, { outputTokens: 0, intervalMs: 0 });
    await clock.advance(100);
    expect(order).toEqual(["first refusal", "first again grant"]);
  });

  it("grants a request that was already prefilled without another prefill", async () => {
    const dispatcher = createDispatcher();
    const grant = await acquire(dispatcher, {
      attempt: 2,
      prefilledBy: "p1",
      avoid: ["p1", "d1"],
    });
    expect([grant.prefill, grant.decode]).toEqual(["p1", "d2"]);
    // The prefill servers are as free as before.
    const others = [await acquire(dispatcher), await acquire(dispatcher)];
    expect(new Set(others.map(({ prefill }) => prefill))).toEqual(
      new Set(["p1", "p2"]),
    );
  });

  it("grants retries only for the retry tokens that VMs passed on", async () => {
    const dispatcher = createDispatcher({ hasRetryBudget: true });
    const retry = async () => {
      const req = createRequest({ attempt: 2, retriedCalls: 2 });
      const decision = await dispatcher.acquire(req);
      const grant = decision.kind === "grant" ? decision.grant : undefined;
      if (grant !== undefined) dispatcher.drop(grant);
      return decision.kind === "grant" ? "granted" : decision.reason;
    };
    expect(await retry()).toBe(RefusalReason.RetryBudget);
    const expiresAt = clock.now + 5000;
    dispatcher.addRetryTokens([{ count: 1.5, expiresAt }]);
    expect(await retry()).toBe(RefusalReason.RetryBudget);
    dispatcher.addRetryTokens([{ count: 1, expiresAt }]);
    expect(await retry()).toBe("granted");
    expect(await retry()).toBe(RefusalReason.RetryBudget);
    dispatcher.addRetryTokens([{ count: 4, expiresAt }]);
    await clock.advance(5000);
    expect(await retry()).toBe(RefusalReason.RetryBudget);
  });

  // Guards against a burst to a server in need after a time in which it got no requests.
  it("grants servers no more often than the limits that they have named", async () => {
    const dispatcher = createDispatcher({ decodeSlots: 100 });
    const perSecond = 5;
    for (const id of ["p1", "d1"]) dispatcher.setServerLimit(id, perSecond);
    const grants: Grant[] = [];
    const run = async (seconds: number) => {
      for (const end = clock.now + seconds * 1000; clock.now < end;) {
        const grant = await acquire(dispatcher);
        grants.push(grant);
        dispatcher.drop(grant);
        await clock.advance(20);
      }
    };
    const countGrants = (id: string) =>
      grants.filter(({ prefill, decode }) => prefill === id || decode === id)
        .length;
    await run(4);
    for (const id of ["p1", "d1"]) {
      expect(countGrants(id)).toBeLessThanOrEqual(4 * perSecond + 1);
      expect(countGrants(id)).toBeGreaterThanOrEqual(0.5 * 4 * perSecond);
    }
    await clock.advance(10_000);
    grants.length = 0;
    await run(1);
    expect(countGrants("d1")).toBeLessThanOrEqual(1.5 * perSecond + 1);
    for (const id of ["p1", "d1"]) dispatcher.setServerLimit(id, undefined);
    grants.length = 0;
    await run(1);
    expect(countGrants("d1")).toBeGreaterThan(2 * perSecond);
  });

  it("charges no retry token for an attempt that repeats no server call", async () => {
    const dispatcher = createDispatcher({ hasRetryBudget: true });
    const grant = await acquire(dispatcher, { attempt: 2, retriedCalls: 0 });
    expect(grant.attempt).toBe(2);
  });

  it("prefers servers that lose fewer responses, and still uses the others", async () => {
    const dispatcher = createDispatcher();
    const kind = ServerFailure.Fault;
    for (let turn = 0; turn < 5; turn++) dispatcher.recordFailure("d1", kind);
    const decodes = (await fillSlots(dispatcher)).map(({ decode }) => decode);
    expect(decodes).toEqual(["d2", "d2", "d1", "d1"]);
  });

  it("places no new request on a leaving or failed server", async () => {
    const dispatcher = createDispatcher();
    dispatcher.setLeaving("d1", true);
    dispatcher.recordFailure("p1", ServerFailure.Down);
    const first = await acquire(dispatcher);
    await clock.advance(100);
    startDecode(dispatcher, first);
    const grants = [first, await acquire(dispatcher)];
    expect(grants.map(({ prefill, decode }) => [prefill, decode])).toEqual([[
      "p2",
      "d2",
    ], ["p2", "d2"]]);
  });

  // Guards against granting a server again and again that a predecessor ordered to change its role.
  it("grants a server that refuses while it runs nothing ever more rarely", async () => {
    const dispatcher = createDispatcher();
    for (let run = 0; run < 2; run++) {
      startDecode(dispatcher, await acquire(dispatcher, { avoid: ["d1"] }));
    }
    let refusals = 0;
    for (let at = 0; at < 10_000; at += 100) {
      void dispatcher.acquire(createRequest()).then((decision) => {
        if (decision.kind === "refusal") return;
        refusals++;
        dispatcher.release(decision.grant, {
          outputTokens: 0,
          intervalMs: 0,
          failedServer: decision.grant.decode,
          failure: ServerFailure.Refused,
        });
      });
      await clock.advance(100);
    }
    expect(refusals).toBeGreaterThan(1);
    expect(refusals).toBeLessThanOrEqual(6);
  });

  it("avoids the servers that failed a request before", async () => {
    const grant = await acquire(createDispatcher(), { avoid: ["p1", "d2"] });
    expect([grant.prefill, grant.decode]).toEqual(["p2", "d1"]);
  });

  it("sends a prompt to the prefill server that has cached its prefix", async () => {
    const dispatcher = createDispatcher({ decodeSlots: 20 });
    const hashes = hashPrefixes("shared instructions ".repeat(400));
    const first = await acquire(dispatcher, {
      hashes,
      promptTokens: 2000,
      deadline: clock.now + 5000,
    });
    await clock.advance(400);
    startDecode(dispatcher, first);
    for (let i = 0; i < 4; i++) {
      const next = await acquire(dispatcher, {
        hashes,
        promptTokens: 2000,
        deadline: clock.now + 5000,
      });
      expect(next.prefill).toBe(first.prefill);
      await clock.advance(100);
      startDecode(dispatcher, next);
    }
  });

  it("drops the grants of a dead entry VM and gives their slots to others", async () => {
    const dispatcher = createDispatcher();
    const grants = await fillSlots(dispatcher);
    const waiting = dispatcher.acquire(
      createRequest({ owner: "vm-2", deadline: clock.now + 9000 }),
    );
    expect(dispatcher.dropOwner("vm-1").map(({ requestId }) => requestId))
      .toEqual(
        grants.map(({ requestId }) => requestId),
      );
    expect(await waiting).toMatchObject({ kind: "grant" });
  });

  // Guards against requests that end without an answer, since their VM lives after all.
  it("lets an entry VM that it took for dead ask again", async () => {
    const dispatcher = createDispatcher();
    await fillSlots(dispatcher);
    const waiting = dispatcher.acquire(
      createRequest({ owner: "vm-2", deadline: clock.now + 9000 }),
    );
    dispatcher.dropOwner("vm-2");
    expect(await waiting).toMatchObject({ reason: RefusalReason.Moved });
  });

  it("counts grants adopted from an earlier dispatcher, which refuses new requests", async () => {
    const old = createDispatcher();
    const next = createDispatcher();
    for (const grant of await fillSlots(old)) {
      next.adopt({ ...grant, phase: Phase.Decode });
    }
    expect(next.getFreeSlots()).toBe(0);
    old.close();
    expect(await old.acquire(createRequest())).toMatchObject({
      kind: "refusal",
      reason: "moved",
    });
  });

  it("lowers the concurrency limit of a server whose outputs are too slow", async () => {
    const dispatcher = createDispatcher({ decodeSlots: 20 });
    for (let i = 0; i < 30; i++) {
      const grant = await acquire(dispatcher, { avoid: ["d2"] });
      await clock.advance(100);
      startDecode(dispatcher, grant);
      await clock.advance(500);
      dispatcher.release(grant, { outputTokens: 50, intervalMs: 40 });
    }
    const limits = dispatcher.summarize().servers.filter((server) =>
      server.role === ServerRole.Decode
    );
    expect(limits.find((server) => server.id === "d1")!.limit).toBeLessThan(10);
    expect(limits.find((server) => server.id === "d2")!.limit).toBe(20);
  });

  it("does not count a granted slot as free when a load report lags behind", async () => {
    const dispatcher = createDispatcher();
    await fillSlots(dispatcher);
    dispatcher.setReport("d1", { running: 0, waiting: 0, ageMs: 400 });
    expect(dispatcher.getFreeSlots()).toBe(0);
    dispatcher.setReport("d2", { running: 9, waiting: 0, ageMs: 0 });
    expect(dispatcher.getFreeSlots()).toBe(0);
  });

  it("admits requests again after slow servers had made it refuse all", async () => {
    const dispatcher = createDispatcher({ decodeSlots: 20 });
    for (let i = 0; i < 30; i++) {
      const decision = await Promise.race([
        dispatcher.acquire(
          createRequest({ avoid: ["p2"], deadline: clock.now + 60_000 }),
        ),
        clock.advance(5000),
      ]);
      if (decision?.kind !== "grant") continue;
      await clock.advance(9000);
      dispatcher.started(decision.grant, { cachedTokens: 0, transferMs: 4000 });
      dispatcher.release(decision.grant, { outputTokens: 20, intervalMs: 25 });
    }
    const request = () => createRequest({ avoid: ["p2"] });
    expect(await dispatcher.acquire(request())).toMatchObject({
      reason: "late",
    });
    for (let sample = 0; sample < 300; sample++) {
      await clock.advance(200);
      dispatcher.samplePressure();
    }
    expect(await dispatcher.acquire(request())).toMatchObject({
      kind: "grant",
    });
  });

  it("limits the requests in flight of one workspace", async () => {
    const dispatcher = createDispatcher({ perWorkspaceInFlight: 2 });
    await acquire(dispatcher);
    await acquire(dispatcher);
    await clock.advance(100);
    expect(await dispatcher.acquire(createRequest())).toMatchObject({
      reason: "workspace-limit",
    });
    expect(await dispatcher.acquire(createRequest({ workspace: "other" })))
      .toMatchObject({ kind: "grant" });
  });
});

describe("FairQueue", () => {
  function entry(workspace: string, cost = 10, priority = 1) {
    return { workspace, cost, priority };
  }

  function drain(queue: FairQueue<ReturnType<typeof entry>>): string[] {
    const order = [];
    for (let next = queue.peek(); next !== undefined; next = queue.peek()) {
      queue.take(next);
      order.push(next.workspace);
    }
    return order;
  }

  it("shares capacity by cost while one workspace floods the queue", () => {
    const queue = new FairQueue<ReturnType<typeof entry>>({ quantum: 10 });
    for (let i = 0; i < 100; i++) queue.push(entry("flood"));
    for (let i = 0; i < 10; i++) queue.push(entry("small"));
    const order = drain(queue);
    expect(order.length).toBe(110);
    expect(
      order.slice(0, 20).filter((workspace) => workspace === "small").length,
    ).toBe(10);
  });

  it("serves fewer long requests than short ones", () => {
    const queue = new FairQueue<ReturnType<typeof entry>>({ quantum: 10 });
    for (let i = 0; i < 10; i++) queue.push(entry("long", 50));
    for (let i = 0; i < 50; i++) queue.push(entry("short", 10));
    const shorts =
      drain(queue).slice(0, 30).filter((workspace) => workspace === "short")
        .length;
    expect(shorts).toBeGreaterThan(20);
  });

  it("serves the class of higher priority first", () => {
    const queue = new FairQueue<ReturnType<typeof entry>>({ quantum: 10 });
    queue.push(entry("batch", 1, 2));
    queue.push(entry("urgent", 1000, 0));
    expect(drain(queue)).toEqual(["urgent", "batch"]);
  });
});

describe("PrefixIndex", () => {
  it("finds the longest shared prefix and stays within its capacity", () => {
    const index = new PrefixIndex({ capacity: 50 });
    const shared = "rules ".repeat(500);
    index.store("p1", hashPrefixes(shared + "one ".repeat(300)));
    const cached = index.match(hashPrefixes(shared + "two ".repeat(300))).get(
      "p1",
    );
    expect(cached).toBeGreaterThanOrEqual(512);
    expect(cached).toBeLessThanOrEqual(750);
    for (let i = 0; i < 100; i++) {
      index.store("p1", hashPrefixes(`${i} `.repeat(2000)));
    }
    expect(index.size).toBeLessThanOrEqual(50);
  });
});

describe("RetryBudget", () => {
  it("allows a tenth of the requests to be retried", () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let request = 0; request < 1000; request++) {
      budget.onRequest();
      if (budget.tryTake()) retries++;
    }
    expect(retries).toBeGreaterThan(90);
    expect(retries).toBeLessThanOrEqual(103);
  });
});

describe("a dispatcher whose prefill servers have a backlog", () => {
  const EVENT_GAP_MS = 300;
  /** Prefilled by a decode server in 108 ms, and by a prefill server in 58 ms. */
  const SHORT_PROMPT = { promptTokens: 400, heldTokens: 500 };
  /** Prefilled by a decode server in 508 ms, which the other runs' outputs can't wait. */
  const LONG_PROMPT = { promptTokens: 2000, heldTokens: 2100 };

  function createBackloggedDispatcher(): Dispatcher {
    const dispatcher = createDispatcher({
      betweenOutputsMs: EVENT_GAP_MS,
      decodeSlots: 8,
      memoryTokens: 40_000,
      canPrefillOnDecode: true,
    });
    for (let prompt = 0; prompt < 2; prompt++) {
      void dispatcher.acquire(createRequest({ ...LONG_PROMPT }));
    }
    return dispatcher;
  }

  it("lets one prompt at a time be prefilled on each decode server", async () => {
    const dispatcher = createBackloggedDispatcher();
    const first = await acquire(dispatcher, SHORT_PROMPT);
    const second = await acquire(dispatcher, SHORT_PROMPT);
    expect([first.prefill, second.prefill]).toEqual(["", ""]);
    expect(new Set([first.decode, second.decode]).size).toBe(2);
    void dispatcher.acquire(createRequest(SHORT_PROMPT));
    expect(dispatcher.queued).toBe(1);
    // The outputs of the server's other runs come before it prefills another prompt.
    await clock.advance(100);
    startDecode(dispatcher, first);
    expect(dispatcher.queued).toBe(1);
    await clock.advance(50);
    expect(dispatcher.queued).toBe(0);
  });

  it("lets no prompt be prefilled on a decode server for longer than its outputs can wait", async () => {
    const dispatcher = createBackloggedDispatcher();
    void dispatcher.acquire(createRequest({ ...LONG_PROMPT }));
    expect(dispatcher.queued).toBe(1);
    await clock.advance(10);
    expect(dispatcher.queued).toBe(1);
  });

  it("lets no prompt be prefilled on a decode server that is nearly full", () => {
    const dispatcher = createBackloggedDispatcher();
    for (const decode of ["d1", "d2"]) {
      for (let run = 0; run < 6; run++) {
        dispatcher.adopt({
          ...createRequest({ maxTokens: 1000 }),
          prefill: "p1",
          decode,
          heldTokens: 500,
          phase: Phase.Decode,
        });
      }
    }
    // One of eight slots is free on each server.
    void dispatcher.acquire(createRequest(SHORT_PROMPT));
    expect(dispatcher.queued).toBe(1);
  });

  it("grants a short prompt that is queued behind a long one", async () => {
    const dispatcher = createBackloggedDispatcher();
    void dispatcher.acquire(createRequest({ ...LONG_PROMPT }));
    const grant = await acquire(dispatcher, SHORT_PROMPT);
    expect(grant.prefill).toBe("");
    expect(dispatcher.queued).toBe(1);
  });
});

describe("a dispatcher whose first arrivals use most of its memory", () => {
  const HELD_TOKENS = 2000;
  const PATIENCE_MS = 14_000;

  function createPatience(remainingMs: number, relaxedMs = 500) {
    return { remainingMs, relaxedDeadline: clock.now + relaxedMs };
  }

  it("refuses a late caller at once if the capacity that they leave can't serve it", async () => {
    const dispatcher = createDispatcher({
      decodeSlots: 8,
      memoryTokens: 2 * HELD_TOKENS,
    });
    for (let run = 0; run < 5; run++) {
      void dispatcher.acquire(createRequest({
        promptTokens: 100,
        heldTokens: HELD_TOKENS,
        patience: createPatience(PATIENCE_MS),
      }));
    }
    await clock.advance(0);
    const refused = await dispatcher.acquire(createRequest({
      promptTokens: 100,
      heldTokens: HELD_TOKENS,
      patience: createPatience(PATIENCE_MS),
      deadline: clock.now + 10,
    }));
    expect(refused.kind).toBe("refusal");
    // It must have waited for 4 s, so it can't be on time any more. Alone, the predicted
    // wait for the memory of one run would be short enough.
    await clock.advance(4000);
    for (let arrival = 0; arrival < 5; arrival++) {
      void dispatcher.acquire(createRequest({
        promptTokens: 100,
        heldTokens: HELD_TOKENS,
        patience: createPatience(PATIENCE_MS),
      }));
    }
    const decision = await dispatcher.acquire(createRequest({
      promptTokens: 100,
      heldTokens: HELD_TOKENS,
      patience: createPatience(9000, 1500),
    }));
    expect(decision).toMatchObject({
      kind: "refusal",
      reason: RefusalReason.Late,
    });
  });
});

describe("a dispatcher that knows how fast its servers' links are", () => {
  // Guards against refusing long prompts as late until many transfers have been seen.
  it("grants its first long prompt by the time that the links need", async () => {
    const config = { prefillTokensPerMs: 24, decodeSlots: 4 };
    const prompt = { promptTokens: 16_000, deadline: clock.now + 900 };
    const dispatcher = createDispatcher({
      ...config,
      transferMsPerToken: 0.003,
    });
    await acquire(dispatcher, prompt);
    // A change of the configuration keeps the estimate.
    dispatcher.configure({ ...CONFIG, ...config, transferMsPerToken: 0.003 });
    await acquire(dispatcher, prompt);
    const slow = createDispatcher({ ...config, transferMsPerToken: 0.03 });
    expect(await slow.acquire(createRequest(prompt))).toMatchObject({
      reason: RefusalReason.Late,
    });
  });
});
describe("a prompt that is too long to be on time on an idle service", () => {
  const PATIENCE_MS = 14_000;
  const LONG_PROMPT = {
    promptTokens: 20_000,
    patience: { remainingMs: PATIENCE_MS, relaxedDeadline: 1000 + 2000 },
    deadline: 1000 + 900,
  };
  const ENGINE = { prefillTokensPerMs: 24, decodeSlots: 4 };

  // Guards against refusing a caller with a long prompt at each return, with servers free.
  it("is served late at once", async () => {
    const dispatcher = createDispatcher(ENGINE);
    expect(await acquire(dispatcher, LONG_PROMPT)).toMatchObject({
      decode: "d1",
    });
  });

  async function serveBetweenShortOnes(
    long: Partial<AcquireRequest>,
  ): Promise<string[]> {
    const dispatcher = createDispatcher({
      ...ENGINE,
      servers: CONFIG.servers.filter(({ id }) => id !== "p2" && id !== "d2")
        .map((server) => ({ ...server, softwareVersion: "v1" })),
    });
    const served: string[] = [];
    const ask = (requestId: string, fields: Partial<AcquireRequest>) =>
      void dispatcher.acquire(createRequest({ requestId, ...fields })).then((
        { kind },
      ) => kind === "grant" && served.push(requestId));
    ask("running", { promptTokens: 4000 });
    ask("long", { ...LONG_PROMPT, ...long });
    ask("short", { promptTokens: 2000 });
    await clock.advance(600);
    return served;
  }

  it("goes behind those that can be on time", async () => {
    expect(await serveBetweenShortOnes({})).toEqual([
      "running",
      "short",
      "long",
    ]);
  });

  // Guards against broken streams that are refused as late while new ones begin.
  it("goes before them if its stream has begun", async () => {
    const stream = { resumedStreamId: "s", softwareVersion: "v1" };
    const priority = Priority.Interactive;
    expect((await serveBetweenShortOnes({ ...stream, priority }))[1])
      .toBe("long");
  });
});
