import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { getCompletionText } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { callModel, type CallResult, callService } from "./client.ts";
import { Deployment, type EntryVm } from "./deployment.ts";
import {
  applyRecords,
  createAssignment,
  createModelService,
  createPlainService,
} from "./records.ts";
import { listServiceRuns, TEST_KEY } from "./test_deployment.ts";

let deployment: Deployment;

beforeAll(async () => {
  const threeSlots = { slots: 3 };
  deployment = await Deployment.start({
    zones: ["a", "b"],
    daemons: 5,
    cells: ["cell-1", "cell-1", "cell-1", "cell-2", "cell-2"],
    engines: {
      lm: [
        { id: "p1", role: "prefill", availabilityZone: "a", cell: "cell-1" },
        {
          id: "d1",
          role: "decode",
          availabilityZone: "a",
          cell: "cell-1",
          parameters: threeSlots,
        },
        { id: "p2", role: "prefill", availabilityZone: "b", cell: "cell-2" },
        {
          id: "d2",
          role: "decode",
          availabilityZone: "b",
          cell: "cell-2",
          parameters: threeSlots,
        },
        {
          id: "d3",
          role: "decode",
          availabilityZone: "b",
          cell: "cell-2",
          parameters: threeSlots,
        },
      ],
    },
    services: { app: [{ id: "app-1", availabilityZone: "a" }] },
  });
  await applyRecords(deployment, [
    createModelService(deployment, "lm", {
      targets: { firstOutputMs: 700, betweenOutputsMs: 60 },
      limits: { decodeSlots: 3 },
    }),
    createPlainService(deployment, "app"),
    {
      kind: "RoutingRecord",
      schemaVersion: 1,
      name: "main",
      models: { planner: "lm" },
      services: ["app"],
    },
    createAssignment({
      office: "office-1",
      workspace: "w",
      routing: "main",
      key: TEST_KEY,
    }),
  ]);
});
afterAll(() => deployment.stop());

function requestCompletion(vm: EntryVm, prompt: string): Promise<CallResult> {
  return callModel({
    url: vm.callerUrl,
    key: TEST_KEY,
    model: "planner",
    prompt,
  });
}

function listVms(cell: string): EntryVm[] {
  return deployment.vms.filter((vm) => vm.cell === cell && vm.state === "up");
}

describe("two cells", () => {
  it("place requests beyond the capacity of one in the other, and return each caller its own response", async () => {
    // Cells exchange load summaries once per second. A cell sends requests to the other only
    // once it has the other's summary.
    await sleep(2500);
    const [vm] = listVms("cell-1");
    const prompts = Array.from(
      { length: 7 },
      (_, index) => `spill ${index} len=90`,
    );
    const calls: Promise<CallResult>[] = [];
    for (const prompt of prompts) {
      calls.push(requestCompletion(vm!, prompt));
      await sleep(60);
    }
    const results = await Promise.all(calls);
    for (const [index, result] of results.entries()) {
      expect(result).toMatchObject({
        whole: true,
        text: getCompletionText(prompts[index]!, 512),
      });
    }
    const { streams } = await deployment.readStandIn<{ streams: unknown[] }>(
      "d1",
      "_ledger",
    );
    expect(streams.length).toBe(3);
  });

  it("run a call once per idempotency key, whichever cell receives it", async () => {
    for (let claim = 0; claim < 6; claim++) {
      const calls = deployment.vms.map((vm) =>
        callService({
          url: vm.callerUrl,
          key: TEST_KEY,
          path: "/app/claims",
          method: "POST",
          body: `{"claim":${claim}}`,
          tag: `claim-${claim}`,
          idempotencyKey: `claim-${claim}`,
        })
      );
      const results = await Promise.all(calls);
      for (const result of results) {
        expect(result).toMatchObject({ status: 200, text: results[0]!.text });
      }
      expect(
        (await listServiceRuns(deployment)).filter((tag) =>
          tag === `claim-${claim}`
        )
          .length,
      ).toBe(1);
    }
  });

  it("both apply a changed record within 5 s", async () => {
    const record = {
      kind: "RoutingRecord",
      schemaVersion: 1,
      name: "both",
      models: {},
    };
    const startedAt = performance.now();
    const version = await deployment.applyRecord(record, {
      vm: listVms("cell-2")[0]!.id,
    });
    await deployment.waitForRecord(record, version);
    expect(performance.now() - startedAt).toBeLessThan(5000);
  });

  it("keep serving requests when one loses its dispatcher and its steward at the same time", async () => {
    const statuses = await Promise.all(
      listVms("cell-1").map((vm) => deployment.readStatus(vm)),
    );
    const roleHolders = statuses.filter((status) =>
      status!.dispatcherOf.length > 0 || status!.stewardFence !== null
    );
    const victims = roleHolders.map((status) => status!.vm).slice(0, 2);
    await Promise.all(victims.map((id) => deployment.kill(id)));
    const [survivor] = listVms("cell-1");
    await expect.poll(
      async () =>
        (await requestCompletion(survivor!, "after the loss len=10")).whole,
      { timeout: 5000 },
    ).toBe(true);
    for (const id of victims) await deployment.restart(id);
    await deployment.waitUntilReady();
  });

  it("complete more requests than one cell's servers can hold after all VMs of the other are killed", async () => {
    for (const vm of listVms("cell-2")) await deployment.kill(vm.id);
    await deployment.publishVms();
    // The remaining cell takes over the servers of the lost one: its own decode server has
    // three slots.
    const dispatcher = listVms("cell-1")[0]!;
    const prompts = Array.from(
      { length: 9 },
      (_, index) => `takeover ${index} len=60`,
    );
    await expect.poll(async () => {
      const results = await Promise.all(
        prompts.map((prompt) => requestCompletion(dispatcher, prompt)),
      );
      return results.filter((result) => result.whole).length;
    }, { timeout: 15_000 }).toBe(9);
  });
});
