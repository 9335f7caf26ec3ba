/**
 * Notices by peers' heartbeats that they have read newer objects, and takes these over,
 * so that a VM whose own watch lags or has gone silent knows what the others know.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import type { StoredObject } from "@bitternfall/platform";
import { sleep } from "@bitternfall/types";
import type { WatchedObjects } from "./watched_objects.ts";

/** What is asked of a peer: a prefix, and the version up to which all is known of it. */
export type ObjectCursor = [prefix: string, since: number];

/** Options of a {@link WatchFollower}. */
export interface WatchFollowerOptions {
  readonly watched: readonly WatchedObjects[];
  readonly log: EventLog;
  readonly signal: AbortSignal;
  /** How long this VM's own watch is given to show what a peer has read. */
  readonly getCatchUpMs: () => number;
  /**
   * Asks a peer for newer objects; `null` for a kind of which it does not know all.
   * Throws where the peer does not answer.
   */
  readonly pull: (
    peer: string,
    cursors: ObjectCursor[],
  ) => Promise<(StoredObject[] | null)[]>;
}

/** Compares what is read here with what peers have read. */
export class WatchFollower {
  readonly #options: WatchFollowerOptions;
  #isCatchingUp = false;
  #caughtUpTo = 0;

  constructor(options: WatchFollowerOptions) {
    this.#options = options;
  }

  /**
   * Grows with every object that is read here. A sum over the kinds, since a newer object
   * of one kind says nothing of the others.
   */
  get revision(): number {
    let sum = 0;
    for (const { seen } of this.#options.watched) sum += seen;
    return sum;
  }

  /** A peer has told its revision; what it has read beyond this VM is taken over. */
  async onPeerRevision(peer: string, revision: number): Promise<void> {
    if (!this.#isBehind(revision) || this.#isCatchingUp) return;
    this.#isCatchingUp = true;
    try {
      await sleep(this.#options.getCatchUpMs(), this.#options.signal);
      if (!this.#isBehind(revision) || this.#options.signal.aborted) return;
      await this.#catchUp(peer, revision);
    } finally {
      this.#isCatchingUp = false;
    }
  }

  /** What a peer asks for. */
  listSince(cursors: readonly ObjectCursor[]): (StoredObject[] | null)[] {
    return cursors.map(([prefix, since]) => {
      const watched = this.#options.watched.find((one) =>
        one.prefix === prefix
      );
      return watched?.listSince(since) ?? null;
    });
  }

  async #catchUp(peer: string, revision: number): Promise<void> {
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
      this.#caughtUpTo = revision;
      for (const objects of watched) objects.restart();
      return;
    }
    this.#caughtUpTo = revision;
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
    return revision > Math.max(this.revision, this.#caughtUpTo);
  }
}
