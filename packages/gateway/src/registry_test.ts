import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { EventLog } from "@bitternfall/events";
import type { GatewayConfig } from "./model.ts";
import { OwnRegistry } from "./own_dialect.ts";
import { Registry } from "./registry.ts";
import { ServerDirectory } from "./server_directory.ts";
import { MAX_NAME_LENGTH } from "@bitternfall/types";

let directory: ServerDirectory;
let registry: Registry;
let log: EventLog;
let configs: GatewayConfig[];

beforeEach(() => {
  vi.useFakeTimers();
  directory = new ServerDirectory();
  configs = [];
  log = new EventLog({ level: "fatal" });
  registry = new Registry({
    dialect: new OwnRegistry(),
    directory,
    log,
    onConfig: (config) => configs.push(config),
    onServers: () => {},
  });
});
afterEach(async () => {
  vi.useRealTimers();
  await log.close();
});

function createObject(id: string, fields: object = {}) {
  const value = {
    bornAt: 1,
    service: "app",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "a",
    ...fields,
  };
  return { key: `servers/${id}`, version: 1, value };
}

const listIds = () => directory.list("app").map(({ id }) => id);
const createBothObjects = () => [createObject("s1"), createObject("s2")];

describe("Registry", () => {
  it("removes a server at once when a list or a watch shows that its entry is gone", () => {
    registry.onServerList(createBothObjects(), { outageMs: 0 });
    registry.onServerList([createObject("s1")], { outageMs: 0 });
    expect(listIds()).toEqual(["s1"]);
    registry.onServer({ key: "servers/s1", version: 2, value: null });
    expect(listIds()).toEqual([]);
  });

  it("keeps a server whose entry expired in an outage until the grace time ends", () => {
    registry.onServerList(createBothObjects(), { outageMs: 0 });
    registry.onServerList([createObject("s1")], { outageMs: 5000 });
    expect(listIds()).toEqual(["s1", "s2"]);
    vi.advanceTimersByTime(2000);
    expect(listIds()).toEqual(["s1"]);
  });

  it("keeps a server that registers again within the grace time after an outage", () => {
    registry.onServerList(createBothObjects(), { outageMs: 0 });
    registry.onServerList([createObject("s1")], { outageMs: 5000 });
    registry.onServer(createObject("s2"));
    vi.advanceTimersByTime(5000);
    expect(listIds()).toContain("s2");
  });

  it("lists no server that is draining or whose entry is malformed", () => {
    registry.onServerList(createBothObjects(), { outageMs: 0 });
    registry.onServer(createObject("s1", { isDraining: true }));
    registry.onServer(createObject("s2", { port: "none" }));
    expect(listIds()).toEqual([]);
  });

  // Guards against servers whose grants no message can carry.
  it("lists no server whose id is too long for messages", () => {
    registry.onServer(createObject("s".repeat(MAX_NAME_LENGTH + 1)));
    registry.onServer(createObject("s".repeat(MAX_NAME_LENGTH)));
    expect(listIds()).toEqual(["s".repeat(MAX_NAME_LENGTH)]);
  });

  // Guards against a limit on versions, and against long ones that are kept or taken as one.
  it("lists servers with long versions, which it tells apart by their digests", () => {
    const lengths = [71, MAX_NAME_LENGTH, 1_000_000, 1_000_001];
    for (const length of lengths) {
      const softwareVersion = "v".repeat(length);
      registry.onServer(createObject(`s${length}`, { softwareVersion }));
    }
    const versions = directory.list("app").map((entry) =>
      entry.softwareVersion
    );
    expect(new Set(versions).size).toBe(lengths.length);
    for (const version of versions) {
      expect(version.length).toBeLessThan(MAX_NAME_LENGTH);
    }
  });

  // Guards against a typing error that locks all callers out or lets all in.
  it("applies the valid parts of a configuration, serves nobody by a key in doubt, and logs the place", () => {
    const emit = vi.spyOn(log, "emit");
    const write = (version: number, workspaces: readonly object[]) =>
      registry.onConfigObject({
        key: "gateway/main",
        version,
        value: { version, routes: [], services: [], workspaces },
      });
    const shared = ["k-secret"];
    const invalid: [object, string, string[]][] = [
      [
        { name: "b", keys: shared },
        "workspaces[1].keys[0]: also a key",
        shared,
      ],
      [{ name: "b", keys: ["k-secret-2", 5] }, "workspaces[1].keys[1]: ", []],
      [{ keys: ["k-secret-2"] }, "workspaces[1].name: ", ["k-secret-2"]],
      [
        { name: "b", keys: [], quota: { unit: "tokens", perSecond: -1 } },
        "workspaces[1].quota.perSecond: ",
        [],
      ],
    ];
    for (const [index, [workspace, place, unusable]] of invalid.entries()) {
      emit.mockClear();
      write(index + 1, [{ name: "a", keys: ["k-secret", "k-a"] }, workspace]);
      const config = configs.at(-1)!;
      expect(config.version).toBe(index + 1);
      expect(config.unusableKeys).toEqual(unusable);
      const ofFirst = ["k-secret", "k-a"].filter((key) =>
        !unusable.includes(key)
      );
      expect(config.workspaces?.[0]).toMatchObject({
        name: "a",
        keys: ofFirst,
      });
      const [, fields] = emit.mock.calls.find(([event]) =>
        event === "configPartsIgnored"
      )!;
      expect(JSON.stringify(fields)).toContain(place);
      expect(JSON.stringify(fields)).not.toContain("secret");
    }
    emit.mockClear();
    write(9, []);
    expect(emit.mock.calls.map(([event]) => event)).toEqual(["configApplied"]);
  });

  // Guards against a version that is lost since its number can't be told from the last one.
  it("orders configurations by their versions, and by the object's where those do not tell", () => {
    const write = (revision: number, version: unknown) =>
      registry.onConfigObject({
        key: "gateway/main",
        version: revision,
        value: { version, routes: [], services: [{ name: `at-${revision}` }] },
      });
    const isApplied = (revision: number, version: unknown) => {
      write(revision, version);
      return configs.at(-1)?.services.has(`at-${revision}`);
    };
    expect(isApplied(5, 2 ** 60)).toBe(true);
    expect(isApplied(6, 2 ** 60 + 1)).toBe(true);
    expect(isApplied(7, "2 ** 60 + 2")).toBe(true);
    expect(isApplied(8, 1)).toBe(false);
    write(6, 2 ** 60);
    expect(configs.at(-1)?.services.has("at-7")).toBe(true);
  });

  // Guards against a configuration that stays away for one that can't be read at all.
  it("keeps the configuration in force if a later one has no routes or services", () => {
    const write = (version: number, value: object) =>
      registry.onConfigObject({ key: "gateway/main", version, value });
    write(1, { version: 1, routes: [], services: [] });
    write(2, { version: 2, routes: "none", services: [] });
    write(3, { version: 3, routes: [] });
    expect(configs.map(({ version }) => version)).toEqual([1]);
  });
});
