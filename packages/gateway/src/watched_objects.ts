/**
 * Objects below one prefix, read once and then watched. What was last read stays in
 * force while the object API does not answer; peers that read on can tell what is newer.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import { getMessage } from "@bitternfall/errors";
import {
  type ObjectApi,
  type ObjectList,
  type StoredObject,
  StoreError,
} from "@bitternfall/platform";
import { monotonicNow, sleep } from "@bitternfall/types";
import { KnownObjects } from "./known_objects.ts";

/** How a VM watches. */
export interface WatchMode {
  /** How long one watch waits for a change. */
  readonly waitMs: number;
  /** Whether what it tells may be seconds old, because peers tell it sooner. */
  readonly allowStale: boolean;
  /** Changes that come within this time are read with one call. */
  readonly batchMs: number;
  /** Longest pause before a failing object API is asked again. */
  readonly longestPauseMs: number;
}

/** Options of {@link WatchedObjects}. */
export interface WatchedObjectsOptions {
  readonly api: ObjectApi;
  readonly prefix: string;
  readonly getMode: () => WatchMode;
  readonly log: EventLog;
  /** The whole list was read; `outageMs` is how long the object API had not answered. */
  readonly onList: (
    objects: readonly StoredObject[],
    options: { outageMs: number },
  ) => void;
  /** One object changed; its value is `null` when it was removed. */
  readonly onChange: (object: StoredObject) => void;
}

const FIRST_PAUSE_MS = 100;

/** Reads and watches one kind of object. */
export class WatchedObjects {
  readonly #options: WatchedObjectsOptions;
  readonly #known = new KnownObjects();
  #revision: number | undefined;
  #pauseMs = FIRST_PAUSE_MS;
  #lostAt: number | undefined;
  #restart = new AbortController();

  constructor(options: WatchedObjectsOptions) {
    this.#options = options;
  }

  get prefix(): string {
    return this.#options.prefix;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.#revision !== undefined;
  }

  /** Newest version of an object that was read. */
  get seen(): number {
    return this.#known.newest;
  }

  /** Version up to which nothing is missing here. */
  get cursor(): number {
    return Math.max(this.seen, this.#revision ?? 0);
  }

  /** What changed after a version, oldest first; undefined where that is not known. */
  listSince(version: number): StoredObject[] | undefined {
    return this.#known.listSince(version);
  }

  /** Takes over what a peer has read. */
  apply(objects: readonly StoredObject[]): void {
    if (!this.isLoaded) return;
    for (const object of objects) this.#change(object);
  }

  /** Ends the watch under way, which may have gone silent, and reads everything anew. */
  restart(): void {
    this.#restart.abort();
  }

  /** Reads and watches until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let mustList = true;
    while (!signal.aborted) {
      try {
        if (mustList) await this.#list();
        else if (await this.#watch(signal)) {
          await this.#pause(this.#options.getMode().batchMs, signal);
        }
        this.#onWorking();
        mustList = false;
      } catch (err) {
        if (signal.aborted) return;
        if (!(err instanceof StoreError)) throw err;
        if (this.#restart.signal.aborted) {
          this.#restart = new AbortController();
          mustList = true;
          continue;
        }
        const { tag } = err.detail;
        // A malformed reply may hide events, so the list is read again.
        mustList ||= tag === "history_gone" || tag === "malformed";
        this.#onFailed(getMessage(err));
        if (tag === "history_gone") continue;
        await this.#pause(this.#pauseMs * (0.5 + Math.random()), signal);
        const { longestPauseMs } = this.#options.getMode();
        this.#pauseMs = Math.min(longestPauseMs, this.#pauseMs * 2);
      }
    }
  }

  /** Waits, but not for what has become a reason to read everything anew. */
  async #pause(ms: number, signal: AbortSignal): Promise<void> {
    await sleep(ms, AbortSignal.any([signal, this.#restart.signal]));
  }

  async #list(): Promise<void> {
    const { api, prefix, onList } = this.#options;
    const list = await api.list(prefix);
    this.#revision = list.revision;
    this.#known.replace(list);
    onList(list.objects, { outageMs: this.#getOutageMs() });
  }

  /** Waits for changes; false when there were none. */
  async #watch(signal: AbortSignal): Promise<boolean> {
    const { api, prefix, getMode } = this.#options;
    const { waitMs, allowStale } = getMode();
    const changes: ObjectList = await api.watch(prefix, {
      since: this.#revision ?? 0,
      waitMs,
      allowStale,
      signal: AbortSignal.any([signal, this.#restart.signal]),
    });
    for (const object of changes.objects) this.#change(object);
    this.#revision = Math.max(this.#revision ?? 0, changes.revision);
    return changes.objects.length > 0;
  }

  #change(object: StoredObject): void {
    if (this.#known.add(object)) this.#options.onChange(object);
  }

  #onWorking(): void {
    const { prefix, log } = this.#options;
    if (this.#lostAt !== undefined) {
      const lostMs = Math.round(this.#getOutageMs());
      log.emit("watchRegained", { prefix, lostMs });
    }
    this.#lostAt = undefined;
    this.#pauseMs = FIRST_PAUSE_MS;
  }

  #onFailed(reason: string): void {
    const { prefix, log } = this.#options;
    if (this.#lostAt === undefined) {
      log.emit("watchLost", { prefix, reason, revision: this.#revision });
    }
    this.#lostAt ??= monotonicNow();
  }

  #getOutageMs(): number {
    return this.#lostAt === undefined ? 0 : monotonicNow() - this.#lostAt;
  }
}
