import { describe, expect, it } from "vitest";
import type { VmListEntry } from "@bitternfall/types";
import { HUB_COUNT, pickHubs } from "./hubs.ts";

function createVms(count: number, strong: number): VmListEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `vm-${index}`,
    kind: "entry",
    address: `127.0.0.1:${index + 1}`,
    availabilityZone: "a",
    strength: index < strong ? 2 : 0.3,
    state: "live",
  }));
}

describe("pickHubs", () => {
  it("takes the strong VMs, in the same order whatever the list's", () => {
    const vms = createVms(60, 6);
    const hubs = pickHubs(vms, () => false).map(({ id }) => id);
    const again = pickHubs([...vms].reverse(), () => false);
    expect(hubs).toHaveLength(HUB_COUNT);
    expect(again.map(({ id }) => id)).toEqual(hubs);
    for (const id of hubs) expect(Number(id.slice(3))).toBeLessThan(6);
  });

  it("goes further down the ranking for each one that is dead, and keeps it", () => {
    const vms = createVms(60, 6);
    const first = pickHubs(vms, () => false).map(({ id }) => id);
    const dead = new Set(first.slice(0, 3));
    const hubs = pickHubs(vms, (id) => dead.has(id)).map(({ id }) => id);
    expect(hubs).toHaveLength(HUB_COUNT + 3);
    expect(hubs.slice(0, HUB_COUNT)).toEqual(first);
  });

  it("takes all of a small deployment", () => {
    expect(pickHubs(createVms(3, 0), () => false)).toHaveLength(3);
  });
});
