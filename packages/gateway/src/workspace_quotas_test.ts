import { describe, expect, it } from "vitest";
import { type QuotaLimit, QuotaUnit } from "@bitternfall/access";
import type { CallerResponse } from "./caller_response.ts";
import type { GatewayConfig, GatewayRequest, PromptTraits } from "./model.ts";
import type { PeerGroup } from "./peer_group.ts";
import type { CallOutcome } from "./plain_call.ts";
import { WorkspaceQuotas } from "./workspace_quotas.ts";

const LIMIT: QuotaLimit = {
  unit: QuotaUnit.Tokens,
  perSecond: 1000,
  burst: 1000,
  plainTokens: 200,
};
const QUOTA = { windowSeconds: 8, tolerance: 0.1, slack: 0 };
const PROMPT: PromptTraits = {
  promptTokens: 300,
  maxOutputTokens: 100,
  parts: [],
};
/** By then an issuer that has started is at its capacity. */
const FULL_MS = 5000;
const SERVED: CallOutcome = { status: 200, reason: "", servers: ["s1"] };

/** VMs whose messages arrive at once; the first one issues for all workspaces. */
class Deployment {
  readonly vms: WorkspaceQuotas[] = [];
  readonly series: string[] = [];
  now = 0;
  /** Time that only the wall clock has counted. */
  suspendedMs = 0;
  messages = 0;

  constructor({ vmCount }: { vmCount: number }) {
    for (let index = 0; index < vmCount; index++) this.#addVm(`vm-${index}`);
  }

  #addVm(id: string): void {
    const peers = {
      membership: {
        listEligibleOwners: () => ["vm-0"],
        members: [{ lastHeartbeatAt: Infinity }],
      },
      mesh: {
        call: (_vm: string, _method: string, { params }: { params: never }) => {
          this.messages++;
          return Promise.resolve(this.vms[0]!.take(params));
        },
      },
    } as unknown as PeerGroup;
    const vm = { id, availabilityZone: "a" };
    const log = {
      count: (name: string, _by = 1, tags = {}) =>
        void this.series.push(name + JSON.stringify(tags)),
      gauge: () => {},
    };
    this.vms.push(
      new WorkspaceQuotas({
        settings: { vm, quota: QUOTA } as never,
        peers,
        limits: { vmCount: 2 },
        log,
        now: () => this.now,
        wall: () => this.now + this.suspendedMs,
      }),
    );
  }

  configure(limits: { readonly [workspace: string]: QuotaLimit }): void {
    const workspaces = Object.entries(limits).map(([name, quota]) => ({
      name,
      quota,
      keys: [],
    }));
    for (const vm of this.vms) {
      vm.sync();
      vm.applyConfig({ workspaces } as never);
    }
  }

  /** Sends a request; returns its outcome and the refusal's arguments. */
  async send(
    fields: Partial<GatewayRequest> = {},
    { vm = 1, outcome = SERVED, workspace = "w" } = {},
  ) {
    const refusals: unknown[][] = [];
    const callerResponse = {
      refuse: (...args: unknown[]) => refusals.push(args),
    } as unknown as CallerResponse;
    const req = {
      isForwarded: false,
      workspace: { name: workspace, keys: [], quota: LIMIT },
      prompt: PROMPT,
      ...fields,
    } as GatewayRequest;
    let isServed = false;
    const ended = await this.vms[vm]!.charge(req, callerResponse, () => {
      isServed = true;
      return Promise.resolve(outcome);
    });
    return { ended, refusals, isServed };
  }

  /** Sends requests until one is refused; returns how many were served. */
  async exhaust(...args: Parameters<Deployment["send"]>): Promise<number> {
    for (let served = 0;; served++) {
      const { ended } = await this.send(...args);
      if (ended.reason === "quota") return served;
    }
  }
}

function start(limits: { readonly [workspace: string]: QuotaLimit }) {
  const deployment = new Deployment({ vmCount: 2 });
  deployment.configure(limits);
  deployment.now = FULL_MS;
  return deployment;
}

