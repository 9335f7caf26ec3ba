import { describe, expect, it } from "vitest";
import { createRandom } from "@bitternfall/stand-ins";
import { ReturningCallerDetector } from "./returning_caller_detector.ts";

const FULL_PATIENCE_MS = 14_000;

/** Simulates 10 s of first-time callers, each up to `spreadMs` below the full patience. */
function simulateFirstTimeCallers(
  detector: ReturningCallerDetector,
  spreadMs: number,
): void {
  const random = createRandom(1);
  for (let now = 0; now < 10_000; now += 50) {
    const patienceMs = FULL_PATIENCE_MS - random() * spreadMs;
    expect(detector.getWaitedMs("chat", { patienceMs, now })).toBe(0);
  }
}

describe("ReturningCallerDetector with equal patience of all callers", () => {
  it("returns the patience that a returning caller has lost", () => {
    const detector = new ReturningCallerDetector();
    simulateFirstTimeCallers(detector, 0);
    detector.recordRefusal(10_000);
    const returning = { patienceMs: FULL_PATIENCE_MS - 700, now: 10_650 };
    expect(detector.getWaitedMs("chat", returning)).toBe(700);
    const first = { patienceMs: FULL_PATIENCE_MS - 1, now: 10_650 };
    expect(detector.getWaitedMs("chat", first)).toBe(0);
  });
});

describe("ReturningCallerDetector with patience that differs by seconds", () => {
  it("takes few first-time callers for returning ones, though others were just refused", () => {
    const detector = new ReturningCallerDetector();
    simulateFirstTimeCallers(detector, 2000);
    detector.recordRefusal(10_000);
    const random = createRandom(2);
    let mistaken = 0;
    for (let now = 10_000; now < 12_000; now += 20) {
      detector.recordRefusal(now);
      const patienceMs = FULL_PATIENCE_MS - random() * 2000;
      if (detector.getWaitedMs("chat", { patienceMs, now }) > 0) mistaken++;
    }
    expect(mistaken).toBeLessThanOrEqual(5);
    const returning = { patienceMs: FULL_PATIENCE_MS - 4000, now: 12_000 };
    expect(detector.getWaitedMs("chat", returning)).toBeGreaterThan(
      4000 - 0.1 * 2000,
    );
  });
});

describe("ReturningCallerDetector with a caller that has lost less than the time since the last refusal", () => {
  it("takes it for a first-time caller", () => {
    const detector = new ReturningCallerDetector();
    simulateFirstTimeCallers(detector, 0);
    detector.recordRefusal(10_000);
    const late = { patienceMs: FULL_PATIENCE_MS - 1500, now: 12_000 };
    expect(detector.getWaitedMs("chat", late)).toBe(0);
  });
});

describe("ReturningCallerDetector with a caller that states a patience of days", () => {
  it("does not take all others for returning callers", () => {
    const detector = new ReturningCallerDetector();
    simulateFirstTimeCallers(detector, 0);
    detector.recordRefusal(10_000);
    const patient = { patienceMs: 1e9, now: 10_001 };
    expect(detector.getWaitedMs("chat", patient)).toBe(0);
    for (let now = 10_010; now < 11_000; now += 10) {
      const usual = { patienceMs: FULL_PATIENCE_MS, now };
      expect(detector.getWaitedMs("chat", usual)).toBe(0);
    }
  });
});
