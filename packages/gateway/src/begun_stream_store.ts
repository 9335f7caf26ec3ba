/**
 * Keeps the begun streams of a service in the object API while servers of several software
 * versions may have begun them, so that VMs which all start again know where each may go on.
 * The VM that dispatches the service writes them; others read them when a caller takes up a
 * stream that they don't know. No VM watches them.
 * @module
 */
import {
  decodeStreams,
  encodeStreams,
  type StreamRegistry,
} from "@bitternfall/dispatch-host";
import type { StreamSnapshot, StreamVersions } from "@bitternfall/dispatch";
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import { usableItems } from "@bitternfall/peer";
import { type ObjectApi, StoreError } from "@bitternfall/platform";
import {
  type Clock,
  MAX_NAME_LENGTH,
  monotonicNow,
  sleep,
  withTimeout,
} from "@bitternfall/types";
import * as zod from "zod";

/** Key prefix of the begun streams of all services. */
const BEGUN_STREAM_PREFIX = "bitternfall-streams/";

/** Options of a {@link BegunStreamStore}. */
export interface BegunStreamStoreOptions {
  readonly api: ObjectApi;
  readonly streams: Pick<StreamRegistry, "services" | "get">;
  /** Whether this VM writes the streams of a service. */
  readonly isOwner: (service: string) => boolean;
  /** Reads which servers there are; false if they can't be read now. */
  readonly refreshServers: () => Promise<boolean>;
  readonly log: EventLog;
  readonly signal: AbortSignal;
  readonly now?: Clock;
}

/** Streams that begin within this time before all VMs end are lost. */
const WRITE_INTERVAL_MS = 200;
const WRITE_RETRY_MS = 500;
/** Bounds what an owner writes: the interval grows with the object. */
const MAX_WRITTEN_STREAMS_PER_MS = 40;
/** An object has five bytes a stream, and may have 1 MB. */
const MAX_STORED_STREAMS = 50_000;
/** Servers with one software version each. */
const MAX_GROUPS = 4000;
/** Callers give up soon after this; a read may go on for those that return. */
const RESTORE_TIMEOUT_MS = 500;
/** For how long a read answers further requests. */
const RESTORE_VALID_MS = 500;

const groupsSchema = usableItems(
  zod.tuple([
    zod.string().max(MAX_NAME_LENGTH),
    zod.string().max(MAX_NAME_LENGTH),
    zod.string().max(5 * MAX_STORED_STREAMS),
  ]),
  { max: MAX_GROUPS },
);
const recordSchema = zod.object({
  settled: groupsSchema,
  recent: groupsSchema,
});

/** What is known of the object of a service. */
interface StoredStreams {
  /** Version of the object; 0 if there is none. */
  readonly version: number;
  /** Revision up to which the object has all streams of this VM. */
  readonly revision: number;
}

interface Restore {
  readonly begunAt: number;
  readonly result: Promise<boolean>;
}

/** Writes and reads the begun streams. */
export class BegunStreamStore {
  readonly #options: BegunStreamStoreOptions;
  readonly #now: Clock;
  readonly #stored = new Map<string, StoredStreams>();
  readonly #writing = new Set<string>();
  readonly #restores = new Map<string, Restore>();

