import { describe, expect, it } from "vitest";
import { createRandom } from "@bitternfall/stand-ins";
import { ReturningCallerDetector } from "./returning_caller_detector.ts";

const FULL_MS = 14_000;

/** First-comers for ten seconds, each up to `spreadMs` less patient than the longest. */
function meetFirstComers(
  callers: ReturningCallerDetector,
  spreadMs: number,
): void {
  const random = createRandom(1);
  for (let now = 0; now < 10_000; now += 50) {
    const patienceMs = FULL_MS - random() * spreadMs;
    expect(callers.getWaitedMs("chat", { patienceMs, now })).toBe(0);
  }
}

describe("callers whose patience is all the same", () => {
  it("come back with what they have lost", () => {
    const callers = new ReturningCallerDetector();
    meetFirstComers(callers, 0);
    callers.recordRefusal(10_000);
    const returning = { patienceMs: FULL_MS - 700, now: 10_650 };
    expect(callers.getWaitedMs("chat", returning)).toBe(700);
    const first = { patienceMs: FULL_MS - 1, now: 10_650 };
    expect(callers.getWaitedMs("chat", first)).toBe(0);
  });
});

describe("callers whose patience differs by seconds", () => {
  it("are not taken for returning ones, though others were just refused", () => {
    const callers = new ReturningCallerDetector();
    meetFirstComers(callers, 2000);
    callers.recordRefusal(10_000);
    const random = createRandom(2);
    let mistaken = 0;
    for (let now = 10_000; now < 12_000; now += 20) {
      callers.recordRefusal(now);
      const patienceMs = FULL_MS - random() * 2000;
      if (callers.getWaitedMs("chat", { patienceMs, now }) > 0) mistaken++;
    }
    expect(mistaken).toBeLessThanOrEqual(5);
    const returning = { patienceMs: FULL_MS - 4000, now: 12_000 };
    expect(callers.getWaitedMs("chat", returning)).toBeGreaterThan(
      4000 - 0.1 * 2000,
    );
  });
});

describe("a caller that has lost less than the time since the last refusal", () => {
  it("comes for the first time", () => {
    const callers = new ReturningCallerDetector();
    meetFirstComers(callers, 0);
    callers.recordRefusal(10_000);
    const late = { patienceMs: FULL_MS - 1500, now: 12_000 };
    expect(callers.getWaitedMs("chat", late)).toBe(0);
  });
});

describe("a caller that names a patience of days", () => {
  it("does not make all others returning ones", () => {
    const callers = new ReturningCallerDetector();
    meetFirstComers(callers, 0);
    callers.recordRefusal(10_000);
    const patient = { patienceMs: 1e9, now: 10_001 };
    expect(callers.getWaitedMs("chat", patient)).toBe(0);
    for (let now = 10_010; now < 11_000; now += 10) {
      const usual = { patienceMs: FULL_MS, now };
      expect(callers.getWaitedMs("chat", usual)).toBe(0);
    }
  });
});
