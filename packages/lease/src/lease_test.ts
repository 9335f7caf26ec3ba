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
  it("passes to another VM, with a higher fencing number, only after it was unchanged for its whole duration", async () => {
    const [first, second] = [createLease("vm-1"), createLease("vm-2")];
    await first.renewOrAcquire();
    expect(first.getFence()).toBe(1);
    await second.renewOrAcquire();
    now = 999;
    await second.renewOrAcquire();
    expect(second.getFence()).toBeUndefined();
    now = 1001;
    await second.renewOrAcquire();
    expect(second.getFence()).toBe(2);
    expect(first.getFence()).toBeUndefined();
  });

  // Guards against two holders at a time, as an unchanged value keeps the object's version.
  it("stays with a holder that renews it, however long another VM reads it", async () => {
    const [first, second] = [createLease("vm-1"), createLease("vm-2")];
    await first.renewOrAcquire();
    for (now = 0; now < 5000; now += 300) {
      await second.renewOrAcquire();
      await first.renewOrAcquire();
      expect(second.getFence()).toBeUndefined();
      expect(first.getFence()).toBe(1);
    }
  });

  it("is no longer held by a holder that was paused until another VM acquired it", async () => {
    const [first, second] = [createLease("vm-1"), createLease("vm-2")];
    await first.renewOrAcquire();
    await second.renewOrAcquire();
    now = 1500;
    await second.renewOrAcquire();
    await first.renewOrAcquire();
    expect(first.getFence()).toBeUndefined();
    expect(second.getFence()).toBe(2);
  });

  it("stays held after a renewal whose reply was lost", async () => {
    const lease = createLease("vm-1");
    await lease.renewOrAcquire();
    platform.faults.loseReplies = 1;
    now = 700;
    await lease.renewOrAcquire();
    expect(lease.getFence()).toBe(1);
    now = 1400;
    expect(lease.getFence()).toBe(1);
  });

  it("expires while the store is down for longer than the holder relies on it", async () => {
    const lease = createLease("vm-1");
    await lease.renewOrAcquire();
    platform.faults.down = true;
    now = 790;
    await lease.renewOrAcquire();
    expect(lease.getFence(50)).toBeUndefined();
    expect(lease.getFence()).toBe(1);
    now = 801;
    expect(lease.getFence()).toBeUndefined();
  });

  it("can be acquired at once after its holder released it", async () => {
    const [first, second] = [createLease("vm-1"), createLease("vm-2")];
    await first.renewOrAcquire();
    await first.release();
    await second.renewOrAcquire();
    expect(second.getFence()).toBe(2);
  });
});
