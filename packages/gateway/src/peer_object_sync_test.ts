import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import type { StoredObject } from "@bitternfall/platform";
import { PeerObjectSync } from "./peer_object_sync.ts";
import type { WatchedObjects } from "./watched_objects.ts";

const NEWER: StoredObject = { key: "config/main", version: 8, value: {} };

let log: EventLog;
let stop: AbortController;
let pulls: string[];
let restarts: string[];
let applied: StoredObject[];

beforeEach(() => {
  log = new EventLog({ level: "fatal" });
  stop = new AbortController();
  pulls = [];
  restarts = [];
  applied = [];
});
afterEach(async () => {
  stop.abort();
  await log.close();
});

function createWatched(prefix: string, isFailing: boolean): WatchedObjects {
  return {
    prefix,
    isFailing,
    get newestVersion() {
      return applied.length > 0 && prefix === "config/" ? 8 : 5;
    },
    cursor: 5,
    restart: () => void restarts.push(prefix),
    apply: (objects: StoredObject[]) => void applied.push(...objects),
  } as unknown as WatchedObjects;
}

/** A hub, with a link to hub-2 but none to the VMs that are not hubs. */
function createSync({ isFailing }: { isFailing: boolean }): PeerObjectSync {
  return new PeerObjectSync({
    watched: [
      createWatched("config/", isFailing),
      createWatched("servers/", false),
    ],
    log,
    signal: stop.signal,
    canPull: (peer) => peer === "hub-2",
    getCatchUpMs: () => 0,
    pull: (peer) => {
      pulls.push(peer);
      return Promise.resolve([[NEWER], []]);
    },
  });
}

describe("a hub that hears of newer objects from a VM that it has no link to", () => {
  // Guards against a hub, turned away by the store, that stays behind although another hub
  // knows more.
  it("still pulls them from a hub that has them too", async () => {
    const sync = createSync({ isFailing: true });
    await sync.onPeerRevision("vm-9", 13);
    await sync.onPeerRevision("hub-2", 13);
    expect(pulls).toEqual(["hub-2"]);
    expect(applied).toEqual([NEWER]);
  });

  // Guards against lists, each of them paid, at every heartbeat of every VM.
  it("restarts once the watches that are not failing anyhow", async () => {
    const sync = createSync({ isFailing: true });
    for (const vm of ["vm-7", "vm-8", "vm-9", "vm-9"]) {
      await sync.onPeerRevision(vm, 13);
    }
    expect(restarts).toEqual(["servers/"]);
    expect(pulls).toEqual([]);
  });
});
