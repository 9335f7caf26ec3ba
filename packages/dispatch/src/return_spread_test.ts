import { describe, expect, it } from "vitest";
import { ReturnSpread } from "./return_spread.ts";

describe("ReturnSpread", () => {
  const capacity = 10;

  it("tells callers who are refused together to come back one after the other", () => {
    const spread = new ReturnSpread();
    const times = [0, 1, 2].map(() =>
      spread.schedule({ waitMs: 200, work: 4000 }, { now: 0, capacity })
    );
    // Half of the capacity is spare, so each one's work takes 800 ms.
    expect(times).toEqual([200, 1000, 1800]);
  });

  it("forgets those who have come back", () => {
    const spread = new ReturnSpread();
    spread.schedule({ waitMs: 200, work: 4000 }, { now: 0, capacity });
    const later = { now: 300, capacity };
    expect(spread.schedule({ waitMs: 200, work: 4000 }, later)).toBe(200);
  });

  it("never exceeds what callers honour", () => {
    const spread = new ReturnSpread();
    for (let turn = 0; turn < 100; turn++) {
      const refused = { waitMs: 200, work: 4000 };
      expect(spread.schedule(refused, { now: 0, capacity }))
        .toBeLessThanOrEqual(4500);
    }
  });
});
