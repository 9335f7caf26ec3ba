/**
 * Handlers of operators' calls: read and change records, read their audit history, collect
 * status from every VM, and drain a VM.
 * @module
 */
import {
  OperatorError,
  type OperatorHandler,
  type RecordChange,
} from "@bitternfall/operator";
import type { PeerMesh } from "@bitternfall/peer";
import type { ObjectStore } from "@bitternfall/platform";
import {
  type AuditEntry,
  decodeStored,
  getRecordKey,
} from "@bitternfall/records";
import type { RecordReplica } from "./record_replica.ts";
import { getArchiveKey, type RecordWriter } from "./record_writer.ts";

/** Options of {@link OperatorHandlers}. */
export interface OperatorHandlersOptions {
  readonly vmId: string;
  readonly store: ObjectStore;
  readonly mesh: PeerMesh;
  readonly replica: RecordReplica;
  readonly writer: RecordWriter;
  readonly getStatus: () => unknown;
  readonly getQueues: () => unknown;
  readonly listUpstreams: () => unknown;
  readonly startDrain: (who: string) => void;
}

const STATUS_TIMEOUT_MS = 800;

/** Handles operators' calls on one VM. */
export class OperatorHandlers implements OperatorHandler {
  readonly #options: OperatorHandlersOptions;

  constructor(options: OperatorHandlersOptions) {
    this.#options = options;
  }

  listRecords(kind: string | undefined): unknown {
    const records = this.#options.replica.list().filter(({ record }) =>
      kind === undefined || record.kind === kind
    );
    return { revision: this.#options.replica.revision, records };
  }

  async getRecord(kind: string, name: string): Promise<unknown> {
    const { replica, store } = this.#options;
    const key = getRecordKey({ kind, name });
    const applied = replica.find(key);
    try {
      const object = await store.get(key);
      const stored = decodeStored(object?.value);
      return {
        version: object?.version ?? 0,
        record: stored?.record ?? null,
        inForce: applied?.version ?? 0,
      };
    } catch {
      // While the object API is down, respond with this VM's replica.
      return {
        version: applied?.version ?? 0,
        record: applied?.stored?.record ?? null,
        inForce: applied?.version ?? 0,
      };
    }
  }

  changeRecord(change: RecordChange): Promise<unknown> {
    return this.#options.writer.change(change);
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

  async getStatus(options: { onlyThisVm: boolean }): Promise<unknown> {
    const { vmId, getStatus } = this.#options;
    const ownStatus = { vm: vmId, status: getStatus() };
    return {
      vms: options.onlyThisVm
        ? [ownStatus]
        : [ownStatus, ...await this.#callPeers("status")],
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
    const statuses = [
      { vm: vmId, status: getQueues() },
      ...await this.#callPeers("status.queue"),
    ];
    const queues = statuses.flatMap(({ vm, status }) =>
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

  async #callPeers(
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
