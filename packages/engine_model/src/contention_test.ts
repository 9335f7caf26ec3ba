import { beforeAll, describe, expect, it } from "vitest";
import {
  type AcquireRequest,
  type Decision,
  Dispatcher,
  Phase,
  RefusalReason,
  type ServiceConfig,
} from "@bitternfall/dispatch";
import { Priority, ServerRole } from "@bitternfall/types";
import {
  type ContentionOptions,
  getShare,
  simulateContention,
  type StreamOutcome,
} from "./contention.ts";
import { VirtualTime } from "./virtual_time.ts";

const FLOOD = { account: "a3", atMs: 8000, forMs: 10_000, factor: 7.5 };

/**
 * Urgent and routine streams of 16 workspaces at 89 VMs, on 50 model servers whose memory
 * binds; a burst of all, and later one workspace at 7.5 times its usual.
 */
const DAY: ContentionOptions = {
  kinds: [
    { name: "urgent", rank: 0, perSecond: 4.4, aimMs: 806 },
    { name: "routine", rank: 1, perSecond: 54, aimMs: 2006 },
  ],
  accounts: 16,
  floods: [{ ...FLOOD, kind: "routine" }],
  bursts: [{ atMs: 2000, forMs: 4000, factor: 2 }],
  traits: {
    slots: 12,
    memoryTokens: 29_102,
    tokensPerEvent: 11,
    prefillTokensPerMs: 33.3,
    prefillBaseMs: 31,
    stepMs: 3.41,
    stepMsPerRun: 0.097,
  },
  prefills: 10,
  decodes: 40,
  sizes: {
    promptTokens: { mean: 3000, spread: 0.5, max: 6600 },
    events: { mean: 110, spread: 0.7, max: 264 },
    hintSpread: 0.5,
  },
  lengthMs: 20_000,
  vms: 89,
  seed: 3,
  hasRanks: true,
  hasAccounts: true,
};

describe("a day on which more is asked than the servers' memory holds", () => {
  let before: readonly StreamOutcome[];
  let after: readonly StreamOutcome[];
  let withoutFlood: readonly StreamOutcome[];

  beforeAll(async () => {
    const run = async (options: Partial<ContentionOptions>) =>
      (await simulateContention({ ...DAY, ...options })).streams;
    before = await run({ hasRanks: false, hasAccounts: false });
    after = await run({});
    withoutFlood = await run({ floods: [] });
  }, 300_000);

  const pick = (streams: readonly StreamOutcome[], name: string) =>
    streams.filter(({ kind }) => kind === name);
  /** Routine streams while one workspace floods, its own or the others'. */
  const pickBesideFlood = (streams: readonly StreamOutcome[], own: boolean) =>
    pick(streams, "routine").filter(({ account, atMs }) =>
      (account === FLOOD.account) === own && atMs >= FLOOD.atMs &&
      atMs < FLOOD.atMs + FLOOD.forMs
    );
  const getRefusedShare = (streams: readonly StreamOutcome[]) =>
    getShare(streams, "refused") + getShare(streams, "open");

  // Guards against urgent streams that are refused or late beside routine ones.
  it("serves at least 99% of the urgent streams on time, and more than before", () => {
    const urgent = pick(after, "urgent");
    expect(getShare(urgent, "on-time")).toBeGreaterThanOrEqual(0.99);
    expect(getShare(urgent, "on-time"))
      .toBeGreaterThan(getShare(pick(before, "urgent"), "on-time"));
  });

  // Guards against routine streams that pay for the order with much more than it takes.
  it("serves at least 95% as many routine streams on time as before", () => {
    expect(getShare(pick(after, "routine"), "on-time"))
      .toBeGreaterThanOrEqual(
        0.95 * getShare(pick(before, "routine"), "on-time"),
      );
  });

  // Guards against a workspace that floods and pushes out the others of its rank.
  it("serves the other workspaces as without the flood, within 2%", () => {
    const others = pickBesideFlood(after, false);
    const calm = pickBesideFlood(withoutFlood, false);
    expect(getShare(others, "on-time"))
      .toBeGreaterThanOrEqual(getShare(calm, "on-time") - 0.02);
    expect(getRefusedShare(others))
      .toBeLessThanOrEqual(getRefusedShare(calm) + 0.02);
  });

  it("serves the workspace that floods no less than the others on average", () => {
    const countServed = (streams: readonly StreamOutcome[]) =>
      streams.length * (1 - getRefusedShare(streams));
    const flood = countServed(pickBesideFlood(after, true));
    const others = countServed(pickBesideFlood(after, false));
    expect(flood).toBeGreaterThanOrEqual(others / (DAY.accounts - 1));
  });

  it("starves no workspace", () => {
    for (const kind of DAY.kinds) {
      for (let index = 0; index < DAY.accounts; index++) {
        const streams = pick(after, kind.name).filter(({ account }) =>
          account === `a${index}`
        );
        expect(getShare(streams, "on-time")).toBeGreaterThan(0.25);
      }
    }
  });
});

