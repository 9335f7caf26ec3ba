/**
 * This VM's view of the object API: configuration, servers, members and records of services,
 * kept current by its own watches and by changes that it pulls from peers.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import type { ObjectApi, StoredObject } from "@bitternfall/platform";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { MemberRegistry } from "./members.ts";
import type { PeerGroup } from "./peer_group.ts";
import { HubConfirmation } from "./hub_confirmation.ts";
import type { Registry, RegistryDialect } from "./registry.ts";
import type { GatewaySettings } from "./settings.ts";
import {
  SERVICE_RECORD_PREFIX,
  type ServiceRecordStore,
} from "./service_record_store.ts";
import { type ObjectCursor, PeerObjectSync } from "./peer_object_sync.ts";
import { OutageGate } from "./outage_gate.ts";
import { WatchedObjects, type WatchMode } from "./watched_objects.ts";

/** Options of an {@link ObjectView}. */
export interface ObjectViewOptions {
  readonly api: ObjectApi;
  readonly settings: GatewaySettings["objectApi"];
  readonly dialect: RegistryDialect;
  readonly registry: Registry;
  readonly members: MemberRegistry;
  readonly serviceRecords: ServiceRecordStore;
  readonly peers: PeerGroup;
  /** Called when all changes of the servers are applied that are older than `ageMs`. */
  readonly onServersCurrent: (ageMs: number) => void;
  /** Called after the records of services were listed; other lists announce themselves. */
  readonly onServiceRecords: () => void;
  readonly log: EventLog;
  readonly signal: AbortSignal;
}

/** Key prefix of the VMs' entries. */
export const MEMBER_PREFIX = "bitternfall-members/";

/** Batching time of hubs: a sixth of the time within which a change must be applied. */
const HUB_BATCH_MS = 300;
/** Changes arrive sooner through peers' heartbeats; the own watch is only a fallback. */
const FOLLOWER_BATCH_MS = 2000;
/** Keeps the mean rate of each watch's calls to a failing object API below two per second. */
const HUB_MAX_BACKOFF_MS = 600;
/** Changes arrive from hubs meanwhile; with jitter it is below the time a change may take. */
const FOLLOWER_MAX_BACKOFF_MS = 2000;
/** A configuration of 1 MB takes over a second to reach the weakest VMs. */
const PULL_TIMEOUT_MS = 2500;
const CONFIRM_TIMEOUT_MS = 400;
/** Kinds of objects that are watched. */
const WATCH_COUNT = 4;
/** The answer to a hub's watch is missing this long after it was due. */
const CONFIRM_GRACE_MS = 500;
/** A hub's watch waits for at least this share of the usual wait. */
const MIN_WAIT_SHARE = 1 / WATCH_COUNT;
/** Time between the watches that begin to read without delay when a hub is lost. */
const MODE_CHANGE_STEP_MS = 40;
/** Time for a hub's own watch to deliver what another hub has already read. */
const HUB_CATCH_UP_MS = 500;

/** Watches all objects that a gateway needs. */
export class ObjectView {
  readonly #options: ObjectViewOptions;
  readonly #watched: readonly WatchedObjects[];
  readonly #peerSync: PeerObjectSync;
  readonly #confirmation: HubConfirmation;
  /** The last refresh that has begun. */
  #refresh: Promise<boolean> | undefined;
  /** The one that begins when it has ended. */
  #nextRefresh: Promise<boolean> | undefined;

