/**
 * Software versions of the servers that began the streams of one service. What servers of
 * two versions write does not fit together, so a stream may go on only at the version that
 * began it.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";
import { hashText } from "./prefix_hash.ts";

/** A server that writes streams. */
export interface VersionedServer {
  readonly id: string;
  /** Start time of the process; a server that starts again may run another version. */
  readonly bornAt: number;
  readonly softwareVersion: string;
}

/** A stream, and the server and version that began it. */
export interface BegunStream {
  /** Hash of the stream's id. */
  readonly hash: number;
  readonly serverId: string;
  readonly version: string;
}

/** Streams as they are kept for VMs that start again, oldest first. */
export interface StreamSnapshot {
  readonly settled: readonly BegunStream[];
  /** Begun so lately that their servers may have started again, with another version. */
  readonly recent: readonly BegunStream[];
}

/** Options of a {@link StreamVersions}. */
export interface StreamVersionsOptions {
  readonly now?: Clock;
  /** Called after the versions have changed that may have begun streams. */
  readonly onVersions?: () => void;
}

interface KnownStream extends Omit<BegunStream, "version"> {
  /** Undefined if it is uncertain which process of the server began the stream. */
  readonly version: string | undefined;
  readonly at: number;
  /** Whether it was recorded here rather than by another VM. */
  readonly isOwn: boolean;
}

/** Longer than callers try to take a stream up, after its last known begin or end. */
const STREAM_MEMORY_MS = 60_000;
const MAX_STREAMS = 200_000;
/**
 * Time from the start of a process until its entry is known. What an earlier process of its
 * id seemed to begin meanwhile may be this one's.
 */
const ENTRY_LAG_MS = 3000;

/** The versions that began the streams of a service, and those that may have. */
export class StreamVersions {
  readonly #options: StreamVersionsOptions;
  readonly #now: Clock;
  /** The streams that were begun or ended last come last. */
  readonly #streams = new Map<number, KnownStream>();
  readonly #servers = new Map<string, VersionedServer>();
  /** When a server of each version was last known. */
  readonly #lastServedAt = new Map<string, number>();
  #unpublished: BegunStream[] = [];
  #revision = 0;
  /** Until when all changes of the servers are known. */
  #confirmedAt = -Infinity;

  constructor(options: StreamVersionsOptions = {}) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** Grows with each change of the streams that are known. */
  get revision(): number {
    return this.#revision;
  }

  /** Sets the servers that write streams, those included that are leaving. */
  setServers(servers: readonly VersionedServer[]): void {
    const before = this.listVersions();
    this.#touchServing();
    const removed = new Set(this.#servers.keys());
    for (const server of servers) {
      const { id, softwareVersion } = server;
      const known = this.#servers.get(id);
      if (known?.softwareVersion !== softwareVersion) {
        this.#forgetUncertain(server);
      }
      this.#servers.set(id, server);
      removed.delete(id);
    }
    for (const id of removed) this.#servers.delete(id);
    this.#touchServing();
    this.#reportChange(before);
  }

  /** Records that all changes of the servers are known that are older than `ageMs`. */
  confirmServers(ageMs = 0): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, this.#now() - ageMs);
  }

  /** Adds versions that may have begun streams, as other VMs have known them. */
  addVersions(versions: readonly string[]): void {
    const before = this.listVersions();
    for (const version of versions) {
      this.#lastServedAt.set(version, this.#now());
    }
    this.#reportChange(before);
  }

