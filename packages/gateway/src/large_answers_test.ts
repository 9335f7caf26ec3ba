import { Buffer } from "node:buffer";
import * as process from "node:process";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { CallPath, TestCalls } from "./test_calls.ts";

const CALLERS = 30;
const BODY = Buffer.alloc(12_000_000, "0123456789abcdef");
const SETTLE_MS = 1500;
/** Bytes that all callers together may hold: 256 KiB each. */
const MAX_HELD_BYTES = CALLERS * 262_144;

const calls = new TestCalls();

beforeAll(() => calls.start());
afterAll(() => calls.close());
beforeEach(() => {
  calls.timeoutMs = 4000;
});

function createHead(framing: string, status = "200 OK"): string {
  return `HTTP/1.1 ${status}\r\nBitternfall-Seal: s1\r\n${framing}\r\n\r\n`;
}

const SIZED_HEAD = createHead(`Content-Length: ${BODY.length}`);

/** Sends requests of callers who read nothing; returns how much more memory is held then. */
async function measureUnread(path: CallPath): Promise<number> {
  const before = process.memoryUsage().arrayBuffers;
  const callers = Array.from({ length: CALLERS }, () => calls.open(path));
  await sleep(SETTLE_MS);
  const held = process.memoryUsage().arrayBuffers - before;
  for (const caller of callers) caller.destroy();
  return held;
}

describe("answers that their callers do not read", () => {
  // Guards against a process that is killed because many large answers fill its memory.
  it("are not held in memory", async () => {
    calls.answer = (socket) => {
      socket.write(SIZED_HEAD);
      socket.write(BODY);
    };
    expect(await measureUnread(CallPath.Unsafe)).toBeLessThan(MAX_HELD_BYTES);
  });
});
