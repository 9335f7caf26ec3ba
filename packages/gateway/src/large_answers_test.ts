import { Buffer } from "node:buffer";
import type * as net from "node:net";
import * as process from "node:process";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { monotonicNow, sleep } from "@bitternfall/types";
import {
  CallPath,
  parseResponse,
  type RawResponse,
  TestCalls,
} from "./test_calls.ts";

const CALLERS = 30;
const BODY = Buffer.alloc(12_000_000, "0123456789abcdef");
const SETTLE_MS = 800;
const GARBAGE_MS = 100;
const MEASUREMENTS = 4;
/** Bytes that all callers together may hold, with what their own sockets hold here. */
const MAX_HELD_BYTES = CALLERS * 524_288;
/** Part of the body after which servers break off or stop. */
const PART_BYTES = 1_000_000;

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

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

/** Buffers in use; those that are collected are freed in the background. */
async function measureBuffers(): Promise<number> {
  collectGarbage();
  await sleep(GARBAGE_MS);
  collectGarbage();
  return process.memoryUsage().arrayBuffers;
}

/** Sends requests of callers who read nothing; returns how much more memory is held then. */
async function measureUnread(path: CallPath): Promise<number> {
  const before = await measureBuffers();
  const callers = Array.from({ length: CALLERS }, () => calls.open(path));
  await sleep(SETTLE_MS);
  let held = Infinity;
  // What has just been passed on may not be freed yet.
  for (let count = 0; count < MEASUREMENTS; count++) {
    held = Math.min(held, await measureBuffers() - before);
  }
  for (const caller of callers) caller.destroy();
  return held;
}

/** Writes as long as the socket takes it. */
function writeEndlessly(socket: net.Socket, chunk: Buffer): void {
  const write = () => {
    while (!socket.destroyed && socket.write(chunk));
  };
  socket.on("drain", write);
  write();
}

async function readToEnd(caller: net.Socket): Promise<RawResponse> {
  const chunks: Buffer[] = [];
  caller.on("data", (chunk) => chunks.push(chunk));
  await new Promise((resolve) => caller.once("close", resolve));
  return parseResponse(Buffer.concat(chunks).toString("latin1"));
}

async function waitUntilClosed(sockets: readonly net.Socket[]): Promise<void> {
  while (!sockets.every(({ destroyed }) => destroyed)) await sleep(5);
}

const writeWhole = (socket: net.Socket) => {
  socket.write(SIZED_HEAD);
  socket.write(BODY);
};

describe("answers that their callers do not read", () => {
  // Guards against a process that is killed because many large answers fill its memory.
  it("are not held in memory", async () => {
    calls.answer = writeWhole;
    expect(await measureUnread(CallPath.Unsafe)).toBeLessThan(MAX_HELD_BYTES);
  });

  // Guards against one that is killed because of answers without end.
  it.each([
    ["in chunks", CallPath.Unsafe, "Transfer-Encoding: chunked"],
    ["in chunks", CallPath.Forwarded, "Transfer-Encoding: chunked"],
    ["without framing", CallPath.Unsafe, "X-End: 1"],
    ["of events in chunks", CallPath.Stream, "Transfer-Encoding: chunked"],
    ["of events without framing", CallPath.Stream, "X-End: 1"],
  ])("are not held without end: %s, %s", async (_, path, framing) => {
    const isChunked = framing !== "X-End: 1";
    const events = Buffer.from("id: 1\ndata: piece\n\n".repeat(3000));
    const size = events.length.toString(16);
    const chunk = isChunked
      ? Buffer.concat([Buffer.from(`${size}\r\n`), events, Buffer.from("\r\n")])
      : events;
    calls.answer = (socket) => {
      socket.write(createHead(framing));
      writeEndlessly(socket, chunk);
    };
    expect(await measureUnread(path)).toBeLessThan(MAX_HELD_BYTES);
  });
});

// Guards against a process that is killed because streams fill its memory with half events.
it("events without end are not held in memory", async () => {
  calls.answer = (socket) => {
    socket.write(createHead("Transfer-Encoding: chunked"));
    socket.write("e0000\r\n");
    socket.write(BODY.subarray(0, 0xe0000));
  };
  expect(await measureUnread(CallPath.Stream)).toBeLessThan(MAX_HELD_BYTES);
});

