import { describe, expect, it } from "vitest";
import { RetryAfterScheduler } from "./retry_after_scheduler.ts";

describe("RetryAfterScheduler", () => {
  const capacity = 10;

  it("schedules callers that are refused together one after the other", () => {
    const scheduler = new RetryAfterScheduler();
    const times = [0, 1, 2].map(() =>
      scheduler.schedule({ waitMs: 200, work: 4000 }, { now: 0, capacity })
    );
    // Without new arrivals, each caller's work takes 4000 / 10 = 400 ms.
    expect(times).toEqual([200, 600, 1000]);
  });

  it("schedules retries later while new callers take most of the capacity", () => {
    const scheduler = new RetryAfterScheduler();
    // Three quarters of the capacity for three seconds.
    for (let now = 0; now < 3000; now += 10) {
      scheduler.recordFirstArrival({ work: 75, now });
    }
    const refused = { waitMs: 200, work: 4000 };
    const options = { now: 3000, capacity };
    expect(scheduler.schedule(refused, options)).toBe(200);
    const next = scheduler.schedule(refused, options);
    expect(next).toBeGreaterThan(1200);
    expect(next).toBeLessThan(2200);
    // After the burst, the whole capacity is available for retries.
    const afterwards = { now: 12_000, capacity };
    scheduler.schedule(refused, afterwards);
    expect(scheduler.schedule(refused, afterwards)).toBeLessThan(700);
  });

  it("ignores scheduled retries whose time has passed", () => {
    const scheduler = new RetryAfterScheduler();
    scheduler.schedule({ waitMs: 200, work: 4000 }, { now: 0, capacity });
    const later = { now: 300, capacity };
    expect(scheduler.schedule({ waitMs: 200, work: 4000 }, later)).toBe(200);
  });

  it("never exceeds the longest retry-after that callers honour", () => {
    const scheduler = new RetryAfterScheduler();
    for (let turn = 0; turn < 100; turn++) {
      const refused = { waitMs: 200, work: 4000 };
      expect(scheduler.schedule(refused, { now: 0, capacity }))
        .toBeLessThanOrEqual(4500);
    }
  });
});

describe("RetryAfterScheduler.getSpareShare", () => {
  it("is what the rate of first arrivals leaves of the capacity, but never nothing", () => {
    const scheduler = new RetryAfterScheduler();
    const options = { now: 0, capacity: 10 };
    expect(scheduler.getSpareShare(options)).toBe(1);
    scheduler.recordFirstArrival({ work: 6000, now: 0 });
    expect(scheduler.getSpareShare(options)).toBeCloseTo(0.6);
    scheduler.recordFirstArrival({ work: 60_000, now: 0 });
    expect(scheduler.getSpareShare(options)).toBeCloseTo(0.1);
  });
});

describe("RetryAfterScheduler.schedule beside other ranks and accounts", () => {
  const capacity = 10;

  // Guards against urgent callers that return late because many routine ones were refused.
  it("schedules callers after retries of their own and more urgent ranks only", () => {
    const scheduler = new RetryAfterScheduler();
    const schedule = (rank: number) =>
      scheduler.schedule({ waitMs: 200, work: 4000, rank }, {
        now: 0,
        capacity,
      });
    for (let count = 0; count < 5; count++) schedule(1);
    scheduler.recordFirstArrival({ work: 15_000, now: 0, rank: 1 });
    expect(schedule(0)).toBe(200);
    expect(scheduler.getSpareShare({ now: 0, capacity, rank: 0 })).toBe(1);
    expect(scheduler.getSpareShare({ now: 0, capacity, rank: 1 }))
      .toBeLessThan(0.2);
  });

  // Guards against callers that wait until the retries of a workspace that floods are over.
  it("schedules callers after as many retries of each other account as of their own", () => {
    const scheduler = new RetryAfterScheduler();
    const schedule = (account: string) =>
      scheduler.schedule({ waitMs: 200, work: 1000, account }, {
        now: 0,
        capacity,
      });
    for (let count = 0; count < 30; count++) schedule("flood");
    expect(schedule("small")).toBe(300);
    expect(schedule("flood")).toBeGreaterThan(3000);
  });
});
