import { describe, expect, it } from "vitest";
import type { VmListEntry } from "@bitternfall/types";
import { HUB_COUNT, pickHubs } from "./hubs.ts";

function createVms(count: number, strongCount: number): VmListEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `vm-${index}`,
    kind: "entry",
    address: `127.0.0.1:${index + 1}`,
    availabilityZone: "a",
    strength: index < strongCount ? 2 : 0.3,
    state: "live",
  }));
}

describe("pickHubs", () => {
  it("picks the strongest VMs, in an order that does not depend on the list's order", () => {
    const vms = createVms(60, 6);
    const hubs = pickHubs(vms, () => false).map(({ id }) => id);
    const fromReversed = pickHubs([...vms].reverse(), () => false);
    expect(hubs).toHaveLength(HUB_COUNT);
    expect(fromReversed.map(({ id }) => id)).toEqual(hubs);
    for (const id of hubs) expect(Number(id.slice(3))).toBeLessThan(6);
  });

  it("picks one more VM for each dead hub, and keeps the dead one", () => {
    const vms = createVms(60, 6);
    const first = pickHubs(vms, () => false).map(({ id }) => id);
    const dead = new Set(first.slice(0, 3));
    const hubs = pickHubs(vms, (id) => dead.has(id)).map(({ id }) => id);
    expect(hubs).toHaveLength(HUB_COUNT + 3);
    expect(hubs.slice(0, HUB_COUNT)).toEqual(first);
  });

  it("picks every VM of a small deployment", () => {
    expect(pickHubs(createVms(3, 0), () => false)).toHaveLength(3);
  });
});
