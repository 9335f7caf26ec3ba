import { afterEach, beforeEach, describe, expect, it } from "vitest";
import * as fc from "fast-check";
import {
  type ObjectApi,
  ObjectStore,
  type Precondition,
  type StoredObject,
  StoreError,
} from "@bitternfall/platform";
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

function createLease(vm: string, api: ObjectApi = store): Lease {
  return new Lease({
    store: api,
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

/** What becomes of a write. */
enum Fate {
  Acknowledged,
  /** Carried out without a reply. */
  ReplyLost,
  /** Carried out without a reply, seconds after the call. */
  Late,
  /** Not carried out, without a reply. */
  Lost,
  /** Not carried out, as the reply says. */
  Refused,
}

interface PutCall {
  readonly value: unknown;
  readonly when: Precondition;
}

/** One object in memory; the next writes have the fates of `fates`. */
class FatedObject {
  readonly fates: Fate[] = [];
  #stored: StoredObject | undefined;
  #late: { at: number; call: PutCall }[] = [];
  #revision = 0;

  get api(): ObjectApi {
    const api: Partial<ObjectApi> = {
      get: () => {
        this.#carryOutLate();
        return Promise.resolve(this.#stored);
      },
      put: (_key, call) => {
        this.#carryOutLate();
        return this.#put(call);
      },
    };
    return api as ObjectApi;
  }

  #put(call: PutCall): Promise<number> {
    const fate = this.fates.shift() ?? Fate.Acknowledged;
    if (fate === Fate.Refused) return fail("unavailable");
    if (fate === Fate.Late) this.#late.push({ at: now + 2000, call });
    if (fate === Fate.Late || fate === Fate.Lost) return fail("unknown_fate");
    const version = this.#write(call);
    if (fate === Fate.ReplyLost) return fail("unknown_fate");
    return version === undefined ? fail("conflict") : Promise.resolve(version);
  }

  #carryOutLate(): void {
    const due = this.#late.filter(({ at }) => at <= now);
    this.#late = this.#late.filter(({ at }) => at > now);
    for (const { call } of due) this.#write(call);
  }

  #write({ value, when }: PutCall): number | undefined {
    const expected = "version" in when ? when.version : undefined;
    if (expected !== this.#stored?.version) return undefined;
    this.#stored = { key: "lease", version: ++this.#revision, value };
    return this.#revision;
  }
}

function fail(tag: "unavailable" | "unknown_fate" | "conflict") {
  const fault = tag === "conflict" ? { tag, version: 1 } : { tag };
  return Promise.reject(new StoreError(fault, tag));
}

describe("Lease whose writes are lost or late", () => {
  // Guards against a holder that counts on a renewal which never took effect.
  it("expires while its renewals are lost", async () => {
    const object = new FatedObject();
    const [first, second] = [
      createLease("vm-1", object.api),
      createLease("vm-2", object.api),
    ];
    await first.renewOrAcquire();
    await second.renewOrAcquire();
    object.fates.push(Fate.Lost);
    now = 600;
    await first.renewOrAcquire();
    now = 1000;
    await second.renewOrAcquire();
    expect(second.getFence()).toBe(2);
    expect(first.getFence()).toBeUndefined();
  });

  // Guards against a holder that loses its lease to its own write.
  it("stays with its holder after a renewal that took effect late", async () => {
    const object = new FatedObject();
    const lease = createLease("vm-1", object.api);
    await lease.renewOrAcquire();
    object.fates.push(Fate.Late);
    await lease.renewOrAcquire();
    now = 2000;
    await lease.renewOrAcquire();
    await lease.renewOrAcquire();
    expect(lease.getFence()).toBe(1);
  });

  // Guards against a holder that goes on after the object API has told it of another one.
  it("is given up at once when a renewal finds another holder", async () => {
    const object = new FatedObject();
    const first = createLease("vm-1", object.api);
    await first.renewOrAcquire();
    const other = { vm: "vm-2", incarnation: 1, fence: 2, renewal: 1 };
    await object.api.put("lease", { value: other, when: { version: 1 } });
    now = 100;
    await first.renewOrAcquire();
    expect(first.getFence()).toBeUndefined();
  });

  // Guards against a reply that arrives after this VM was suspended for longer than the lease.
  it("is not held again by the reply to a renewal from before it stepped down", async () => {
    const object = new FatedObject();
    const lease = createLease("vm-1", object.api);
    await lease.renewOrAcquire();
    const renewal = lease.renewOrAcquire();
    lease.stepDown();
    await renewal;
    expect(lease.getFence()).toBeUndefined();
  });

  // Guards against two holders at a time, or two with one fencing number.
  it("has one holder at a time, with a fencing number of its own", async () => {
    const step = fc.record({
      vm: fc.integer({ min: 0, max: 2 }),
      ms: fc.integer({ min: 0, max: 700 }),
      fate: fc.constantFrom(
        Fate.Acknowledged,
        Fate.Acknowledged,
        Fate.Acknowledged,
        Fate.ReplyLost,
        Fate.Late,
        Fate.Lost,
        Fate.Refused,
      ),
    });
    const runs = fc.asyncProperty(
      fc.array(step, { minLength: 20, maxLength: 80 }),
      async (steps) => {
        now = 0;
        const object = new FatedObject();
        const leases = ["vm-1", "vm-2", "vm-3"].map((vm) =>
          createLease(vm, object.api)
        );
        const holderByFence = new Map<number, Lease>();
        for (const { vm, ms, fate } of steps) {
          now += ms;
          object.fates.splice(0, 1, fate);
          await leases[vm]!.renewOrAcquire();
          const holders = leases.filter((lease) =>
            lease.getFence() !== undefined
          );
          expect(holders.length).toBeLessThanOrEqual(1);
          for (const holder of holders) {
            const fence = holder.getFence()!;
            expect(holderByFence.get(fence) ?? holder).toBe(holder);
            expect(fence).toBe(Math.max(fence, ...holderByFence.keys()));
            holderByFence.set(fence, holder);
          }
        }
      },
    );
    await fc.assert(runs, { seed: 46, numRuns: 300 });
  });
});
