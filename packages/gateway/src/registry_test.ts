import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { EventLog } from "@bitternfall/events";
import { OwnRegistry } from "./own_dialect.ts";
import { Registry } from "./registry.ts";
import { ServerDirectory } from "./server_directory.ts";

let directory: ServerDirectory;
let registry: Registry;
let log: EventLog;

beforeEach(() => {
  vi.useFakeTimers();
  directory = new ServerDirectory();
  log = new EventLog({ level: "fatal" });
  registry = new Registry({
    dialect: new OwnRegistry(),
    directory,
    log,
    onConfig: () => {},
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
  it("lists no server whose id or version is too long for messages", () => {
    registry.onServer(createObject("s".repeat(64)));
    registry.onServer(createObject("s1", { softwareVersion: "v".repeat(64) }));
    expect(listIds()).toEqual([]);
  });
});
