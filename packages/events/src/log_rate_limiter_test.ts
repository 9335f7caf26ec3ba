import { describe, expect, it } from "vitest";
import { LogRateLimiter } from "./log_rate_limiter.ts";

describe("LogRateLimiter", () => {
  it("suppresses lines above the limit of a kind and reports their number with the next line", () => {
    let now = 0;
    const limiter = new LogRateLimiter({ linesPerSecond: 2, now: () => now });
    expect([limiter.tryAcquire("a"), limiter.tryAcquire("a")]).toEqual([0, 0]);
    expect([limiter.tryAcquire("a"), limiter.tryAcquire("a")]).toEqual([
      undefined,
      undefined,
    ]);
    expect(limiter.tryAcquire("b")).toBe(0);
    now = 1000;
    expect(limiter.tryAcquire("a")).toBe(2);
    expect(limiter.tryAcquire("a")).toBe(0);
  });
});
