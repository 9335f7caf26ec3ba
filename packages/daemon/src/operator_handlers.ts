/**
 * What operators' calls do: conditional changes of records with their audit entries,
 * and read-back from every VM.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import {
  OperatorError,
  type OperatorHandler,
  type RecordChange,
} from "@bitternfall/operator";
import type { PeerMesh } from "@bitternfall/peer";
import {
  type ObjectStore,
  type Precondition,
  type StoredObject,
  StoreError,
} from "@bitternfall/platform";
import {
  type AuditEntry,
  type ChangePlan,
  decodeStored,
  getRecordKey,
  planChange,
  type StoredRecord,
} from "@bitternfall/records";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { RecordKeeper } from "./record_keeper.ts";
import type { RecordSync } from "./record_sync.ts";

/** Options of {@link OperatorHandlers}. */
export interface OperatorHandlersOptions {
  readonly vmId: string;
  readonly log: EventLog;
  readonly store: ObjectStore;
  readonly mesh: PeerMesh;
  readonly keeper: RecordKeeper;
  readonly sync: RecordSync;
  readonly getStatus: () => unknown;
  readonly getQueues: () => unknown;
  readonly listUpstreams: () => unknown;
  readonly startDrain: (who: string) => void;
}

const CHANGE_TIMEOUT_MS = 4000;
const CHANGE_RETRY_MS = 150;
const STATUS_TIMEOUT_MS = 800;

/** Serves operators' calls on one VM. */
export class OperatorHandlers implements OperatorHandler {
  readonly #options: OperatorHandlersOptions;

  constructor(options: OperatorHandlersOptions) {
    this.#options = options;
  }

  listRecords(kind: string | undefined): unknown {
    const records = this.#options.keeper.list().filter(({ record }) =>
      kind === undefined || record.kind === kind
    );
    return { revision: this.#options.keeper.revision, records };
  }

  async getRecord(kind: string, name: string): Promise<unknown> {
    const { keeper, store } = this.#options;
    const key = getRecordKey({ kind, name });
    const known = keeper.find(key);
    try {
      const object = await store.get(key);
      const stored = decodeStored(object?.value);
      return {
        version: object?.version ?? 0,
        record: stored?.record ?? null,
        inForce: known?.version ?? 0,
      };
    } catch {
      // While the object API is down, what is in force here is the best answer.
      return {
        version: known?.version ?? 0,
        record: known?.stored?.record ?? null,
        inForce: known?.version ?? 0,
      };
    }
  }

  async changeRecord(change: RecordChange): Promise<unknown> {
    const { log, sync } = this.#options;
    const key = getRecordKey(change);
    const object = await this.#commitChange(key, change);
    sync.publishOwn(object);
    const { changeId, who } = change;
    log.emit("recordChanged", { key, version: object.version, changeId, who });
    return { version: object.version, changeId };
  }

  async getHistory(kind: string, name: string): Promise<unknown> {
    const { store } = this.#options;
    try {
      const object = await store.get(getRecordKey({ kind, name }));
      const stored = decodeStored(object?.value);
      if (object === undefined || stored === undefined) {
        throw new OperatorError({ tag: "not_found" }, "no such record");
      }
      const entries: AuditEntry[] = [];
      for (const index of stored.archived.keys()) {
        const archive = await store.get(getArchiveKey({ kind, name }, index));
        entries.push(
          ...(archive?.value as { entries?: AuditEntry[] } | undefined)
            ?.entries ?? [],
        );
      }
      return {
        version: object.version,
        entries: [...entries, ...stored.audit],
      };
    } catch (err) {
      if (err instanceof OperatorError) throw err;
      throw new OperatorError(
        { tag: "unavailable" },
        "the object API can't be read",
        { cause: err },
      );
    }
  }

  async getStatus(): Promise<unknown> {
    const { vmId, getStatus } = this.#options;
    return {
      vms: [
        { vm: vmId, status: getStatus() },
        ...await this.#askPeers("status"),
      ],
    };
  }

  async listUpstreams(): Promise<unknown> {
    const { listUpstreams } = this.#options;
    const queues = await this.getQueues() as {
      queues: { servers?: unknown[] }[];
    };
    const models = queues.queues.flatMap((queue) => queue.servers ?? []);
    return { models, services: listUpstreams() };
  }

