import { describe, expect, it } from "vitest";
import { type QuotaLimit, QuotaUnit } from "@bitternfall/access";
import { TAKE_TIMEOUT_MS } from "./client.ts";
import { type Demand, TestDeployment } from "./test_deployment.ts";

/** The users' bound, and the quota and the prompts of their first deployment. */
const BOUND = { windowMs: 8000, tolerance: 0.1, slack: 190_000 };
const LIMIT: QuotaLimit = {
  unit: QuotaUnit.Tokens,
  perSecond: 219_395,
  burst: 219_395,
  plainTokens: 200,
};
const MEAN_COST = 2500;
const ALL = Array.from({ length: 89 }, (_, index) => index);
const ONE = [17];
/** By then all VMs have been up for a window, so that they may overdraw. */
const SETTLED_MS = 10_000;
const END_MS = 32_000;
const MIN_UTILIZATION = 0.97;
/** Time until all VMs have applied a configuration. */
const APPLY_MS = 3000;
/** Time of the failures. */
const FAILURE_MS = 15_000;
/** How long a request may wait for an issuer, with a margin for rounding. */
const MAX_WAIT_MS = TAKE_TIMEOUT_MS + 1;
const SEEDS = [21];
const TIMEOUT_MS = 60_000;

function scale(limit: QuotaLimit, factor: number): QuotaLimit {
  const { perSecond, burst } = limit;
  return { ...limit, perSecond: perSecond * factor, burst: burst * factor };
}

function getUtilization(
  deployment: TestDeployment,
  { fromMs }: { fromMs: number },
  limit = LIMIT,
): number {
  return deployment.getUtilization("w", limit, { fromMs, toMs: END_MS });
}

function createDeployment(
  seed: number,
  demand: Partial<Demand> = {},
  limit = LIMIT,
): TestDeployment {
  const deployment = new TestDeployment({
    seed,
    bound: BOUND,
    limits: new Map([["w", limit]]),
  });
  deployment.addDemand({
    workspace: "w",
    load: 1.5,
    vms: ALL,
    meanCost: MEAN_COST,
    untilMs: END_MS,
    ...demand,
  });
  return deployment;
}

describe("a workspace whose demand is above its limit", () => {
  // Guards against limits that are exceeded, or of which a part is not usable.
  it.each([
    ["89 VMs", 1, { vms: ALL }],
    ["89 VMs, far above", 2, { vms: ALL, load: 6 }],
    ["89 VMs, just above", 3, { vms: ALL, load: 1.05 }],
    ["89 VMs, plain calls", 4, { vms: ALL, meanCost: 200 }],
    ["10 VMs", 5, { vms: ALL.slice(20, 30) }],
    ["one VM", 6, { vms: ONE }],
    ["one VM, plain calls", 7, { vms: ONE, meanCost: 200 }],
    ["one VM, just above", 8, { vms: ONE, load: 1.05 }],
    ["89 VMs, a third does not run", 9, { load: 2, notRunShare: 0.33 }],
    ["one VM, a third does not run", 10, {
      vms: ONE,
      load: 2,
      notRunShare: 0.33,
    }],
  ])("gets it and no more: %s", async (_, seed, demand) => {
    const deployment = createDeployment(seed, demand);
    await deployment.run(END_MS);
    expect(getUtilization(deployment, { fromMs: SETTLED_MS }))
      .toBeGreaterThanOrEqual(MIN_UTILIZATION);
    expect(deployment.getLargestUse("w", LIMIT)).toBeLessThanOrEqual(1);
  });

  // Guards against leases that keep a small bucket from being filled.
  it.each([
    ["no burst", 14, { burst: 0 }],
    ["a tenth of a second", 15, { burst: 21_939 }],
  ])("gets it and no more with a small burst: %s", async (_, seed, fields) => {
    const limit = { ...LIMIT, ...fields };
    const deployment = createDeployment(seed, { load: 3 }, limit);
    await deployment.run(END_MS);
    expect(getUtilization(deployment, { fromMs: SETTLED_MS }, limit))
      .toBeGreaterThanOrEqual(MIN_UTILIZATION);
    expect(deployment.getLargestUse("w", limit)).toBeLessThanOrEqual(1);
  });

  // Guards against a new quota that some VMs or the issuer never apply, or not soon enough.
  // Over 6 s a single prompt is up to 8% of what a tenth allows, over five windows 1%.
  it.each([
    ["a tenth, over 6 s", 0.1, 11, END_MS],
    ["a half, over 6 s", 0.5, 12, END_MS],
    ["three times, over 6 s", 3, 13, END_MS],
    ["a tenth, over five windows", 0.1, 11, 66_000],
    ["a half, over five windows", 0.5, 12, 66_000],
    ["three times, over five windows", 3, 13, 66_000],
  ])("gets a new one within a window: %s", async (_, factor, seed, endMs) => {
    const deployment = createDeployment(seed, { load: 4, untilMs: endMs });
    await deployment.run(15_000);
    const limit = scale(LIMIT, factor);
    const limits = new Map([["w", limit]]);
    deployment.setLimits(limits, { withinMs: APPLY_MS });
    await deployment.run(endMs);
    const appliedMs = 15_000 + APPLY_MS;
    const use = { fromMs: appliedMs };
    expect(deployment.getLargestUse("w", limit, use)).toBeLessThanOrEqual(1);
    const higher = factor > 1 ? limit : LIMIT;
    expect(deployment.getLargestUse("w", higher)).toBeLessThanOrEqual(1);
    const fromMs = appliedMs + BOUND.windowMs;
    const span = { fromMs, toMs: endMs };
    expect(deployment.getUtilization("w", limit, span))
      .toBeGreaterThanOrEqual(MIN_UTILIZATION);
  });
});

