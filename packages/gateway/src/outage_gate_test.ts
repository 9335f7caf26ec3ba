import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import { type ObjectApi, StoreError } from "@bitternfall/platform";
import { sleep } from "@bitternfall/types";
import { OutageGate } from "./outage_gate.ts";
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

/** An object API that can be made to refuse all calls, and that counts them. */
class RefusingApi {
  isRefusing = false;
  calls = 0;

  list(): Promise<unknown> {
    return this.#answer(0);
  }

  watch(_prefix: string, { waitMs }: { waitMs: number }): Promise<unknown> {
    return this.#answer(waitMs);
  }

  async #answer(ms: number): Promise<unknown> {
    this.calls++;
    if (!this.isRefusing) await sleep(ms, stop.signal);
    if (this.isRefusing) {
      throw new StoreError({ tag: "unavailable" }, "object API answered 429");
    }
    return { revision: 1, objects: [] };
  }
}

describe("the watches of a VM that the object API turns away", () => {
  const PREFIXES = ["config/", "servers/", "members/", "services/"];

  function watchAll(api: RefusingApi): WatchedObjects[] {
    const gate = new OutageGate();
    return PREFIXES.map((prefix) => {
      const watched = new WatchedObjects({
        api: api as unknown as ObjectApi,
        prefix,
        gate,
        getWatchMode: () => ({
          waitMs: 60,
          allowStale: false,
          batchMs: 0,
          maxBackoffMs: 100,
        }),
        log,
        onList: () => {},
        onChange: () => {},
      });
      void watched.run(stop.signal);
      return watched;
    });
  }

  // Guards against four times the refused calls, each of which is paid for.
  it("leave it to one of them to test the API, and all go on once it answers", async () => {
    const api = new RefusingApi();
    const all = watchAll(api);
    while (!all.every(({ isLoaded }) => isLoaded)) await sleep(5);
    api.isRefusing = true;
    while (!all.every(({ isFailing }) => isFailing)) await sleep(5);
    const before = api.calls;
    await sleep(1000);
    // One watch alone makes 7 to 20 calls in this time.
    expect(api.calls - before).toBeGreaterThan(2);
    expect(api.calls - before).toBeLessThanOrEqual(21);
    api.isRefusing = false;
    while (all.some(({ isFailing }) => isFailing)) await sleep(5);
  });

  // Guards against one kind of objects that can't be read, which would hold up all others.
  it("wait for no longer than the longest wait", async () => {
    const gate = new OutageGate({ maxWaitMs: 50 });
    const [prober, other] = [{}, {}];
    gate.onFailure(prober);
    expect([gate.blocks(prober), gate.blocks(other)]).toEqual([false, true]);
    const startedAt = performance.now();
    await gate.whenOpen(stop.signal);
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(45);
    expect(gate.blocks(other)).toBe(true);
  });

  it("end while they wait", async () => {
    const api = new RefusingApi();
    api.isRefusing = true;
    const all = watchAll(api);
    while (!all.every(({ isFailing }) => isFailing)) await sleep(5);
    stop.abort();
    await sleep(300);
    const before = api.calls;
    await sleep(300);
    expect(api.calls).toBe(before);
  });
});
