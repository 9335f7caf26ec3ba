import { Buffer } from "node:buffer";
import * as net from "node:net";
import { expect, it } from "vitest";
import { Listener } from "./listener.ts";
import { findMeter } from "./read_shares.ts";

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
  const listener = new Listener({ host: "127.0.0.1", port: 0 }, (req, res) => {
    req.on("data", (chunk: Buffer) => bytesOfTurn += chunk.length);
    req.on("end", () => {
      ended++;
      res.end();
    });
    setImmediate(() => begun++);
  });
  const port = await listener.listen();
  watch();
  await Promise.all(
    Array.from({ length: CALLERS }, () => post(port, "/")),
  );
  isWatching = false;
  await listener.close();
  expect(ended).toBe(CALLERS);
  expect(mostBytes).toBeGreaterThan(0);
  expect(mostBytes).toBeLessThanOrEqual(8 * CHUNK_BYTES);
});

// Guards against accepted bodies that time out while many refused ones are discarded.
it("reads accepted bodies before refused ones", async () => {
  let refusedBytes = 0;
  let refusedBytesAtEnd: number | undefined;
  const listener = new Listener({ host: "127.0.0.1", port: 0 }, (req, res) => {
    const isRefused = req.url === "/refused";
    if (isRefused) findMeter(req.socket)!.setDiscarded(true);
    req.on("data", (chunk: Buffer) => {
      if (isRefused) refusedBytes += chunk.length;
    });
    req.on("end", () => {
      if (!isRefused) refusedBytesAtEnd = refusedBytes;
      res.end();
    });
  });
  const port = await listener.listen();
  const paths = Array.from({ length: CALLERS }, () => "/refused");
  await Promise.all([...paths, "/accepted"].map((path) => post(port, path)));
  await listener.close();
  expect(refusedBytes).toBe(CALLERS * BODY.length);
  expect(refusedBytesAtEnd).toBeLessThan(refusedBytes / 4);
});
