import { describe, expect, it } from "vitest";
import {
  PolicyName,
  type ServiceConfig,
  type TokenBatch,
} from "@bitternfall/dispatch";
import { EventLog } from "@bitternfall/events";
import type { Membership } from "@bitternfall/membership";
import type { PeerMesh } from "@bitternfall/peer";
import { monotonicNow } from "@bitternfall/types";
import { createDispatchHandlers } from "./dispatch_handlers.ts";
import { DispatchHost } from "./dispatch_host.ts";
import { RunningCalls } from "./running_calls.ts";

const CONFIG: ServiceConfig = {
  servers: [],
  firstOutputMs: 500,
  betweenOutputsMs: 100,
  decodeSlots: 1,
  perWorkspaceInFlight: Infinity,
  hasRetryBudget: true,
  weights: { goodput: 0, wastedPrefill: 1 },
};
const SERVICES = new Map([
  ["lm", { name: "lm", config: CONFIG, configId: 1 }],
]);

describe("DispatchHost", () => {
  it("receives retry tokens from other VMs and hands the rest over with the role", async () => {
    let isOwner = true;
    const handedOver: TokenBatch[] = [];
    const calls = new RunningCalls();
    const host = new DispatchHost({
      vmId: "vm-1",
      policy: PolicyName.Joint,
      log: new EventLog({ level: "fatal" }),
      mesh: {} as PeerMesh,
      calls,
      pickSpilloverVm: () => undefined,
      isOwner: () => isOwner,
      isLeaving: () => false,
      cancelGrant: () => {},
      onRoleTaken: () => {},
      onRoleHandedOver: (_service, batches) => handedOver.push(...batches),
    });
    const handlers = createDispatchHandlers({
      membership: {} as Membership,
      host,
      calls,
    });
    host.sync(SERVICES);
    const clock = await handlers["dispatch.tokenClock"](["lm"]);
    const [poolId, now] = clock!;
    const batches: [number, number][] = [[1.5, now + 5000], [1, now - 1]];
    handlers["dispatch.tokens"](["lm", poolId + 1, batches]);
    expect(host.find("lm")?.retryTokens).toBe(0);
    handlers["dispatch.tokens"](["lm", poolId, batches]);
    expect(host.find("lm")?.retryTokens).toBeCloseTo(1.5);
    isOwner = false;
    host.sync(SERVICES);
    expect(handedOver.map(({ count }) => count)).toEqual([1.5]);
    // Tokens never live longer for being passed on.
    expect(handedOver[0]!.expiresAt).toBeLessThanOrEqual(
      monotonicNow() + 5000,
    );
    expect(await handlers["dispatch.tokenClock"](["lm"])).toBeNull();
    handlers["dispatch.tokens"](["lm", poolId, [[1, now + 5000]]]);
    expect(host.find("lm")).toBeUndefined();
  });
});
