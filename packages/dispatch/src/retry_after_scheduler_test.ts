import { describe, expect, it } from "vitest";
import { RetryAfterScheduler } from "./retry_after_scheduler.ts";

describe("ReturnSpread", () => {
  const capacity = 10;

  it("tells callers who are refused together to come back one after the other", () => {
    const spread = new RetryAfterScheduler();
    const times = [0, 1, 2].map(() =>
      spread.schedule({ waitMs: 200, work: 4000 }, { now: 0, capacity })
    );
    // Nobody else comes, so each one's work takes 400 ms.
    expect(times).toEqual([200, 600, 1000]);
  });

  it("tells them to come back later while new callers take most of the servers", () => {
    const spread = new RetryAfterScheduler();
    // Three quarters of the capacity for three seconds.
    for (let now = 0; now < 3000; now += 10) {
      spread.recordFirstArrival({ work: 75, now });
    }
    const refused = { waitMs: 200, work: 4000 };
    const options = { now: 3000, capacity };
    expect(spread.schedule(refused, options)).toBe(200);
    const next = spread.schedule(refused, options);
    expect(next).toBeGreaterThan(1200);
    expect(next).toBeLessThan(2200);
    // Once they have gone, the room is free for those who come back.
    const afterwards = { now: 12_000, capacity };
    spread.schedule(refused, afterwards);
    expect(spread.schedule(refused, afterwards)).toBeLessThan(700);
  });

  it("forgets those who have come back", () => {
    const spread = new RetryAfterScheduler();
    spread.schedule({ waitMs: 200, work: 4000 }, { now: 0, capacity });
    const later = { now: 300, capacity };
    expect(spread.schedule({ waitMs: 200, work: 4000 }, later)).toBe(200);
  });

  it("never exceeds what callers honour", () => {
    const spread = new RetryAfterScheduler();
    for (let turn = 0; turn < 100; turn++) {
      const refused = { waitMs: 200, work: 4000 };
      expect(spread.schedule(refused, { now: 0, capacity }))
        .toBeLessThanOrEqual(4500);
    }
  });
});
