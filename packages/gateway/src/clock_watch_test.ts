import { describe, expect, it } from "vitest";
import { ClockWatch } from "./clock_watch.ts";

describe("ClockWatch", () => {
  it("reports a suspension or a set clock once, and not the passing of time", () => {
    let now = 0;
    let wall = 1_000_000;
    const watch = new ClockWatch({ now: () => now, wall: () => wall });
    now += 5000;
    wall += 5100;
    expect(watch.check()).toBe(0);
    wall += 4000;
    expect(watch.check()).toBe(4100);
    expect(watch.check()).toBe(0);
    wall -= 7000;
    expect(watch.check()).toBe(-7000);
  });
});
