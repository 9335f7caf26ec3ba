import { Buffer } from "node:buffer";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ObjectStore } from "@bitternfall/platform";
import { sleep } from "@bitternfall/types";
import { formatCrashRecord, parseCrashRecord } from "./crash_records.ts";
import { hashRequest } from "./request_identity.ts";
import { TestGateway } from "./test_gateway.ts";
import { liftVerdict, listVerdicts } from "./verdicts.ts";

const REQUEST = { path: "/safe/x", method: "POST", body: "blocked" };
const PART = hashRequest({
  ...REQUEST,
  headers: ["host", "test"],
  body: Buffer.from(REQUEST.body),
});
/** More than a verdict gets. */
const SPENT_TRIALS = 9;

// Guards against verdicts that are lost, and overwritten, for one item of another build.
it("a stored verdict holds beside items that can't be read", () => {
  const report = { process: "s7", requestId: "r1", parts: [PART] };
  const verdict = { id: "v1", parts: [PART], exonerated: [], trials: 1 };
  const record = { reports: [report], verdicts: [verdict], cleared: [] };
  const stored = formatCrashRecord(record) as {
    reports: unknown[];
    verdicts: unknown[];
  };
  stored.reports.unshift(["s8", "r2", [], "new"]);
  stored.verdicts.push({ id: "v2" });
  expect(parseCrashRecord(stored)).toEqual(record);
});

describe("a verdict that an operator lifts", () => {
  let deployment: TestGateway;
  let api: ObjectStore;

  beforeEach(async () => {
    deployment = new TestGateway();
    await deployment.start();
    await deployment.addServer({ id: "s1" });
    const record = formatCrashRecord({
      reports: ["s7", "s8", "s9"].map((process) => ({
        process,
        requestId: process,
        parts: [PART],
      })),
      verdicts: [{
        id: "v1",
        parts: [PART],
        exonerated: [],
        trials: SPENT_TRIALS,
      }],
      cleared: [],
    });
    await deployment.write("bitternfall-services/crashes-app", record);
    for (let vm = 0; vm < 2; vm++) await deployment.addGateway();
    api = new ObjectStore({ address: deployment.platform.address });
  });

  afterEach(async () => {
    await api.close();
    await deployment.close();
  });

  async function sendToAll(): Promise<number[]> {
    return await Promise.all(
      deployment.gateways.map(async (_, vm) =>
        (await deployment.send({ id: `r${vm}`, ...REQUEST }, vm)).status
      ),
    );
  }

  it("blocks nothing any more, at VMs that run and at those that start later", async () => {
    expect(await sendToAll()).toEqual([400, 400]);
    expect(await listVerdicts(api)).toEqual([{
      service: "app",
      id: "v1",
      parts: [PART],
      crashes: 3,
      trials: SPENT_TRIALS,
    }]);
    expect(await liftVerdict(api, { service: "app", id: "v1" })).toBe(true);
    while ((await sendToAll()).includes(400)) await sleep(50);
    await deployment.addGateway();
    expect(await sendToAll()).toEqual([200, 200, 200]);
    expect(await listVerdicts(api)).toEqual([]);
  });

  it("has to exist", async () => {
    expect(await liftVerdict(api, { service: "app", id: "v2" })).toBe(false);
    expect(await liftVerdict(api, { service: "lm", id: "v1" })).toBe(false);
  });
});
