import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { StagedServer } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { TestGateway } from "./test_gateway.ts";

let deployment: TestGateway;
let server: StagedServer;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start();
  server = await deployment.addServer({ id: "s1" });
});
afterEach(() => deployment.close());

async function isServed(id: string): Promise<boolean> {
  const { status } = await deployment.send({ id, path: "/safe/x" });
  return status === 200;
}

describe("a gateway whose watches hear nothing", () => {
  it("follows a peer that has read a newer configuration", async () => {
    const silent = { watchWaitMs: 60_000, hubWatchWaitMs: 60_000 };
    const objectApi = { address: "unused:1", ...silent };
    await deployment.addGateway({ objectApi });
    deployment.platform.faults.silentWatch = true;
    // Later entries of servers must not hide that the configuration is older.
    await deployment.register(server, {
      service: "app",
      availabilityZone: "b",
    });
    await deployment.configure({ version: 2, routes: [] });
    await deployment.register(server, {
      service: "app",
      availabilityZone: "c",
    });
    await deployment.addGateway();
    let turn = 0;
    while (await isServed(`r${turn++}`)) await sleep(20);
    expect((await deployment.send({ id: "last", path: "/safe/x" })).status)
      .toBe(404);
  });
});

describe("a gateway that its object API leaves silent", () => {
  it("learns from a peer that a server is gone, and sends nothing there", async () => {
    const objectApi = {
      address: "unused:1",
      watchWaitMs: 60_000,
      hubWatchWaitMs: 60_000,
    };
    await deployment.addServer({ id: "s2" });
    await deployment.addGateway({ objectApi });
    deployment.platform.faults.silentWatch = true;
    await deployment.remove("servers/s1");
    deployment.platform.faults.silentWatch = false;
    // Its list no longer holds the server; its later watch tells of the other's end.
    await deployment.addGateway();
    await deployment.remove("servers/s2");
    let turn = 0;
    while (await isServed(`r${turn++}`)) await sleep(20);
  });
});

describe("a gateway whose object API is away", () => {
  it("serves on with what it has read", async () => {
    await deployment.addGateway();
    deployment.platform.faults.down = true;
    expect(await isServed("r1")).toBe(true);
    deployment.platform.faults.down = false;
    await deployment.configure({ version: 2, routes: [] });
    let turn = 0;
    while (await isServed(`s${turn++}`)) await sleep(20);
  });
});