describe("a request of a workspace with a quota", () => {
  // Guards against requests over the quota that reach servers.
  it("is refused at once with 429, the time to return and the figures", async () => {
    const deployment = start({ w: LIMIT });
    const served = await deployment.exhaust();
    expect(served).toBeGreaterThanOrEqual(LIMIT.burst / 400);
    const { ended, refusals, isServed } = await deployment.send();
    expect(isServed).toBe(false);
    expect(ended).toMatchObject({
      status: 429,
      reason: "quota",
      quotaWanted: 400,
      quotaIssuer: "vm-0",
      quotaAgeMs: 0,
    });
    expect(ended.retryAfterMs).toBeGreaterThan(0);
    expect(refusals).toEqual([[429, expect.any(String), ended.retryAfterMs]]);
  });

  // Guards against costs that differ from those of the quota's unit.
  it.each([
    [QuotaUnit.Tokens, PROMPT, 400],
    [QuotaUnit.Tokens, undefined, 200],
    [QuotaUnit.Requests, PROMPT, 1],
  ])("costs what its unit states: %s", async (unit, prompt, cost) => {
    const limit = { ...LIMIT, unit };
    const deployment = start({ w: limit });
    const workspace = { name: "w", keys: [], quota: limit };
    const { ended } = await deployment.send({ prompt, workspace });
    expect(ended.quotaWanted).toBe(cost);
  });

  // Guards against a request that is charged at each VM that it passes.
  it("is not charged where another VM has forwarded it", async () => {
    const deployment = start({ w: LIMIT });
    await deployment.exhaust();
    const { ended } = await deployment.send({ isForwarded: true });
    expect(ended).toBe(SERVED);
  });

  // Guards against quotas that are used up by requests that servers have not run.
  it("gives its tokens back if it has not run", async () => {
    const deployment = start({ w: LIMIT });
    const outcome = { status: 503, reason: "no capacity", servers: [] };
    for (let sent = 0; sent < 20; sent++) {
      const { isServed } = await deployment.send({}, { outcome });
      expect(isServed).toBe(true);
    }
  });

  // Guards against leases that have ended while the VM was suspended.
  it("asks the issuer again after a suspension", async () => {
    const deployment = start({ w: LIMIT });
    const outcome = { status: 503, reason: "no capacity", servers: [] };
    await deployment.send({}, { outcome });
    await deployment.send({}, { outcome });
    expect(deployment.messages).toBe(1);
    deployment.suspendedMs += 4000;
    await deployment.send({}, { outcome });
    expect(deployment.messages).toBe(2);
  });

  // Guards against a wall clock that is set, which was taken for a long suspension: the
  // issuer started empty, and workspaces within their quotas got 429.
  it.each([["back", -3000], ["forward", 600_000]])(
    "is served after the wall clock was set %s",
    async (_, byMs) => {
      const deployment = start({ w: LIMIT });
      deployment.suspendedMs += byMs;
      const { isServed } = await deployment.send();
      expect(isServed).toBe(true);
    },
  );

  // Guards against a series of metrics for each of 800 workspaces.
  it("is counted by workspace for a bounded number of them", async () => {
    const names = Array.from({ length: 200 }, (_, index) => `w${index}`);
    const deployment = start(
      Object.fromEntries(names.map((name) => [name, LIMIT])),
    );
    for (const workspace of names) await deployment.send({}, { workspace });
    expect(new Set(deployment.series).size).toBeLessThan(60);
  });
});

describe("a request of a workspace without a quota", () => {
  // Guards against messages and refusals where the configuration has no quotas.
  it("is served as before", async () => {
    const deployment = new Deployment({ vmCount: 2 });
    const config = { workspaces: undefined } as GatewayConfig;
    for (const vm of deployment.vms) vm.applyConfig(config);
    const workspace = { name: "w", keys: [] };
    expect((await deployment.send({ workspace })).ended).toBe(SERVED);
    expect((await deployment.send({ workspace: undefined })).ended)
      .toBe(SERVED);
    expect(deployment.series).toEqual([]);
  });
});