/** Failures of the issuer, and of many VMs at once, while the demand is above the limit. */
const FAILURES: readonly [string, (deployment: TestDeployment) => void][] = [
  ["its issuer is killed", (deployment) => {
    deployment.kill(deployment.findIssuer("w"));
  }],
  ["each issuer is killed as it takes over", (deployment) => {
    const killNext = () => deployment.kill(deployment.findIssuer("w"));
    for (const ms of [0, 3000, 6000, 9000]) {
      deployment.time.schedule(ms, killNext);
    }
  }],
  ["its issuer restarts again and again", (deployment) => {
    for (let ms = 0; ms < 12_000; ms += 1700) {
      deployment.time.schedule(
        ms,
        () => deployment.restart(deployment.findIssuer("w")),
      );
    }
  }],
  ["its issuer is frozen for 5 s", (deployment) => {
    const issuer = deployment.findIssuer("w");
    deployment.freeze(issuer);
    deployment.time.schedule(5000, () => deployment.thaw(issuer));
  }],
  ["its issuer is suspended for 5 s", (deployment) => {
    deployment.suspend(deployment.findIssuer("w"), 5000);
  }],
  ["its issuer is suspended again and again", (deployment) => {
    const issuer = deployment.findIssuer("w");
    for (let ms = 0; ms < 12_000; ms += 3000) {
      deployment.time.schedule(ms, () => deployment.suspend(issuer, 2000));
    }
  }],
  ["its issuer is cut off from all others", (deployment) => {
    const issuer = deployment.findIssuer("w");
    issuer.group = 1;
    deployment.time.schedule(10_000, () => issuer.group = 0);
  }],
  ["40 VMs are cut off with its issuer", (deployment) => {
    const issuer = deployment.findIssuer("w");
    const group = [issuer, ...deployment.vms.slice(0, 40)];
    for (const vm of group) vm.group = 1;
    deployment.time.schedule(10_000, () => {
      for (const vm of group) vm.group = 0;
    });
  }],
  ["40 VMs are cut off from all others", (deployment) => {
    const issuer = deployment.findIssuer("w");
    const group = deployment.vms.slice(0, 40).filter((vm) => vm !== issuer);
    for (const vm of group) vm.group = 1;
    deployment.time.schedule(10_000, () => {
      for (const vm of group) vm.group = 0;
    });
  }],
  ["all VMs restart at once", (deployment) => {
    for (const vm of deployment.vms) deployment.restart(vm);
  }],
  ["all VMs restart twice in a window, one after the other", (deployment) => {
    for (const [index, vm] of deployment.vms.entries()) {
      for (const ms of [index * 30, 3500 + index * 30]) {
        deployment.time.schedule(ms, () => deployment.restart(vm));
      }
    }
  }],
];

describe.each(FAILURES)("while %s", (_, fail) => {
  // Guards against tokens that a takeover, a partition or a restart creates, and long waits.
  it.each([
    ["89 VMs", { vms: ALL, load: 3 }],
    ["89 VMs, plain calls", { vms: ALL, load: 2, meanCost: 200 }],
    ["one VM", { vms: ONE, load: 3 }],
  ])("a quota is not exceeded: %s", async (_, demand) => {
    for (const seed of SEEDS) {
      const deployment = createDeployment(seed, demand);
      await deployment.run(FAILURE_MS);
      fail(deployment);
      await deployment.run(END_MS);
      expect(deployment.getLargestUse("w", LIMIT)).toBeLessThanOrEqual(1);
      expect(deployment.getLongestWaitMs()).toBeLessThanOrEqual(MAX_WAIT_MS);
    }
  }, TIMEOUT_MS);

  // Guards against a burst that was saved up and is spent on both sides of the failure.
  it("a quota is not exceeded after an idle time", async () => {
    for (const seed of SEEDS) {
      const deployment = createDeployment(seed, { untilMs: 0 });
      await deployment.run(FAILURE_MS - 1000);
      const demand = { workspace: "w", load: 8, vms: ALL, meanCost: MEAN_COST };
      deployment.addDemand({ ...demand, untilMs: END_MS });
      await deployment.run(FAILURE_MS);
      fail(deployment);
      await deployment.run(END_MS);
      const use = deployment.getLargestUse("w", LIMIT);
      expect(use).toBeLessThanOrEqual(1);
    }
  }, TIMEOUT_MS);
});
