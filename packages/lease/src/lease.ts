/**
 * A lease in the object API whose fencing number increases with each holder. It doesn't
 * depend on synchronised wall clocks: a candidate waits until the lease object has been
 * unchanged for the whole lease duration on its own monotonic clock, and a holder counts
 * the duration from before it sent the renewal. Each renewal stores another value, since an
 * object API may keep the version of an object whose value is written again unchanged.
 * @module
 */
import {
  type ObjectApi,
  type Precondition,
  StoreError,
} from "@bitternfall/platform";
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

/** A write that makes this VM the holder, or keeps it so. */
interface HolderWrite {
  readonly fence: number;
  readonly renewal: number;
  /** Before the write was sent, on the clock of this VM. */
  readonly startedAt: number;
  /** Number of times that this VM had stepped down before. */
  readonly stepDowns: number;
}

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
  #stepDowns = 0;
  #acquiredAt = 0;
  #takenOverAt = -Infinity;
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

  /**
   * When this VM acquired the lease after another holder, on its own clock; -Infinity if it
   * was the first holder.
   */
  get takenOverAt(): number {
    return this.#takenOverAt;
  }

  /** Renews the lease, or acquires it when it is free. Never throws. */
  async renewOrAcquire(): Promise<void> {
    try {
      if (this.#version > 0) await this.#renew();
      else await this.#acquire();
    } catch {
      // The lease expires unless a later renewal succeeds.
    }
  }

  /** Stops holding the lease without a write, as after a server saw a higher fencing number. */
  stepDown(): void {
    this.#stepDowns++;
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

  async #renew(): Promise<void> {
    await this.#write({ version: this.#version }, {
      fence: this.#fence,
      startedAt: this.#now(),
    });
  }

  async #acquire(): Promise<void> {
    const { store, key, leaseMs } = this.#options;
    const startedAt = this.#now();
    const object = await store.get(key);
    if (object === undefined) {
      return await this.#write({ absent: true }, { fence: 1, startedAt });
    }
    const { version } = object;
    const current = leaseSchema.parse(object.value);
    if (this.#lastObserved?.version !== version) {
      this.#lastObserved = { version, firstReadAt: this.#now() };
    }
    const isAvailable = current.vm === "" ||
      this.#now() - this.#lastObserved.firstReadAt >= leaseMs;
    if (!isAvailable) return;
    await this.#write({ version }, { fence: current.fence + 1, startedAt });
    if (!this.#isSelf(current)) this.#takenOverAt = this.#now();
  }

  /** Writes this VM as the holder. Throws {@link StoreError}. */
  async #write(
    when: Precondition,
    { fence, startedAt }: Pick<HolderWrite, "fence" | "startedAt">,
  ): Promise<void> {
    const { store, key, vm, incarnation } = this.#options;
    const renewal = ++this.#renewals;
    const stepDowns = this.#stepDowns;
    const write: HolderWrite = { fence, renewal, startedAt, stepDowns };
    const value: LeaseValue = { vm, incarnation, fence, renewal };
    try {
      this.#confirmHeld(await store.put(key, { value, when }), write);
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      const { tag } = err.detail;
      // A lost acquisition needs no further look; the next attempt reads the object.
      if (tag === "conflict" && this.#version > 0) {
        await this.#resolveConflict(write);
      } else if (tag === "unknown_fate") await this.#checkHolder(write);
    }
  }

  /**
   * Holds on to the lease only if it was an earlier write of this VM that changed the
   * object, one that got no reply and took effect late.
   */
  async #resolveConflict(write: HolderWrite): Promise<void> {
    try {
      await this.#checkHolder(write);
    } catch (err) {
      this.stepDown();
      throw err;
    }
  }

  /** Reads who holds the lease after a write whose effect is not known. */
  async #checkHolder(write: HolderWrite): Promise<void> {
    const { store, key } = this.#options;
    const object = await store.get(key);
    const current = leaseSchema.safeParse(object?.value).data;
    if (
      object === undefined || current === undefined || !this.#isSelf(current)
    ) {
      if (this.#version > 0) this.stepDown();
      return;
    }
    if (current.renewal === write.renewal) {
      return this.#confirmHeld(object.version, write);
    }
    // An earlier write of this holder is stored, which says nothing of how long it is valid.
    if (this.#version > 0) this.#version = object.version;
  }

  #isSelf({ vm, incarnation }: LeaseValue): boolean {
    return vm === this.#options.vm && incarnation === this.#options.incarnation;
  }

  #confirmHeld(version: number, write: HolderWrite): void {
    const { fence, startedAt, stepDowns } = write;
    // What made this VM step down meanwhile may have outlasted the lease.
    if (stepDowns !== this.#stepDowns) return;
    if (this.getFence() === undefined || this.#fence !== fence) {
      this.#acquiredAt = this.#now();
    }
    this.#version = version;
    this.#fence = fence;
    this.#validUntil = startedAt + RELIED_ON_FRACTION * this.#options.leaseMs;
  }
}
