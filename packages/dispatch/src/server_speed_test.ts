import { createRandom } from "@bitternfall/stand-ins";
import { describe, expect, it } from "vitest";
import {
  createServerSpeed,
  type ServerSpeed,
  SpeedEstimator,
} from "./server_speed.ts";

/**
 * Runs of `speeds.length` servers, six at a time each. Each server is 2.5 times as slow for
 * 600 ms of every 4 s, and the load makes all of them up to 1.5 times as slow in turn.
 */
function runDay(
  speeds: readonly number[],
  { seed, runsEach }: { seed: number; runsEach: number },
): { servers: ReadonlyMap<number, ServerSpeed>; largestDeviation: number } {
  const random = createRandom(seed);
  const estimator = new SpeedEstimator();
  const servers = new Map(
    speeds.map((_, index) => [index, createServerSpeed()] as const),
  );
  let largestDeviation = 0;
  for (let run = 0; run < runsEach * servers.size; run++) {
    const index = Math.floor(random() * servers.size);
    const now = run * 1000 / servers.size;
    // Runs that end in the same 4 s share the slow moments of their server's machine.
    const slowShare = 0.4 * createRandom(
      seed + 1000 * index + Math.floor(now / 4000),
    )();
    const load = 1.25 + 0.25 * Math.sin(now / 3000);
    const unitMs = 47 * load * (1 + 1.5 * slowShare) *
      (0.9 + 0.2 * random()) / speeds[index]!;
    estimator.record(
      servers.get(index)!,
      { unitMs, durationMs: 70 * unitMs, now },
      servers,
    );
    for (const { speed } of servers.values()) {
      largestDeviation = Math.max(largestDeviation, Math.abs(speed - 1));
    }
  }
  return { servers, largestDeviation };
}

const equal = Array.from({ length: 34 }, () => 1);

describe("SpeedEstimator", () => {
  // Guards against placement by noise: equal servers on shared machines differ by chance.
  it.each([1, 2, 3, 4, 5, 6])(
    "keeps 34 equal servers on shared machines at the mean (seed %i)",
    (seed) => {
      const { largestDeviation } = runDay(equal, { seed, runsEach: 300 });
      expect(largestDeviation).toBe(0);
    },
  );

  // At one run a second per server, the second burst of a day comes after some 30 s.
  it.each([1, 2, 3])(
    "recognizes servers at 0.55 among ones at 1.2 within 30 s (seed %i)",
    (seed) => {
      const speeds = equal.map((_, index) => index % 4 === 0 ? 0.55 : 1.2);
      const { servers } = runDay(speeds, { seed, runsEach: 30 });
      const mean = 0.55 ** 0.25 * 1.2 ** 0.75;
      let recognized = 0;
      for (const [index, { speed }] of servers) {
        if (index % 4 !== 0) continue;
        if (Math.abs(speed * mean / 0.55 - 1) < 0.25) recognized++;
      }
      expect(recognized).toBe(9);
    },
  );

  it("follows a server whose speed changes for good within 200 runs", () => {
    const estimator = new SpeedEstimator();
    const servers = new Map(
      [0, 1, 2, 3].map((index) => [index, createServerSpeed()] as const),
    );
    for (let run = 0; run < 300; run++) {
      for (const [index, server] of servers) {
        const isSlow = index === 0 && run < 100;
        const unitMs = isSlow ? 90 : 45;
        const sample = { unitMs, durationMs: 70 * unitMs, now: 3000 * run };
        estimator.record(server, sample, servers);
      }
      if (run === 99) {
        const speeds = [...servers.values()].map(({ speed }) => speed);
        expect(estimator.fastest).toBe(Math.max(...speeds));
        const sum = speeds.reduce((total, speed) => total + speed, 0);
        expect(estimator.meanSpeed).toBeCloseTo(sum / speeds.length);
      }
      if (run === 99) expect(servers.get(0)!.speed).toBeLessThan(0.7);
    }
    expect(servers.get(0)!.speed).toBeGreaterThan(0.85);
  });
});