  /** Versions that may have begun streams which callers still take up, sorted. */
  listVersions(): string[] {
    this.#touchServing();
    const oldest = this.#now() - STREAM_MEMORY_MS;
    for (const [version, servedAt] of this.#lastServedAt) {
      if (servedAt < oldest) this.#lastServedAt.delete(version);
    }
    return [...this.#lastServedAt.keys()].sort();
  }

  /** Records that a server has begun a stream, or has written more of it. */
  record(
    streamId: string,
    { version, serverId }: { version: string; serverId: string },
  ): void {
    const hash = hashText(streamId);
    const stream = { hash, version, serverId };
    if (!this.#streams.has(hash)) this.#unpublished.push(stream);
    this.#set({ ...stream, at: this.#now(), isOwn: true });
  }

  /** The version that began a stream; undefined if that is not known. */
  find(streamId: string): string | undefined {
    const stream = this.#streams.get(hashText(streamId));
    if (stream === undefined) return undefined;
    return stream.at < this.#now() - STREAM_MEMORY_MS
      ? undefined
      : stream.version;
  }

  /**
   * The version of all streams that callers take up; undefined if there may be several. A VM
   * that has not heard of the newest servers may be wrong.
   */
  get soleVersion(): string | undefined {
    const versions = this.listVersions();
    return versions.length === 1 ? versions[0] : undefined;
  }

  /** Adds streams that another VM knows. */
  merge(streams: readonly BegunStream[]): void {
    for (const stream of streams) {
      if (this.#streams.has(stream.hash)) continue;
      this.#set({ ...stream, at: this.#now(), isOwn: false });
    }
  }

  /** Streams that were recorded here since the last call. */
  takeUnpublished(): BegunStream[] {
    const streams = this.#unpublished;
    this.#unpublished = [];
    return streams;
  }

  /** The newest `maxCount` streams that callers may still take up. */
  createSnapshot(maxCount: number): StreamSnapshot {
    const oldest = this.#now() - STREAM_MEMORY_MS;
    const settledAt = this.#confirmedAt - ENTRY_LAG_MS;
    const settled: BegunStream[] = [];
    const recent: BegunStream[] = [];
    let excess = this.#streams.size - maxCount;
    for (const stream of this.#streams.values()) {
      if (excess-- > 0) continue;
      if (stream.at < oldest || !isCertain(stream)) continue;
      (stream.at < settledAt ? settled : recent).push(stream);
    }
    return { settled, recent };
  }

  /**
   * Adds streams of a snapshot, which may be old; the servers must be known as of now.
   * Recent ones of a server that has gone may have been begun by a later process of it.
   */
  restore({ settled, recent }: StreamSnapshot): void {
    this.merge(settled);
    this.merge(
      recent.filter(({ serverId, version }) =>
        this.#servers.get(serverId)?.softwareVersion === version
      ),
    );
  }

  /** All streams. */
  export(): BegunStream[] {
    return [...this.#streams.values()].filter(isCertain);
  }

  /** The streams that were recorded here, rather than by another VM. */
  listRecorded(): BegunStream[] {
    return this.export().filter(({ hash }) => this.#streams.get(hash)?.isOwn);
  }

  #set(stream: KnownStream): void {
    const known = this.#streams.get(stream.hash);
    if (known?.version !== stream.version) this.#revision++;
    this.#streams.delete(stream.hash);
    this.#streams.set(stream.hash, stream);
    const oldest = this.#now() - STREAM_MEMORY_MS;
    for (const [key, { at }] of this.#streams) {
      if (at >= oldest && this.#streams.size <= MAX_STREAMS) return;
      this.#streams.delete(key);
    }
  }

  /**
   * Forgets that another version than a server's began streams while it may have started
   * again.
   */
  #forgetUncertain({ id, softwareVersion }: VersionedServer): void {
    const since = this.#confirmedAt - ENTRY_LAG_MS;
    for (const [hash, stream] of this.#streams) {
      const isUncertain = stream.serverId === id && stream.at >= since &&
        stream.version !== softwareVersion;
      if (isUncertain) {
        this.#streams.set(hash, { ...stream, version: undefined });
        this.#revision++;
      }
    }
  }

  #touchServing(): void {
    const now = this.#now();
    for (const { softwareVersion } of this.#servers.values()) {
      this.#lastServedAt.set(softwareVersion, now);
    }
  }

  #reportChange(before: readonly string[]): void {
    const after = this.listVersions();
    const isSame = before.length === after.length &&
      before.every((version, index) => version === after[index]);
    if (!isSame) this.#options.onVersions?.();
  }
}

function isCertain(stream: KnownStream): stream is KnownStream & BegunStream {
  return stream.version !== undefined;
}
