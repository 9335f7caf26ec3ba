import { describe, expect, it } from "vitest";
import { buildRequestReport, buildRunReport, parseLog } from "./log_report.ts";

const line = (time: number, vm: string, event: number, fields: object) =>
  JSON.stringify({
    level: 30,
    time,
    vm,
    event,
    ...fields,
    msg: `event ${event}`,
  });

const LOG = parseLog([
  line(100, "vm-1", 3104, { version: 4 }),
  line(200, "vm-1", 3104, { version: 5 }),
  line(300, "vm-2", 3108, { server: "d1", state: "ready" }),
  "some other program's line",
  line(900, "vm-1", 3108, { server: "d1", state: "ready" }),
  line(950, "vm-1", 3108, { server: "d9", state: "gone" }),
  line(1000, "vm-1", 4003, { requestId: "r1", prefill: "p1", decode: "d1" }),
  line(1040, "vm-1", 4004, { requestId: "r1", server: "d1", reason: "reset" }),
  line(1050, "vm-1", 5003, { requestId: "r1", status: 502, reason: "reset" }),
  line(1060, "vm-1", 3104, { version: 6 }),
  line(1100, "vm-2", 5003, {
    requestId: "r2",
    status: 502,
    reason: "reset",
    suppressed: 3,
  }),
  line(1200, "vm-2", 5004, {
    requestId: "r3",
    status: 404,
    reason: "no route",
  }),
].join("\n"));

describe("buildRequestReport", () => {
  it("lists the events of the request by time", () => {
    const report = buildRequestReport(LOG, "r1")!;
    expect(report.life.map(({ atMs, event }) => [atMs, event])).toEqual([
      [0, 4003],
      [40, 4004],
      [50, 5003],
    ]);
    expect(report.life[1]?.details).toBe("server=d1 reason=reset");
  });

  it("lists the latest state known to the VM before the request ended, with its age", () => {
    const { known } = buildRequestReport(LOG, "r1")!;
    expect(known.map(({ atMs, details }) => [atMs, details])).toEqual([
      [-800, "version=5"],
      [-100, "server=d1 state=ready"],
    ]);
  });

  it("returns undefined if no line has the request id", () => {
    expect(buildRequestReport(LOG, "unknown")).toBeUndefined();
  });
});

describe("buildRunReport", () => {
  it("counts lines with the same description, including suppressed ones, with an example", () => {
    const report = buildRunReport(LOG);
    expect(report).toMatchObject({ lines: 11, vms: 2, seconds: 1.1 });
    expect(report.requests).toEqual([
      { what: "502 reset", count: 5, example: "r1" },
      { what: "404 no route", count: 1, example: "r3" },
    ]);
    expect(report.failures).toEqual([
      { what: "d1 reset", count: 1, example: "r1" },
    ]);
  });
});
