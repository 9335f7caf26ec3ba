import { AssignedOutcome, BalancingPolicy } from "@bitternfall/service";
import { beforeEach, describe, expect, it } from "vitest";
import type { ServerEntry } from "./model.ts";
import { type ChosenServer, PlainBalancing } from "./plain_balancing.ts";

const SERVERS = ["s1", "s2"].map((id): ServerEntry => ({
  id,
  bornAt: 1,
  service: "app",
  host: "127.0.0.1",
  port: 1,
  availabilityZone: "a",
  isDraining: false,
  softwareVersion: "",
}));
const LOAD = { running: 2, waiting: 1, slots: 6 };

describe("the servers of plain calls", () => {
  let now: number;
  /** Messages to other VMs. */
  let sent: { method: string; params: unknown }[];
  let answer: () => Promise<unknown>;
  let owners: string[];

  beforeEach(() => {
    now = 0;
    sent = [];
    answer = () => Promise.resolve(["s2", 7]);
    owners = ["vm-2"];
  });

  function create(policy: BalancingPolicy): PlainBalancing {
    return new PlainBalancing({
      settings: {
        vm: { id: "vm-1", availabilityZone: "a" },
        balancing: { policy },
      },
      log: { emit() {}, count() {}, gauge() {}, timing() {} },
      directory: { list: () => SERVERS },
      peers: {
        membership: {
          getOwner: () => owners[0],
          listEligibleOwners: () => owners,
        },
        mesh: {
          call: (_vm: string, method: string, { params }: never) => {
            sent.push({ method, params });
            return answer();
          },
          notify: (_vm: string, method: string, params: unknown) => {
            sent.push({ method, params });
          },
        },
      },
      now: () => now,
      random: () => 0,
      // deno-lint-ignore no-explicit-any
    } as any);
  }

  async function choose(
    balancing: PlainBalancing,
    tried: readonly string[] = [],
  ): Promise<ChosenServer> {
    const chosen = await balancing.choose("app", SERVERS, {
      requestId: "r1",
      tried,
      maxOutstanding: Infinity,
      timeoutMs: 800,
    });
    return chosen!;
  }

  it("are chosen without a message by the default rule", async () => {
    await choose(create(BalancingPolicy.TwoChoices));
    expect(sent).toEqual([]);
  });

  it("are assigned once a server has named its pace, whatever the settings say", async () => {
    const balancing = create(BalancingPolicy.TwoChoices);
    const first = await choose(balancing);
    const outcome = AssignedOutcome.Served;
    first.record({ ms: 43, outcome, load: { ...LOAD, pace: 1.5 } });
    expect((await choose(balancing, ["s1"])).server.id).toBe("s2");
    expect(sent).toEqual([
      { method: "servers.pick", params: ["app", "vm-1", "a", 800, ["s1"]] },
    ]);
  });

  it("are assigned by another VM, which learns how the call ended", async () => {
    const chosen = await choose(create(BalancingPolicy.EstimatedLoad));
    chosen.begin()();
    const outcome = AssignedOutcome.Served;
    chosen.record({ ms: 43.2, outcome, load: { ...LOAD, pace: 1.5 } });
    expect(sent.at(-1)).toEqual({
      method: "servers.done",
      params: [7, 0, 43, 3, 6, 150],
    });
  });

  it("are chosen here if that VM does not answer, and it is not asked again at once", async () => {
    const balancing = create(BalancingPolicy.EstimatedLoad);
    answer = () => Promise.reject(new Error("lost"));
    expect((await choose(balancing)).server).toBeDefined();
    await choose(balancing);
    expect(sent).toHaveLength(1);
    now += 500;
    await choose(balancing);
    expect(sent).toHaveLength(2);
  });

  it("are chosen here if the assigned one is not known here", async () => {
    const balancing = create(BalancingPolicy.EstimatedLoad);
    answer = () => Promise.resolve(["s9", 8]);
    expect(["s1", "s2"]).toContain((await choose(balancing)).server.id);
    expect(sent.at(-1)).toEqual({ method: "servers.done", params: [8] });
  });

  it("are not assigned where this VM has just failed to reach them", async () => {
    const balancing = create(BalancingPolicy.EstimatedLoad);
    const first = await choose(balancing);
    first.record({ ms: 1, outcome: AssignedOutcome.NoAnswer });
    await choose(balancing);
    const asked = sent.filter(({ method }) => method === "servers.pick");
    expect(asked.at(-1)!.params).toEqual(["app", "vm-1", "a", 800, ["s2"]]);
  });

  it("are assigned without a message on a VM that assigns, which counts others' calls", async () => {
    owners = ["vm-1"];
    const balancing = create(BalancingPolicy.EstimatedLoad);
    const pick = balancing.handlers["servers.pick"];
    const ask = (excluded: string[]) =>
      pick(["app", "vm-3", "a", 800, excluded]) as [string, number];
    const calls = [0, 1, 2].map(() => ask(["s2"]));
    expect((await choose(balancing)).server.id).toBe("s2");
    expect(ask(["s1", "s2"])).toBeNull();
    for (const [, call] of calls) balancing.handlers["servers.done"]([call]);
    expect((await choose(balancing)).server.id).toBe("s1");
    expect(sent).toEqual([]);
  });
});
