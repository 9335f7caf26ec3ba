/**
 * A lease in the object API whose fencing number increases with each holder. It doesn't
 * depend on synchronised wall clocks: a candidate waits until the lease object has been
 * unchanged for the whole lease duration on its own monotonic clock, and a holder counts
 * the duration from before it sent the renewal. Each renewal stores another value, since an
 * object API may keep the version of an object whose value is written again unchanged.
 * @module
 */
import { type ObjectApi, StoreError } from "@bitternfall/platform";
import { type Clock, monotonicNow } from "@bitternfall/types";
import * as zod from "zod";

const leaseSchema = zod.object({
  vm: zod.string(),
  incarnation: zod.number(),
  fence: zod.int(),
  /** Increases with each write of a holder; earlier builds do not write it. */
  renewal: zod.int().default(0),
});
type LeaseValue = zod.infer<typeof leaseSchema>;

/** Options of a {@link Lease}. */
export interface LeaseOptions {
  readonly store: ObjectApi;
  /** Key of the lease object. */
  readonly key: string;
  /** The VM that competes for the lease. */
  readonly vm: string;
  readonly incarnation: number;
  readonly leaseMs: number;
  readonly now?: Clock;
}

/** Fraction of the lease duration that a holder relies on; the rest is a safety margin. */
const RELIED_ON_FRACTION = 0.8;

/** One VM's view of a lease: acquires, renews and releases it. */
export class Lease {
  readonly #options: LeaseOptions;
  readonly #now: Clock;
  #validUntil = -Infinity;
  #fence = 0;
  #version = 0;
  /** Number of this VM's writes as a holder. */
  #renewals = 0;
  #acquiredAt = 0;
  /** Latest version of another holder's lease object, and when this VM first read it. */
  #lastObserved: { version: number; firstReadAt: number } | undefined;

  constructor(options: LeaseOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** The fencing number while the lease is held for at least `marginMs` more, else undefined. */
  getFence(marginMs = 0): number | undefined {
    return this.#now() + marginMs < this.#validUntil ? this.#fence : undefined;
  }

  /** When this VM last acquired the lease, on its own clock. */
  get acquiredAt(): number {
    return this.#acquiredAt;
  }

  /** Renews the lease, or acquires it when it is free. Never throws. */
  async renewOrAcquire(): Promise<void> {
    const startedAt = this.#now();
    try {
      if (this.#version > 0) await this.#renew(startedAt);
      else await this.#acquire(startedAt);
    } catch (err) {
      if (err instanceof StoreError && err.detail.tag === "conflict") {
        this.#version = 0;
      } else if (
        err instanceof StoreError && err.detail.tag === "unknown_fate"
      ) await this.#resolveUnknownWrite(startedAt);
    }
  }

  /** Stops holding the lease without a write, as after a server saw a higher fencing number. */
  stepDown(): void {
    this.#validUntil = -Infinity;
    this.#version = 0;
    this.#lastObserved = undefined;
  }

  /** Releases the lease, so that the next holder need not wait until it expires. */
  async release(): Promise<void> {
    const version = this.#version;
    this.#validUntil = -Infinity;
    this.#version = 0;
    if (version === 0) return;
    const value: LeaseValue = {
      vm: "",
      incarnation: 0,
      fence: this.#fence,
      renewal: 0,
    };
    await this.#options.store.put(this.#options.key, {
      value,
      when: { version },
    }).catch(() => {});
  }

  async #renew(startedAt: number): Promise<void> {
    const { store, key } = this.#options;
    const version = await store.put(key, {
      value: this.#createValue(this.#fence),
      when: { version: this.#version },
    });
    this.#confirmHeld({ version, fence: this.#fence, startedAt });
  }

  async #acquire(startedAt: number): Promise<void> {
    const { store, key, leaseMs } = this.#options;
    const object = await store.get(key);
    if (object === undefined) {
      const version = await store.put(key, {
        value: this.#createValue(1),
        when: { absent: true },
      });
      return this.#confirmHeld({ version, fence: 1, startedAt });
    }
    const current = leaseSchema.parse(object.value);
    if (this.#lastObserved?.version !== object.version) {
      this.#lastObserved = {
        version: object.version,
        firstReadAt: this.#now(),
      };
    }
    const isAvailable = current.vm === "" ||
      this.#now() - this.#lastObserved.firstReadAt >= leaseMs;
    if (!isAvailable) return;
    const fence = current.fence + 1;
    const version = await store.put(key, {
      value: this.#createValue(fence),
      when: { version: object.version },
    });
    this.#confirmHeld({ version, fence, startedAt });
  }

  /** Reads the object to find out whether a write that got no reply took effect. */
  async #resolveUnknownWrite(startedAt: number): Promise<void> {
    const { store, key, vm, incarnation } = this.#options;
    try {
      const object = await store.get(key);
      const current = leaseSchema.parse(object?.value);
      if (
        object === undefined || current.vm !== vm ||
        current.incarnation !== incarnation
      ) this.#version = 0;
      else {this.#confirmHeld({
          version: object.version,
          fence: current.fence,
          startedAt,
        });}
    } catch {
      // The lease expires unless a later renewal succeeds.
    }
  }

  #confirmHeld(
    written: { version: number; fence: number; startedAt: number },
  ): void {
    if (this.getFence() === undefined || this.#fence !== written.fence) {
      this.#acquiredAt = this.#now();
    }
    this.#version = written.version;
    this.#fence = written.fence;
    this.#validUntil = written.startedAt +
      RELIED_ON_FRACTION * this.#options.leaseMs;
  }

  #createValue(fence: number): LeaseValue {
    const { vm, incarnation } = this.#options;
    return { vm, incarnation, fence, renewal: ++this.#renewals };
  }
}
