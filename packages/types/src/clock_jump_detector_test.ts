import { describe, expect, it } from "vitest";
import { ClockJumpDetector } from "./clock_jump_detector.ts";

describe("ClockJumpDetector", () => {
  it("reports a suspension or a changed wall clock once, and ignores elapsed time", () => {
    let now = 0;
    let wall = 1_000_000;
    const detector = new ClockJumpDetector({
      now: () => now,
      wall: () => wall,
    });
    now += 5000;
    wall += 5100;
    expect(detector.detectJumpMs()).toBe(0);
    wall += 4000;
    expect(detector.detectJumpMs()).toBe(4100);
    expect(detector.detectJumpMs()).toBe(0);
    wall -= 7000;
    expect(detector.detectJumpMs()).toBe(-7000);
  });
});
