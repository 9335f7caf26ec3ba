import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import { type ObjectApi, StoreError } from "@bitternfall/platform";
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

describe("a watch that waits before it asks a failing object API again", () => {
  it("lists at once when there is a reason to read everything anew", async () => {
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
    const watched = new WatchedObjects({
      api: api as unknown as ObjectApi,
      prefix: "servers/",
      getMode: () => ({
        waitMs: 100,
        allowStale: false,
        batchMs: 10,
        longestPauseMs: 60_000,
      }),
      log,
      onList: () => {},
      onChange: () => {},
    });
    void watched.run(stop.signal);
    // The pause after the fifth failure is at least 800 ms.
    while (failures < 5) await sleep(5);
    const restartedAt = performance.now();
    watched.restart();
    while (lists < 2) await sleep(5);
    expect(performance.now() - restartedAt).toBeLessThan(500);
  });
});
