import { describe, expect, it } from "vitest";
import { RANK_COUNT, RankShares } from "./rank_shares.ts";

/** Grants by the rule of the queue while all `ranks` wait; returns the counts by rank. */
function grantAll(ranks: number, grants: number): number[] {
  const shares = new RankShares();
  const counts: number[] = new Array(ranks).fill(0);
  for (let grant = 0; grant < grants; grant++) {
    let rank = 0;
    while (rank < ranks - 1 && shares.isLowerDue(rank)) rank++;
    counts[rank]!++;
    shares.record({ rank, cost: 100 }, rank < ranks - 1);
  }
  return counts;
}

describe("RankShares", () => {
  // Guards against routine streams that are not served at all while urgent ones overload.
  it("keeps a quarter of the granted cost for lower ranks that wait", () => {
    const [, lower] = grantAll(2, 4000);
    expect(lower! / 4000).toBeGreaterThanOrEqual(0.24);
    expect(lower! / 4000).toBeLessThanOrEqual(0.26);
  });

  it("divides it in the same way among the lower ranks, so that none starves", () => {
    const counts = grantAll(3, 16_000);
    expect(counts[1]! + counts[2]!).toBeGreaterThanOrEqual(0.24 * 16_000);
    expect(counts[2]!).toBeGreaterThanOrEqual(0.22 * (counts[1]! + counts[2]!));
  });

  it("gives way to no lower rank that has just been granted more than its share", () => {
    const shares = new RankShares();
    for (let grant = 0; grant < 50; grant++) {
      shares.record({ rank: 1, cost: 100 }, false);
    }
    for (let grant = 0; grant < 10; grant++) {
      shares.record({ rank: 0, cost: 100 }, true);
      expect(shares.isLowerDue(0)).toBe(false);
    }
    expect(shares.getMaxCostAhead(1, 100)).toBeGreaterThan(1000);
  });

  it("knows no rank below the last", () => {
    const shares = new RankShares();
    shares.record({ rank: RANK_COUNT - 1, cost: 100 }, false);
    expect(shares.isLowerDue(RANK_COUNT - 1)).toBe(false);
  });
});