  constructor(options: BegunStreamStoreOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** Writes what has begun periodically, until the signal is aborted. */
  async run(): Promise<void> {
    const { signal, streams } = this.#options;
    while (!signal.aborted) {
      for (const service of streams.services) {
        if (this.#isMissing(service)) void this.#write(service);
      }
      await sleep(WRITE_INTERVAL_MS, signal);
    }
  }

  /**
   * Reads the streams that dispatchers of a service have stored; false if they can't be read
   * in time. Requests share a read.
   */
  restore(service: string): Promise<boolean> {
    const last = this.#restores.get(service);
    if (last !== undefined && this.#now() < last.begunAt + RESTORE_VALID_MS) {
      return last.result;
    }
    const result = withTimeout(this.#tryRead(service), {
      ms: RESTORE_TIMEOUT_MS,
      fallback: false,
    });
    const restore = { begunAt: this.#now(), result };
    this.#restores.set(service, restore);
    void result.then((isRead) => {
      if (isRead || this.#restores.get(service) !== restore) return;
      this.#restores.delete(service);
    });
    return result;
  }

  /** Reads the streams of a service that this VM begins to dispatch. */
  onRoleTaken(service: string): void {
    if (this.#areNeeded(service)) void this.restore(service);
  }

  /** Whether streams of several versions may be taken up. */
  #areNeeded(service: string): boolean {
    return this.#getVersions(service).listVersions().length > 1;
  }

  #isMissing(service: string): boolean {
    if (this.#writing.has(service) || !this.#options.isOwner(service)) {
      return false;
    }
    const { revision = 0 } = this.#stored.get(service) ?? {};
    return this.#getVersions(service).revision !== revision &&
      this.#areNeeded(service);
  }

  async #write(service: string): Promise<void> {
    const { api, log, signal } = this.#options;
    this.#writing.add(service);
    try {
      if (api.isDown) return;
      if (!this.#stored.has(service) && !await this.#read(service)) {
        return await this.#pauseAfterFailure();
      }
      const count = await this.#put(service);
      await sleep(count / MAX_WRITTEN_STREAMS_PER_MS, signal);
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      // Another VM may have written, or this one in a write without a reply.
      this.#stored.delete(service);
      if (err.detail.tag === "conflict") return;
      log.emit("recordWriteFailed", {
        key: getKey(service),
        reason: getMessage(err),
      });
      await this.#pauseAfterFailure();
    } finally {
      this.#writing.delete(service);
    }
  }

  #pauseAfterFailure(): Promise<void> {
    const ms = WRITE_RETRY_MS * (0.5 + Math.random());
    return sleep(ms, this.#options.signal);
  }

  /** Writes the streams and returns their number. */
  async #put(service: string): Promise<number> {
    const { api, log } = this.#options;
    const versions = this.#getVersions(service);
    const { revision } = versions;
    const snapshot = versions.createSnapshot(MAX_STORED_STREAMS);
    const known = this.#stored.get(service)?.version ?? 0;
    const version = await api.put(getKey(service), {
      value: {
        settled: encodeStreams(snapshot.settled),
        recent: encodeStreams(snapshot.recent),
      },
      when: known === 0 ? { absent: true } : { version: known },
    });
    this.#stored.set(service, { version, revision });
    const count = countStreams(snapshot);
    log.emit("streamsStored", { service, streams: count, version });
    return count;
  }

  async #tryRead(service: string): Promise<boolean> {
    const { api, log } = this.#options;
    if (api.isDown) return false;
    try {
      return await this.#read(service);
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      const key = getKey(service);
      log.emit("recordReadFailed", { key, reason: getMessage(err) });
      return false;
    }
  }

  /** Reads the object and adds its streams; false if the servers can't be read. */
  async #read(service: string): Promise<boolean> {
    const { api, log, refreshServers } = this.#options;
    const key = getKey(service);
    const object = await api.get(key);
    // The streams are checked against servers that are known as of a later moment.
    if (!await refreshServers()) return false;
    const snapshot = parseSnapshot(object?.value);
    const version = object?.version ?? 0;
    if (object !== undefined && snapshot === undefined) {
      log.emit("objectIgnored", { key, reason: "malformed", version });
    }
    const versions = this.#getVersions(service);
    const before = versions.revision;
    if (snapshot !== undefined) versions.restore(snapshot);
    const { revision = 0 } = this.#stored.get(service) ?? {};
    // What only this VM knows is still missing there.
    const isWhole = before === revision;
    this.#stored.set(service, {
      version,
      revision: isWhole ? versions.revision : revision,
    });
    const streams = snapshot === undefined ? 0 : countStreams(snapshot);
    log.emit("streamsRestored", { service, streams, version });
    return true;
  }

  #getVersions(service: string): StreamVersions {
    return this.#options.streams.get(service);
  }
}

function parseSnapshot(value: unknown): StreamSnapshot | undefined {
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { settled, recent } = parsed.data;
  return { settled: decodeStreams(settled), recent: decodeStreams(recent) };
}

function countStreams({ settled, recent }: StreamSnapshot): number {
  return settled.length + recent.length;
}

function getKey(service: string): string {
  return `${BEGUN_STREAM_PREFIX}${service}`;
}
