import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { callModel, type CallResult, callService } from "./client.ts";
import type { Deployment } from "./deployment.ts";
import {
  listServiceRuns,
  startTestDeployment,
  TEST_KEY,
} from "./test_deployment.ts";

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

function postCall(tag: string, options: PostOptions = {}): Promise<CallResult> {
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

describe("a call that must not run twice", () => {
  it("runs once per idempotency key, whichever VM receives it", async () => {
    const calls = Array.from(
      { length: 9 },
      (_, index) => postCall(`once.${index}`, { vm: index % 3, key: "once" }),
    );
    const results = await Promise.all(calls);
    for (const result of results) {
      expect(result).toMatchObject({ status: 200, text: results[0]!.text });
    }
    expect(
      (await listServiceRuns(deployment)).filter((tag) =>
        tag.startsWith("once.")
      )
        .length,
    ).toBe(1);
    expect(await postCall("once.x", { key: "once", body: '{"other":1}' }))
      .toMatchObject({ status: 422 });
  });

  it("is not sent again when its response is lost, and its retry gets the outcome unknown", async () => {
    for (const id of ["app-1", "app-2"]) {
      await deployment.setFaults(id, { loseReplies: 1 });
    }
    expect(await postCall("lost.1", { key: "lost" })).toMatchObject({
      outcome: "unknown",
    });
    expect(await postCall("unkeyed")).toMatchObject({ outcome: "unknown" });
    for (const id of ["app-1", "app-2"]) {
      await deployment.setFaults(id, { loseReplies: 0 });
    }
    expect(await postCall("lost.2", { key: "lost", vm: 1 })).toMatchObject({
      outcome: "unknown",
    });
    const runs = await listServiceRuns(deployment);
    expect(runs.filter((tag) => tag.startsWith("lost."))).toEqual(["lost.1"]);
    expect(runs.filter((tag) => tag === "unkeyed").length).toBe(1);
  });

  it("keeps the outcome unknown when the VM that claimed its key was killed, and never runs again", async () => {
    for (const id of ["app-1", "app-2"]) {
      await deployment.setFaults(id, { delayMs: 900 });
    }
    const first = postCall("dead.1", { key: "dead", vm: 2 });
    await expect.poll(() => listServiceRuns(deployment)).toContain("dead.1");
    await deployment.kill("entry-3");
    expect((await first).failed).toBe(true);
    for (const id of ["app-1", "app-2"]) {
      await deployment.setFaults(id, { delayMs: 2 });
    }
    await expect.poll(() => postCall("dead.2", { key: "dead" }), {
      timeout: 5000,
    })
      .toMatchObject({ outcome: "unknown" });
    expect(
      (await listServiceRuns(deployment)).filter((tag) =>
        tag.startsWith("dead.")
      ),
    ).toEqual(["dead.1"]);
    await deployment.restart("entry-3");
    await deployment.waitUntilReady();
  });

  it("gets the outcome not-run when no server could be reached, and may run with the same key later", async () => {
    const proxies = ["app-1", "app-2"].map((id) => deployment.getProxy(id));
    for (const proxy of proxies) await proxy.close();
    expect(await postCall("unsent.1", { key: "unsent" })).toMatchObject({
      status: 503,
      outcome: "not-run",
    });
    expect(await listServiceRuns(deployment)).not.toContain("unsent.1");
    for (const proxy of proxies) await proxy.listen(proxy.port);
    await expect.poll(() => postCall("unsent.2", { key: "unsent" }), {
      timeout: 5000,
    }).toMatchObject({ status: 200 });
  });

  it("needs an idempotency key if the routing record requires one", async () => {
    expect(await postCall("order", { path: "/app/orders" })).toMatchObject({
      status: 400,
      outcome: "not-run",
    });
    expect(await postCall("order", { path: "/app/orders", key: "order-1" }))
      .toMatchObject({ status: 200 });
  });
});

describe("while the object API is down", () => {
  it("keyed calls are refused as not-run, other calls succeed, and a VM can be restarted", async () => {
    await deployment.setFaults("platform", { down: true });
    const refused = await postCall("down.1", { key: "down" });
    expect(refused).toMatchObject({ status: 503, outcome: "not-run" });
    expect(refused.retryAfterS).toBeGreaterThan(0);
    const [refusedRetry] = await Promise.all([
      postCall("down.2", { key: "down" }),
    ]);
    expect(refusedRetry).toMatchObject({ status: 503, outcome: "not-run" });
    const url = deployment.vms[1]!.callerUrl;
    const model = await callModel({
      url,
      key: TEST_KEY,
      model: "planner",
      prompt: "len=5",
    });
    expect(model.whole).toBe(true);
    expect(await postCall("unkeyed-2")).toMatchObject({ status: 200 });
    expect(
      await callService({ url, key: TEST_KEY, path: "/app/status", tag: "s" }),
    ).toMatchObject({ status: 200 });
    await deployment.kill("entry-3");
    await deployment.restart("entry-3");
    await deployment.setFaults("platform", { down: false });
    await deployment.waitUntilReady();
    expect(
      (await listServiceRuns(deployment)).filter((tag) =>
        tag.startsWith("down.")
      ),
    ).toEqual([]);
    await expect.poll(() => postCall("down.3", { key: "down" }), {
      timeout: 8000,
    })
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

  it("are applied by every VM within 5 s when the watch is silent", async () => {
    await deployment.setFaults("platform", { silentWatch: true });
    await sleep(300);
    const version = await deployment.applyRecord(record, { vm: "entry-2" });
    const startedAt = performance.now();
    await deployment.waitForRecord(record, version);
    expect(performance.now() - startedAt).toBeLessThan(5000);
    await deployment.setFaults("platform", { silentWatch: false });
  });

  it("are changed once when the response to the write is lost", async () => {
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
