import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { MAX_RANKS, RankTable } from "./rank_table.ts";

const route = (priority: number, isPublic = false) => ({
  priority,
  isPublic,
  services: ["lm"],
});
const workspace = (priority?: number) => ({ name: "w", keys: [], priority });

describe("RankTable", () => {
  it("orders by the workspace's priority, then by the route's", () => {
    const workspaces = [workspace(2), workspace(1), workspace()];
    const table = new RankTable({ workspaces, routes: [route(2), route(0)] });
    const find = (priority: number | undefined, routePriority: number) =>
      table.find("lm", { workspace: workspace(priority), routePriority });
    expect([find(1, 0), find(1, 2), find(2, 0), find(2, 2)])
      .toEqual([0, 1, 2, 3]);
    expect(find(undefined, 2)).toBe(3);
  });

  // Guards against priorities that servers are told where nothing is to be put first.
  it("has no ranks where all requests of a service are equal", () => {
    const routes = [route(1), { ...route(0), services: ["app"] }];
    const workspaces = [workspace(7), workspace()];
    const request = { workspace: undefined, routePriority: 1 };
    for (const given of [undefined, workspaces]) {
      const table = new RankTable({ workspaces: given, routes });
      expect(table.find("lm", request)).toBeUndefined();
    }
  });

  it("ranks requests without a workspace like the least urgent one, on public routes", () => {
    const workspaces = [workspace(0), workspace(3)];
    const request = { workspace: undefined, routePriority: 1 };
    const table = new RankTable({
      workspaces,
      routes: [route(1, true), route(2)],
    });
    expect(table.find("lm", request)).toBe(2);
    const closed = new RankTable({ workspaces: [], routes: [route(1)] });
    expect(closed.find("lm", request)).toBeUndefined();
  });

  // Guards against a more urgent request that gets a later rank, with any priorities.
  it("never ranks a more urgent request later, and has at most ten ranks", () => {
    const numbers = fc.uniqueArray(fc.integer({ min: -3, max: 9 }), {
      minLength: 1,
    });
    const sort = (list: number[]) => [...list].sort((a, b) => a - b);
    fc.assert(
      fc.property(numbers, numbers, (ofWorkspaces, ofRoutes) => {
        const table = new RankTable({
          workspaces: ofWorkspaces.map(workspace),
          routes: ofRoutes.map((priority) => route(priority)),
        });
        let last = 0;
        for (const priority of sort(ofWorkspaces)) {
          for (const routePriority of sort(ofRoutes)) {
            const rank = table.find("lm", {
              workspace: workspace(priority),
              routePriority,
            }) ?? 0;
            expect(rank).toBeGreaterThanOrEqual(last);
            expect(rank).toBeLessThan(MAX_RANKS);
            last = rank;
          }
        }
      }),
      { seed: 6, numRuns: 200 },
    );
  });
});