  constructor(options: ObjectViewOptions) {
    this.#options = options;
    this.#watched = this.#createWatches();
    const { peers, log, signal } = options;
    this.#peerSync = new PeerObjectSync({
      watched: this.#watched,
      log,
      signal,
      canPull: (peer) => peers.canPullObjects(peer),
      getCatchUpMs: () =>
        peers.watchesAsHub && !this.#isFailing ? HUB_CATCH_UP_MS : 0,
      pull: async (peer, cursors) => {
        const lists = await peers.pullObjects(peer, cursors, PULL_TIMEOUT_MS);
        return lists.map((list) => list && list.map(decodeObject));
      },
    });
    this.#confirmation = new HubConfirmation({
      listHubs: () => peers.watchesAsHub ? [] : peers.listOtherHubs(),
      ask: async (hub) => {
        const answer = await peers.mesh.call(hub, "objects.confirm", {
          params: [],
          timeoutMs: CONFIRM_TIMEOUT_MS,
        });
        return answer === null
          ? undefined
          : { ageMs: answer[0], revision: answer[1] };
      },
      onConfirmed: ({ ageMs, revision }) => {
        if (revision === this.revision) options.onServersCurrent(ageMs);
      },
      onChange: () => void this.#onModeChange(),
      log,
    });
  }

  /** Whether all kinds of objects have been listed at least once. */
  get isLoaded(): boolean {
    return this.#watched.every((watched) => watched.isLoaded);
  }

  /**
   * Reads the changes of servers and of services' records up to now; false if that fails.
   * One read serves all that have asked for it before it begins.
   */
  refreshServers(): Promise<boolean> {
    this.#nextRefresh ??= this.#runNextRefresh();
    return this.#nextRefresh;
  }

  /** Sent to peers in heartbeats; grows with every object that is read here. */
  get revision(): number {
    return this.#peerSync.revision;
  }

  /** Lists and watches until the signal is aborted. */
  run(): void {
    const { signal } = this.#options;
    for (const watched of this.#watched) void watched.run(signal);
    void this.#confirmation.run(signal);
  }

  /** Call when VMs have become hubs or are hubs no more, or when one may be lost. */
  onHubsChange(): void {
    this.#confirmation.recheck();
    void this.#onModeChange();
  }

  /**
   * Tells how old this VM's last answer of the object API is, and its revision; null if it
   * may lack changes that are older.
   */
  confirm(): [ageMs: number, revision: number] | null {
    const { hubWatchWaitMs } = this.#options.settings;
    const now = monotonicNow();
    const ages = this.#watched.map(({ confirmedAt }) => now - confirmedAt);
    // A watch that has got no answer yet has no changes, unless its connection is silent.
    const maxAgeMs = (1 + MIN_WAIT_SHARE) * hubWatchWaitMs + CONFIRM_GRACE_MS;
    if (this.#isFailing || Math.max(...ages) > maxAgeMs) return null;
    return [Math.min(...ages), this.revision];
  }

  /** Pulls changes from a peer whose heartbeat carries a higher revision. */
  onPeerRevision(peer: string, revision: number): void {
    void this.#peerSync.onPeerRevision(peer, revision);
  }

  /** Returns to a peer what has changed after its cursors. */
  listSince(
    cursors: readonly ObjectCursor[],
  ): ([string, number, unknown][] | null)[] {
    return this.#peerSync.listSince(cursors).map((list) =>
      list && list.map(({ key, version, value }) => [key, version, value])
    );
  }

  async #runNextRefresh(): Promise<boolean> {
    await this.#refresh?.catch(() => {});
    this.#refresh = this.#nextRefresh;
    this.#nextRefresh = undefined;
    const { serverPrefix } = this.#options.dialect;
    const prefixes = [serverPrefix, SERVICE_RECORD_PREFIX];
    const refreshed = await Promise.all(
      this.#watched.filter(({ prefix }) => prefixes.includes(prefix))
        .map((watched) => watched.refresh()),
    );
    return refreshed.every((isCurrent) => isCurrent);
  }

  /** Whether the object API has not answered the last call of a watch. */
  get #isFailing(): boolean {
    return this.#watched.some(({ isFailing }) => isFailing);
  }

  /**
   * Lets the watches read without delay, one after the other, where no hub confirms any
   * more what this VM knows. If the object API does not answer the first, the others wait.
   */
  async #onModeChange(): Promise<void> {
    const { signal } = this.#options;
    for (const watched of this.#watched) {
      watched.onModeChange();
      await sleep(MODE_CHANGE_STEP_MS, signal);
    }
  }

  #getWatchMode(index: number): WatchMode {
    const { settings, peers } = this.#options;
    const { watchWaitMs, hubWatchWaitMs } = settings;
    if (!peers.watchesAsHub && this.#confirmation.isValid) {
      return {
        waitMs: watchWaitMs,
        allowStale: true,
        batchMs: FOLLOWER_BATCH_MS,
        maxBackoffMs: FOLLOWER_MAX_BACKOFF_MS,
      };
    }
    return {
      waitMs: alignWait(hubWatchWaitMs, index),
      allowStale: false,
      batchMs: HUB_BATCH_MS,
      maxBackoffMs: peers.watchesAsHub || !peers.hasLiveHub
        ? HUB_MAX_BACKOFF_MS
        : FOLLOWER_MAX_BACKOFF_MS,
    };
  }

  #createWatches(): WatchedObjects[] {
    const { api, dialect, registry, members, log } = this.#options;
    const { serviceRecords, onServiceRecords, onServersCurrent } =
      this.#options;
    const gate = new OutageGate();
    const share = (index: number) => ({
      api,
      log,
      gate,
      getWatchMode: () => this.#getWatchMode(index),
    });
    return [
      new WatchedObjects({
        ...share(0),
        prefix: dialect.configPrefix,
        reduce: (object) => registry.reduceConfig(object),
        onList: (objects) => registry.onConfigList(objects),
        onChange: (object) => registry.onConfigObject(object),
      }),
      new WatchedObjects({
        ...share(1),
        prefix: dialect.serverPrefix,
        reduce: (object) => registry.reduceServer(object),
        onList: (objects, options) => registry.onServerList(objects, options),
        onChange: (object) => registry.onServer(object),
        onCurrent: () => onServersCurrent(0),
      }),
      new WatchedObjects({
        ...share(2),
        prefix: MEMBER_PREFIX,
        reduce: (object) => members.reduce(object),
        onList: (objects) => members.onList(objects),
        onChange: (object) => members.onObject(object),
      }),
      new WatchedObjects({
        ...share(3),
        prefix: SERVICE_RECORD_PREFIX,
        reduce: (object) => serviceRecords.reduce(object),
        onList: (objects) => {
          serviceRecords.onList(objects);
          onServiceRecords();
        },
        onChange: (object) => serviceRecords.onObject(object),
      }),
    ];
  }
}

/**
 * Returns a wait that ends at a time of the watch's own, so that the watches of a VM are
 * answered in turn and the last answer is never old. It is short, since a silent watch is
 * noticed only when its wait ends.
 */
function alignWait(periodMs: number, index: number): number {
  const offsetMs = periodMs * index / WATCH_COUNT;
  const elapsedMs = (monotonicNow() + periodMs - offsetMs) % periodMs;
  const waitMs = Math.round(periodMs - elapsedMs);
  return waitMs < periodMs * MIN_WAIT_SHARE ? waitMs + periodMs : waitMs;
}

function decodeObject([key, version, value]: [string, number, unknown]) {
  return { key, version, value } satisfies StoredObject;
}
