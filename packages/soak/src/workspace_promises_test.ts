import { describe, expect, it } from "vitest";
import { OWN_HEADERS } from "@bitternfall/gateway";
import { Disturbances } from "./disturbances.ts";
import { type Arrival, indexObservations } from "./observations.ts";
import type { SoakCall } from "./soak_clients.ts";
import { createWorkspaces } from "./soak_workspaces.ts";
import { WORKSPACE_CHECKS } from "./workspace_promises.ts";

const RUNS = "a request runs only with a key in force, as its workspace's";
const SEEN = "no server sees a key";
const REFUSED = "a sound key is not refused";
const OVERRUN = "a workspace's use stays within its quota";
const WITHIN = "a workspace within its quota is not refused for it";

/** A call that ran as `workspace`, if any, and its headers at the server. */
interface Case extends Partial<SoakCall> {
  readonly workspace?: string;
  readonly headers?: object;
}

/** The broken promises; version 3 takes version 1's keys away from 5 s on. */
function findBroken(
  cases: readonly Case[],
  stops: { vm: string; from: number; until: number }[] = [],
): string[] {
  const calls = cases.map((fields, index) => ({
    id: `r${index}`,
    vm: "vm-1",
    sentAt: 10_000,
    endedAt: (fields.sentAt ?? 10_000) + 50,
    status: 200,
    body: "",
    ...fields,
  } as SoakCall));
  const receivedRequests = cases.flatMap(({ workspace, headers }, index) => {
    if (workspace === undefined) return [];
    const { id, sentAt } = calls[index]!;
    const seen = { [OWN_HEADERS.workspace]: workspace, ...headers };
    const fields = { requestId: id, at: sentAt + 10, ran: true, headers: seen };
    return [fields as unknown as Arrival];
  });
  const configs = [1, 2, 3].map((version) => {
    const at = version < 3 ? version : 5000;
    const workspaces = createWorkspaces(version);
    return { version, sentAt: at, ackedAt: at, workspaces };
  });
  const observations = {
    fleet: {
      disturbances: new Disturbances(),
      stops,
      registry: { configs },
      servers: [{ id: "app-1", spec: { service: "app" }, receivedRequests }],
    },
    calls,
    now: 20_000,
  };
  const index = indexObservations(
    observations as unknown as Parameters<typeof indexObservations>[0],
  );
  return Object.entries(WORKSPACE_CHECKS)
    .filter(([, check]) => [...check(index)].length > 0)
    .map(([promise]) => promise);
}

const lasting = "soakkey-steady";
const taken = "soakkey-steady-1";
const surging = { key: "soakkey-surging", workspace: "surging" };
const overQuota = { key: "soakkey-surging", status: 429, body: "quota" };
const repeat = (count: number, fields: Case, gapMs: number): Case[] =>
  Array.from(
    { length: count },
    (_, index) => ({ ...fields, sentAt: 10_000 + index * gapMs }),
  );

// Each case that is not broken guards against a check that finds faults in sound runs.
describe("the promises on workspaces", () => {
  it.each<[string, string[], Case[]]>([
    ["a lasting key", [], [{ key: lasting, workspace: "steady" }]],
    ["an unknown key", [RUNS], [{ key: "soakkey-x", workspace: "steady" }]],
    ["no workspace", [RUNS], [{ key: lasting, workspace: "" }]],
    ["a wrong workspace", [RUNS], [{ key: lasting, workspace: "free-a" }]],
    ["a key just taken away", [], [
      { key: taken, workspace: "steady", sentAt: 7900 },
    ]],
    ["a key long taken away", [RUNS], [
      { key: taken, workspace: "steady", sentAt: 8100 },
    ]],
    ["a key at a server", [SEEN], [
      { key: lasting, workspace: "steady", headers: { x: lasting } },
    ]],
    ["401 with a sound key", [REFUSED], [{ key: lasting, status: 401 }]],
    ["401 with a key taken away", [], [{ key: taken, status: 401 }]],
    ["401 with a key that has just been added", [], [
      { key: "soakkey-steady-3", status: 401, sentAt: 7000 },
    ]],
    ["120 requests in a window", [], repeat(120, surging, 30)],
    ["121 requests in a window", [OVERRUN], repeat(121, surging, 30)],
    ["429 within the quota", [WITHIN], repeat(20, overQuota, 0)],
    ["429 beyond the quota", [], [
      ...repeat(21, surging, 0),
      { ...overQuota, sentAt: 13_900 },
    ]],
  ])("judge %s", (_name, broken, cases) => {
    expect(findBroken(cases)).toEqual(broken);
  });

  it("leave out refusals for quotas while a gateway stops", () => {
    const stops = [{ vm: "vm-1", from: 9000, until: 9500 }];
    expect(findBroken([overQuota], stops)).toEqual([]);
  });
});
