import { describe, expect, it } from "vitest";
import {
  createHealth,
  recordFailure,
  recordSuccess,
  ServerFailure,
} from "./server_health.ts";

const down = (now: number) => ({ kind: ServerFailure.Down, now });

describe("a server that is down", () => {
  it("is ejected for twice as long each time, up to 8 s, and once for concurrent failures", () => {
    const server = createHealth();
    recordFailure(server, down(0));
    recordFailure(server, down(10));
    expect(server.avoidUntil).toBe(1000);
    recordFailure(server, down(1000));
    expect(server.avoidUntil).toBe(3000);
    recordFailure(server, down(3000));
    expect(server.avoidUntil).toBe(7000);
    recordFailure(server, down(7000));
    recordFailure(server, down(15_000));
    expect(server.avoidUntil).toBe(23_000);
  });

  it("is ejected for the shortest time again after a success", () => {
    const server = createHealth();
    recordFailure(server, down(0));
    recordSuccess(server);
    recordFailure(server, down(1000));
    expect(server.avoidUntil).toBe(2000);
  });
});

describe("a server that loses some responses", () => {
  it("is not ejected, but its share of failed requests is tracked", () => {
    const server = createHealth();
    for (let turn = 0; turn < 100; turn++) {
      if (turn % 5 < 2) {
        recordFailure(server, { kind: ServerFailure.Fault, now: turn });
      } else recordSuccess(server);
    }
    expect(server.avoidUntil).toBe(0);
    expect(server.failureShare).toBeGreaterThan(0.25);
    expect(server.failureShare).toBeLessThan(0.55);
  });
});

describe("a server that refuses requests", () => {
  const refusal = (now: number, isIdle: boolean) => ({
    kind: ServerFailure.Refused,
    now,
    isIdle,
  });

  it("is ejected for 300 ms each time while it is full, and for up to 4.8 s while it is idle", () => {
    const server = createHealth();
    recordFailure(server, refusal(0, false));
    recordFailure(server, refusal(300, false));
    expect(server.avoidUntil).toBe(600);
    const ejections: number[] = [];
    for (let now = 600; ejections.length < 6; now = server.avoidUntil) {
      recordFailure(server, refusal(now, true));
      recordFailure(server, refusal(now, true));
      ejections.push(server.avoidUntil - now);
    }
    expect(ejections).toEqual([300, 600, 1200, 2400, 4800, 4800]);
    recordSuccess(server);
    recordFailure(server, refusal(20_000, true));
    expect(server.avoidUntil).toBe(20_300);
  });
});
