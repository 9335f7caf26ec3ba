import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { CrashRecord } from "@bitternfall/dispatch";
import { EventLog } from "@bitternfall/events";
import { CrashRegistry } from "./crash_registry.ts";

const PART = 7;

describe("a registry of crashes", () => {
  let log: EventLog;
  let published: CrashRecord[];
  let changes: number;
  let registry: CrashRegistry;

  beforeEach(() => {
    log = new EventLog({ level: "fatal" });
    published = [];
    changes = 0;
    registry = new CrashRegistry({
      log,
      publish: (_service, record) => published.push(record),
      isOwner: () => true,
      onChange: () => changes++,
    });
    const report = { process: "s1", requestId: "r1", parts: [PART] };
    registry.report("lm", report);
    published = [];
    changes = 0;
  });

  afterEach(() => log.close());

  it("tells other VMs which parts have worked since a crash", () => {
    registry.recordBegin("lm", [PART]);
    expect(published.map(({ cleared }) => cleared)).toEqual([[PART]]);
    registry.recordBegin("lm", [PART]);
    expect(published).toHaveLength(1);
  });

  // Guards against what only the dispatcher's VM knows when all VMs are killed at once.
  it("reports a change where the service's dispatcher sees a run begin", () => {
    registry.get("lm").recordBegin([PART]);
    expect(changes).toBe(1);
  });
});
