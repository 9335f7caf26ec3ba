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

describe("a gateway whose watches deliver no changes", () => {
  it("applies a newer configuration that a peer has read", async () => {
    const silent = { watchWaitMs: 60_000, hubWatchWaitMs: 60_000 };
    const objectApi = { address: "unused:1", ...silent };
    await deployment.addGateway({ objectApi });
    deployment.platform.faults.silentWatch = true;
    // Newer entries of servers must not hide that the configuration is outdated.
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
    let requestIndex = 0;
    while (await isServed(`r${requestIndex++}`)) await sleep(20);
    expect((await deployment.send({ id: "last", path: "/safe/x" })).status)
      .toBe(404);
  });
});

describe("a gateway whose watch connections are silent", () => {
  it("stops sending requests to servers that a peer knows to be removed", async () => {
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
    // The second gateway's list lacks s1, and its watch reports the removal of s2.
    await deployment.addGateway();
    await deployment.remove("servers/s2");
    let requestIndex = 0;
    while (await isServed(`r${requestIndex++}`)) await sleep(20);
  });
});

describe("a gateway whose object API is down", () => {
  it("keeps serving with the last configuration, and applies changes later", async () => {
    await deployment.addGateway();
    deployment.platform.faults.down = true;
    expect(await isServed("r1")).toBe(true);
    deployment.platform.faults.down = false;
    await deployment.configure({ version: 2, routes: [] });
    let requestIndex = 0;
    while (await isServed(`s${requestIndex++}`)) await sleep(20);
  });
});
