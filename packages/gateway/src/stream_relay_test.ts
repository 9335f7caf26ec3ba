import { Buffer } from "node:buffer";
import * as net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { openExchange } from "@bitternfall/connection";
import type { CallerResponse } from "./caller_response.ts";
import { type RelayOutcome, StreamRelay } from "./stream_relay.ts";

const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK = "0\r\n\r\n";
const EVENT = "id: 1\ndata: piece\n\n";
const COMMENT = ": nothing\n\n";
const MAX_GAP_MS = 300;

const servers: net.Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

function createChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Relays what a server writes to a caller that reads all of it. */
async function relay(
  write: (socket: net.Socket) => void,
): Promise<{ outcome: RelayOutcome; writes: string[]; events: number }> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(HEAD);
      write(socket);
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const res = await openExchange({
    host: "127.0.0.1",
    port,
    method: "GET",
    path: "/",
    headers: ["Host", "test"],
    headTimeoutMs: 1000,
  });
  const writes: string[] = [];
  let events = 0;
  const callerResponse = {
    write: (bytes: Buffer) => writes.push(bytes.toString()) > 0,
    whenDrained: () => Promise.resolve(),
  } as Partial<CallerResponse> as CallerResponse;
  const streamRelay = new StreamRelay({
    res,
    callerResponse,
    callerSignal: new AbortController().signal,
    onEvents: ({ count }) => events += count,
  });
  const outcome = await streamRelay.run(() => MAX_GAP_MS);
  return { outcome, writes, events };
}

/** Writes a text as long as the connection lasts. */
function writeEndlessly(socket: net.Socket, text: string): void {
  const bytes = Buffer.from(createChunk(text.repeat(100)));
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on("drain", write);
  write();
}

describe("a relayed stream", () => {
  // Guards against a heap that fills with a buffer for each chunk of one byte.
  it("passes events in chunks of one byte on together", async () => {
    const text = EVENT.repeat(500);
    const { outcome, writes, events } = await relay((socket) =>
      socket.write([...text].map(createChunk).join("") + LAST_CHUNK)
    );
    expect(outcome).toMatchObject({ kind: "complete" });
    expect([writes.join(""), events]).toEqual([text, 500]);
    expect(writes.length).toBeLessThan(250);
  });

  // Guards against a server that holds a call, and its VM, with bytes that bring nothing.
  it.each([
    ["comments", COMMENT],
    ["blank lines", "\n\r\n"],
    ["waits", "retry: 5\n\n"],
    ["lines of one comment", ": nothing\n"],
  ])("breaks off after endless %s", async (_, text) => {
    for (const first of ["", EVENT]) {
      const { outcome, events } = await relay((socket) => {
        if (first !== "") socket.write(createChunk(first));
        writeEndlessly(socket, text);
      });
      expect(outcome.kind).toBe("broken");
      expect(events).toBe(first === "" ? 0 : 1);
    }
  });

  // Guards against a sound server that is left although it tells that it is at work.
  it.each([["before", ""], ["after", EVENT]])(
    "is not silent while comments come %s the first event",
    async (_, first) => {
      const { outcome, events } = await relay((socket) => {
        if (first !== "") socket.write(createChunk(first));
        const writeComment = () => socket.write(createChunk(COMMENT));
        const timer = setInterval(writeComment, MAX_GAP_MS / 10);
        setTimeout(() => {
          clearInterval(timer);
          socket.end(createChunk(EVENT) + LAST_CHUNK);
        }, 3 * MAX_GAP_MS);
        socket.once("close", () => clearInterval(timer));
      });
      expect(outcome.kind).toBe("complete");
      expect(events).toBe(first === "" ? 1 : 2);
    },
  );

  it.each([
    ["between events", [EVENT, COMMENT, COMMENT, EVENT], ""],
    ["after the last event", [EVENT, COMMENT], ""],
    ["before the first event", [COMMENT, "\n\n", EVENT], ""],
    ["without an event", [], COMMENT + COMMENT],
  ])("passes comments on unchanged %s", async (_, parts, held) => {
    const { outcome, writes } = await relay((socket) =>
      socket.write(createChunk(parts.join("") + held) + LAST_CHUNK)
    );
    expect(writes.join("")).toBe(parts.join(""));
    const expected = held === "" ? undefined : Buffer.from(held);
    expect(outcome).toEqual({ kind: "complete", held: expected });
  });
});
