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
  /** Whether this VM can pull from a peer, over a connection or by its address. */
  readonly canPull: (peer: string) => boolean;
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
  /** Highest peer revision up to which changes were pulled. */
  #handledRevision = 0;
  /** Highest peer revision because of which watches were restarted. */
  #restartedRevision = 0;

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

  /**
   * Pulls the missing objects from a peer whose revision is higher. If that is not possible,
   * restarts the watches, which may be silent.
   */
  async onPeerRevision(peer: string, revision: number): Promise<void> {
    if (!this.#isBehind(revision) || this.#isSyncing) return;
    const { getCatchUpMs, canPull, signal } = this.#options;
    if (!canPull(peer) && revision <= this.#restartedRevision) return;
    this.#isSyncing = true;
    try {
      await sleep(getCatchUpMs(), signal);
      if (!this.#isBehind(revision) || signal.aborted) return;
      if (canPull(peer)) await this.#pullFrom(peer, revision);
      else this.#restartWatches(peer, { revision, reason: "not connected" });
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
      return this.#restartWatches(peer, { revision, reason });
    }
    this.#handledRevision = revision;
    for (const [index, objects] of watched.entries()) {
      const list = lists[index];
      if (list) objects.apply(list);
      else if (!objects.isFailing) objects.restart();
    }
    log.emit("objectsPulled", {
      peer,
      revision: before,
      peers: revision,
      objects: lists.reduce((sum, list) => sum + (list?.length ?? 0), 0),
    });
  }

  /** Restarts, once for each revision, the watches that are not trying again already. */
  #restartWatches(
    peer: string,
    { revision, reason }: { revision: number; reason: string },
  ): void {
    if (revision <= this.#restartedRevision) return;
    this.#restartedRevision = revision;
    const { watched, log } = this.#options;
    log.emit("watchStale", {
      peer,
      revision: this.revision,
      peers: revision,
      reason,
    });
    for (const objects of watched) if (!objects.isFailing) objects.restart();
  }

  #isBehind(revision: number): boolean {
    return revision > Math.max(this.revision, this.#handledRevision);
  }
}
