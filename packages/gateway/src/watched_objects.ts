/**
 * Lists the objects under one prefix and then watches them. While the object API does not
 * answer, the last state stays in use, and newer objects may come from peers.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import { getMessage } from "@bitternfall/errors";
import {
  type ObjectApi,
  type ObjectList,
  type ObjectReducer,
  type StoredObject,
  StoreError,
  type WatchOptions,
} from "@bitternfall/platform";
import { monotonicNow, sleep } from "@bitternfall/types";
import { ObjectCache } from "./object_cache.ts";
import { OutageGate } from "./outage_gate.ts";

/** How a VM watches, depending on whether peers inform it of changes. */
export interface WatchMode {
  /** Timeout of one watch call that sees no change. */
  readonly waitMs: number;
  /** Whether results may be seconds old, because changes arrive sooner from peers. */
  readonly allowStale: boolean;
  /** Pause after a change, so that the next watch call returns all changes since. */
  readonly batchMs: number;
  /** Maximum back-off while the object API fails, before jitter. */
  readonly maxBackoffMs: number;
}

/** Options of {@link WatchedObjects}. */
export interface WatchedObjectsOptions {
  readonly api: ObjectApi;
  readonly prefix: string;
  readonly getWatchMode: () => WatchMode;
  /** Shared by this VM's watches; of its own by default. */
  readonly gate?: OutageGate;
  /** Reduces each object that is read here or by a peer to what is kept of it. */
  readonly reduce?: ObjectReducer;
  readonly log: EventLog;
  /** All objects were listed; `outageMs` is how long the object API had not answered. */
  readonly onList: (
    objects: readonly StoredObject[],
    options: { outageMs: number },
  ) => void;
  /** One object changed; its value is `null` if it was removed. */
  readonly onChange: (object: StoredObject) => void;
  /** Called after each read that is not stale: all changes before it are applied. */
  readonly onCurrent?: () => void;
}

const INITIAL_BACKOFF_MS = 100;
/** Timeout of a watch that tests whether the object API answers again. */
const PROBE_WAIT_MS = 20;

/** Lists and watches the objects under one prefix. */
export class WatchedObjects {
  readonly #options: WatchedObjectsOptions;
  readonly #cache = new ObjectCache();
  readonly #gate: OutageGate;
  #revision: number | undefined;
  #backoffMs = INITIAL_BACKOFF_MS;
  #failingSince: number | undefined;
  /** When the object API last answered a read that was not allowed to be stale. */
  #confirmedAt = -Infinity;
  /** Whether the last watch was allowed to be stale. */
  #isStale = false;
  #restart = new AbortController();
  /** Ends the current watch or pause, after which the next watch begins. */
  #rewatch = new AbortController();

  constructor(options: WatchedObjectsOptions) {
    this.#options = options;
    this.#gate = options.gate ?? new OutageGate();
  }

  get prefix(): string {
    return this.#options.prefix;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.#revision !== undefined;
  }

  /** Whether the object API has not answered the last call. */
  get isFailing(): boolean {
    return this.#failingSince !== undefined;
  }

  /** Up to when all changes are known, on the monotonic clock. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Newest version among the objects that were read. */
  get newestVersion(): number {
    return this.#cache.newestVersion;
  }

