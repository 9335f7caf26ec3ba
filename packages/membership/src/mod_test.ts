import { beforeEach, describe, expect, it } from "vitest";
import { MemberState, type VmListEntry } from "@bitternfall/types";
import { Membership, pickOwner } from "./mod.ts";

function createVm(id: string): VmListEntry {
  return {
    id,
    kind: "entry",
    address: `${id}:1`,
    availabilityZone: "a",
    cell: "cell-1",
    state: "live",
  };
}

let now: number;
let events: string[];
let witnessAnswer: boolean | undefined;

function createMembership(): Membership {
  const membership = new Membership({
    selfId: "vm-1",
    cell: "cell-1",
    incarnation: 1,
    heartbeatMs: 1000,
    askWitness: () => Promise.resolve(witnessAnswer),
    listener: {
      onAlive: ({ id }) => events.push(`up ${id}`),
      onDead: ({ id }) => events.push(`dead ${id}`),
      onChange: () => {},
    },
    now: () => now,
  });
  membership.setCandidates(["vm-1", "vm-2", "vm-3"].map(createVm));
  membership.setSelfState(MemberState.Ready);
  return membership;
}

function receiveHeartbeat(
  membership: Membership,
  id: string,
  fields = {},
): void {
  membership.onHeartbeat({
    id,
    incarnation: 5,
    state: MemberState.Ready,
    revision: 0,
    ...fields,
  });
}

beforeEach(() => {
  now = 0;
  events = [];
  witnessAnswer = false;
});

describe("Membership", () => {
  it("treats members as alive after a heartbeat and lets only ready ones own roles", () => {
    const membership = createMembership();
    expect(membership.listEligibleOwners()).toEqual(["vm-1"]);
    receiveHeartbeat(membership, "vm-2");
    receiveHeartbeat(membership, "vm-3", { state: MemberState.Leaving });
    expect(membership.listEligibleOwners()).toEqual(["vm-1", "vm-2"]);
  });

  it("declares an unreachable member dead only when a witness has no recent heartbeat of it either", async () => {
    const membership = createMembership();
    receiveHeartbeat(membership, "vm-2");
    receiveHeartbeat(membership, "vm-3");
    witnessAnswer = true;
    await membership.onUnreachable("vm-2", "refused");
    expect(membership.isAlive("vm-2")).toBe(true);
    witnessAnswer = false;
    await membership.onUnreachable("vm-2", "refused");
    expect(membership.isAlive("vm-2")).toBe(false);
    expect(events).toContain("dead vm-2");
  });

  it("declares a member dead after three failed dials although a witness has its heartbeats", async () => {
    const membership = createMembership();
    receiveHeartbeat(membership, "vm-2");
    receiveHeartbeat(membership, "vm-3");
    witnessAnswer = true;
    for (let dial = 0; dial < 3; dial++) {
      await membership.onUnreachable("vm-2", "timed out");
    }
    expect(membership.isAlive("vm-2")).toBe(false);
  });

  it("reports a restarted process as dead and alive again, and ignores its earlier incarnation", () => {
    const membership = createMembership();
    receiveHeartbeat(membership, "vm-2");
    receiveHeartbeat(membership, "vm-2", { incarnation: 6 });
    expect(events).toEqual(["up vm-2", "dead vm-2", "up vm-2"]);
    expect(membership.isAlive("vm-2", 5)).toBe(false);
    receiveHeartbeat(membership, "vm-2", { incarnation: 5 });
    expect(membership.isAlive("vm-2", 6)).toBe(true);
  });

  // Guards against a VM that its peers ignore for good after its clock was set back.
  it("accepts a process with an earlier incarnation once the later one is dead", async () => {
    const membership = createMembership();
    receiveHeartbeat(membership, "vm-2");
    await membership.onUnreachable("vm-2", "refused");
    receiveHeartbeat(membership, "vm-2", { incarnation: 3 });
    expect(membership.isAlive("vm-2", 3)).toBe(true);
  });

  // Guards against the same while its connection never broke for its peers.
  it("accepts a process with an earlier incarnation once the later one is silent", () => {
    const membership = createMembership();
    receiveHeartbeat(membership, "vm-2");
    now += 1000;
    receiveHeartbeat(membership, "vm-2", { incarnation: 3 });
    expect(membership.isAlive("vm-2", 5)).toBe(true);
    now += 1100;
    receiveHeartbeat(membership, "vm-2", { incarnation: 3 });
    expect(events).toEqual(["up vm-2", "dead vm-2", "up vm-2"]);
    expect(membership.isAlive("vm-2", 3)).toBe(true);
  });

  it("keeps a live member that is missing from a lagging VM list until it is declared dead", async () => {
    const membership = createMembership();
    receiveHeartbeat(membership, "vm-2");
    membership.setCandidates(["vm-1", "vm-3"].map(createVm));
    expect(membership.find("vm-2")?.isAlive).toBe(true);
    await membership.onUnreachable("vm-2", "refused");
    membership.setCandidates(["vm-1", "vm-3"].map(createVm));
    expect(membership.find("vm-2")).toBeUndefined();
  });
});

describe("pickOwner", () => {
  it("moves only the roles of the member that left", () => {
    const members = ["a", "b", "c", "d"];
    const roles = Array.from({ length: 400 }, (_, index) => `role-${index}`);
    const remaining = members.filter((member) => member !== "b");
    for (const role of roles) {
      const owner = pickOwner(role, members);
      if (owner !== "b") expect(pickOwner(role, remaining)).toBe(owner);
    }
    for (const member of members) {
      const share = roles.filter((role) =>
        pickOwner(role, members) === member
      ).length;
      expect(share).toBeGreaterThan(50);
    }
  });
});
