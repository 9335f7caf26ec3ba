import { describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import { RecordReplica } from "./record_replica.ts";

function createReplica(): RecordReplica {
  return new RecordReplica({
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

describe("RecordReplica", () => {
  it("keeps the highest version whatever order objects arrive in", () => {
    const replica = createReplica();
    for (const version of [5, 3, 9, 7, 9, 1]) {
      replica.applyPartial([createObject(version)]);
    }
    expect(replica.list()).toMatchObject([{
      version: 9,
      record: { models: { m9: "lm" } },
    }]);
  });

  it("does not advance its revision for objects that are applied partially", () => {
    const replica = createReplica();
    replica.applyComplete([createObject(2)], 2);
    replica.applyPartial([createObject(8, { name: "other" })]);
    expect(replica.revision).toBe(2);
    expect(replica.listAfter(2).map(([, version]) => version)).toEqual([8]);
  });

  it("keeps the previous record when a malformed one is stored", () => {
    const replica = createReplica();
    replica.applyComplete([createObject(2)], 2);
    replica.applyComplete([createObject(3, { models: 7 })], 3);
    expect(replica.list()).toMatchObject([{
      record: { models: { m2: "lm" } },
    }]);
  });

  it("removes a deleted record and does not restore it from a lower version", () => {
    const replica = createReplica();
    replica.applyComplete([createObject(2)], 2);
    const deleted = {
      ...createObject(4),
      value: { record: null, audit: [], archived: [] },
    };
    replica.applyComplete([deleted], 4);
    replica.applyPartial([createObject(3)]);
    expect(replica.list()).toEqual([]);
  });
});
