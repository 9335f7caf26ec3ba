/**
 * The steward of a cell: watches the records, reads the VM list, relays both to the
 * other VMs, and gives orders to engines while it holds the lease.
 * @module
 */
import * as crypto from "node:crypto";
import type { EventLog } from "@bitternfall/events";
import {
  type ObjectStore,
  StoreError,
  type VmListClient,
} from "@bitternfall/platform";
import type { PeerMesh } from "@bitternfall/peer";
import { monotonicNow, sleep, type VmListEntry } from "@bitternfall/types";
import type { Lease } from "@bitternfall/lease";
import type { OrderKeeper } from "./order_keeper.ts";
import type { PoolBalancer } from "./pool_balancer.ts";
import {
  getHighestVersion,
  type RecordKeeper,
  RECORDS_PREFIX,
} from "./record_keeper.ts";
import type { RecordSync } from "./record_sync.ts";

/** Options of a {@link Steward}. */
export interface StewardOptions {
  readonly log: EventLog;
  readonly store: ObjectStore;
  readonly vmList: VmListClient;
  readonly mesh: PeerMesh;
  readonly keeper: RecordKeeper;
  readonly sync: RecordSync;
  readonly lease: Lease;
  readonly orders: OrderKeeper;
  readonly balancer: PoolBalancer;
  readonly leaseMs: number;
  readonly watchWaitMs: number;
  readonly vmListPollMs: number;
  /** Whether this VM has the steward's role. */
  readonly isOwner: () => boolean;
  readonly onVms: (vms: readonly VmListEntry[]) => void;
}

const IDLE_MS = 500;
const LONGEST_PAUSE_MS = 3000;
const FIRST_PAUSE_MS = 100;
/** VMs that were told nothing for this long read the VM list themselves. */
const RELAY_SILENCE_MS = 5000;
const RELAY_EVERY_MS = 3000;
const ORDER_MS = 500;
const BALANCE_MS = 1000;

/** Runs the steward's tasks where this VM has the role. */
export class Steward {
  readonly #options: StewardOptions;
  #vmsHeardAt = -Infinity;
  #vmsSentAt = -Infinity;
  /** Fingerprint of the VM list that this VM has. */
  #vmsMark = "";
  #wasHolder = false;

  constructor(options: StewardOptions) {
    this.#options = options;
  }

  /** Runs until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#holdLease(signal),
      this.#watch(signal),
      this.#readVms(signal),
      this.#order(signal),
      this.#balance(signal),
    ]);
  }

  /**
   * The steward relayed the VM list, or only its fingerprint when it has not changed.
   * A VM whose own list differs goes on to read the platform's.
   */
  onVms(vms: readonly VmListEntry[] | string): void {
    const mark = typeof vms === "string" ? vms : getFingerprint(vms);
    if (typeof vms !== "string") {
      this.#options.onVms(vms);
      this.#vmsMark = mark;
    }
    if (mark === this.#vmsMark) this.#vmsHeardAt = monotonicNow();
  }

  async #holdLease(signal: AbortSignal): Promise<void> {
    const { lease, isOwner, leaseMs, log } = this.#options;
    while (!signal.aborted) {
      if (isOwner()) await lease.renewOrAcquire();
      else if (lease.getFence() !== undefined) await lease.release();
      const fence = lease.getFence();
      const isHolder = fence !== undefined;
      if (isHolder !== this.#wasHolder) {
        log.emit(isHolder ? "stewardElected" : "stewardLost", { fence });
      }
      this.#wasHolder = isHolder;
      await sleep(isOwner() ? leaseMs / 4 : IDLE_MS, signal);
    }
    await lease.release();
  }

  /** Watches the records and relays every change. */
  async #watch(signal: AbortSignal): Promise<void> {
    const { store, sync, watchWaitMs, isOwner, log, keeper } = this.#options;
    let pauseMs = FIRST_PAUSE_MS;
    let since = -1;
    let wasDown = false;
    while (!signal.aborted) {
      if (!isOwner() || !keeper.isLoaded) {
        since = -1;
        await sleep(IDLE_MS, signal);
        continue;
      }
      try {
        const list = since < 0
          ? await store.list(RECORDS_PREFIX)
          : await store.watch(RECORDS_PREFIX, {
            since,
            waitMs: watchWaitMs,
            signal,
          });
        sync.publish(list.objects);
        since = Math.max(list.revision, getHighestVersion(list.objects));
        pauseMs = FIRST_PAUSE_MS;
        if (wasDown) log.emit("storeRecovered");
        wasDown = false;
      } catch (err) {
        if (signal.aborted) return;
        // Whatever went wrong, a fresh list leaves no gap.
        since = -1;
        if (
          !wasDown &&
          !(err instanceof StoreError && err.detail.tag === "history_gone")
        ) {
          log.emit("storeUnavailable", { reason: String(err) });
          wasDown = true;
        }
        await sleep(pauseMs * (0.5 + Math.random()), signal);
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
      }
    }
  }

  async #readVms(signal: AbortSignal): Promise<void> {
    const { vmList, vmListPollMs, isOwner } = this.#options;
    while (!signal.aborted) {
      const silent = monotonicNow() - this.#vmsHeardAt > RELAY_SILENCE_MS;
      if (isOwner() || silent) {
        const vms = await vmList.read();
        if (vms !== undefined) this.#onOwnVms(vms);
      }
      await sleep(vmListPollMs * (0.9 + 0.2 * Math.random()), signal);
    }
  }

  #onOwnVms(vms: readonly VmListEntry[]): void {
    const { mesh, isOwner, onVms } = this.#options;
    onVms(vms);
    const mark = getFingerprint(vms);
    const isNew = mark !== this.#vmsMark;
    this.#vmsMark = mark;
    if (!isOwner()) return;
    this.#vmsHeardAt = monotonicNow();
    const due = monotonicNow() - this.#vmsSentAt > RELAY_EVERY_MS;
    if (!isNew && !due) return;
    this.#vmsSentAt = monotonicNow();
    mesh.broadcast("vms.push", [isNew ? vms : mark]);
  }

  async #order(signal: AbortSignal): Promise<void> {
    const { lease, orders } = this.#options;
    while (!signal.aborted) {
      if (lease.getFence() !== undefined) await orders.reconcile();
      await sleep(ORDER_MS, signal);
    }
  }

  async #balance(signal: AbortSignal): Promise<void> {
    const { lease, balancer } = this.#options;
    while (!signal.aborted) {
      if (lease.getFence() !== undefined) await balancer.balance();
      await sleep(BALANCE_MS, signal);
    }
  }
}

function getFingerprint(vms: readonly VmListEntry[]): string {
  const hash = crypto.createHash("sha256").update(JSON.stringify(vms));
  return hash.digest("base64url").slice(0, 12);
}
