/**
 * Keeps this VM's replica of the records up to date: loads it from the object API at start,
 * applies what the steward pushes, and pulls from peers whose heartbeat has a newer revision.
 * @module
 */
import type { ObjectStore, StoredObject } from "@bitternfall/platform";
import type { PeerMesh } from "@bitternfall/peer";
import { sleep } from "@bitternfall/types";
import {
  decodeObjects,
  getHighestVersion,
  type RecordReplica,
  RECORDS_PREFIX,
  type WireObject,
} from "./record_replica.ts";

/** Options of a {@link RecordSync}. */
export interface RecordSyncOptions {
  readonly vmId: string;
  readonly replica: RecordReplica;
  readonly store: ObjectStore;
  readonly mesh: PeerMesh;
}

const INITIAL_RETRY_MS = 200;
const MAX_RETRY_MS = 3000;

/** Transfers records between the object API, this VM and its peers. */
export class RecordSync {
  readonly #options: RecordSyncOptions;
  readonly #pullingFrom = new Set<string>();

  constructor(options: RecordSyncOptions) {
    this.#options = options;
  }

  /** Loads the records from the object API, or from peers while the object API is down. */
  async load(signal: AbortSignal): Promise<void> {
    const { replica, store, mesh } = this.#options;
    let backoffMs = INITIAL_RETRY_MS;
    while (!replica.isLoaded && !signal.aborted) {
      try {
        const { objects } = await store.list(RECORDS_PREFIX);
        replica.applyComplete(objects, getHighestVersion(objects));
        return;
      } catch {
        for (const peer of mesh.ids) await this.pullFrom(peer);
      }
      await sleep(backoffMs * (0.5 + Math.random()), signal);
      backoffMs = Math.min(MAX_RETRY_MS, backoffMs * 2);
    }
  }

  /** Pulls from a peer if its heartbeat has a newer revision than this VM. */
  onPeerRevision(peer: string, revision: number): void {
    if (revision > this.#options.replica.revision) void this.pullFrom(peer);
  }

  /** Pulls the objects that a peer has above this VM's revision. */
  async pullFrom(peer: string): Promise<void> {
    if (this.#pullingFrom.has(peer)) return;
    this.#pullingFrom.add(peer);
    const { mesh, replica } = this.#options;
    try {
      const { revision, objects } = await mesh.call(peer, "records.pull", {
        params: [replica.revision],
      });
      // A peer with revision 0 has not loaded the records yet.
      if (revision > 0) replica.applyComplete(decodeObjects(objects), revision);
    } catch {
      // The peer's next heartbeat triggers another pull.
    } finally {
      this.#pullingFrom.delete(peer);
    }
  }

  /** Applies objects from the steward's gapless watch, and pushes the new ones to all peers. */
  publish(objects: readonly StoredObject[]): void {
    const { replica, mesh, vmId } = this.#options;
    const since = replica.revision;
    const newObjects = objects.filter((object) => object.version > since);
    if (newObjects.length === 0) return;
    const revision = getHighestVersion(newObjects);
    replica.applyComplete(newObjects, revision);
    mesh.broadcast("records.push", [
      vmId,
      since,
      revision,
      newObjects.map(encodeObject),
    ]);
  }

  /** Applies one object that this VM has just written, and pushes it to all peers. */
  publishWritten(object: StoredObject): void {
    const { replica, mesh, vmId } = this.#options;
    replica.applyPartial([object]);
    mesh.broadcast("records.push", [vmId, 0, 0, [encodeObject(object)]]);
  }

  /** Applies objects that a peer pushed, and pulls from it if earlier ones are missing here. */
  onPush(
    push: {
      sender: string;
      since: number;
      revision: number;
      objects: readonly WireObject[];
    },
  ): void {
    const { replica } = this.#options;
    const { sender, since, revision, objects } = push;
    if (revision > 0 && replica.isLoaded && since <= replica.revision) {
      replica.applyComplete(decodeObjects(objects), revision);
      return;
    }
    replica.applyPartial(decodeObjects(objects));
    if (revision > 0) void this.pullFrom(sender);
  }
}

function encodeObject({ key, version, value }: StoredObject): WireObject {
  return [key, version, value];
}