const MEMORY_TOKENS = 10_000;

/** Two decode servers, on which one run of 6,000 tokens fits beside one of 3,000. */
const CONFIG: ServiceConfig = {
  servers: [
    { id: "p1", role: ServerRole.Prefill, availabilityZone: "a" },
    { id: "d1", role: ServerRole.Decode, availabilityZone: "a" },
    { id: "d2", role: ServerRole.Decode, availabilityZone: "a" },
  ],
  firstOutputMs: 2000,
  betweenOutputsMs: 300,
  decodeSlots: 12,
  memoryTokens: MEMORY_TOKENS,
  prefillTokensPerMs: 33,
  perWorkspaceInFlight: Infinity,
  weights: { goodput: 0, wastedPrefill: 1 },
};

/** A dispatcher in virtual time, and its decisions by request. */
function createService() {
  const clock = new VirtualTime();
  const dispatcher = new Dispatcher({
    service: "lm",
    config: CONFIG,
    now: clock.now,
    schedule: clock.schedule,
  });
  const decisions = new Map<string, Decision>();
  const ask = (requestId: string, fields: Partial<AcquireRequest>) =>
    void dispatcher.acquire({
      requestId,
      attempt: 1,
      workspace: "chat",
      owner: "vm",
      availabilityZone: "a",
      priority: Priority.Normal,
      promptTokens: 500,
      outputTokens: 0,
      maxTokens: 9000,
      heldTokens: 3000,
      deadline: clock.now() + 2006,
      hashes: [],
      avoid: [],
      ...fields,
    }).then((decision) => decisions.set(requestId, decision));
  /** Has a run hold memory that it doesn't give back during the test. */
  const hold = (decode: string, heldTokens: number) =>
    dispatcher.adopt({
      requestId: `${decode}-${heldTokens}`,
      attempt: 1,
      workspace: "chat",
      owner: "vm",
      prefill: "p1",
      decode,
      promptTokens: heldTokens,
      maxTokens: 9000,
      heldTokens,
      phase: Phase.Decode,
    });
  const getReason = (requestId: string) => {
    const decision = decisions.get(requestId);
    return decision?.kind === "refusal" ? decision.reason : decision?.kind;
  };
  return { clock, dispatcher, ask, hold, getReason };
}

