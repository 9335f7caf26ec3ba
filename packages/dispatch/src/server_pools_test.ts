import { ServerRole } from "@bitternfall/types";
import { beforeEach, describe, expect, it } from "vitest";
import type { ServiceConfig } from "./model.ts";
import { isUsable, ServerFailure } from "./server_health.ts";
import { ServerPools } from "./server_pools.ts";

const NOW = 1000;

/** Two servers; the start time of `d1` is given. */
const configure = (bornAt: number): ServiceConfig => ({
  servers: [
    { id: "p1", role: ServerRole.Prefill, availabilityZone: "a", bornAt },
    { id: "d1", role: ServerRole.Decode, availabilityZone: "a", bornAt },
  ],
  firstOutputMs: 700,
  betweenOutputsMs: 32,
  decodeSlots: 2,
  hasReportedRoles: true,
  perWorkspaceInFlight: 100,
  weights: { goodput: 0, wastedPrefill: 1 },
});

describe("a model server that has started again under its id", () => {
  let pools: ServerPools;

  beforeEach(() => {
    pools = new ServerPools();
    pools.configure(configure(1));
    for (const id of ["p1", "d1"]) {
      pools.recordFailure(id, { kind: ServerFailure.Down, now: NOW });
      pools.prefixes.store(id, [1, 2]);
    }
  });

  it("keeps neither the failures nor the cached prefixes of its predecessor", () => {
    pools.configure(configure(2));
    for (const id of ["p1", "d1"]) {
      expect(isUsable(pools.find(id)!, NOW)).toBe(true);
      expect(pools.prefixes.match([1, 2]).get(id)).toBeUndefined();
    }
  });

  // Guards against a configuration that undoes what is known of a process that goes on.
  it("keeps its own through configurations, and while it is not declared", () => {
    pools.configure(configure(1));
    expect(isUsable(pools.find("d1")!, NOW)).toBe(false);
    pools.configure({ ...configure(1), servers: [] });
    pools.configure(configure(1));
    expect(pools.prefixes.match([1, 2]).get("d1")).toBeDefined();
  });
});
