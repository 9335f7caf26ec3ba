import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import {
  type ObjectApi,
  type StoredObject,
  StoreError,
} from "@bitternfall/platform";
import { sleep } from "@bitternfall/types";
import { WatchedObjects } from "./watched_objects.ts";

let log: EventLog;
let stop: AbortController;

beforeEach(() => {
  log = new EventLog({ level: "fatal" });
  stop = new AbortController();
});
afterEach(async () => {
  stop.abort();
  await log.close();
});

function createWatched(options: {
  api: ObjectApi;
  maxBackoffMs: number;
  onChange?: (object: StoredObject) => void;
}): WatchedObjects {
  const { api, maxBackoffMs, onChange = () => {} } = options;
  return new WatchedObjects({
    api,
    prefix: "servers/",
    getWatchMode: () => ({
      waitMs: 100,
      allowStale: false,
      batchMs: 10,
      maxBackoffMs,
    }),
    log,
    onList: () => {},
    onChange,
  });
}

describe("WatchedObjects", () => {
  // Guards against a VM that stops following the object API because of one error.
  it("goes on after a reader of its objects has thrown", async () => {
    const applied: string[] = [];
    let revision = 0;
    const api = {
      list: () => Promise.resolve({ revision, objects: [] }),
      watch: async () => {
        await sleep(5);
        const object = { key: `servers/s${++revision}`, version: revision };
        return { revision, objects: [{ ...object, value: {} }] };
      },
    };
    const watched = createWatched({
      api: api as unknown as ObjectApi,
      maxBackoffMs: 100,
      onChange: ({ key }) => {
        if (key === "servers/s2") throw new RangeError("odd");
        applied.push(key);
      },
    });
    const running = watched.run(stop.signal);
    while (!applied.includes("servers/s4")) {
      await Promise.race([running, sleep(5)]);
    }
    expect(applied).toEqual(["servers/s1", "servers/s3", "servers/s4"]);
  });

  it("lists at once when restarted during the back-off after a failure", async () => {
    let lists = 0;
    let failures = 0;
    const api = {
      list: () => {
        lists++;
        return Promise.resolve({ revision: 1, objects: [] });
      },
      watch: () => {
        failures++;
        const fault = { tag: "unavailable" } as const;
        return Promise.reject(new StoreError(fault, "down"));
      },
    };
    const watched = createWatched({
      api: api as unknown as ObjectApi,
      maxBackoffMs: 60_000,
    });
    void watched.run(stop.signal);
    // The back-off after the fifth failure is at least 800 ms.
    while (failures < 5) await sleep(5);
    const restartedAt = performance.now();
    watched.restart();
    while (lists < 2) await sleep(5);
    expect(performance.now() - restartedAt).toBeLessThan(500);
  });
});
