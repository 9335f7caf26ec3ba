import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callModel, callService } from "./client.ts";
import { type Deployment, OPERATOR_TOKEN } from "./deployment.ts";
import { findScript } from "./process_group.ts";
import { startTestDeployment, TEST_KEY } from "./test_deployment.ts";

let deployment: Deployment;

beforeAll(async () => {
  deployment = await startTestDeployment({ daemons: 2 });
});
afterAll(() => deployment.stop());

interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

function runCli(
  args: readonly string[],
  options: { vm?: number; token?: string } = {},
): Promise<CliResult> {
  const { vm = 0, token = OPERATOR_TOKEN } = options;
  const env = {
    ...process.env,
    BITTERNFALL_OPERATOR: deployment.vms[vm]!.operatorUrl,
    BITTERNFALL_TOKEN: token,
  };
  const script = findScript("@bitternfall/cli", "main.js");
  return new Promise((resolve) => {
    childProcess.execFile(
      process.execPath,
      [script, ...args],
      { env },
      (err, out, text) => {
        resolve({ code: err === null ? 0 : Number(err.code), out, err: text });
      },
    );
  });
}

function writeRecordFile(name: string, record: object): string {
  const file = path.join(deployment.directory, `${name}.json`);
  fs.writeFileSync(file, JSON.stringify(record));
  return file;
}

const ROUTING = {
  kind: "RoutingRecord",
  schemaVersion: 1,
  name: "next",
  models: { planner: "lm" },
  services: [],
};

describe("the bitternfall command", () => {
  it("writes, compares, reads and deletes a record", async () => {
    const file = writeRecordFile("routing", ROUTING);
    expect(await runCli(["validate", file])).toMatchObject({ code: 0 });
    expect((await runCli(["diff", file])).out).toContain('+   "name": "next"');
    expect(await runCli(["apply", file])).toMatchObject({ code: 0 });
    expect((await runCli(["diff", file])).out).toContain("no difference");
    const storedRecord = JSON.parse(
      (await runCli(["get", "RoutingRecord", "next", "--json"])).out,
    ) as { version: number };
    await deployment.waitForRecord(ROUTING, storedRecord.version);
    expect((await runCli(["list", "RoutingRecord"], { vm: 1 })).out).toMatch(
      /RoutingRecord +next +1/,
    );
    expect(
      (await runCli(["status", "--records"])).out.match(
        /entry-\d +RoutingRecord +next/g,
      )?.length,
    ).toBe(2);
    expect(await runCli(["delete", "RoutingRecord", "next"])).toMatchObject({
      code: 0,
    });
    expect(await runCli(["get", "RoutingRecord", "next"])).toMatchObject({
      code: 4,
    });
    const history = await runCli(["history", "RoutingRecord", "next"]);
    expect(history.out).toMatch(/operator.*created[\s\S]*operator.*deleted/);
  });

  it("accepts one of two concurrent changes and reports the stored version for the other", async () => {
    const file = writeRecordFile("race", { ...ROUTING, name: "race" });
    await runCli(["apply", file]);
    const { version } = JSON.parse(
      (await runCli(["get", "RoutingRecord", "race", "--json"])).out,
    ) as {
      version: number;
    };
    const otherFile = writeRecordFile("race-2", {
      ...ROUTING,
      name: "race",
      services: ["app"],
    });
    const results = await Promise.all([
      runCli(["apply", file, "--if-version", String(version)]),
      runCli(["apply", otherFile, "--if-version", String(version)], { vm: 1 }),
    ]);
    expect(results.map(({ code }) => code).sort()).toEqual([0, 3]);
    expect(results.find(({ code }) => code === 3)!.err).toMatch(
      /stored as version \d+/,
    );
    const { out } = await runCli([
      "history",
      "RoutingRecord",
      "race",
      "--json",
    ]);
    expect((JSON.parse(out) as { entries: unknown[] }).entries.length).toBe(2);
  });

  it("rejects a malformed record with the path of the field, and the record in force stays", async () => {
    const file = writeRecordFile("bad", {
      ...ROUTING,
      name: "main",
      schemaVersion: 2,
      models: [{ model: 5 }],
    });
    const result = await runCli(["apply", file]);
    expect(result).toMatchObject({ code: 2 });
    expect(result.err).toContain("models.0.model");
    const url = deployment.vms[0]!.callerUrl;
    expect(
      (await callModel({
        url,
        key: TEST_KEY,
        model: "planner",
        prompt: "len=3",
      })).whole,
    ).toBe(true);
  });

  it("has distinct exit codes for usage errors, wrong tokens and VMs that do not respond", async () => {
    expect(await runCli(["get", "RoutingRecord"])).toMatchObject({ code: 2 });
    expect(await runCli(["frobnicate"])).toMatchObject({ code: 2 });
    expect(await runCli(["status"], { token: "wrong" })).toMatchObject({
      code: 6,
    });
    expect(await runCli(["status", "--address", "http://127.0.0.1:1"]))
      .toMatchObject({ code: 1 });
  });

  it("moves an office to a routing record of another schema version while others stay", async () => {
    const url = deployment.vms[1]!.callerUrl;
    const oldRouting = writeRecordFile("old", {
      ...ROUTING,
      name: "old",
      services: ["app"],
    });
    const assignmentFile = writeRecordFile("office", {
      kind: "Assignment",
      schemaVersion: 1,
      name: "office-2",
      workspace: "w2",
      routing: "old",
      keySha256: ["a".repeat(64)],
    });
    expect(await runCli(["apply", assignmentFile, oldRouting])).toMatchObject({
      code: 0,
    });
    const assigned = await runCli([
      "assign",
      "office-2",
      "--routing",
      "main",
      "--json",
    ]);
    expect(assigned.code).toBe(0);
    const { version } = JSON.parse(assigned.out) as { version: number };
    await deployment.waitForRecord(
      { kind: "Assignment", name: "office-2" },
      version,
    );
    expect(await runCli(["assign", "office-2", "--routing", "none"]))
      .toMatchObject({ code: 4 });
    expect(
      (await callModel({
        url,
        key: TEST_KEY,
        model: "planner",
        prompt: "len=3",
      })).whole,
    ).toBe(true);
  });

  it("shows queues and upstreams, and drains a VM", async () => {
    expect((await runCli(["queue"])).out).toMatch(/lm +entry-\d/);
    expect((await runCli(["upstreams"])).out).toMatch(/decode-1 +decode/);
    expect(await runCli(["drain", "entry-2"])).toMatchObject({ code: 0 });
    await expect.poll(() => deployment.vms[1]!.child.exitCode, {
      timeout: 5000,
    }).toBe(0);
    deployment.vms[1]!.state = "down";
  });
});

