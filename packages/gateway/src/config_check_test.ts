import { describe, expect, it } from "vitest";
import { checkConfig, Severity } from "./config_check.ts";
import { OwnRegistry } from "./own_dialect.ts";

const KEY = "k-secret-1";
const ROUTE = {
  name: "chat",
  host: "Front.example",
  pathPrefix: "/chat/",
  kind: "stream",
  timeoutMs: 14_000,
  targetMs: 800,
  targets: [{ service: "lm", weight: 1 }],
};
const ENGINE = {
  slots: 12,
  memoryTokens: 24_000,
  tokensPerEvent: 4,
  handleMs: 1000,
  roleSwitchMs: 500,
};
const WORKSPACE = {
  name: "huka",
  keys: [KEY],
  quota: { unit: "tokens", perSecond: 9000, burst: 9000, plainTokens: 200 },
};
const CONFIG = {
  version: 4,
  routes: [ROUTE],
  services: [
    { name: "lm", engine: ENGINE },
    { name: "large", engine: { ...ENGINE, memoryTokens: 120_000 } },
  ],
  workspaces: [WORKSPACE],
};

/** Lists findings as `severity place: reason`; none may contain a key. */
function checkText(text: string, current?: unknown): string[] {
  const dialect = new OwnRegistry();
  const lines = checkConfig({ dialect, text, current }).map((
    { severity, place, reason },
  ) => `${severity} ${place}: ${reason}`);
  expect(lines.join("\n")).not.toContain("k-secret");
  return lines;
}

function check(change: object, current?: unknown): string[] {
  return checkText(JSON.stringify({ ...CONFIG, ...change }), current);
}

function checkQuota(quota: object): string[] {
  const changed = { ...WORKSPACE, quota: { ...WORKSPACE.quota, ...quota } };
  return check({ workspaces: [changed] });
}

describe("checkConfig", () => {
  it("finds nothing in a configuration without faults", () => {
    expect(check({})).toEqual([]);
    expect(check({}, CONFIG)).toEqual([]);
    expect(check({ workspaces: undefined })).toEqual([]);
  });

  it("names the line of a syntax error without quoting a key near it", () => {
    const text = JSON.stringify(CONFIG, null, 2);
    const line = text.slice(0, text.indexOf(KEY)).split("\n").length;
    const unquoted = text.replace(`"${KEY}"`, KEY);
    const expected = `error line ${line}: not valid JSON`;
    expect(checkText(unquoted)).toEqual([expected]);
    const unclosed = text.replace(`"${KEY}"`, `"${KEY}`);
    expect(checkText(unclosed)).toEqual([expected]);
    expect(checkText(text.slice(0, text.indexOf(KEY)))).toEqual([expected]);
  });

  it("locates what would have the configuration ignored as a whole", () => {
    const routes = [ROUTE, { ...ROUTE, pathPrefix: "chat", timeoutMs: 0 }];
    expect(check({ routes }).map((line) => line.split(":")[0])).toEqual([
      "error routes[1].pathPrefix",
      "error routes[1].timeoutMs",
    ]);
    const workspaces = [WORKSPACE, { name: "welo", keys: ["k", KEY] }];
    expect(check({ workspaces })).toEqual([
      "error workspaces[1].keys[1]: also a key of entry 0",
    ]);
  });

  it("finds routes that no request reaches, but no broader ones", () => {
    const routes = [
      { ...ROUTE, name: "all", pathPrefix: "/" },
      ROUTE,
      { ...ROUTE, name: "again", host: "front.EXAMPLE" },
      { ...ROUTE, name: "port", host: "front.example:8080" },
    ];
    expect(check({ routes })).toEqual([
      "warning routes[2]: never matches: routes[1] has the same host and path prefix",
      "warning routes[3].host: never matches: a port is not part of the host",
    ]);
  });

  it("finds targets that lead to no service", () => {
    const unknown = { service: "gone", weight: 1 };
    const off = { service: "gone", weight: 0 };
    const none = { ...ROUTE, pathPrefix: "/none/", targets: [off] };
    const routes = [{ ...ROUTE, targets: [off, unknown] }, none];
    expect(check({ routes })).toEqual([
      "warning routes[0].targets[1].service: no service is named gone",
      "warning routes[1].targets: no target has a weight above 0",
    ]);
  });

  it("finds workspaces that nobody can use", () => {
    expect(check({ workspaces: [{ name: "welo", keys: [] }] })).toEqual([
      "warning workspaces[0].keys: no keys",
    ]);
    expect(check({ workspaces: [] })).toEqual([
      "warning workspaces: none: only public routes can be used",
    ]);
  });

  it("finds limits under which a usual request can't be served", () => {
    expect(check({ routes: [{ ...ROUTE, timeoutMs: 799 }] })).toEqual([
      "warning routes[0].timeoutMs: 799 is below targetMs 800",
    ]);
    expect(check({ routes: [{ ...ROUTE, timeoutMs: 800 }] })).toEqual([]);
    // 24,000 tokens in 12 slots make the least usual prompt, 2,000.
    expect(checkQuota({ perSecond: 999, burst: 1000 })).toEqual([
      "warning workspaces[0].quota: burst 1000 and perSecond 999 are together below a usual prompt (2000)",
    ]);
    expect(checkQuota({ perSecond: 1000, burst: 1000 })).toEqual([]);
    expect(checkQuota({ unit: "requests", perSecond: 2, burst: 0 })).toEqual(
      [],
    );
    expect(checkQuota({ plainTokens: 9001 })).toEqual([
      "warning workspaces[0].quota.plainTokens: 9001 is above burst 9000",
    ]);
    expect(checkQuota({ burst: 0 })).toEqual([]);
  });

  it("refuses a version that gateways would ignore", () => {
    const limits = { bodyBytes: 5 };
    for (const version of [4, 5]) {
      expect(check({ limits }, { ...CONFIG, version })).toEqual([
        `error version: not above ${version}, the version in force`,
        "difference limits.bodyBytes: 4000000 -> 5",
      ]);
    }
    const older = { ...CONFIG, version: 3 };
    expect(check({ limits }, older)[0]).toContain(Severity.Difference);
  });

  it("lists differences, and keys only as counts", () => {
    const current = {
      ...CONFIG,
      version: 3,
      routes: [{ ...ROUTE, targetMs: 900 }, { ...ROUTE, host: "b.example" }],
      services: [...CONFIG.services, { name: "app" }],
      workspaces: [
        { name: "huka", keys: ["k-secret-2", "k-secret-3"] },
        { name: "welo", keys: [KEY] },
      ],
    };
    expect(check({}, current)).toEqual([
      "difference routes.chat.targetMs: 900 -> 800",
      "difference routes.chat#2: removed",
      "difference services.app: removed",
      `difference workspaces.huka.quota: none -> ${
        JSON.stringify(WORKSPACE.quota)
      }`,
      "difference workspaces.welo: removed",
      "difference workspaces.huka.keys: 1 added, 2 removed",
      "difference workspaces.welo.keys: 0 added, 1 removed",
    ]);
    expect(check({}, { ...current, workspaces: undefined })).toContain(
      "difference workspaces: requests need a key",
    );
  });

  it("compares with no malformed configuration, and says so", () => {
    expect(check({}, null)).toEqual(["difference version: none is stored"]);
    expect(check({}, { version: 9 })).toEqual([
      "warning version: the stored configuration is malformed; not compared",
    ]);
  });
});
