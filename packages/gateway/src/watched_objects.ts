/**
 * Objects below one prefix, read once and then watched. What was last read stays in
 * force while the object API does not answer.
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

/** Options of {@link WatchedObjects}. */
export interface WatchedObjectsOptions {
  readonly api: ObjectApi;
  readonly prefix: string;
  /** How long one watch waits for a change. */
  readonly getWaitMs: () => number;
  readonly log: EventLog;
  /** The whole list was read; `outageMs` is how long the object API had not answered. */
  readonly onList: (
    objects: readonly StoredObject[],
    options: { outageMs: number },
  ) => void;
  /** One object changed; its value is `null` when it was removed. */
  readonly onChange: (object: StoredObject) => void;
}

/** Changes that come together are read with one call; a sixth of the time that they may take. */
const BATCH_MS = 300;
const FIRST_PAUSE_MS = 100;
/** Keeps a node's calls to a failing object API below two a second. */
const LONGEST_PAUSE_MS = 600;

/** Reads and watches one kind of object. */
export class WatchedObjects {
  readonly #options: WatchedObjectsOptions;
  #revision: number | undefined;
  #pauseMs = FIRST_PAUSE_MS;
  #lostAt: number | undefined;
  /** Newest version of an object that was read. */
  #seen = 0;
  #restart = new AbortController();

  constructor(options: WatchedObjectsOptions) {
    this.#options = options;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.#revision !== undefined;
  }

  /** Newest version of an object that was read. */
  get seen(): number {
    return this.#seen;
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
        else if (await this.#watch(signal)) await sleep(BATCH_MS, signal);
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
        await sleep(this.#pauseMs * (0.5 + Math.random()), signal);
        this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2);
      }
    }
  }

  async #list(): Promise<void> {
    const { api, prefix, onList } = this.#options;
    const list = await api.list(prefix);
    this.#revision = list.revision;
    this.#note(list);
    onList(list.objects, { outageMs: this.#getOutageMs() });
  }

  /** Waits for changes; false when there were none. */
  async #watch(signal: AbortSignal): Promise<boolean> {
    const { api, prefix, getWaitMs, onChange } = this.#options;
    const changes: ObjectList = await api.watch(prefix, {
      since: this.#revision ?? 0,
      waitMs: getWaitMs(),
      signal: AbortSignal.any([signal, this.#restart.signal]),
    });
    for (const object of changes.objects) onChange(object);
    this.#note(changes);
    this.#revision = Math.max(this.#revision ?? 0, changes.revision);
    return changes.objects.length > 0;
  }

  #note({ objects }: ObjectList): void {
    for (const { version } of objects) {
      if (version > this.#seen) this.#seen = version;
    }
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
