import { describe, expect, it } from "vitest";
import type { VmListEntry } from "@bitternfall/types";
import { CellPlan } from "./cell_plan.ts";

function createVms(
  cells: readonly (readonly [string, string])[],
): VmListEntry[] {
  return cells.map(([cell, zone], index) => ({
    id: `vm-${index}`,
    kind: "entry",
    address: `vm-${index}:1`,
    availabilityZone: zone,
    cell,
    state: "live",
  }));
}

function createPlans(
  cells: readonly string[],
  vms: readonly VmListEntry[],
): CellPlan[] {
  return cells.map((cell) => {
    const plan = new CellPlan(cell);
    plan.setVmList(vms);
    return plan;
  });
}

const SERVERS = Array.from({ length: 60 }, (_, index) => ({
  id: `server-${index}`,
  availabilityZone: index % 2 === 0 ? "a" : "b",
}));

describe("CellPlan", () => {
  it("assigns each server to exactly one cell, in the server's zone if that has a cell", () => {
    const vms = createVms([["c1", "a"], ["c2", "a"], ["c3", "b"]]);
    const plans = createPlans(["c1", "c2", "c3"], vms);
    for (const server of SERVERS) {
      const owners = plans.filter((plan) => plan.owns(server)).map((plan) =>
        plan.ownCell
      );
      expect(owners.length).toBe(1);
      if (server.availabilityZone === "b") expect(owners).toEqual(["c3"]);
      else expect(owners).not.toEqual(["c3"]);
    }
  });

  it("reassigns only the servers and keys of a cell that disappears", () => {
    const before = createPlans(
      ["c1"],
      createVms([["c1", "a"], ["c2", "a"], ["c3", "a"]]),
    )[0]!;
    const after = createPlans(
      ["c1"],
      createVms([["c1", "a"], ["c3", "a"]]),
    )[0]!;
    for (const server of SERVERS) {
      if (before.owns(server)) expect(after.owns(server)).toBe(true);
    }
    for (let key = 0; key < 50; key++) {
      const home = before.getHomeCell(`k${key}`);
      if (home !== "c2") expect(after.getHomeCell(`k${key}`)).toBe(home);
    }
  });

  it("assigns a server to the cell that its record names, if that cell exists", () => {
    const plan = createPlans(["c1"], createVms([["c1", "a"], ["c2", "a"]]))[0]!;
    expect(plan.owns({ id: "s", availabilityZone: "a", cell: "c1" })).toBe(
      true,
    );
    expect(plan.owns({ id: "s", availabilityZone: "a", cell: "c2" })).toBe(
      false,
    );
  });

  it("limits the number of neighbours of a cell and excludes the cell itself", () => {
    const cells = Array.from(
      { length: 88 },
      (_, index) => [`c${index}`, "a"] as const,
    );
    const plan = createPlans(["c5"], createVms(cells))[0]!;
    expect(plan.listNeighbours(2).length).toBe(2);
    expect(plan.listNeighbours(2)).not.toContain("c5");
  });
});
