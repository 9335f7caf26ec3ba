import type * as net from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { CallPath, TestCalls } from "./test_calls.ts";

/** Longer than the gap after which a stream goes on at another server if one takes it. */
const SILENCE_MS = 2200;
const TIMEOUT_MS = 8000;
const HEAD =
  "HTTP/1.1 200 OK\r\nBitternfall-Seal: s1\r\nConnection: close\r\n" +
  "Content-Length: ";
const EVENTS = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: piece ${id}\n\n`);

const calls = new TestCalls();
calls.timeoutMs = TIMEOUT_MS;
/** Whether the connection of the server that fell silent was closed. */
let isLeft = false;

beforeAll(() => calls.start());
afterAll(() => calls.close());

/** Writes the rest of a stream with a pause after its first event. */
async function writeWithPause(
  socket: net.Socket,
  after: number,
): Promise<void> {
  isLeft = false;
  socket.once("close", () => isLeft = true);
  const events = EVENTS.slice(after);
  socket.write(`${HEAD}${events.join("").length}\r\n\r\n${events[0]}`);
  await sleep(SILENCE_MS);
  if (!socket.destroyed) socket.end(events.slice(1).join(""));
}

describe("a stream whose server is silent for a while", () => {
  // Guards against streams that are broken off although their server goes on.
  it.each([{ grants: 1, why: "is granted" }, { grants: 2, why: "may try" }])(
    "goes on there if no other server $why",
    async ({ grants }) => {
      calls.maxGrants = grants;
      calls.answer = (socket, { lastEventId }) =>
        void writeWithPause(socket, Number(lastEventId ?? 0));
      expect(await calls.send(CallPath.Resumed))
        .toMatchObject({ isComplete: true, body: EVENTS.join("") });
    },
  );

  // Guards against two servers that work on one stream.
  it("goes on at another server that is granted, once its own is left", async () => {
    let wasLeft = false;
    calls.maxGrants = 2;
    calls.answer = (socket, { lastEventId }) => {
      if (lastEventId === undefined) return void writeWithPause(socket, 0);
      wasLeft = isLeft;
      const rest = EVENTS.slice(Number(lastEventId)).join("");
      socket.end(`${HEAD}${rest.length}\r\n\r\n${rest}`);
    };
    expect(await calls.send(CallPath.Resumed))
      .toMatchObject({ isComplete: true, body: EVENTS.join("") });
    expect(wasLeft).toBe(true);
  });

  it("is left when its caller leaves", async () => {
    calls.maxGrants = 1;
    calls.answer = (socket) => void writeWithPause(socket, 0);
    const caller = calls.open(CallPath.Resumed);
    await sleep(SILENCE_MS - 100);
    expect(isLeft).toBe(false);
    caller.destroy();
    await sleep(50);
    expect(isLeft).toBe(true);
  });
});
