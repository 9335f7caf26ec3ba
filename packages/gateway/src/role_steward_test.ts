import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import { Lease } from "@bitternfall/lease";
import { ObjectStore } from "@bitternfall/platform";
import { PlatformStandIn, StagedServer } from "@bitternfall/stand-ins";
import { ServerRole } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";
import { OwnServers } from "./own_dialect.ts";
import { RoleSteward, type StewardedService } from "./role_steward.ts";
import { ServerClient } from "./server_client.ts";

const LEASE_MS = 3000;
let platform: PlatformStandIn;
let store: ObjectStore;
let servers: StagedServer[];
let log: EventLog;
let now: number;

beforeEach(async () => {
  now = 0;
  platform = new PlatformStandIn({ random: () => 0.5 });
  await platform.listen();
  store = new ObjectStore({ address: platform.address });
  log = new EventLog({ level: "fatal" });
  servers = [];
  for (const role of ["prefill", "prefill", "prefill", "decode"] as const) {
    const server = new StagedServer({ id: `s${servers.length}` });
    server.role = role;
    await server.listen();
    servers.push(server);
  }
});
afterEach(async () => {
  for (const server of servers) await server.close();
  await store.close();
  await log.close();
  await platform.close();
});

function createSteward(vm: string): RoleSteward {
  const dialect = new OwnServers();
  const clock = () => now;
  return new RoleSteward({
    vmId: vm,
    lease: new Lease({
      store,
      key: "leases/roles",
      vm,
      incarnation: 1,
      leaseMs: LEASE_MS,
      now: clock,
    }),
    leaseMs: LEASE_MS,
    client: new ServerClient({ dialect, now: clock }),
    dialect,
    log,
    now: clock,
    expected: {
      promptTokens: 3200,
      outputEvents: 72,
      prefillTokensPerMs: 33,
      prefillBaseMs: 30,
      holdMs: 3300,
    },
    checkClock: () => {},
    onChange: () => {},
  });
}

function getService(): StewardedService {
  const entries = servers.map((server): ServerEntry => ({
    id: server.id,
    bornAt: 1,
    service: "lm",
    host: "127.0.0.1",
    port: server.port,
    availabilityZone: "a",
    isDraining: false,
    softwareVersion: "",
    role: server.role === "prefill" ? ServerRole.Prefill : ServerRole.Decode,
  }));
  const engine = {
    slots: 16,
    memoryTokens: 29_250,
    tokensPerEvent: 11,
    handleMs: 500,
    roleSwitchMs: 6000,
  };
  return { name: "lm", engine, servers: entries };
}

const listOrders = () => servers.flatMap(({ orders }) => orders);

describe("RoleSteward", () => {
  it("issues each planned order once", async () => {
    const steward = createSteward("vm-1");
    const before = getService();
    await steward.reconcileRoles(before);
    expect(listOrders()).toHaveLength(2);
    expect(listOrders()[0]).toMatchObject({
      order: { role: "decode", holder: "vm-1", fence: 1, ordersAccepted: 0 },
      status: 202,
    });
    // The entries still show the old roles, but no order is issued again.
    await steward.reconcileRoles(before);
    expect(listOrders()).toHaveLength(2);
  });

  it("issues no orders while another VM's lease may be valid", async () => {
    await createSteward("vm-1").reconcileRoles({
      ...getService(),
      servers: [],
    });
    const second = createSteward("vm-2");
    await second.reconcileRoles(getService());
    now = LEASE_MS - 1;
    await second.reconcileRoles(getService());
    expect(listOrders()).toEqual([]);
    now = LEASE_MS;
    await second.reconcileRoles(getService());
    expect(listOrders()).toEqual([]);
    now = 2 * LEASE_MS;
    await second.reconcileRoles(getService());
    expect(listOrders()[0]).toMatchObject({ order: { fence: 2 } });
  });

  // Guards against two holders that order a server in turn within the lease duration.
  it("issues its first order a lease duration after the last one of the holder before", async () => {
    const first = createSteward("vm-1");
    await first.reconcileRoles({ ...getService(), servers: [] });
    const second = createSteward("vm-2");
    await second.reconcileRoles(getService());
    // The first holder can't renew the lease, but still counts on it.
    now = 1900;
    platform.faults.down = true;
    await first.reconcileRoles(getService());
    platform.faults.down = false;
    const lastOrderAt = now;
    const issued = listOrders().length;
    expect(issued).toBeGreaterThan(0);
    for (const server of servers.slice(0, 3)) server.role = "prefill";
    while (listOrders().length === issued && now < 4 * LEASE_MS) {
      now += 100;
      await second.reconcileRoles(getService());
    }
    expect(listOrders().at(-1)).toMatchObject({ order: { fence: 2 } });
    expect(now - lastOrderAt).toBeGreaterThanOrEqual(LEASE_MS);
  });

  it("gives up the lease if a server has seen a higher fencing number", async () => {
    for (const server of servers) server.highestFence = 9;
    const steward = createSteward("vm-1");
    await steward.reconcileRoles(getService());
    expect(listOrders().map(({ status }) => status)).toEqual([412]);
    await steward.reconcileRoles(getService());
    expect(listOrders()).toHaveLength(1);
  });

  it("reports a server as switching until its entry shows the new role", async () => {
    const steward = createSteward("vm-1");
    await steward.reconcileRoles(getService());
    const moved = servers.filter(({ orders }) => orders.length > 0);
    for (const { id } of moved) expect(steward.isSwitching(id)).toBe(true);
    await steward.reconcileRoles(getService());
    for (const { id } of moved) expect(steward.isSwitching(id)).toBe(false);
  });

  // Guards against a server that stays unused for the rest of a switch that has ended with
  // its process, and against an order that the new process needs and does not get.
  it("orders a server anew that has started again under its id during a switch", async () => {
    const steward = createSteward("vm-1");
    const before = getService();
    await steward.reconcileRoles(before);
    const [moved] = servers.filter(({ orders }) => orders.length > 0);
    moved!.orders.length = 0;
    const entries = before.servers.map((entry) =>
      entry.id === moved!.id ? { ...entry, bornAt: 2 } : entry
    );
    await steward.reconcileRoles({ ...before, servers: entries });
    expect(moved!.orders).toHaveLength(1);
  });

  it("waits for an observation before it changes the roles of a service under load", async () => {
    const steward = createSteward("vm-1");
    await steward.reconcileRoles({ ...getService(), hasServed: true });
    expect(listOrders()).toEqual([]);
  });

  it("changes the role of one server at a time under load", async () => {
    const steward = createSteward("vm-1");
    const observed = {
      promptTokens: 3200,
      outputTokens: 800,
      prefillTokensPerMs: 33,
      holdMs: 3300,
    };
    const underLoad = { ...getService(), observed, hasServed: true };
    await steward.reconcileRoles(underLoad);
    await steward.reconcileRoles(underLoad);
    expect(listOrders()).toHaveLength(1);
    await steward.reconcileRoles({ ...underLoad, ...getService() });
    expect(listOrders()).toHaveLength(2);
  });
});
