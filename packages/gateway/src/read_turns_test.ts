import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { expect, it } from "vitest";
import { ReadTurns } from "./read_turns.ts";

const CALLERS = 40;
const BODY = Buffer.alloc(2_000_000);
const CHUNK_BYTES = 65_536;

/** Posts a large body; resolves once the connection is closed. */
function post(port: number, path: string): Promise<void> {
  return new Promise((resolve) => {
    const socket = net.connect(port, "127.0.0.1");
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n` +
        `Content-Length: ${BODY.length}\r\n\r\n`,
    );
    socket.write(BODY);
    socket.on("data", () => {});
    socket.on("close", () => resolve());
  });
}

// Guards against large bodies that are read by megabytes while other requests wait.
it("reads a few chunks of all large bodies between two turns of the event loop", async () => {
  const turns = new ReadTurns();
  let begun = 0;
  let ended = 0;
  let bytesOfTurn = 0;
  let mostBytes = 0;
  let isWatching = true;
  const watch = () => {
    // The first chunk of each body comes with its head.
    if (begun === CALLERS) mostBytes = Math.max(mostBytes, bytesOfTurn);
    bytesOfTurn = 0;
    if (isWatching) setImmediate(watch);
  };
  const server = http.createServer((req, res) => {
    turns.join(req);
    req.on("data", (chunk: Buffer) => bytesOfTurn += chunk.length);
    req.on("end", () => {
      ended++;
      res.end();
    });
    setImmediate(() => begun++);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  watch();
  await Promise.all(
    Array.from({ length: CALLERS }, () => post(port, "/")),
  );
  isWatching = false;
  server.close();
  expect(ended).toBe(CALLERS);
  expect(mostBytes).toBeGreaterThan(0);
  expect(mostBytes).toBeLessThanOrEqual(8 * CHUNK_BYTES);
});

// Guards against accepted bodies that time out while many refused ones are discarded.
it("reads accepted bodies before refused ones", async () => {
  const turns = new ReadTurns();
  let refusedBytes = 0;
  let refusedBytesAtEnd: number | undefined;
  const server = http.createServer((req, res) => {
    const isRefused = req.url === "/refused";
    turns.join(req, { isRefused });
    req.on("data", (chunk: Buffer) => {
      if (isRefused) refusedBytes += chunk.length;
    });
    req.on("end", () => {
      if (!isRefused) refusedBytesAtEnd = refusedBytes;
      res.end();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const paths = Array.from({ length: CALLERS }, () => "/refused");
  await Promise.all([...paths, "/accepted"].map((path) => post(port, path)));
  server.close();
  expect(refusedBytes).toBe(CALLERS * BODY.length);
  expect(refusedBytesAtEnd).toBeLessThan(refusedBytes / 4);
});
