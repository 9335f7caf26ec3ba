import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import type { Deployment, EntryVm } from "./deployment.ts";
import { createModelService } from "./records.ts";
import { startTestDeployment } from "./test_deployment.ts";

interface EngineState {
  readonly role: string;
  readonly adapters: readonly string[];
}
interface ReceivedOrder {
  readonly fence: number;
  readonly accepted: boolean;
  readonly at: number;
}

function describeOrders(
  name: string,
  options: { checksFencing: boolean },
): void {
  describe(name, () => {
    let deployment: Deployment;

    beforeAll(async () => {
      deployment = await startTestDeployment({
        daemons: 3,
        zones: ["a", "b", "c"],
        model: { checksFencing: options.checksFencing, adapters: ["tiles"] },
        parameters: {
          checksFencing: options.checksFencing,
          roleChangeMs: 100,
          adapterLoadMs: 100,
        },
      });
    });
    afterAll(() => deployment.stop());

    async function listEngines(): Promise<EngineState[]> {
      const engines = deployment.spec.engines.lm!;
      return await Promise.all(
        engines.map(({ id }) =>
          deployment.readStandIn<EngineState>(id, "_control")
        ),
      );
    }

    async function listOrders(): Promise<ReceivedOrder[]> {
      const engines = deployment.spec.engines.lm!;
      const ledgers = await Promise.all(
        engines.map(({ id }) =>
          deployment.readStandIn<{ orders: ReceivedOrder[] }>(id, "_ledger")
        ),
      );
      return ledgers.flatMap((ledger) => ledger.orders).sort((a, b) =>
        a.at - b.at
      );
    }

    async function findSteward(): Promise<EntryVm | undefined> {
      for (const vm of deployment.vms) {
        if (vm.state !== "up") continue;
        const status = await deployment.readStatus(vm);
        if (status !== undefined && status.stewardFence !== null) return vm;
      }
      return undefined;
    }

    it("bring every engine to the adapters and the role in its record", async () => {
      await expect.poll(
        async () =>
          (await listEngines()).every(({ adapters }) =>
            adapters.includes("tiles")
          ),
        {
          timeout: 15_000,
        },
      ).toBe(true);
      const record = createModelService(deployment, "lm", {
        checksFencing: options.checksFencing,
      });
      const servers = (record.servers as { id: string; role: string }[]).map((
        server,
      ) => server.id === "decode-2" ? { ...server, role: "prefill" } : server);
      await deployment.applyRecord(
        { ...record, servers, adapters: ["tiles"] } as typeof record,
      );
      await expect.poll(async () => (await listEngines())[2]!.role, {
        timeout: 10_000,
      }).toBe("prefill");
    });

    it("carry a higher fencing number after the steward was paused past its lease, and none with an older number follow", async () => {
      const steward = (await findSteward())!;
      const fenceBefore = (await listOrders()).at(-1)!.fence;
      deployment.setPaused(steward.id, true);
      const record = createModelService(deployment, "lm", {
        checksFencing: options.checksFencing,
        adapters: ["tiles", "taps"],
      });
      const other = deployment.vms.find((vm) => vm !== steward)!;
      await deployment.applyRecord(record, { vm: other.id });
      await expect.poll(
        async () =>
          (await listEngines()).every(({ adapters }) =>
            adapters.includes("taps")
          ),
        {
          timeout: 15_000,
        },
      ).toBe(true);
      deployment.setPaused(steward.id, false);
      await sleep(1500);
      const orders = await listOrders();
      const firstNewOrder = orders.findIndex((order) =>
        order.fence > fenceBefore
      );
      expect(firstNewOrder).toBeGreaterThan(0);
      expect(
        orders.slice(firstNewOrder).filter((order) =>
          order.fence <= fenceBefore
        ),
      )
        .toEqual([]);
    });
  });
}

describeOrders("orders to engines that check fencing", { checksFencing: true });
describeOrders("orders to engines that do not check fencing", {
  checksFencing: false,
});
