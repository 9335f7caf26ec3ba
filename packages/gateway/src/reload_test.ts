import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Misbehaviour, type StagedServer } from "@bitternfall/stand-ins";
import { createTestSettings, TestGateway } from "./test_gateway.ts";

const createSettings = (fields: object) =>
  createTestSettings({ vm: { id: "vm-1", availabilityZone: "a" }, ...fields });

let deployment: TestGateway;
let server: StagedServer;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start();
  server = await deployment.addServer({ id: "s1" });
});
afterEach(() => deployment.close());

describe("Gateway.reload", () => {
  it("applies changed limits to later requests", async () => {
    const gateway = await deployment.addGateway();
    server.misbehaviour = Misbehaviour.Hang;
    const send = (id: string) =>
      deployment.send({ id, path: "/unsafe/x", method: "POST", body: "b" });
    const hanging = send("r1");
    while (server.runs.length === 0) await server.waitForActivity();
    gateway.reload(createSettings({ limits: { inFlight: 1 } }));
    expect((await send("r2")).status).toBe(503);
    gateway.reload(createSettings({ limits: { inFlight: 10 } }));
    server.misbehaviour = Misbehaviour.None;
    expect((await send("r3")).status).toBe(200);
    expect((await hanging).status).toBe(504);
  });

  it("returns the names of changed sections that need a restart", async () => {
    const gateway = await deployment.addGateway();
    expect(gateway.reload(createSettings({ log: { level: "info" } })))
      .toEqual([]);
    const changed = createSettings({
      vm: { id: "vm-1", availabilityZone: "b" },
      peerAddress: "127.0.0.1:1",
    });
    expect(gateway.reload(changed).sort()).toEqual(["peerAddress", "vm"]);
  });
});
