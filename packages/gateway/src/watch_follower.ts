/**
 * Notices by peers' heartbeats that this VM's watches have gone silent.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import { sleep } from "@bitternfall/types";
import type { WatchedObjects } from "./watched_objects.ts";

/** Options of a {@link WatchFollower}. */
export interface WatchFollowerOptions {
  readonly watched: readonly WatchedObjects[];
  readonly log: EventLog;
  readonly signal: AbortSignal;
}

/** Time in which a watch shows what a peer's watch has shown. */
const CATCH_UP_MS = 500;

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

  /** A peer has told its revision; where this VM does not follow, it reads all anew. */
  async onPeerRevision(revision: number): Promise<void> {
    const { watched, log, signal } = this.#options;
    if (!this.#isBehind(revision) || this.#isCatchingUp) return;
    this.#isCatchingUp = true;
    await sleep(CATCH_UP_MS, signal);
    this.#isCatchingUp = false;
    if (!this.#isBehind(revision) || signal.aborted) return;
    log.emit("watchStale", { revision: this.revision, peers: revision });
    this.#caughtUpTo = revision;
    for (const objects of watched) objects.restart();
  }

  #isBehind(revision: number): boolean {
    return revision > Math.max(this.revision, this.#caughtUpTo);
  }
}