describe("a large answer", () => {
  // Guards against bytes that are lost or doubled where the relay pauses.
  it.each([CallPath.Unsafe, CallPath.Safe, CallPath.Forwarded])(
    "%s reaches a slow caller whole, with its length",
    async (path) => {
      calls.answer = writeWhole;
      const caller = calls.open(path);
      await sleep(300);
      const { status, headers, body, isComplete } = await readToEnd(caller);
      expect([status, isComplete]).toEqual([200, true]);
      expect(headers).toContain(`content-length: ${BODY.length}`);
      expect(BODY.equals(Buffer.from(body, "latin1"))).toBe(true);
    },
  );

  // Guards against a part of an answer that looks whole.
  it.each([
    ["with a length", `Content-Length: ${BODY.length}`, false],
    ["with a length", `Content-Length: ${BODY.length}`, true],
    ["in chunks", "Transfer-Encoding: chunked", false],
    ["in chunks", "Transfer-Encoding: chunked", true],
    ["without framing", "X-End: 1", true],
  ])(
    "%s looks cut off if its server breaks off",
    async (_, framing, isReset) => {
      const isChunked = framing.startsWith("Transfer");
      calls.answer = (socket) => {
        socket.write(createHead(framing));
        if (isChunked) socket.write(`${BODY.length.toString(16)}\r\n`);
        socket.write(BODY.subarray(0, PART_BYTES));
        setTimeout(() => isReset ? socket.resetAndDestroy() : socket.end(), 50);
      };
      const { status, body, isComplete } = await readToEnd(
        calls.open(CallPath.Safe),
      );
      expect([status, isComplete]).toEqual([200, false]);
      expect(BODY.subarray(0, body.length).equals(Buffer.from(body, "latin1")))
        .toBe(true);
    },
  );

  // Guards against a caller who waits on although the route's time is over.
  it.each(["server", "caller"])(
    "ends at the timeout if its %s stops",
    async (stopping) => {
      calls.timeoutMs = 500;
      calls.answer = (socket) => {
        socket.write(SIZED_HEAD);
        socket.write(
          BODY.subarray(0, stopping === "server" ? PART_BYTES : undefined),
        );
      };
      const known = calls.outcomes.length;
      const startedAt = monotonicNow();
      const caller = calls.open(CallPath.Unsafe);
      if (stopping === "server") {
        expect((await readToEnd(caller)).isComplete).toBe(false);
      } else {
        while (calls.outcomes.length === known) await sleep(10);
      }
      expect(monotonicNow() - startedAt).toBeLessThan(1000);
      expect(calls.outcomes.at(-1)?.status).toBe(0);
    },
  );

  // Guards against a server that works on for a caller who has left.
  it("is closed at its server when its caller leaves, and counts until then", async () => {
    const sockets: net.Socket[] = [];
    calls.answer = (socket) => {
      sockets.push(socket);
      writeWhole(socket);
    };
    const known = calls.outcomes.length;
    const caller = calls.open(CallPath.Unsafe);
    await sleep(300);
    expect(calls.outcomes).toHaveLength(known);
    caller.destroy();
    await waitUntilClosed(sockets);
    while (calls.outcomes.length === known) await sleep(1);
    expect(calls.outcomes.at(-1)?.status).toBe(499);
  });

  // Guards against a second server that sends on to nobody.
  it("closes the slower one of two servers", async () => {
    calls.timeoutMs = 1500;
    const sockets: net.Socket[] = [];
    calls.answer = (socket) => {
      if (sockets.push(socket) === 2) writeWhole(socket);
    };
    const response = readToEnd(calls.open(CallPath.Safe));
    expect((await response).isComplete).toBe(true);
    expect(sockets).toHaveLength(2);
    await waitUntilClosed(sockets);
  });

  // Guards against an error that is passed on although another server has the answer.
  it.each([
    ["is not passed on if another server answers", true],
    ["is passed on if no server has a better answer", false],
  ])("of an error %s", async (_, isAnsweredByNext) => {
    const errorHead = createHead(
      `Content-Length: ${BODY.length}`,
      "500 Internal Server Error",
    );
    const sockets: net.Socket[] = [];
    calls.answer = (socket) => {
      const isNext = sockets.push(socket) === 2;
      socket.write(isNext && isAnsweredByNext ? SIZED_HEAD : errorHead);
      socket.write(BODY);
    };
    const { status, body, isComplete } = await readToEnd(
      calls.open(CallPath.Safe),
    );
    expect([status, isComplete, body.length])
      .toEqual([isAnsweredByNext ? 200 : 500, true, BODY.length]);
    expect(sockets).toHaveLength(2);
    await waitUntilClosed(sockets);
  });
});
