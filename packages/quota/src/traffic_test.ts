import { describe, expect, it } from "vitest";
import { type QuotaLimit, QuotaUnit } from "@bitternfall/access";
import { QuotaSource } from "./account.ts";
import { TestDeployment } from "./test_deployment.ts";

const BOUND = { windowMs: 8000, tolerance: 0.1, slack: 190_000 };
const VM_COUNT = 89;
const ALL = Array.from({ length: VM_COUNT }, (_, index) => index);
const END_MS = 40_000;
/** By then all VMs have been up for a window, so that they may overdraw. */
const SETTLED_MS = 10_000;
const MAX_BYTES_PER_SECOND = 2048;
const MS_PER_S = 1000;
/** Limits of 16 workspaces whose sum is the load of the users' first deployment. */
const LIMIT: QuotaLimit = {
  unit: QuotaUnit.Tokens,
  perSecond: 10_750,
  burst: 10_750,
  plainTokens: 200,
};
/** 58 streams and 130 plain calls a second in all, by their share of the tokens. */
const KINDS = [
  { meanCost: 2500, share: 0.85 },
  { meanCost: 200, share: 0.15, isEven: true },
];

function createDeployment(
  { seed, workspaces, active, load, vms = ALL, limit = LIMIT }: {
    seed: number;
    workspaces: number;
    active: number;
    load: number;
    vms?: readonly number[];
    limit?: QuotaLimit;
  },
): TestDeployment {
  const names = Array.from({ length: workspaces }, (_, index) => `ws-${index}`);
  const deployment = new TestDeployment({
    seed,
    bound: BOUND,
    limits: new Map(names.map((name) => [name, limit])),
  });
  for (const workspace of names.slice(0, active)) {
    for (const { share, ...kind } of KINDS) {
      const demand = { workspace, load: load * share, vms, ...kind };
      deployment.addDemand({ ...demand, untilMs: END_MS });
    }
  }
  return deployment;
}

function getBytesPerSecond({ vms }: TestDeployment) {
  const bytes = vms.map((vm) => vm.bytes * MS_PER_S / END_MS);
  const sum = bytes.reduce((total, one) => total + one, 0);
  return { mean: sum / vms.length, largest: Math.max(...bytes) };
}

/** Share of the granted requests that waited for no message. */
function getShareWithoutTrip({ decided }: TestDeployment): number {
  const granted = decided.filter(({ at, result }) =>
    at > SETTLED_MS && result.tag === "granted"
  );
  const asked = granted.filter(({ result }) =>
    result.figures.source === QuotaSource.Asked
  );
  return 1 - asked.length / granted.length;
}

describe("messages about quotas", () => {
  // Guards against control traffic that leaves a VM no room for the rest.
  it("cost a VM at most 2 KB/s with 16 workspaces at their limits", async () => {
    const options = { seed: 31, workspaces: 16, active: 16 };
    for (const load of [1, 1.5]) {
      const deployment = createDeployment({ ...options, load });
      await deployment.run(END_MS);
      const { mean } = getBytesPerSecond(deployment);
      expect(mean).toBeLessThanOrEqual(MAX_BYTES_PER_SECOND);
    }
  });

  // Guards against issuers that get a message for each request of 89 VMs.
  it("cost the busiest issuer at most 2 KB/s with 16 workspaces at their limits", async () => {
    const deployment = createDeployment({
      seed: 31,
      workspaces: 16,
      active: 16,
      load: 1,
    });
    await deployment.run(END_MS);
    const { largest } = getBytesPerSecond(deployment);
    expect(largest).toBeLessThanOrEqual(MAX_BYTES_PER_SECOND);
  });

  // Guards against messages for workspaces without callers.
  it("cost nothing for idle workspaces", async () => {
    const options = { seed: 32, active: 16, load: 1 };
    const few = createDeployment({ ...options, workspaces: 16 });
    const many = createDeployment({ ...options, workspaces: 800 });
    await few.run(SETTLED_MS);
    await many.run(SETTLED_MS);
    expect(many.messages).toBe(few.messages);
  });
});

describe("requests well inside the limit", () => {
  // Guards against a round trip for each request.
  it.each([
    ["89 VMs, 16 workspaces", 16, ALL, 1],
    ["89 VMs, a workspace that has 20 times as much", 1, ALL, 20],
    ["10 VMs, a workspace that has 20 times as much", 1, ALL.slice(10, 20), 20],
    ["one VM", 1, [17], 1],
  ])("mostly wait for no message: %s", async (_, active, vms, factor) => {
    const { perSecond, burst } = LIMIT;
    const deployment = createDeployment({
      seed: 33,
      workspaces: active,
      active,
      vms,
      load: 0.5,
      limit: { ...LIMIT, perSecond: perSecond * factor, burst: burst * factor },
    });
    await deployment.run(END_MS);
    expect(getShareWithoutTrip(deployment)).toBeGreaterThan(0.5);
  });
});
