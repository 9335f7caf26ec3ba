import { beforeEach, describe, expect, it } from "vitest";
import { ServerPool } from "./mod.ts";

const server = (id: string, bornAt: number) => ({
  id,
  bornAt,
  availabilityZone: "a",
});

describe("a server that restarts under its id", () => {
  let pool: ServerPool;

  beforeEach(() => {
    pool = new ServerPool({
      availabilityZone: "a",
      random: () => 0,
      now: () => 0,
    });
    pool.pick([server("s1", 1), server("s2", 1)], []);
    pool.setReport(server("s2", 1), { running: 1, leaving: false });
  });

  const pick = (bornAt: number) =>
    pool.pick([server("s1", bornAt), server("s2", 1)], [])?.id;

  it("keeps neither the load, the failures nor the latency of its predecessor", () => {
    const spoilers = [
      () => pool.setReport(server("s1", 1), { running: 30, leaving: false }),
      () => pool.setReport(server("s1", 1), { running: 0, leaving: true }),
      () => pool.recordCall(server("s1", 1), { ms: 1, failed: true }),
      () => pool.recordCall(server("s1", 1), { ms: 9000, failed: false }),
      () => pool.avoid(server("s1", 1)),
      () => pool.begin(server("s1", 1)),
    ];
    for (const spoil of spoilers) {
      for (let times = 0; times < 5; times++) spoil();
      expect(pick(1)).toBe("s2");
      expect(pick(2)).toBe("s1");
      // Back to the first process for the next case.
      pick(1);
    }
  });

  it("is not charged with what its predecessor's calls end with", () => {
    const endCall = pool.begin(server("s1", 1));
    pick(2);
    endCall();
    pool.setReport(server("s1", 1), { running: 30, leaving: true });
    pool.recordCall(server("s1", 1), { ms: 9000, failed: true });
    pool.avoid(server("s1", 1));
    expect(pick(2)).toBe("s1");
    pool.begin(server("s1", 2));
    pool.begin(server("s1", 2));
    expect(pick(2)).toBe("s2");
  });
});
