import { Priority, ServerRole } from "@bitternfall/types";
import { describe, expect, it } from "vitest";
import type { AcquireRequest, ServiceConfig } from "./model.ts";
import { JointPolicy } from "./policy.ts";
import { ServerPools } from "./server_pools.ts";

const FAST_MS = 40;
const SLOW_MS = 90;

type Process = { bornAt?: number; softwareVersion?: string };

function createConfig(process: Process = {}): ServiceConfig {
  const servers = ["p0", "p1", "p2", "d0", "d1", "d2"].map((id) => ({
    id,
    role: id.startsWith("p") ? ServerRole.Prefill : ServerRole.Decode,
    availabilityZone: "a",
    ...(id.endsWith("0") ? process : {}),
  }));
  return {
    servers,
    firstOutputMs: 900,
    betweenOutputsMs: 300,
    decodeSlots: 4,
    memoryTokens: 20_000,
    tokensPerOutput: 14,
    prefillTokensPerMs: 33,
    hasReportedRoles: true,
    perWorkspaceInFlight: Infinity,
    weights: { goodput: 0, wastedPrefill: 1 },
  };
}

/** Pools whose servers `p0` and `d0` have been measured as slow; returned at time `now`. */
function createPools(process: Process = {}) {
  const pools = new ServerPools();
  pools.configure(createConfig(process));
  let now = 0;
  for (let round = 0; round < 30; round++) {
    now += 4000;
    for (const server of pools.decodes.servers.values()) {
      const intervalMs = server.id === "d0" ? SLOW_MS : FAST_MS;
      pools.decodes.recordRun(server, {
        workspace: "w",
        tokens: 40,
        intervalMs,
        holdMs: 40 * intervalMs,
        batch: 4,
        now,
      });
    }
    for (const server of pools.prefills.servers.values()) {
      const ms = server.id === "p0" ? 200 : 90;
      pools.prefills.finishPrefill(server, {
        reserved: 0,
        processed: 3000,
        grantedAt: now,
        endAt: now + ms,
      });
    }
  }
  return { pools, now: now + 1000 };
}

function choose(
  { pools, now }: ReturnType<typeof createPools>,
  fields: Partial<AcquireRequest> = {},
) {
  const req: AcquireRequest = {
    requestId: "r",
    attempt: 1,
    workspace: "w",
    owner: "vm",
    availabilityZone: "a",
    priority: Priority.Normal,
    promptTokens: 3000,
    outputTokens: 0,
    maxTokens: 170,
    deadline: now + 900,
    hashes: [],
    avoid: [],
    heldTokens: 4000,
    ...fields,
  };
  const { prefills, decodes, prefixes } = pools;
  const choice = new JointPolicy().choose(req, {
    prefills,
    decodes,
    prefixes,
    now,
    overbookingShare: 0,
    canPrefillOnDecode: false,
  });
  return choice.kind === "place" ? choice.placement : choice.kind;
}

describe("placement on servers of unequal speed", () => {
  it("leaves a slow decode server empty only while faster ones have more room", () => {
    const day = createPools();
    expect(choose(day)).toMatchObject({
      decode: expect.stringMatching(/d1|d2/),
    });
    const { d1, d2 } = Object.fromEntries(day.pools.decodes.servers);
    // Guards against callers who wait beside an empty server.
    for (const server of [d1!, d2!]) server.heldTokens = 18_000;
    expect(choose(day)).toMatchObject({ decode: "d0" });
  });

  it("predicts the first output by the rate of the chosen server", () => {
    const day = createPools();
    const avoid = ["d1", "d2"];
    const slow = choose(day, { avoid });
    const fast = choose(day, { avoid: ["d0"] });
    if (typeof slow === "string" || typeof fast === "string") expect.fail();
    const laterMs = slow.firstOutputAt - fast.firstOutputAt;
    expect(laterMs).toBeCloseTo(SLOW_MS - FAST_MS, -1);
  });

  // Guards against callers who wait for fast prefill servers beside slow ones that idle.
  it("takes a slow prefill server while the fast ones have a queue", () => {
    const day = createPools();
    expect(choose(day)).toMatchObject({
      prefill: expect.stringMatching(/p1|p2/),
    });
    const { p1, p2 } = Object.fromEntries(day.pools.prefills.servers);
    for (const server of [p1!, p2!]) server.busyUntil = day.now + 60;
    expect(choose(day)).toMatchObject({ prefill: "p0" });
  });

  it("waits for a fast prefill server if the slow one would be late", () => {
    const day = createPools();
    const { p1, p2 } = Object.fromEntries(day.pools.prefills.servers);
    for (const server of [p1!, p2!]) server.busyUntil = day.now + 60;
    expect(choose(day, { deadline: day.now + 380 })).toBe("wait");
  });
});

describe("a server's measured speed", () => {
  const getSpeeds = (pools: ServerPools) =>
    ["p0", "d0"].map((id) => pools.find(id)!.speed);

  it("is kept while the same process serves", () => {
    const { pools } = createPools({ bornAt: 1, softwareVersion: "v1" });
    const speeds = getSpeeds(pools);
    for (const speed of speeds) expect(speed).toBeLessThan(0.8);
    pools.configure(createConfig({ bornAt: 1, softwareVersion: "v1" }));
    expect(getSpeeds(pools)).toEqual(speeds);
  });

  // Guards against a server that is taken for slow after it has moved to another machine.
  it.each([
    { bornAt: 2, softwareVersion: "v1" },
    { bornAt: 1, softwareVersion: "v2" },
  ])("begins at the mean for another process, %o", (process) => {
    const { pools } = createPools({ bornAt: 1, softwareVersion: "v1" });
    pools.configure(createConfig(process));
    expect(getSpeeds(pools)).toEqual([1, 1]);
  });

  it("begins at the mean for a server that was removed and is added again", () => {
    const { pools } = createPools();
    const config = createConfig();
    const servers = config.servers.filter(({ id }) => !id.endsWith("0"));
    pools.configure({ ...config, servers });
    pools.configure(config);
    expect(getSpeeds(pools)).toEqual([1, 1]);
  });
});
