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
let witnessHears: boolean | undefined;

function createMembership(): Membership {
  const membership = new Membership({
    selfId: "vm-1",
    cell: "cell-1",
    incarnation: 1,
    heartbeatMs: 1000,
    askWitness: () => Promise.resolve(witnessHears),
    listener: {
      onUp: ({ id }) => events.push(`up ${id}`),
      onDead: ({ id }) => events.push(`dead ${id}`),
      onChange: () => {},
    },
    now: () => now,
  });
  membership.setCandidates(["vm-1", "vm-2", "vm-3"].map(createVm));
  membership.setSelfState(MemberState.Ready);
  return membership;
}

function beat(membership: Membership, id: string, fields = {}): void {
  membership.onBeat({
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
  witnessHears = false;
});

describe("Membership", () => {
  it("takes members for alive once they answer, and gives roles to ready ones only", () => {
    const membership = createMembership();
    expect(membership.listEligible()).toEqual(["vm-1"]);
    beat(membership, "vm-2");
    beat(membership, "vm-3", { state: MemberState.Leaving });
    expect(membership.listEligible()).toEqual(["vm-1", "vm-2"]);
  });

  it("declares a member dead only when a witness does not hear it either", async () => {
    const membership = createMembership();
    beat(membership, "vm-2");
    beat(membership, "vm-3");
    witnessHears = true;
    await membership.onUnreachable("vm-2", "refused");
    expect(membership.isAlive("vm-2")).toBe(true);
    witnessHears = false;
    await membership.onUnreachable("vm-2", "refused");
    expect(membership.isAlive("vm-2")).toBe(false);
    expect(events).toContain("dead vm-2");
  });

  it("gives a member up that a witness hears but this VM can't reach three times", async () => {
    const membership = createMembership();
    beat(membership, "vm-2");
    beat(membership, "vm-3");
    witnessHears = true;
    for (let dial = 0; dial < 3; dial++) {
      await membership.onUnreachable("vm-2", "timed out");
    }
    expect(membership.isAlive("vm-2")).toBe(false);
  });

  it("tells a restarted process from the one before", () => {
    const membership = createMembership();
    beat(membership, "vm-2");
    beat(membership, "vm-2", { incarnation: 6 });
    expect(events).toEqual(["up vm-2", "dead vm-2", "up vm-2"]);
    expect(membership.isAlive("vm-2", 5)).toBe(false);
    beat(membership, "vm-2", { incarnation: 5 });
    expect(membership.isAlive("vm-2", 6)).toBe(true);
  });

  it("keeps a member that the lagging VM list no longer shows while it answers", async () => {
    const membership = createMembership();
    beat(membership, "vm-2");
    membership.setCandidates(["vm-1", "vm-3"].map(createVm));
    expect(membership.find("vm-2")?.alive).toBe(true);
    await membership.onUnreachable("vm-2", "refused");
    membership.setCandidates(["vm-1", "vm-3"].map(createVm));
    expect(membership.find("vm-2")).toBeUndefined();
  });
});

describe("pickOwner", () => {
  it("moves only the share of the member that went", () => {
    const members = ["a", "b", "c", "d"];
    const roles = Array.from({ length: 400 }, (_, index) => `role-${index}`);
    const left = members.filter((member) => member !== "b");
    for (const role of roles) {
      const owner = pickOwner(role, members);
      if (owner !== "b") expect(pickOwner(role, left)).toBe(owner);
    }
    for (const member of members) {
      const share = roles.filter((role) =>
        pickOwner(role, members) === member
      ).length;
      expect(share).toBeGreaterThan(50);
    }
  });
});