  async getQueues(): Promise<unknown> {
    const { vmId, getQueues } = this.#options;
    const all = [
      { vm: vmId, status: getQueues() },
      ...await this.#askPeers("status.queue"),
    ];
    const queues = all.flatMap(({ vm, status }) =>
      Array.isArray(status)
        ? status.map((queue) => ({ dispatcher: vm, ...queue }))
        : []
    );
    return { queues };
  }

  async drain(vm: string, who: string): Promise<unknown> {
    const { vmId, mesh, startDrain } = this.#options;
    if (vm === vmId) {
      startDrain(who);
      return { draining: vm };
    }
    try {
      await mesh.call(vm, "drain", { params: [who] });
    } catch (err) {
      throw new OperatorError({ tag: "not_found" }, `${vm} can't be reached`, {
        cause: err,
      });
    }
    return { draining: vm };
  }

  /** Commits a change once, whatever becomes of single replies. */
  async #commitChange(
    key: string,
    change: RecordChange,
  ): Promise<StoredObject> {
    const { store } = this.#options;
    const endsAt = monotonicNow() + CHANGE_TIMEOUT_MS;
    const when = new Date().toISOString();
    let mayStand = false;
    while (monotonicNow() < endsAt) {
      try {
        const object = await store.get(key);
        const stored = decodeStored(object?.value);
        if (
          object !== undefined &&
          stored?.audit.some((entry) => entry.changeId === change.changeId)
        ) return object;
        this.#checkVersion({ change, version: object?.version ?? 0, stored });
        const entry = {
          ...change,
          when,
          before: stored?.record ?? null,
          after: change.record,
        };
        const plan = planChange(stored, toAuditEntry(entry));
        await this.#archive(change, plan);
        const condition: Precondition = object === undefined
          ? { absent: true }
          : { version: object.version };
        const version = await store.put(key, {
          value: plan.next,
          when: condition,
        });
        return { key, version, value: plan.next };
      } catch (err) {
        if (err instanceof OperatorError) throw err;
        // A conflict is looked at again: the read shows whose change went first.
        const tag = err instanceof StoreError ? err.detail.tag : "unknown_fate";
        if (tag === "unknown_fate") mayStand = true;
        if (tag !== "conflict") await sleep(CHANGE_RETRY_MS);
      }
    }
    const tag = mayStand ? "unknown" : "unavailable";
    throw new OperatorError(
      { tag },
      "the object API does not answer; look at the history before trying again",
    );
  }

  #checkVersion(
    options: {
      change: RecordChange;
      version: number;
      stored: StoredRecord | undefined;
    },
  ): void {
    const { change, version, stored } = options;
    if (version === change.version) return;
    const current = stored?.record ?? null;
    throw new OperatorError(
      { tag: "conflict", version, current },
      `the record is at version ${version} by now`,
    );
  }

  async #archive(
    target: { kind: string; name: string },
    plan: ChangePlan,
  ): Promise<void> {
    if (plan.toArchive.length === 0) return;
    const key = getArchiveKey(target, plan.next.archived.length - 1);
    try {
      await this.#options.store.put(key, {
        value: { entries: plan.toArchive },
        when: { absent: true },
      });
    } catch (err) {
      // The same entries were archived by a change that did not go through afterwards.
      if (!(err instanceof StoreError && err.detail.tag === "conflict")) {
        throw err;
      }
    }
  }

  async #askPeers(
    method: "status" | "status.queue",
  ): Promise<{ vm: string; status: unknown }[]> {
    const { mesh } = this.#options;
    return await Promise.all(mesh.ids.map(async (vm) => {
      try {
        return {
          vm,
          status: await mesh.call(vm, method, {
            params: [],
            timeoutMs: STATUS_TIMEOUT_MS,
          }),
        };
      } catch {
        return { vm, status: null };
      }
    }));
  }
}

function getArchiveKey(
  target: { kind: string; name: string },
  index: number,
): string {
  return `audit/${target.kind}/${target.name}/${
    String(index).padStart(6, "0")
  }`;
}

function toAuditEntry(entry: AuditEntry): AuditEntry {
  const { changeId, who, when, before, after } = entry;
  return { changeId, who, when, before, after };
}
