import { BalancingPolicy } from "@bitternfall/service";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HUB_COUNT } from "./hubs.ts";
import { TestGateway } from "./test_gateway.ts";

const SETTINGS = { balancing: { policy: BalancingPolicy.EstimatedLoad } };

describe("a VM that is no hub, where the load of servers is estimated", () => {
  let deployment: TestGateway;
  /** Index of the VM that is no hub. */
  let plain: number;

  beforeEach(async () => {
    deployment = new TestGateway();
    await deployment.start();
    for (const id of ["s1", "s2"]) await deployment.addServer({ id });
    for (let count = 0; count <= HUB_COUNT; count++) {
      await deployment.addGateway(SETTINGS);
    }
    plain = -1;
    // Until all VMs know each other, each one takes itself for a hub.
    await expect.poll(async () => {
      for (let index = 0; index <= HUB_COUNT; index++) {
        await send(`probe-${index}-${Math.random()}`, index);
        if (getChoices(index, "assigner") === 0) continue;
        if (getAssignMs(index)) plain = index;
      }
      return plain;
    }, { timeout: 15_000 }).toBeGreaterThanOrEqual(0);
  }, 60_000);

  afterEach(() => deployment.close());

  const send = (id: string, index: number) =>
    deployment.send({ id, path: "/safe/x" }, index);
  const getChoices = (index: number, by: string) => {
    const text = deployment.logs[index]!.metrics.render();
    const pattern = new RegExp(`server_choices\\S*by="${by}"\\S* (\\d+)`);
    return Number(pattern.exec(text)?.[1] ?? 0);
  };
  /** Whether a VM has asked another one. */
  const getAssignMs = (index: number) =>
    deployment.logs[index]!.metrics.render().includes("server_assign_ms");

  it("gets its servers from a hub, and serves without any hub", async () => {
    const before = getChoices(plain, "assigner");
    for (let count = 0; count < 10; count++) {
      expect((await send(`r${count}`, plain)).status).toBe(200);
    }
    expect(getChoices(plain, "assigner") - before).toBeGreaterThan(5);
    for (const [index, gateway] of deployment.gateways.entries()) {
      if (index !== plain) await gateway.close();
    }
    for (let count = 0; count < 10; count++) {
      expect((await send(`q${count}`, plain)).status).toBe(200);
    }
  }, 30_000);
});
