import { describe, expect, it } from "vitest";
import * as fc from "fast-check";
import {
  type Assignment,
  hashKey,
  parseRecord,
  planChange,
  RecordError,
  Snapshot,
  type StoredRecord,
} from "./mod.ts";

const V1 = {
  kind: "RoutingRecord",
  schemaVersion: 1,
  name: "main-1",
  models: { planner: "planner-lm" },
  services: ["ventanilla"],
  operations: [{
    service: "ventanilla",
    method: "POST",
    path: "/search",
    repeatable: true,
  }],
};
const V2 = {
  kind: "RoutingRecord",
  schemaVersion: 2,
  name: "main-2",
  models: [{ model: "planner", service: "other-lm", priority: 0 }],
  services: [{
    service: "ventanilla",
    operations: [{
      methods: ["POST"],
      path: "/claims/*",
      repeatable: false,
      keyRequired: true,
    }],
  }],
};

function createAssignment(name: string, routing: string): Assignment {
  return parseRecord({
    kind: "Assignment",
    schemaVersion: 1,
    name,
    workspace: "claro",
    routing,
    keySha256: [hashKey(`key-of-${name}`)],
  }) as Assignment;
}

describe("operators' records", () => {
  it("are refused when malformed, with the path of each fault", () => {
    const attempt = () =>
      parseRecord({
        ...V2,
        services: [{ service: "x", operations: [{ methods: [] }] }],
        extra: 1,
      });
    expect(attempt).toThrow(RecordError);
    expect(attempt).toThrow(/services\.0\.operations\.0\.methods/);
    expect(attempt).toThrow(/extra/);
    expect(() => parseRecord({ kind: "Nonsense" })).toThrow(/unknown kind/);
    expect(() => parseRecord(null)).toThrow(RecordError);
    expect(() => parseRecord({ kind: "constructor" })).toThrow(/unknown kind/);
  });

  it("of both routing schema versions can be in force side by side", () => {
    const records = [
      parseRecord(V1),
      parseRecord(V2),
      createAssignment("a", "main-1"),
      createAssignment("b", "main-2"),
    ];
    const snapshot = new Snapshot(records);
    const routingV1 = snapshot.findCaller("key-of-a")!.routing!;
    const routingV2 = snapshot.findCaller("key-of-b")!.routing!;
    expect(routingV1.findModel("planner")).toEqual({
      service: "planner-lm",
      priority: 1,
    });
    expect(routingV2.findModel("planner")).toEqual({
      service: "other-lm",
      priority: 0,
    });
    expect(snapshot.findCaller("key-of-c")).toBeUndefined();
  });

  it("allow only GET and HEAD calls to be retried unless an operation says otherwise", () => {
    const snapshot = new Snapshot([
      parseRecord(V1),
      parseRecord(V2),
      createAssignment("a", "main-1"),
    ]);
    const routing = snapshot.findCaller("key-of-a")!.routing!;
    expect(
      routing.findOperation("ventanilla", { method: "GET", path: "/x" })
        ?.repeatable,
    ).toBe(true);
    expect(
      routing.findOperation("ventanilla", { method: "PUT", path: "/x" })
        ?.repeatable,
    ).toBe(false);
    expect(
      routing.findOperation("ventanilla", { method: "POST", path: "/search" })
        ?.repeatable,
    ).toBe(true);
    expect(routing.findOperation("other", { method: "GET", path: "/x" }))
      .toBeUndefined();
  });

  it("match the paths below a pattern that ends in /*", () => {
    const snapshot = new Snapshot([
      parseRecord(V2),
      createAssignment("b", "main-2"),
    ]);
    const routing = snapshot.findCaller("key-of-b")!.routing!;
    expect(
      routing.findOperation("ventanilla", { method: "POST", path: "/claims/7" })
        ?.keyRequired,
    ).toBe(true);
    expect(
      routing.findOperation("ventanilla", { method: "POST", path: "/claims" })
        ?.keyRequired,
    ).toBe(false);
  });

  it("move old audit entries to an archive without losing any", () => {
    let stored: StoredRecord | undefined;
    const archive: string[] = [];
    for (let change = 0; change < 100; change++) {
      const entry = {
        changeId: `c${change}`,
        who: "op",
        when: "",
        before: stored?.record ?? null,
        after: null,
      };
      const plan = planChange(stored, entry);
      archive.push(
        ...plan.entriesToArchive.map((auditEntry) => auditEntry.changeId),
      );
      stored = plan.next;
    }
    const changeIds = [
      ...archive,
      ...stored!.audit.map((auditEntry) => auditEntry.changeId),
    ];
    expect(changeIds).toEqual(
      Array.from({ length: 100 }, (_, change) => `c${change}`),
    );
    expect(stored!.archived.reduce((sum, size) => sum + size, 0)).toBe(
      archive.length,
    );
  });

  it("fit together with their audit trail into a value of one megabyte, even when they are large", () => {
    const servers = Array.from({ length: 1000 }, (_, index) => ({
      id: `server-${index}`,
      role: index % 2 === 0 ? "prefill" : "decode",
      address: `http://10.1.${index % 250}.1:9000`,
      availabilityZone: "sofia-a",
    }));
    const record = parseRecord({
      kind: "ModelService",
      schemaVersion: 1,
      name: "lm",
      model: "m",
      servers,
    });
    let stored: StoredRecord | undefined;
    for (let change = 0; change < 50; change++) {
      const entry = {
        changeId: `c${change}`,
        who: "op",
        when: "",
        before: record,
        after: record,
      };
      const plan = planChange(stored, entry);
      expect(JSON.stringify({ entries: plan.entriesToArchive }).length)
        .toBeLessThan(
          1_000_000,
        );
      stored = plan.next;
      expect(JSON.stringify(stored).length).toBeLessThan(1_000_000);
    }
    const archived = stored!.archived.reduce((sum, size) => sum + size, 0);
    expect(archived + stored!.audit.length).toBe(50);
  });

  it("of arbitrary content are refused with a RecordError only", () => {
    const kinds = fc.constantFrom(
      "ModelService",
      "PlainService",
      "RoutingRecord",
      "Assignment",
      "x",
    );
    fc.assert(
      fc.property(kinds, fc.object(), (kind, value) => {
        try {
          parseRecord({ ...value, kind });
        } catch (err) {
          expect(err).toBeInstanceOf(RecordError);
        }
      }),
      { seed: 1, numRuns: 300 },
    );
  });
});
