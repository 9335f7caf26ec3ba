import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { StreamRegistry } from "@bitternfall/dispatch-host";
import { EventLog } from "@bitternfall/events";
import type { ObjectStore } from "@bitternfall/platform";
import { sleep } from "@bitternfall/types";
import { BegunStreamStore } from "./begun_stream_store.ts";
import { TestGateway } from "./test_gateway.ts";

/** Longer than the interval between writes, on a slow machine too. */
const WRITTEN_MS = 900;
const SERVERS = ["v1", "v2"].map((softwareVersion) => ({
  id: `s-${softwareVersion}`,
  bornAt: 1,
  softwareVersion,
}));

interface Vm {
  readonly api: ObjectStore;
  readonly registry: StreamRegistry;
  canRefresh: boolean;
}

let platform: TestGateway;
let stop: AbortController;
let log: EventLog;

beforeEach(async () => {
  platform = new TestGateway();
  await platform.start();
  stop = new AbortController();
  log = new EventLog({ level: "fatal" });
});
afterEach(async () => {
  stop.abort();
  await log.close();
  await platform.close();
});

/** A VM that takes itself for the dispatcher. */
function addVm({ servers = SERVERS } = {}): Vm {
  const api = platform.createStore();
  const vm: Vm = { api, registry: createRegistry(), canRefresh: true };
  const store = new BegunStreamStore({
    api,
    streams: vm.registry,
    isOwner: () => true,
    refreshServers: () => Promise.resolve(vm.canRefresh),
    log,
    signal: stop.signal,
  });
  vm.registry.get("lm").setServers(servers);
  void store.run();
  return vm;

  function createRegistry(): StreamRegistry {
    return new StreamRegistry({
      isOwner: () => true,
      publish: () => {},
      refresh: () => Promise.resolve(true),
      restore: (service) => store.restore(service),
      onVersions: () => {},
    });
  }
}

function begin({ registry }: Vm, id: string, version = "v1"): void {
  registry.get("lm").record(id, { version, serverId: `s-${version}` });
}

describe("the begun streams of a service", () => {
  // Guards against two dispatchers at a takeover that erase each other's streams.
  it("are those of all VMs that take themselves for its dispatcher", async () => {
    const vms = [addVm(), addVm(), addVm()];
    for (let round = 0; round < 2; round++) {
      for (const [index, vm] of vms.entries()) begin(vm, `${round}-${index}`);
      await sleep(WRITTEN_MS);
    }
    const { registry } = addVm();
    for (const id of ["0-0", "0-1", "0-2", "1-0", "1-1", "1-2"]) {
      expect(await registry.resolve("lm", id)).toEqual({
        kind: "version",
        version: "v1",
      });
    }
  });

  // Guards against writes on days without a release, and without new streams.
  it("are not written while there is one version, nor again without a change", async () => {
    const vm = addVm({ servers: SERVERS.slice(0, 1) });
    begin(vm, "a");
    await sleep(WRITTEN_MS);
    expect(vm.api.calls).toEqual({ reads: 0, writes: 0, watches: 0 });
    vm.registry.get("lm").setServers(SERVERS);
    await sleep(WRITTEN_MS);
    const { writes } = vm.api.calls;
    expect(writes).toBeGreaterThan(0);
    await sleep(WRITTEN_MS);
    expect(vm.api.calls.writes).toBe(writes);
  });

  // Guards against a stream that is refused for good while its version can't be read.
  it("are unconfirmed, not unknown, while the object API or the servers can't be read", async () => {
    begin(addVm(), "a");
    await sleep(WRITTEN_MS);
    const vm = addVm();
    vm.canRefresh = false;
    expect(await vm.registry.resolve("lm", "a")).toEqual({
      kind: "unconfirmed",
    });
    vm.canRefresh = true;
    platform.platform.faults.down = true;
    expect(await vm.registry.resolve("lm", "a")).toEqual({
      kind: "unconfirmed",
    });
    platform.platform.faults.down = false;
    await sleep(1100);
    expect(await vm.registry.resolve("lm", "a")).toEqual({
      kind: "version",
      version: "v1",
    });
    expect(await vm.registry.resolve("lm", "b")).toEqual({ kind: "unknown" });
  });

  // Guards against a burst of unknown streams that becomes one of calls.
  it("are read once for many requests", async () => {
    const vm = addVm();
    await Promise.all(
      Array.from({ length: 50 }, (_, id) => vm.registry.resolve("lm", `${id}`)),
    );
    expect(vm.api.calls.reads).toBe(1);
  });

  // Guards against a record that was stored before its server started again.
  it("don't bring back a version that became uncertain", async () => {
    const before = addVm();
    begin(before, "a");
    begin(before, "b", "v2");
    await sleep(WRITTEN_MS);
    const [first, second] = SERVERS;
    const again = { ...first!, bornAt: 2, softwareVersion: "v2" };
    const { registry } = addVm({ servers: [again, second!] });
    registry.get("lm").addVersions(["v1"]);
    expect(await registry.resolve("lm", "a")).toEqual({ kind: "unknown" });
    expect(await registry.resolve("lm", "b")).toEqual({
      kind: "version",
      version: "v2",
    });
  });
});
