import { describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import { RecordKeeper } from "./record_keeper.ts";

function createKeeper(): RecordKeeper {
  return new RecordKeeper({
    log: new EventLog({ level: "silent" }),
    onChange: () => {},
  });
}

function createObject(version: number, fields: object = {}) {
  const record = {
    kind: "RoutingRecord",
    schemaVersion: 1,
    name: "main",
    models: { [`m${version}`]: "lm" },
    ...fields,
  };
  const key = `records/RoutingRecord/${record.name}`;
  return { key, version, value: { record, audit: [], archived: [] } };
}

describe("RecordKeeper", () => {
  it("never goes back to a lower version, whatever order changes come in", () => {
    const keeper = createKeeper();
    for (const version of [5, 3, 9, 7, 9, 1]) {
      keeper.applySome([createObject(version)]);
    }
    expect(keeper.list()).toMatchObject([{
      version: 9,
      record: { models: { m9: "lm" } },
    }]);
  });

  it("does not count as complete what came singly", () => {
    const keeper = createKeeper();
    keeper.applyComplete([createObject(2)], 2);
    keeper.applySome([createObject(8, { name: "other" })]);
    expect(keeper.revision).toBe(2);
    expect(keeper.listAfter(2).map(([, version]) => version)).toEqual([8]);
  });

  it("keeps the record in force when a malformed one is stored", () => {
    const keeper = createKeeper();
    keeper.applyComplete([createObject(2)], 2);
    keeper.applyComplete([createObject(3, { models: 7 })], 3);
    expect(keeper.list()).toMatchObject([{ record: { models: { m2: "lm" } } }]);
  });

  it("takes a deleted record out of force and remembers its version", () => {
    const keeper = createKeeper();
    keeper.applyComplete([createObject(2)], 2);
    const deleted = {
      ...createObject(4),
      value: { record: null, audit: [], archived: [] },
    };
    keeper.applyComplete([deleted], 4);
    keeper.applySome([createObject(3)]);
    expect(keeper.list()).toEqual([]);
  });
});