describe("a caller", () => {
  it("gets 404 for unknown services and models, 401 for a wrong key and 413 for an oversized prompt", async () => {
    const url = deployment.vms[0]!.callerUrl;
    const call = { url, key: TEST_KEY, tag: "t" };
    expect(await callService({ ...call, path: "/nothing/x" })).toMatchObject({
      status: 404,
      outcome: "not-run",
    });
    expect(await callModel({ ...call, model: "none", prompt: "x" }))
      .toMatchObject({ status: 404 });
    expect(await callService({ ...call, key: "wrong", path: "/app/x" }))
      .toMatchObject({ status: 401 });
    const oversizedPrompt = "x".repeat(300_000);
    expect(
      await callModel({ ...call, model: "planner", prompt: oversizedPrompt }),
    )
      .toMatchObject({ status: 413 });
  });

  it("is refused a service that its office's routing record does not offer", async () => {
    const key = "key-of-office-3";
    const { createHash } = await import("node:crypto");
    const keySha256 = [createHash("sha256").update(key).digest("hex")];
    await deployment.applyRecord({ ...ROUTING, name: "models-only" });
    const assignment = {
      kind: "Assignment",
      schemaVersion: 1,
      name: "office-3",
      workspace: "w3",
      keySha256,
    };
    const version = await deployment.applyRecord(
      { ...assignment, routing: "models-only" } as typeof assignment,
    );
    await deployment.waitForRecord(assignment, version);
    const url = deployment.vms[0]!.callerUrl;
    expect(await callService({ url, key, path: "/app/x", tag: "t" }))
      .toMatchObject({ status: 403 });
  });
});