describe("a dispatcher whose memory is full", () => {
  /** Both servers are full, and requests that can wait are queued, `counts` by rank. */
  function createFull(...counts: number[]) {
    const service = createService();
    for (const decode of ["d1", "d2"]) service.hold(decode, MEMORY_TOKENS);
    for (const [rank, count] of counts.entries()) {
      for (let index = 0; index < count; index++) {
        service.ask(`queued-${rank}-${index}`, { rank, deadline: 60_000 });
      }
    }
    return service;
  }

  it("refuses a routine stream at once, for 'priority' if urgent ones make it late", async () => {
    for (
      const { counts, reason } of [
        // Three of rank 0 go before each of rank 1, so that a quarter is left to these.
        { counts: [12, 0], reason: undefined },
        { counts: [12, 3], reason: RefusalReason.Priority },
        { counts: [0, 3], reason: undefined },
        { counts: [0, 12], reason: RefusalReason.Late },
      ]
    ) {
      const { clock, ask, getReason } = createFull(...counts);
      ask("routine", { rank: 1 });
      await clock.run(1);
      expect(getReason("routine")).toBe(reason);
    }
  });

  // Guards against urgent streams that are refused since routine ones are queued.
  it("queues an urgent stream beside any number of routine ones", async () => {
    const { clock, ask, getReason, dispatcher } = createFull(0, 50);
    ask("urgent", { rank: 0, deadline: 806 });
    await clock.run(10);
    expect(getReason("urgent")).toBeUndefined();
    const [first] = [...dispatcher.listGrants()];
    dispatcher.drop(first!);
    await clock.run(20);
    expect(getReason("urgent")).toBe("grant");
  });

  // Guards against callers that wait for two seconds for a refusal that is certain.
  it("refuses a queued routine stream as soon as urgent ones make it late", async () => {
    const { clock, ask, getReason } = createFull(0, 3);
    ask("routine", { rank: 1 });
    await clock.run(100);
    expect(getReason("routine")).toBeUndefined();
    for (let index = 0; index < 12; index++) {
      ask(`urgent-${index}`, { rank: 0, deadline: 60_000 });
    }
    await clock.run(200);
    expect(getReason("routine")).toBe(RefusalReason.Priority);
  });

  // Guards against urgent callers that go behind others since routine ones were refused.
  it("takes no urgent caller for a returning one because routine ones were refused", async () => {
    const { clock, dispatcher, ask, getReason } = createFull(0, 12);
    const createPatience = (remainingMs: number) => ({
      patience: { remainingMs, relaxedDeadline: 60_000 },
    });
    for (let index = 0; index < 30; index++) {
      const requestId = `first-${index}`;
      ask(requestId, { rank: 0, ...createPatience(14_000) });
      dispatcher.withdraw({ requestId, attempt: 1 });
    }
    ask("refused", { rank: 1, ...createPatience(14_000) });
    await clock.run(1);
    expect(getReason("refused")).toBe(RefusalReason.Late);
    const large = { rank: 0, promptTokens: 6000, heldTokens: 6000 };
    const { Batch } = Priority;
    ask("batch", { ...large, priority: Batch, deadline: 60_000 });
    // If it had been refused 1 ms ago, it would have waited for 10 s before.
    ask("urgent", { ...large, ...createPatience(4000) });
    dispatcher.drop({ requestId: `d1-${MEMORY_TOKENS}`, attempt: 1 });
    await clock.run(10);
    expect(getReason("urgent")).toBe("grant");
    expect(getReason("batch")).toBeUndefined();
  });
});

describe("a dispatcher with little memory left", () => {
  // Guards against an urgent stream that waits while routine ones fill each gap.
  it("keeps the emptiest server for an urgent stream that doesn't fit yet", async () => {
    const { clock, ask, hold, getReason, dispatcher } = createService();
    hold("d1", 3000);
    hold("d1", 2000);
    hold("d2", 6500);
    ask("urgent", { rank: 0, heldTokens: 6000, promptTokens: 6000 });
    // Each fits on both servers; d1 will take the urgent one once its first run ends.
    ask("routine-1", { rank: 1, promptTokens: 2999 });
    ask("routine-2", { rank: 1, promptTokens: 2999 });
    await clock.run(300);
    expect(getReason("routine-1")).toBe("grant");
    expect(getReason("routine-2")).toBeUndefined();
    dispatcher.drop({ requestId: "d1-3000", attempt: 1 });
    await clock.run(310);
    expect(getReason("urgent")).toBe("grant");
  });

  // The routine request before makes the ranks be in use.
  it.each([
    { rank: 0, other: 1, expected: "grant" },
    { rank: 1, other: 1, expected: undefined },
    { rank: 0, other: 0, expected: undefined },
  ])(
    "lets only urgent streams beside routine ones use its reserve: rank $rank beside $other",
    async ({ rank, other, expected }) => {
      const { clock, ask, hold, getReason } = createService();
      ask("before", { rank: other, promptTokens: 1, heldTokens: 1 });
      for (const decode of ["d1", "d2"]) {
        hold(decode, 0.69 * MEMORY_TOKENS);
        hold(decode, 0.02 * MEMORY_TOKENS);
      }
      ask("stream", { rank, promptTokens: 2900, heldTokens: 2901 });
      await clock.run(10);
      expect(getReason("stream")).toBe(expected);
    },
  );
});
