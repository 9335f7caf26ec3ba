/**
 * What this VM knows of the object API: configuration, servers and members, by its own
 * watches and by what its peers have read.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import type { ObjectApi, StoredObject } from "@bitternfall/platform";
import type { MemberRegistry } from "./members.ts";
import type { PeerGroup } from "./peer_group.ts";
import type { Registry, RegistryDialect } from "./registry.ts";
import type { GatewaySettings } from "./settings.ts";
import { type ObjectCursor, WatchFollower } from "./watch_follower.ts";
import { WatchedObjects, type WatchMode } from "./watched_objects.ts";

/** Options of an {@link ObjectView}. */
export interface ObjectViewOptions {
  readonly api: ObjectApi;
  readonly settings: GatewaySettings["objectApi"];
  readonly dialect: RegistryDialect;
  readonly registry: Registry;
  readonly members: MemberRegistry;
  readonly peers: PeerGroup;
  readonly log: EventLog;
  readonly signal: AbortSignal;
}

/** Prefix of the VMs' own entries. */
export const MEMBER_PREFIX = "bitternfall-members/";

/** A sixth of the time within which a change must be in force. */
const HUB_BATCH_MS = 300;
/** A peer's news come with its next heartbeat, so the own watch only makes sure of them. */
const FOLLOWER_BATCH_MS = 2000;
/** Keeps a VM's calls to a failing object API below two a second. */
const HUB_PAUSE_MS = 600;
/** Hubs tell the others meanwhile; with its spread it is below what a change may take. */
const FOLLOWER_PAUSE_MS = 2000;
/** A configuration of 1 MB takes over a second to the weakest VMs. */
const PULL_TIMEOUT_MS = 2500;
/** Time in which a hub's own watch shows what another hub's has shown. */
const HUB_CATCH_UP_MS = 500;

/** The objects that a gateway follows. */
export class ObjectView {
  readonly #options: ObjectViewOptions;
  readonly #watched: readonly WatchedObjects[];
  readonly #follower: WatchFollower;

  constructor(options: ObjectViewOptions) {
    this.#options = options;
    this.#watched = this.#createWatches();
    const { peers, log, signal } = options;
    this.#follower = new WatchFollower({
      watched: this.#watched,
      log,
      signal,
      getCatchUpMs: () => peers.watchesAsHub ? HUB_CATCH_UP_MS : 0,
      pull: async (peer, cursors) => {
        const lists = await peers.mesh.call(peer, "objects.pull", {
          params: [cursors],
          timeoutMs: PULL_TIMEOUT_MS,
        });
        return lists.map((list) => list && list.map(fromWire));
      },
    });
  }

  /** Whether everything has been read at least once. */
  get isLoaded(): boolean {
    return this.#watched.every((watched) => watched.isLoaded);
  }

  /** Tells peers how much of the objects was read here. */
  get revision(): number {
    return this.#follower.revision;
  }

  /** Reads and watches until the signal is aborted. */
  run(): void {
    for (const watched of this.#watched) void watched.run(this.#options.signal);
  }

  /** A peer has told how much it has read. */
  onPeerRevision(peer: string, revision: number): void {
    void this.#follower.onPeerRevision(peer, revision);
  }

  /** Answers a peer that has read less. */
  listSince(
    cursors: readonly ObjectCursor[],
  ): ([string, number, unknown][] | null)[] {
    return this.#follower.listSince(cursors).map((list) =>
      list && list.map(({ key, version, value }) => [key, version, value])
    );
  }

  #getMode(): WatchMode {
    const { settings, peers } = this.#options;
    const { watchWaitMs, hubWatchWaitMs } = settings;
    if (!peers.watchesAsHub && peers.hearsHubs) {
      return {
        waitMs: watchWaitMs,
        allowStale: true,
        batchMs: FOLLOWER_BATCH_MS,
        longestPauseMs: FOLLOWER_PAUSE_MS,
      };
    }
    // A silent watch is noticed once its wait is over.
    return {
      waitMs: hubWatchWaitMs,
      allowStale: false,
      batchMs: HUB_BATCH_MS,
      longestPauseMs: HUB_PAUSE_MS,
    };
  }

  #createWatches(): WatchedObjects[] {
    const { api, dialect, registry, members, log } = this.#options;
    const shared = { api, log, getMode: () => this.#getMode() };
    return [
      new WatchedObjects({
        ...shared,
        prefix: dialect.configPrefix,
        onList: (objects) => registry.onConfigs(objects),
        onChange: (object) => registry.onConfigObject(object),
      }),
      new WatchedObjects({
        ...shared,
        prefix: dialect.serverPrefix,
        onList: (objects, options) => registry.onServerList(objects, options),
        onChange: (object) => registry.onServer(object),
      }),
      new WatchedObjects({
        ...shared,
        prefix: MEMBER_PREFIX,
        onList: (objects) => members.onList(objects),
        onChange: (object) => members.onObject(object),
      }),
    ];
  }
}

function fromWire([key, version, value]: [string, number, unknown]) {
  return { key, version, value } satisfies StoredObject;
}
