/**
 * Member entries in the object API. A VM writes its entry at start and removes it at stop;
 * whether a member is alive is decided by heartbeats.
 * @module
 */
import { once } from "node:events";
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import {
  type ObjectApi,
  type StoredObject,
  StoreError,
} from "@bitternfall/platform";
import { MAX_NAME_LENGTH, sleep, type VmListEntry } from "@bitternfall/types";
import * as zod from "zod";
import type { GatewaySettings } from "./settings.ts";

/** Options of {@link MemberRegistry}. */
export interface MemberRegistryOptions {
  readonly api: ObjectApi;
  readonly prefix: string;
  readonly self: Pick<
    GatewaySettings["vm"],
    "id" | "availabilityZone" | "strength"
  >;
  readonly log: EventLog;
  readonly onChange: (vms: readonly VmListEntry[]) => void;
}

const memberSchema = zod.object({
  address: zod.string().max(MAX_NAME_LENGTH).regex(/^[^:]+:\d+$/),
  availabilityZone: zod.string().max(MAX_NAME_LENGTH),
  strength: zod.number().positive(),
});

const WRITE_RETRY_MS = 500;

/** Registers this VM, and lists all registered VMs. */
export class MemberRegistry {
  readonly #options: MemberRegistryOptions;
  readonly #members = new Map<string, VmListEntry>();
  /** This VM's entry as it was last read or written. */
  #ownEntry: Pick<StoredObject, "version" | "value"> | undefined;
  readonly #listed = new AbortController();
  /** How to write the entry; undefined before this VM has joined and after it has left. */
  #membership: { address: string; signal: AbortSignal } | undefined;
  #isRestoring = false;

  constructor(options: MemberRegistryOptions) {
    this.#options = options;
  }

  /**
   * Writes this VM's entry once the members have been listed, retrying until the write is
   * acknowledged.
   */
  async join(address: string, signal: AbortSignal): Promise<void> {
    const listed = AbortSignal.any([signal, this.#listed.signal]);
    if (!listed.aborted) await once(listed, "abort");
    await this.#writeUntilStored(address, signal);
    this.#membership = { address, signal };
  }

  async #writeUntilStored(address: string, signal: AbortSignal): Promise<void> {
    for (let attempt = 1; !signal.aborted; attempt++) {
      try {
        if (attempt > 1) {
          this.#ownEntry = await this.#options.api.get(this.#key);
        }
        return await this.#write(address);
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        this.#options.log.emit("memberWriteFailed", {
          reason: getMessage(err),
        });
        await sleep(WRITE_RETRY_MS * (0.5 + Math.random()), signal);
      }
    }
  }

  /** Removes this VM's entry. If that fails, peers notice by missing heartbeats. */
  async leave(): Promise<void> {
    const { api, log } = this.#options;
    this.#membership = undefined;
    try {
      const known = this.#ownEntry;
      if (known !== undefined) await api.delete(this.#key, known.version);
    } catch (err) {
      log.emit("memberWriteFailed", { reason: getMessage(err) });
    }
  }

  /** Reduces a member's object to the fields that are read. */
  reduce(object: StoredObject): StoredObject {
    if (object.value === null) return object;
    return {
      ...object,
      value: memberSchema.safeParse(object.value).data ?? {},
    };
  }

  onList(objects: readonly StoredObject[]): void {
    this.#members.clear();
    this.#ownEntry = undefined;
    for (const object of objects) this.#set(object);
    this.#listed.abort();
    this.#restoreEntry();
    this.#options.onChange([...this.#members.values()]);
  }

  onObject(object: StoredObject): void {
    this.#set(object);
    this.#restoreEntry();
    this.#options.onChange([...this.#members.values()]);
  }

  /**
   * Writes the entry again if it is gone, as after a removal that this VM's last process
   * requested and that was carried out late.
   */
  #restoreEntry(): void {
    if (this.#membership === undefined || this.#isRestoring) return;
    if (this.#ownEntry !== undefined) return;
    const { address, signal } = this.#membership;
    this.#isRestoring = true;
    void this.#writeUntilStored(address, signal).finally(() =>
      this.#isRestoring = false
    );
  }

  get #key(): string {
    return this.#options.prefix + this.#options.self.id;
  }

  async #write(address: string): Promise<void> {
    const { api, self } = this.#options;
    const { availabilityZone, strength } = self;
    const value = { address, availabilityZone, strength };
    const known = this.#ownEntry;
    const parsed = memberSchema.safeParse(known?.value);
    if (parsed.success && parsed.data.address === address) return;
    const when = known === undefined
      ? { absent: true } as const
      : { version: known.version };
    const version = await api.put(this.#key, { value, when });
    this.#ownEntry = { version, value };
  }

  #set({ key, version, value }: StoredObject): void {
    const id = key.slice(this.#options.prefix.length);
    if (key === this.#key) {
      const isOld = value === null && version < (this.#ownEntry?.version ?? 0);
      if (isOld) return;
      this.#ownEntry = value === null ? undefined : { version, value };
    }
    if (value === null) return void this.#members.delete(id);
    const parsed = memberSchema.safeParse(value);
    if (!parsed.success) {
      this.#options.log.emit("objectIgnored", { key, reason: "malformed" });
      return;
    }
    this.#members.set(id, {
      id,
      kind: "entry",
      address: parsed.data.address,
      availabilityZone: parsed.data.availabilityZone,
      strength: parsed.data.strength,
      state: "live",
    });
  }
}
