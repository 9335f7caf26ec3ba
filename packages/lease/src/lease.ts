/**
 * A lease in the object API with a fencing number that grows with each holder. Nobody's
 * wall clock matters: a candidate waits until the lease object has stood still for the
 * whole lease on its own clock, and a holder counts from before its renewal was sent.
 * @module
 */
import { type ObjectApi, StoreError } from "@bitternfall/platform";
import { type Clock, monotonicNow } from "@bitternfall/types";
import * as zod from "zod";

const leaseSchema = zod.object({
  vm: zod.string(),
  incarnation: zod.number(),
  fence: zod.int(),
});
type LeaseValue = zod.infer<typeof leaseSchema>;

/** Options of a {@link Lease}. */
export interface LeaseOptions {
  readonly store: ObjectApi;
  readonly key: string;
  readonly vm: string;
  readonly incarnation: number;
  readonly leaseMs: number;
  readonly now?: Clock;
}

/** Share of the lease that its holder counts on, the rest being margin. */
const HELD_SHARE = 0.8;

/** One VM's view of a lease. */
export class Lease {
  readonly #options: LeaseOptions;
  readonly #now: Clock;
  #validUntil = -Infinity;
  #fence = 0;
  #version = 0;
  #heldSince = 0;
  #observed: { version: number; at: number } | undefined;

  constructor(options: LeaseOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** The fencing number, while the lease is held for at least `marginMs` more. */
  getFence(marginMs = 0): number | undefined {
    return this.#now() + marginMs < this.#validUntil ? this.#fence : undefined;
  }

  /** When the lease was acquired, on this VM's clock. */
  get heldSince(): number {
    return this.#heldSince;
  }

  /** Renews the lease, or acquires it when it is free. Throws nothing. */
  async tryHold(): Promise<void> {
    const startedAt = this.#now();
    try {
      if (this.#version > 0) await this.#renew(startedAt);
      else await this.#acquire(startedAt);
    } catch (err) {
      if (err instanceof StoreError && err.detail.tag === "conflict") {
        this.#version = 0;
      } else if (
        err instanceof StoreError && err.detail.tag === "unknown_fate"
      ) await this.#readBack(startedAt);
    }
  }

  /** A server has seen a higher number: the lease is lost without a write. */
  stepDown(): void {
    this.#validUntil = -Infinity;
    this.#version = 0;
    this.#observed = undefined;
  }

  /** Gives the lease up, so that the next holder need not wait. */
  async release(): Promise<void> {
    const version = this.#version;
    this.#validUntil = -Infinity;
    this.#version = 0;
    if (version === 0) return;
    const value: LeaseValue = { vm: "", incarnation: 0, fence: this.#fence };
    await this.#options.store.put(this.#options.key, {
      value,
      when: { version },
    }).catch(() => {});
  }

  async #renew(startedAt: number): Promise<void> {
    const { store, key } = this.#options;
    const version = await store.put(key, {
      value: this.#getValue(this.#fence),
      when: { version: this.#version },
    });
    this.#hold({ version, fence: this.#fence, startedAt });
  }

  async #acquire(startedAt: number): Promise<void> {
    const { store, key, leaseMs } = this.#options;
    const object = await store.get(key);
    if (object === undefined) {
      const version = await store.put(key, {
        value: this.#getValue(1),
        when: { absent: true },
      });
      return this.#hold({ version, fence: 1, startedAt });
    }
    const current = leaseSchema.parse(object.value);
    if (this.#observed?.version !== object.version) {
      this.#observed = { version: object.version, at: this.#now() };
    }
    const isFree = current.vm === "" ||
      this.#now() - this.#observed.at >= leaseMs;
    if (!isFree) return;
    const fence = current.fence + 1;
    const version = await store.put(key, {
      value: this.#getValue(fence),
      when: { version: object.version },
    });
    this.#hold({ version, fence, startedAt });
  }

  /** A write had no reply: whether it took effect is read from the object. */
  async #readBack(startedAt: number): Promise<void> {
    const { store, key, vm, incarnation } = this.#options;
    try {
      const object = await store.get(key);
      const current = leaseSchema.parse(object?.value);
      if (
        object === undefined || current.vm !== vm ||
        current.incarnation !== incarnation
      ) this.#version = 0;
      else {this.#hold({
          version: object.version,
          fence: current.fence,
          startedAt,
        });}
    } catch {
      // The lease runs out by itself unless a later renewal succeeds.
    }
  }

  #hold(held: { version: number; fence: number; startedAt: number }): void {
    if (this.getFence() === undefined || this.#fence !== held.fence) {
      this.#heldSince = this.#now();
    }
    this.#version = held.version;
    this.#fence = held.fence;
    this.#validUntil = held.startedAt + HELD_SHARE * this.#options.leaseMs;
  }

  #getValue(fence: number): LeaseValue {
    const { vm, incarnation } = this.#options;
    return { vm, incarnation, fence };
  }
}
