import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { AccessKind, decideAccess, KeyRefusal } from "./access_decision.ts";
import { KeyTable, MAX_KEY_LENGTH } from "./key_table.ts";
import { toHeaderText } from "./header_text.ts";
import {
  MAX_WORKSPACE_NAME_LENGTH,
  selectUsableWorkspaces,
} from "./usable_workspaces.ts";

const RUNS = { seed: 5, numRuns: 200 };
const key = fc.stringMatching(/^[!-~]{1,12}$/);

describe("KeyTable", () => {
  // Guards against collisions in the table that lose a key or give it another workspace.
  it("finds the workspace of each key, and of no other text", () => {
    const lists = fc.uniqueArray(key, { maxLength: 40 });
    fc.assert(
      fc.property(lists, fc.array(key), (known, others) => {
        const workspaces = known.map((one) => ({ name: one, keys: [one] }));
        const table = new KeyTable(workspaces);
        for (const one of known) expect(table.find(one)?.name).toBe(one);
        for (const other of others) {
          if (known.includes(other)) continue;
          expect(table.find(other)).toBeUndefined();
          expect(table.find(other.padEnd(MAX_KEY_LENGTH + 1, "x")))
            .toBeUndefined();
        }
      }),
      RUNS,
    );
  });

  // Guards against a key in a log line of what is passed on with requests, or in a dump.
  it("holds no key as text", () => {
    const table = new KeyTable([{ name: "a", keys: ["secret"], priority: 1 }]);
    expect(table.find("secret")).toEqual({ name: "a", keys: [], priority: 1 });
    expect(table.findByName("a")?.keys).toEqual([]);
  });
});

describe("decideAccess", () => {
  const keys = new KeyTable([{ name: "a", keys: ["secret"] }]);

  it.each([
    [undefined, false, KeyRefusal.Missing],
    [{ key: "other" }, false, KeyRefusal.Unknown],
    [{ key: "other" }, true, KeyRefusal.Unknown],
    [{ refusal: KeyRefusal.Several }, true, KeyRefusal.Several],
  ])("refuses %j on a route that is public: %j", (presented, isPublic, why) => {
    expect(decideAccess(keys, { presented, isPublic }))
      .toEqual({ kind: AccessKind.Refused, reason: why });
  });

  it("needs no key on a public route, and grants one that is valid", () => {
    expect(decideAccess(keys, { presented: undefined, isPublic: true }).kind)
      .toBe(AccessKind.Public);
    const presented = { key: "secret" };
    expect(decideAccess(keys, { presented, isPublic: true }))
      .toMatchObject({ kind: AccessKind.Granted, workspace: { name: "a" } });
  });
});

describe("selectUsableWorkspaces", () => {
  // Guards against a configuration by which a key's workspace depends on the order of a list.
  it("names the places of names and keys that can't be used, and no key", () => {
    const { issues, workspaces, unusableKeys } = selectUsableWorkspaces([
      { name: "a", keys: ["k1", "k1", "k3"] },
      { name: "a", keys: ["k2", "k1"] },
      { name: "", keys: ["", "two words"] },
      { name: "line\nbreak", keys: ["k".repeat(MAX_KEY_LENGTH + 1)] },
      { name: "n".repeat(MAX_WORKSPACE_NAME_LENGTH + 1), keys: [] },
      { name: "n".repeat(MAX_WORKSPACE_NAME_LENGTH), keys: [] },
    ]);
    const places = issues.map(({ workspace, field, at }) =>
      [workspace, field, at].join(" ").trim()
    );
    expect(places).toEqual([
      "1 name",
      "1 keys 1",
      "2 name",
      "2 keys 0",
      "2 keys 1",
      "3 name",
      "3 keys 0",
      "4 name",
    ]);
    expect(JSON.stringify(issues)).not.toMatch(/k1|two words|kkk/);
    // A workspace without a name and a key of two workspaces serve nobody.
    expect(workspaces.map(({ keys }) => keys)).toEqual([["k3"], []]);
    expect(new Set(unusableKeys)).toEqual(new Set(["k1", "k2"]));
    const table = new KeyTable(workspaces, { unusableKeys });
    for (const key of ["k1", "k2"]) {
      const refused = { kind: AccessKind.Refused, reason: KeyRefusal.Unusable };
      expect(decideAccess(table, { presented: { key }, isPublic: true }))
        .toEqual(refused);
    }
    expect(table.find("k3")?.name).toBe("a");
  });

  // Guards against a name or key in another language that costs the configuration.
  it("takes names and keys of all languages, each by what its header carries", () => {
    const utf8 = (text: string) => Buffer.from(text).toString("latin1");
    const { issues, workspaces, unusableKeys } = selectUsableWorkspaces([
      { name: "Oficina Engativá", keys: ["clé"] },
      { name: "東京", keys: ["鍵"] },
      { name: utf8("東京"), keys: ["k2"] },
      { name: "b", keys: [utf8("clé")] },
      { name: "c\ud800", keys: ["k3"] },
    ]);
    expect(issues.map(({ workspace, field }) => `${workspace} ${field}`))
      .toEqual(["2 name", "3 keys", "4 name"]);
    const table = new KeyTable(workspaces, { unusableKeys });
    expect(table.find(utf8("鍵"))?.name).toBe("東京");
    expect(toHeaderText("東京")).toBe(utf8("東京"));
    expect(toHeaderText("Oficina Engativá")).toBe("Oficina Engativá");
    // What may be the key of one workspace or of another one is of neither.
    for (const key of ["clé", utf8("clé"), "k2", "k3"]) {
      expect(table.find(key)).toBeUndefined();
      expect(table.isUnusable(key)).toBe(true);
    }
  });
});
