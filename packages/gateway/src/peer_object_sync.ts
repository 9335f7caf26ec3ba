/**
 * Pulls newer objects from peers. Heartbeats carry each VM's revision; a VM whose own watch
 * lags or has gone silent sees there that it is behind.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import type { StoredObject } from "@bitternfall/platform";
import { sleep } from "@bitternfall/types";
import type { WatchedObjects } from "./watched_objects.ts";

/** Asks a peer for the changes under a prefix after a version. */
export type ObjectCursor = [prefix: string, since: number];

/** Options of a {@link PeerObjectSync}. */
export interface PeerObjectSyncOptions {
  readonly watched: readonly WatchedObjects[];
  readonly log: EventLog;
  readonly signal: AbortSignal;
  /** Time for this VM's own watch to deliver the change before it is pulled. */
  readonly getCatchUpMs: () => number;
  /**
   * Pulls the changes after the cursors from a peer; `null` for a prefix whose changes the
   * peer does not know completely. Throws if the peer does not answer.
   */
  readonly pull: (
    peer: string,
    cursors: ObjectCursor[],
  ) => Promise<(StoredObject[] | null)[]>;
}

/** Compares revisions with peers and pulls what is newer. */
export class PeerObjectSync {
  readonly #options: PeerObjectSyncOptions;
  #isSyncing = false;
  /** Highest peer revision for which a pull was tried; up to it, no other pull is tried. */
  #handledRevision = 0;

  constructor(options: PeerObjectSyncOptions) {
    this.#options = options;
  }

  /**
   * Grows with every object that is read here. It is the sum over all prefixes, since a
   * maximum would hide that one prefix is behind while another one is current.
   */
  get revision(): number {
    let sum = 0;
    for (const { newestVersion } of this.#options.watched) sum += newestVersion;
    return sum;
  }

  /** Pulls the missing objects from a peer whose revision is higher. */
  async onPeerRevision(peer: string, revision: number): Promise<void> {
    if (!this.#isBehind(revision) || this.#isSyncing) return;
    this.#isSyncing = true;
    try {
      await sleep(this.#options.getCatchUpMs(), this.#options.signal);
      if (!this.#isBehind(revision) || this.#options.signal.aborted) return;
      await this.#pullFrom(peer, revision);
    } finally {
      this.#isSyncing = false;
    }
  }

  /** Returns the changes that a peer asks for; `null` for a prefix if not all are known. */
  listSince(cursors: readonly ObjectCursor[]): (StoredObject[] | null)[] {
    return cursors.map(([prefix, since]) => {
      const watched = this.#options.watched.find((candidate) =>
        candidate.prefix === prefix
      );
      return watched?.listSince(since) ?? null;
    });
  }

  async #pullFrom(peer: string, revision: number): Promise<void> {
    const { watched, log, pull } = this.#options;
    const before = this.revision;
    let lists: (StoredObject[] | null)[];
    try {
      lists = await pull(
        peer,
        watched.map(({ prefix, cursor }): ObjectCursor => [prefix, cursor]),
      );
    } catch (err) {
      const reason = getMessage(err);
      log.emit("watchStale", {
        peer,
        revision: before,
        peers: revision,
        reason,
      });
      this.#handledRevision = revision;
      for (const objects of watched) objects.restart();
      return;
    }
    this.#handledRevision = revision;
    for (const [index, objects] of watched.entries()) {
      const list = lists[index];
      if (list) objects.apply(list);
      else objects.restart();
    }
    log.emit("objectsPulled", {
      peer,
      revision: before,
      peers: revision,
      objects: lists.reduce((sum, list) => sum + (list?.length ?? 0), 0),
    });
  }

  #isBehind(revision: number): boolean {
    return revision > Math.max(this.revision, this.#handledRevision);
  }
}
