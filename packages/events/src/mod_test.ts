import process from "node:process";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import { describe, expect, it } from "vitest";
import { EventLog } from "./mod.ts";

const METRICS = 100_000;
/** Far less than the messages of that many metrics take. */
const MAX_GROWTH_BYTES = 5_000_000;

function measureHeap(): number {
  v8.setFlagsFromString("--expose-gc");
  vm.runInNewContext("gc")();
  return process.memoryUsage().heapUsed;
}

describe("EventLog", () => {
  // Guards against a process whose heap grows with each request that it has served.
  it("keeps no message of a metric where no StatsD server is set", async () => {
    const log = new EventLog({ level: "fatal" });
    const before = measureHeap();
    for (let n = 0; n < METRICS; n++) {
      log.count("requests_total", 1, { route: "a", status: "200" });
    }
    expect(measureHeap() - before).toBeLessThan(MAX_GROWTH_BYTES);
    await log.close();
  });
});
