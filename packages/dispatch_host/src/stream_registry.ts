/**
 * Software versions that began streams, for each service of this VM. The VM that dispatches
 * a service tells those that may dispatch it next.
 * @module
 */
import {
  type BegunStream,
  decodeHashes,
  encodeHashes,
  StreamVersions,
  type VersionedServer,
} from "@bitternfall/dispatch";
import { MAX_BEGUN_STREAMS, type Params } from "@bitternfall/peer";

/** Options of a {@link StreamRegistry}. */
export interface StreamRegistryOptions {
  /** Whether this VM dispatches a service. */
  readonly isOwner: (service: string) => boolean;
  /** Sends streams to another VM, or to all VMs that may dispatch. */
  readonly publish: (
    params: Params<"streams.begun">,
    receiver?: string,
  ) => void;
  /** Reads which servers there are and have been; false if they can't be read now. */
  readonly refresh: () => Promise<boolean>;
  /**
   * Reads the streams that the last dispatchers of a service have stored; false if they
   * can't be read now.
   */
  readonly restore: (service: string) => Promise<boolean>;
  /** Called after the versions have changed that may have begun streams. */
  readonly onVersions: () => void;
}

/** What is known of the version that began a stream. */
export type StreamOrigin =
  | { readonly kind: "version"; readonly version: string }
  /** It may have been one of several. */
  | { readonly kind: "unknown" }
  /** This VM can't read now whether there are several, or which one it was. */
  | { readonly kind: "unconfirmed" };

/** The streams of each service. */
export class StreamRegistry {
  readonly #options: StreamRegistryOptions;
  readonly #versions = new Map<string, StreamVersions>();
  /** Streams that this VM has relayed; each VM keeps its own. */
  readonly #relayed = new Map<string, StreamVersions>();

  constructor(options: StreamRegistryOptions) {
    this.#options = options;
  }

  /** Names of the services with streams or servers. */
  get services(): Iterable<string> {
    return this.#versions.keys();
  }

  /** The versions and streams that the dispatchers of a service know. */
  get(service: string): StreamVersions {
    let versions = this.#versions.get(service);
    if (versions === undefined) {
      const { onVersions } = this.#options;
      versions = new StreamVersions({ onVersions });
      this.#versions.set(service, versions);
    }
    return versions;
  }

  /** Sets the servers that write a service's streams, those included that are leaving. */
  setServers(service: string, servers: readonly VersionedServer[]): void {
    this.get(service).setServers(servers);
    this.#getRelayed(service).setServers(servers);
  }

  /** Records that this VM knows all changes of the servers that are older than `ageMs`. */
  confirmServers(ageMs = 0): void {
    for (const versions of this.#versions.values()) {
      versions.confirmServers(ageMs);
    }
    for (const relayed of this.#relayed.values()) relayed.confirmServers(ageMs);
  }

  /** Records a stream that this VM relays. */
  recordRelayed(
    service: string,
    streamId: string,
    begin: { version: string; serverId: string },
  ): void {
    const relayed = this.#getRelayed(service);
    relayed.record(streamId, begin);
    relayed.takeUnpublished();
  }

  /** The version that began a stream, as far as this VM knows. */
  find(service: string, streamId: string): string | undefined {
    return this.#relayed.get(service)?.find(streamId) ??
      this.#versions.get(service)?.find(streamId);
  }

  /**
   * Finds the version that began a stream, or that alone may have. The latter takes a
   * reading of the servers, since this VM may not have heard of a version yet. If there are
   * several, the streams are read that dispatchers have stored.
   */
  async resolve(service: string, streamId: string): Promise<StreamOrigin> {
    const { refresh, restore } = this.#options;
    const versions = this.get(service);
    const known = versions.find(streamId);
    if (known !== undefined) return { kind: "version", version: known };
    if (versions.soleVersion !== undefined) {
      if (!await refresh()) return { kind: "unconfirmed" };
      const version = versions.find(streamId) ?? versions.soleVersion;
      if (version !== undefined) return { kind: "version", version };
    }
    if (!await restore(service)) return { kind: "unconfirmed" };
    const version = versions.find(streamId);
    return version === undefined
      ? { kind: "unknown" }
      : { kind: "version", version };
  }

  /** Publishes the streams that were begun since the last call; call periodically. */
  publishBegun(): void {
    for (const [service, versions] of this.#versions) {
      // Also after the role has moved: its new owner may not know these streams.
      this.#send(service, versions.takeUnpublished());
    }
  }

  /** Sends streams to a VM that may have missed some: all that the dispatcher knows. */
  publishAllTo(vmId: string): void {
    for (const [service, versions] of this.#versions) {
      const isOwner = this.#options.isOwner(service);
      this.#send(
        service,
        isOwner ? versions.export() : versions.listRecorded(),
        vmId,
      );
    }
  }

  /** Adds streams that another VM has published. */
  receive([service, byServer]: Params<"streams.begun">): void {
    this.get(service).merge(decodeStreams(byServer));
  }

  #getRelayed(service: string): StreamVersions {
    let relayed = this.#relayed.get(service);
    if (relayed === undefined) {
      relayed = new StreamVersions();
      this.#relayed.set(service, relayed);
    }
    return relayed;
  }

  #send(
    service: string,
    streams: readonly BegunStream[],
    receiver?: string,
  ): void {
    for (let from = 0; from < streams.length; from += MAX_BEGUN_STREAMS) {
      const part = streams.slice(from, from + MAX_BEGUN_STREAMS);
      this.#options.publish([service, encodeStreams(part)], receiver);
    }
  }
}

/** Server, software version and encoded hashes of the streams that it began. */
export type StreamGroup = [string, string, string];

/** Groups streams by the server and version that began them. */
export function encodeStreams(streams: readonly BegunStream[]): StreamGroup[] {
  const byServer = new Map<string, Map<string, number[]>>();
  for (const { hash, serverId, version } of streams) {
    let byVersion = byServer.get(serverId);
    if (byVersion === undefined) {
      byVersion = new Map();
      byServer.set(serverId, byVersion);
    }
    const hashes = byVersion.get(version);
    if (hashes === undefined) byVersion.set(version, [hash]);
    else hashes.push(hash);
  }
  return [...byServer].flatMap(([serverId, byVersion]) =>
    [...byVersion].map(([version, hashes]): StreamGroup => [
      serverId,
      version,
      encodeHashes(hashes),
    ])
  );
}

/** Reads the groups of {@link encodeStreams}. */
export function decodeStreams(groups: readonly StreamGroup[]): BegunStream[] {
  return groups.flatMap(([serverId, version, hashes]) =>
    decodeHashes(hashes).map((hash) => ({ hash, serverId, version }))
  );
}
