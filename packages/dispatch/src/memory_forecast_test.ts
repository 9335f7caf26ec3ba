import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { forecastPeak, type RunForecast } from "./memory_forecast.ts";

describe("forecastPeak", () => {
  it("stops counting a run once it has ended", () => {
    const runs = [
      { tokens: 1000, remaining: 100, startsInMs: 0 },
      { tokens: 1000, remaining: 900, startsInMs: 0 },
    ];
    // Both hold 1100 tokens when the first one ends; the second then grows to 1900 alone.
    expect(forecastPeak(runs, 1)).toBe(2200);
  });

  it("is the sum of the final sizes of runs that end together", () => {
    const run = { tokens: 1000, remaining: 500, startsInMs: 0 };
    expect(forecastPeak([run, run, run], 0.2)).toBe(4500);
  });

  it("is zero without runs", () => {
    expect(forecastPeak([], 1)).toBe(0);
  });

  const run: fc.Arbitrary<RunForecast> = fc.record({
    tokens: fc.integer({ min: 1, max: 7000 }),
    remaining: fc.integer({ min: 0, max: 2000 }),
    startsInMs: fc.integer({ min: 0, max: 500 }),
  });

  it("lies between the sums of the current and of the final sizes", () => {
    fc.assert(
      fc.property(fc.array(run, { minLength: 1, maxLength: 16 }), (runs) => {
        const now = runs.reduce((sum, { tokens }) => sum + tokens, 0);
        const all = runs.reduce(
          (sum, { tokens, remaining }) => sum + tokens + remaining,
          0,
        );
        const peak = forecastPeak(runs, 0.25);
        expect(peak).toBeGreaterThanOrEqual(now - 1e-6);
        expect(peak).toBeLessThanOrEqual(all + 1e-6);
      }),
      { seed: 17, numRuns: 300 },
    );
  });
});
