import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { callModel, type CallResult, callService } from "./client.ts";
import type { Deployment } from "./deployment.ts";
import { listRuns, startTestDeployment, TEST_KEY } from "./test_deployment.ts";

let deployment: Deployment;

beforeAll(async () => {
  deployment = await startTestDeployment({
    daemons: 3,
    zones: ["a", "b", "c"],
  });
});
afterAll(() => deployment.stop());

interface PostOptions {
  readonly vm?: number;
  readonly key?: string;
  readonly body?: string;
  readonly path?: string;
}

function post(tag: string, options: PostOptions = {}): Promise<CallResult> {
  const { vm = 0, key, body = "{}", path = "/app/claims" } = options;
  const url = deployment.vms[vm]!.callerUrl;
  return callService({
    url,
    key: TEST_KEY,
    path,
    method: "POST",
    body,
    tag,
    idempotencyKey: key,
  });
}

describe("a call that may not be repeated", () => {
  it("runs once under its key, whichever VM is asked", async () => {
    const calls = Array.from(
      { length: 9 },
      (_, index) => post(`once.${index}`, { vm: index % 3, key: "once" }),
    );
    const results = await Promise.all(calls);
    for (const result of results) {
      expect(result).toMatchObject({ status: 200, text: results[0]!.text });
    }
    expect(
      (await listRuns(deployment)).filter((tag) => tag.startsWith("once."))
        .length,
    ).toBe(1);
    expect(await post("once.x", { key: "once", body: '{"other":1}' }))
      .toMatchObject({ status: 422 });
  });

  it("is not sent again when its reply is lost, and its repeat is told so", async () => {
    for (const id of ["app-1", "app-2"]) {
      await deployment.setFaults(id, { loseReplies: 1 });
    }
    expect(await post("lost.1", { key: "lost" })).toMatchObject({
      outcome: "unknown",
    });
    expect(await post("unkeyed")).toMatchObject({ outcome: "unknown" });
    for (const id of ["app-1", "app-2"]) {
      await deployment.setFaults(id, { loseReplies: 0 });
    }
    expect(await post("lost.2", { key: "lost", vm: 1 })).toMatchObject({
      outcome: "unknown",
    });
    const runs = await listRuns(deployment);
    expect(runs.filter((tag) => tag.startsWith("lost."))).toEqual(["lost.1"]);
    expect(runs.filter((tag) => tag === "unkeyed").length).toBe(1);
  });

  it("stays unknown when the VM that claimed it died, and never runs again", async () => {
    for (const id of ["app-1", "app-2"]) {
      await deployment.setFaults(id, { delayMs: 900 });
    }
    const first = post("dead.1", { key: "dead", vm: 2 });
    await expect.poll(() => listRuns(deployment)).toContain("dead.1");
    await deployment.kill("entry-3");
    expect((await first).failed).toBe(true);
    for (const id of ["app-1", "app-2"]) {
      await deployment.setFaults(id, { delayMs: 2 });
    }
    await expect.poll(() => post("dead.2", { key: "dead" }), { timeout: 5000 })
      .toMatchObject({ outcome: "unknown" });
    expect(
      (await listRuns(deployment)).filter((tag) => tag.startsWith("dead.")),
    ).toEqual(["dead.1"]);
    await deployment.restart("entry-3");
    await deployment.waitUntilReady();
  });

  it("is told not-run where nothing could be sent, and may run under the same key later", async () => {
    const proxies = ["app-1", "app-2"].map((id) => deployment.getProxy(id));
    for (const proxy of proxies) await proxy.close();
    expect(await post("unsent.1", { key: "unsent" })).toMatchObject({
      status: 503,
      outcome: "not-run",
    });
    expect(await listRuns(deployment)).not.toContain("unsent.1");
    for (const proxy of proxies) await proxy.listen(proxy.lastPort);
    await expect.poll(() => post("unsent.2", { key: "unsent" }), {
      timeout: 5000,
    }).toMatchObject({ status: 200 });
  });

  it("needs a key where the routing record says so", async () => {
    expect(await post("order", { path: "/app/orders" })).toMatchObject({
      status: 400,
      outcome: "not-run",
    });
    expect(await post("order", { path: "/app/orders", key: "order-1" }))
      .toMatchObject({ status: 200 });
  });
});

describe("while the object API is down", () => {
  it("keyed calls are refused truly, everything else goes on, and a new VM starts from its peers", async () => {
    await deployment.setFaults("platform", { down: true });
    const refused = await post("down.1", { key: "down" });
    expect(refused).toMatchObject({ status: 503, outcome: "not-run" });
    expect(refused.retryAfterS).toBeGreaterThan(0);
    const [quick] = await Promise.all([post("down.2", { key: "down" })]);
    expect(quick).toMatchObject({ status: 503, outcome: "not-run" });
    const url = deployment.vms[1]!.callerUrl;
    const model = await callModel({
      url,
      key: TEST_KEY,
      model: "planner",
      prompt: "len=5",
    });
    expect(model.whole).toBe(true);
    expect(await post("unkeyed-2")).toMatchObject({ status: 200 });
    expect(
      await callService({ url, key: TEST_KEY, path: "/app/status", tag: "s" }),
    ).toMatchObject({ status: 200 });
    await deployment.kill("entry-3");
    await deployment.restart("entry-3");
    await deployment.setFaults("platform", { down: false });
    await deployment.waitUntilReady();
    expect(
      (await listRuns(deployment)).filter((tag) => tag.startsWith("down.")),
    ).toEqual([]);
    await expect.poll(() => post("down.3", { key: "down" }), { timeout: 8000 })
      .toMatchObject({ status: 200 });
  });
});

describe("records", () => {
  const record = {
    kind: "RoutingRecord",
    name: "watched",
    schemaVersion: 1,
    models: {},
  };

  it("come into force everywhere within 5 s though the watch is silent", async () => {
    await deployment.setFaults("platform", { silentWatch: true });
    await sleep(300);
    const version = await deployment.applyRecord(record, { vm: "entry-2" });
    const startedAt = performance.now();
    await deployment.waitForRecord(record, version);
    expect(performance.now() - startedAt).toBeLessThan(5000);
    await deployment.setFaults("platform", { silentWatch: false });
  });

  it("are changed once though the reply to the write is lost", async () => {
    await deployment.setFaults("platform", { loseReplies: 1 });
    const version = await deployment.applyRecord(
      { ...record, models: { m: "lm" } } as typeof record,
    );
    await deployment.setFaults("platform", { loseReplies: 0 });
    await deployment.waitForRecord(record, version);
    const stored = await fetch(
      `${deployment.standIns.platform}/objects/bitternfall%2Frecords%2FRoutingRecord%2Fwatched`,
    );
    const { value } = await stored.json() as { value: { audit: unknown[] } };
    expect(value.audit.length).toBe(2);
  });
});
