import { Buffer } from "node:buffer";
import { once } from "node:events";
import type * as http from "node:http";
import * as process from "node:process";
import { PassThrough } from "node:stream";
import { setImmediate } from "node:timers/promises";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import { describe, expect, it } from "vitest";
import { discardBody, readBody } from "./body.ts";

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

function measureHeap(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

describe("readBody", () => {
  // Guards against a heap that fills with a buffer for each chunk of one byte.
  it("holds a body in chunks of one byte in few buffers", async () => {
    const req = Object.assign(new PassThrough(), { headers: {} });
    const body = readBody(req as unknown as http.IncomingMessage, 1_000_000);
    const before = measureHeap();
    for (let count = 0; count < 200_000; count++) {
      req.write(Buffer.alloc(1, "b"));
      if (count % 1000 === 0) await setImmediate();
    }
    expect(measureHeap() - before).toBeLessThan(10_000_000);
    req.end();
    expect((await body).equals(Buffer.alloc(200_000, "b"))).toBe(true);
  });
});

describe("discardBody", () => {
  // Guards against a request that is kept for a caller who has left.
  it("does not wait for a request that has closed already", async () => {
    const req = new PassThrough();
    req.destroy();
    await once(req, "close");
    const startedAt = performance.now();
    await discardBody(req as unknown as http.IncomingMessage);
    expect(performance.now() - startedAt).toBeLessThan(1000);
  });
});
