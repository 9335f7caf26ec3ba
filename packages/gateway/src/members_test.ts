import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import {
  type ObjectApi,
  type StoredObject,
  StoreError,
} from "@bitternfall/platform";
import { sleep } from "@bitternfall/types";
import { MemberRegistry } from "./members.ts";

const KEY = "members/vm-1";
const ADDRESS = "10.0.0.1:7000";
const ENTRY = { address: ADDRESS, availabilityZone: "a", strength: 1 };

let log: EventLog;
let stop: AbortController;
/** The calls to the object API, in order. */
let calls: string[];
let stored: StoredObject | undefined;

beforeEach(() => {
  log = new EventLog({ level: "fatal" });
  stop = new AbortController();
  calls = [];
  stored = undefined;
});
afterEach(async () => {
  stop.abort();
  await log.close();
});

function createRegistry(): MemberRegistry {
  const api: Partial<ObjectApi> = {
    get: () => {
      calls.push("get");
      return Promise.resolve(stored);
    },
    put: (key, { value, when }) => {
      calls.push("put");
      const version = "version" in when ? when.version : 0;
      if (version !== (stored?.version ?? 0)) {
        const fault = { tag: "conflict", version: stored!.version } as const;
        return Promise.reject(new StoreError(fault, "conflict"));
      }
      stored = { key, version: version + 1, value };
      return Promise.resolve(version + 1);
    },
    delete: (_key, version) => {
      calls.push("delete");
      if (version === stored?.version) stored = undefined;
      return Promise.resolve();
    },
  };
  return new MemberRegistry({
    api: api as ObjectApi,
    prefix: "members/",
    self: { id: "vm-1", availabilityZone: "a", strength: 1 },
    log,
    onChange: () => {},
  });
}

// Guards against one more paid call of each VM at each start and each stop.
describe("the entry of a VM", () => {
  it("is written with one call and removed with one", async () => {
    const members = createRegistry();
    const joined = members.join(ADDRESS, stop.signal);
    members.onList([]);
    await joined;
    expect(stored?.value).toEqual(ENTRY);
    await members.leave();
    expect(stored).toBeUndefined();
    expect(calls).toEqual(["put", "delete"]);
  });

  it("is not written again after a restart", async () => {
    stored = { key: KEY, version: 7, value: ENTRY };
    const members = createRegistry();
    members.onList([stored]);
    await members.join(ADDRESS, stop.signal);
    expect(calls).toEqual([]);
    await members.leave();
    expect(stored).toBeUndefined();
  });

  // Guards against a VM that is no member for good, as a restart leaves the entry unchanged.
  it("is written again if the last process's removal is carried out late", async () => {
    stored = { key: KEY, version: 7, value: ENTRY };
    const members = createRegistry();
    members.onList([stored]);
    await members.join(ADDRESS, stop.signal);
    stored = undefined;
    members.onObject({ key: KEY, version: 8, value: null });
    await sleep(0);
    expect(stored).toMatchObject({ value: ENTRY });
    await members.leave();
    members.onObject({ key: KEY, version: 9, value: null });
    await sleep(0);
    expect(stored).toBeUndefined();
  });

  it("is read again if it has changed since the list", async () => {
    const members = createRegistry();
    members.onList([]);
    stored = { key: KEY, version: 3, value: { ...ENTRY, address: "old:1" } };
    await members.join(ADDRESS, stop.signal);
    expect(stored?.value).toEqual(ENTRY);
    expect(calls).toEqual(["put", "get", "put"]);
  });
});
