import { describe, expect, it } from "vitest";
import type { TokenBatch } from "@bitternfall/dispatch";
import { EventLog } from "@bitternfall/events";
import type { Membership } from "@bitternfall/membership";
import { monotonicNow, Priority } from "@bitternfall/types";
import { createDispatchHandlers } from "./dispatch_handlers.ts";
import { RunningCalls } from "./running_calls.ts";
import { createTestHost, TEST_SERVICE, TEST_SERVICES } from "./test_host.ts";

describe("DispatchHost", () => {
  it("counts decisions by rank", async () => {
    const log = new EventLog({ level: "fatal" });
    const host = createTestHost({ log });
    for (const rank of [undefined, 1, 1]) {
      await host.acquire(TEST_SERVICE, {
        requestId: "r",
        attempt: 1,
        workspace: "chat",
        rank,
        owner: "vm-1",
        availabilityZone: "a",
        priority: Priority.Normal,
        promptTokens: 1,
        outputTokens: 0,
        maxTokens: 1,
        deadline: 0,
        hashes: [],
        avoid: [],
      });
    }
    const metrics = log.metrics.render();
    expect(metrics).toMatch(/rank="0",outcome="no-servers"\} 1/);
    expect(metrics).toMatch(/rank="1",outcome="no-servers"\} 2/);
  });

  it("receives retry tokens from other VMs and hands the rest over with the role", async () => {
    let isOwner = true;
    const handedOver: TokenBatch[] = [];
    const host = createTestHost({
      isOwner: () => isOwner,
      onRoleHandedOver: (_service, batches) => handedOver.push(...batches),
    });
    const handlers = createDispatchHandlers({
      membership: {} as Membership,
      host,
      calls: new RunningCalls(),
    });
    const clock = await handlers["dispatch.tokenClock"]([TEST_SERVICE]);
    const [poolId, now] = clock!;
    const batches: [number, number][] = [[1.5, now + 5000], [1, now - 1]];
    handlers["dispatch.tokens"]([TEST_SERVICE, poolId + 1, batches]);
    expect(host.find(TEST_SERVICE)?.retryTokens).toBe(0);
    handlers["dispatch.tokens"]([TEST_SERVICE, poolId, batches]);
    expect(host.find(TEST_SERVICE)?.retryTokens).toBeCloseTo(1.5);
    isOwner = false;
    host.sync(TEST_SERVICES);
    expect(handedOver.map(({ count }) => count)).toEqual([1.5]);
    // Tokens never live longer for being passed on.
    expect(handedOver[0]!.expiresAt).toBeLessThanOrEqual(
      monotonicNow() + 5000,
    );
    expect(await handlers["dispatch.tokenClock"]([TEST_SERVICE])).toBeNull();
    const late: [number, number][] = [[1, now + 5000]];
    handlers["dispatch.tokens"]([TEST_SERVICE, poolId, late]);
    expect(host.find(TEST_SERVICE)).toBeUndefined();
  });
});
