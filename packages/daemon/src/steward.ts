/**
 * The steward of a cell: watches the records and polls the VM list, relays both to the
 * other VMs, and sends orders to engines while it holds the lease.
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
import type { EngineReconciler } from "./engine_reconciler.ts";
import type { PoolBalancer } from "./pool_balancer.ts";
import {
  getHighestVersion,
  type RecordReplica,
  RECORDS_PREFIX,
} from "./record_replica.ts";
import type { RecordSync } from "./record_sync.ts";

/** Options of a {@link Steward}. */
export interface StewardOptions {
  readonly log: EventLog;
  readonly store: ObjectStore;
  readonly vmList: VmListClient;
  readonly mesh: PeerMesh;
  readonly replica: RecordReplica;
  readonly sync: RecordSync;
  readonly lease: Lease;
  readonly reconciler: EngineReconciler;
  readonly balancer: PoolBalancer;
  readonly leaseMs: number;
  readonly watchWaitMs: number;
  readonly vmListPollMs: number;
  /** Whether membership assigns the steward role to this VM. */
  readonly isOwner: () => boolean;
  /** Called with each VM list that was read or relayed. */
  readonly onVmList: (vms: readonly VmListEntry[]) => void;
}

/** How often a VM without the role checks whether it has got it. */
const ROLE_CHECK_INTERVAL_MS = 500;
const MAX_WATCH_BACKOFF_MS = 3000;
const INITIAL_WATCH_BACKOFF_MS = 100;
/** A VM polls the VM list itself after this long without a relay that matches its own list. */
const RELAY_TIMEOUT_MS = 5000;
/** An unchanged VM list is relayed again, by its fingerprint only, after this. */
const RELAY_INTERVAL_MS = 3000;
const RECONCILE_INTERVAL_MS = 500;
const BALANCE_INTERVAL_MS = 1000;

/** Runs the steward's tasks while this VM has the role. */
export class Steward {
  readonly #options: StewardOptions;
  /** When this VM's list was last read here as steward, or matched a relay. */
  #vmListConfirmedAt = -Infinity;
  #vmListSentAt = -Infinity;
  /** Fingerprint of the VM list that this VM uses. */
  #vmListFingerprint = "";
  #wasHolder = false;

  constructor(options: StewardOptions) {
    this.#options = options;
  }

  /** Runs all tasks until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#runLease(signal),
      this.#watchRecords(signal),
      this.#pollVmList(signal),
      this.#runReconciler(signal),
      this.#runBalancer(signal),
    ]);
  }

  /**
   * Handles a relay from the steward: the VM list, or only its fingerprint when the list
   * has not changed. A fingerprint that differs from this VM's list doesn't count as a
   * relay, so that the VM polls the platform's list itself.
   */
  onVmList(vms: readonly VmListEntry[] | string): void {
    const fingerprint = typeof vms === "string" ? vms : getFingerprint(vms);
    if (typeof vms !== "string") {
      this.#options.onVmList(vms);
      this.#vmListFingerprint = fingerprint;
    }
    if (fingerprint === this.#vmListFingerprint) {
      this.#vmListConfirmedAt = monotonicNow();
    }
  }

  async #runLease(signal: AbortSignal): Promise<void> {
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
      await sleep(isOwner() ? leaseMs / 4 : ROLE_CHECK_INTERVAL_MS, signal);
    }
    await lease.release();
  }

  /** Watches the records in the object API and relays every change to the peers. */
  async #watchRecords(signal: AbortSignal): Promise<void> {
    const { store, sync, watchWaitMs, isOwner, log, replica } = this.#options;
    let backoffMs = INITIAL_WATCH_BACKOFF_MS;
    let since = -1;
    let wasStoreDown = false;
    while (!signal.aborted) {
      if (!isOwner() || !replica.isLoaded) {
        since = -1;
        await sleep(ROLE_CHECK_INTERVAL_MS, signal);
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
        backoffMs = INITIAL_WATCH_BACKOFF_MS;
        if (wasStoreDown) log.emit("storeRecovered");
        wasStoreDown = false;
      } catch (err) {
        if (signal.aborted) return;
        // Changes may have been missed; the next attempt lists all records again.
        since = -1;
        if (
          !wasStoreDown &&
          !(err instanceof StoreError && err.detail.tag === "history_gone")
        ) {
          log.emit("storeUnavailable", { reason: String(err) });
          wasStoreDown = true;
        }
        await sleep(backoffMs * (0.5 + Math.random()), signal);
        backoffMs = Math.min(MAX_WATCH_BACKOFF_MS, backoffMs * 2);
      }
    }
  }

  async #pollVmList(signal: AbortSignal): Promise<void> {
    const { vmList, vmListPollMs, isOwner } = this.#options;
    while (!signal.aborted) {
      const isRelaySilent =
        monotonicNow() - this.#vmListConfirmedAt > RELAY_TIMEOUT_MS;
      if (isOwner() || isRelaySilent) {
        const vms = await vmList.read();
        if (vms !== undefined) this.#onVmListRead(vms);
      }
      await sleep(vmListPollMs * (0.9 + 0.2 * Math.random()), signal);
    }
  }

  #onVmListRead(vms: readonly VmListEntry[]): void {
    const { mesh, isOwner, onVmList } = this.#options;
    onVmList(vms);
    const fingerprint = getFingerprint(vms);
    const hasChanged = fingerprint !== this.#vmListFingerprint;
    this.#vmListFingerprint = fingerprint;
    if (!isOwner()) return;
    this.#vmListConfirmedAt = monotonicNow();
    const isRelayDue = monotonicNow() - this.#vmListSentAt > RELAY_INTERVAL_MS;
    if (!hasChanged && !isRelayDue) return;
    this.#vmListSentAt = monotonicNow();
    mesh.broadcast("vms.push", [hasChanged ? vms : fingerprint]);
  }

  async #runReconciler(signal: AbortSignal): Promise<void> {
    const { lease, reconciler } = this.#options;
    while (!signal.aborted) {
      if (lease.getFence() !== undefined) await reconciler.reconcile();
      await sleep(RECONCILE_INTERVAL_MS, signal);
    }
  }

  async #runBalancer(signal: AbortSignal): Promise<void> {
    const { lease, balancer } = this.#options;
    while (!signal.aborted) {
      if (lease.getFence() !== undefined) await balancer.balance();
      await sleep(BALANCE_INTERVAL_MS, signal);
    }
  }
}

function getFingerprint(vms: readonly VmListEntry[]): string {
  const hash = crypto.createHash("sha256").update(JSON.stringify(vms));
  return hash.digest("base64url").slice(0, 12);
}
