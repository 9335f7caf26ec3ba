import { describe, expect, it } from "vitest";
import { StopSchedule } from "./stop_schedule.ts";

const GRACE_MS = 6000;

/** Keeps the event loop from running for a while, in the middle of a wait. */
async function waitWhileBlocked(ms: number): Promise<StopSchedule> {
  const schedule = new StopSchedule({ graceMs: GRACE_MS });
  const waiting = schedule.waitUntil(() => 60);
  const endsAt = performance.now() + ms;
  while (performance.now() < endsAt);
  await waiting;
  return schedule;
}

describe("StopSchedule", () => {
  it("keeps its margins where timers fire on time", () => {
    const schedule = new StopSchedule({ graceMs: GRACE_MS });
    expect(schedule.cutAtMs).toBe(5400);
    expect(schedule.closeAtMs).toBe(5800);
  });

  // Guards against steps that come too late in a process that is short of time.
  it("takes the last steps sooner where timers fire late, within a sixth of the time", async () => {
    const late = await waitWhileBlocked(80);
    expect(late.lateMs).toBeGreaterThanOrEqual(30);
    expect(late.cutAtMs).toBeLessThanOrEqual(5280);
    expect(late.closeAtMs).toBeLessThanOrEqual(5680);
    const frozen = await waitWhileBlocked(500);
    expect(frozen.cutAtMs).toBe(5000);
    expect(frozen.closeAtMs).toBe(5000);
  });

  it("ends a wait once nothing is left to wait for", async () => {
    const schedule = new StopSchedule({ graceMs: GRACE_MS });
    await schedule.waitUntil(() => Infinity, Promise.resolve());
    expect(schedule.elapsedMs).toBeLessThan(1000);
  });
});
