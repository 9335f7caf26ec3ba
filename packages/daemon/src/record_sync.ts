/**
 * Keeps the records of this VM up to date: from the object API at start, from the
 * steward's pushes, and by pulling from peers whose heartbeat shows a newer revision.
 * @module
 */
import type { ObjectStore, StoredObject } from "@bitternfall/platform";
import type { PeerMesh } from "@bitternfall/peer";
import { sleep } from "@bitternfall/types";
import {
  fromWire,
  getHighestVersion,
  type RecordKeeper,
  RECORDS_PREFIX,
  type WireObject,
} from "./record_keeper.ts";

/** Options of a {@link RecordSync}. */
export interface RecordSyncOptions {
  readonly vmId: string;
  readonly keeper: RecordKeeper;
  readonly store: ObjectStore;
  readonly mesh: PeerMesh;
}

const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 3000;

/** Moves records between the object API, this VM and its peers. */
export class RecordSync {
  readonly #options: RecordSyncOptions;
  readonly #pulling = new Set<string>();

  constructor(options: RecordSyncOptions) {
    this.#options = options;
  }

  /** Reads the records from the object API, or from peers while that is down. */
  async load(signal: AbortSignal): Promise<void> {
    const { keeper, store, mesh } = this.#options;
    let pauseMs = FIRST_RETRY_MS;
    while (!keeper.isLoaded && !signal.aborted) {
      try {
        const { objects } = await store.list(RECORDS_PREFIX);
        keeper.applyComplete(objects, getHighestVersion(objects));
        return;
      } catch {
        for (const peer of mesh.ids) await this.pull(peer);
      }
      await sleep(pauseMs * (0.5 + Math.random()), signal);
      pauseMs = Math.min(LONGEST_RETRY_MS, pauseMs * 2);
    }
  }

  /** A peer's heartbeat shows its revision. */
  onPeerRevision(peer: string, revision: number): void {
    if (revision > this.#options.keeper.revision) void this.pull(peer);
  }

  /** Takes what a peer has and this VM has not. */
  async pull(peer: string): Promise<void> {
    if (this.#pulling.has(peer)) return;
    this.#pulling.add(peer);
    const { mesh, keeper } = this.#options;
    try {
      const { revision, objects } = await mesh.call(peer, "records.pull", {
        params: [keeper.revision],
      });
      // A peer that has not read the records itself knows of no revision.
      if (revision > 0) keeper.applyComplete(fromWire(objects), revision);
    } catch {
      // The next heartbeat shows the difference again.
    } finally {
      this.#pulling.delete(peer);
    }
  }

  /** Applies objects that a watch without gaps returned, and sends them to all peers. */
  publish(objects: readonly StoredObject[]): void {
    const { keeper, mesh, vmId } = this.#options;
    const since = keeper.revision;
    const fresh = objects.filter((object) => object.version > since);
    if (fresh.length === 0) return;
    const revision = getHighestVersion(fresh);
    keeper.applyComplete(fresh, revision);
    mesh.broadcast("records.push", [vmId, since, revision, fresh.map(toWire)]);
  }

  /** Applies one object that this VM has just written, and sends it to all peers. */
  publishOwn(object: StoredObject): void {
    const { keeper, mesh, vmId } = this.#options;
    keeper.applySome([object]);
    mesh.broadcast("records.push", [vmId, 0, 0, [toWire(object)]]);
  }

  /** Applies what a peer pushed, and pulls what is missing before it. */
  onPush(
    push: {
      sender: string;
      since: number;
      revision: number;
      objects: readonly WireObject[];
    },
  ): void {
    const { keeper } = this.#options;
    const { sender, since, revision, objects } = push;
    if (revision > 0 && keeper.isLoaded && since <= keeper.revision) {
      keeper.applyComplete(fromWire(objects), revision);
      return;
    }
    keeper.applySome(fromWire(objects));
    if (revision > 0) void this.pull(sender);
  }
}

function toWire({ key, version, value }: StoredObject): WireObject {
  return [key, version, value];
}