  /** Version up to which all changes are known. */
  get cursor(): number {
    return Math.max(this.newestVersion, this.#revision ?? 0);
  }

  /** Changes after a version, oldest first; undefined if they are not known completely. */
  listSince(version: number): StoredObject[] | undefined {
    return this.#cache.listSince(version);
  }

  /** Applies objects that a peer has read. */
  apply(objects: readonly StoredObject[]): void {
    if (!this.isLoaded) return;
    const { reduce = (object) => object } = this.#options;
    for (const object of objects) this.#applyObject(reduce(object));
  }

  /**
   * Reads the changes up to now, beside the watch. Resolves to false if the object API does
   * not answer, or did not answer the last call of a watch, or if its history no longer
   * reaches back to the last change that is known.
   */
  async refresh(): Promise<boolean> {
    if (this.#revision === undefined || this.#gate.isClosed) return false;
    try {
      await this.#readChanges({ waitMs: PROBE_WAIT_MS, allowStale: false });
      return true;
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      return false;
    }
  }

  /** Aborts the current watch or pause, since the watch may be silent, and lists again. */
  restart(): void {
    this.#restart.abort();
  }

  /**
   * Ends a watch that may be stale, or the pause after it, where the mode does not allow
   * that any more; the next one goes on from the last change.
   */
  onModeChange(): void {
    if (this.#isStale && !this.#options.getWatchMode().allowStale) {
      this.#rewatch.abort();
    }
  }

  /** Lists and watches until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let needsList = true;
    while (!signal.aborted) {
      if (this.#rewatch.signal.aborted) this.#rewatch = new AbortController();
      try {
        await this.#passGate(signal);
        if (signal.aborted) return;
        if (needsList) await this.#list();
        else if (await this.#watch(signal)) {
          await this.#sleepUnlessRestarted(
            this.#options.getWatchMode().batchMs,
            signal,
          );
        }
        this.#recordSuccess();
        needsList = false;
      } catch (err) {
        if (signal.aborted) return;
        if (!(err instanceof StoreError)) {
          this.#options.log.emit("unexpectedError", {
            reason: getMessage(err),
          });
        }
        if (this.#restart.signal.aborted) {
          this.#restart = new AbortController();
          needsList = true;
          continue;
        }
        if (this.#rewatch.signal.aborted) continue;
        const tag = err instanceof StoreError ? err.detail.tag : "malformed";
        // A malformed response may have contained changes, so list again.
        needsList ||= tag === "history_gone" || tag === "malformed";
        if (tag === "unavailable" || tag === "unknown_fate") {
          this.#gate.onFailure(this);
        } else this.#gate.onAnswered();
        this.#recordFailure(getMessage(err));
        if (tag === "history_gone") continue;
        await this.#sleepUnlessRestarted(
          this.#backoffMs * (0.5 + Math.random()),
          signal,
        );
        const { maxBackoffMs } = this.#options.getWatchMode();
        this.#backoffMs = Math.min(maxBackoffMs, this.#backoffMs * 2);
      }
    }
  }

  /** Waits while another watch tests an object API that does not answer. */
  async #passGate(signal: AbortSignal): Promise<void> {
    if (!this.#gate.blocks(this)) return;
    this.#recordFailure("waits until the object API answers another watch");
    await this.#gate.whenOpen(this.#getInterrupt(signal));
  }

  /** Sleeps; returns early when a restart is requested. */
  async #sleepUnlessRestarted(ms: number, signal: AbortSignal): Promise<void> {
    await sleep(ms, this.#getInterrupt(signal));
  }

  #getInterrupt(signal: AbortSignal): AbortSignal {
    return AbortSignal.any([
      signal,
      this.#restart.signal,
      this.#rewatch.signal,
    ]);
  }

  async #list(): Promise<void> {
    const { api, prefix, reduce, onList, onCurrent } = this.#options;
    const begunAt = monotonicNow();
    const list = await api.list(prefix, { reduce });
    this.#confirmedAt = begunAt;
    this.#gate.onAnswered();
    this.#revision = list.revision;
    this.#cache.replace(list);
    onList(list.objects, { outageMs: this.#getOutageMs() });
    onCurrent?.();
  }

  /** Waits for changes and applies them; false if there were none. */
  async #watch(signal: AbortSignal): Promise<boolean> {
    const { waitMs, allowStale } = this.#options.getWatchMode();
    this.#isStale = allowStale;
    const changes = await this.#readChanges({
      waitMs: this.#gate.isClosed ? PROBE_WAIT_MS : waitMs,
      allowStale,
      signal: this.#getInterrupt(signal),
    });
    this.#gate.onAnswered();
    return changes.objects.length > 0;
  }

  /** Waits for changes and applies them. Throws {@link StoreError}. */
  async #readChanges(
    options: Omit<WatchOptions, "since" | "reduce">,
  ): Promise<ObjectList> {
    const { api, prefix, reduce, onCurrent } = this.#options;
    const since = this.#revision ?? 0;
    const changes = await api.watch(prefix, { since, reduce, ...options });
    for (const object of changes.objects) this.#applyObject(object);
    this.#revision = Math.max(this.#revision ?? 0, changes.revision);
    if (options.allowStale !== true) {
      this.#confirmedAt = monotonicNow();
      onCurrent?.();
    }
    return changes;
  }

  #applyObject(object: StoredObject): void {
    if (!this.#cache.add(object)) return;
    const { key, version } = object;
    const { onChange, log } = this.#options;
    try {
      onChange(object);
    } catch (err) {
      // One object must not end the watch of all others.
      log.emit("objectIgnored", { key, version, reason: getMessage(err) });
    }
  }

  #recordSuccess(): void {
    const { prefix, log } = this.#options;
    if (this.#failingSince !== undefined) {
      const lostMs = Math.round(this.#getOutageMs());
      log.emit("watchRegained", { prefix, lostMs });
    }
    this.#failingSince = undefined;
    this.#backoffMs = INITIAL_BACKOFF_MS;
  }

  #recordFailure(reason: string): void {
    const { prefix, log } = this.#options;
    if (this.#failingSince === undefined) {
      log.emit("watchLost", { prefix, reason, revision: this.#revision });
    }
    this.#failingSince ??= monotonicNow();
  }

  #getOutageMs(): number {
    return this.#failingSince === undefined
      ? 0
      : monotonicNow() - this.#failingSince;
  }
}
