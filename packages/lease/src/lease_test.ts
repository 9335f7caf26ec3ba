import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ObjectStore } from "@bitternfall/platform";
import { PlatformStandIn } from "@bitternfall/stand-ins";
import { Lease } from "./lease.ts";

let platform: PlatformStandIn;
let store: ObjectStore;
let now: number;

beforeEach(async () => {
  now = 0;
  platform = new PlatformStandIn({ random: () => 0.5 });
  await platform.listen();
  store = new ObjectStore({ address: platform.address, timeoutMs: 300 });
});
afterEach(async () => {
  await store.close();
  await platform.close();
});

function createLease(vm: string): Lease {
  return new Lease({
    store,
    key: "lease",
    vm,
    incarnation: 1,
    leaseMs: 1000,
    now: () => now,
  });
}

describe("Lease", () => {
  it("goes to another VM only after it stood still for its whole time, with a higher number", async () => {
    const [first, second] = [createLease("vm-1"), createLease("vm-2")];
    await first.tryHold();
    expect(first.getFence()).toBe(1);
    await second.tryHold();
    now = 999;
    await second.tryHold();
    expect(second.getFence()).toBeUndefined();
    now = 1001;
    await second.tryHold();
    expect(second.getFence()).toBe(2);
    expect(first.getFence()).toBeUndefined();
  });

  it("tells a holder that was paused that it no longer holds it", async () => {
    const [first, second] = [createLease("vm-1"), createLease("vm-2")];
    await first.tryHold();
    await second.tryHold();
    now = 1500;
    await second.tryHold();
    await first.tryHold();
    expect(first.getFence()).toBeUndefined();
    expect(second.getFence()).toBe(2);
  });

  it("counts a renewal whose reply was lost", async () => {
    const lease = createLease("vm-1");
    await lease.tryHold();
    platform.faults.loseReplies = 1;
    now = 700;
    await lease.tryHold();
    expect(lease.getFence()).toBe(1);
    now = 1400;
    expect(lease.getFence()).toBe(1);
  });

  it("does not hold while the store is down for longer than the lease", async () => {
    const lease = createLease("vm-1");
    await lease.tryHold();
    platform.faults.down = true;
    now = 790;
    await lease.tryHold();
    expect(lease.getFence(50)).toBeUndefined();
    expect(lease.getFence()).toBe(1);
    now = 801;
    expect(lease.getFence()).toBeUndefined();
  });

  it("is free at once when its holder gave it up", async () => {
    const [first, second] = [createLease("vm-1"), createLease("vm-2")];
    await first.tryHold();
    await first.release();
    await second.tryHold();
    expect(second.getFence()).toBe(2);
  });
});
