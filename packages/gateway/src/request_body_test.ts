import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import process from "node:process";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import { afterEach, beforeEach, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { indexHeaders } from "./headers.ts";
import { MemoryPool } from "@bitternfall/caller";
import {
  type BodyResult,
  discardRequestBody,
  readRequestBody,
} from "./request_body.ts";

const MAX_BYTES = 1_000_000;
const REFUSED_BODIES = 20;

let server: http.Server;
let pool: MemoryPool;
let results: Promise<BodyResult>[];
let requests: http.IncomingMessage[];
let port: number;

beforeEach(async () => {
  pool = new MemoryPool(2_000_000);
  results = [];
  requests = [];
  server = http.createServer((req, res) => {
    const result = readRequestBody(req, {
      headers: indexHeaders(req.rawHeaders),
      maxBytes: MAX_BYTES,
      reservation: pool.open(),
    });
    results.push(result);
    requests.push(req);
    void result.then(() => res.end());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  port = (server.address() as net.AddressInfo).port;
});
afterEach(() => {
  server.closeAllConnections();
  server.close();
});

async function begin(text: string): Promise<net.Socket> {
  const socket = net.connect(port, "127.0.0.1");
  socket.on("error", () => {});
  const count = results.length;
  socket.write(`POST / HTTP/1.1\r\nHost: test\r\n${text}`);
  while (results.length === count) await sleep(1);
  return socket;
}

it("reads bodies with a length and in chunks", async () => {
  await begin("Content-Length: 5\r\n\r\nhello");
  const body = "b".repeat(150_000);
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
  await begin(`Transfer-Encoding: chunked\r\n\r\n${chunk}${chunk}0\r\n\r\n`);
  expect(await results[0]).toEqual({
    tag: "read",
    body: Buffer.from("hello"),
  });
  expect(await results[1]).toEqual({
    tag: "read",
    body: Buffer.from(body + body),
  });
});

// Guards against slow writers whose bodies are counted only once they are read.
it("reserves declared bytes before they arrive, and keeps a part for small bodies", async () => {
  await begin("Content-Length: 1000000\r\n\r\n");
  expect(pool.heldBytes).toBe(1_000_000);
  await begin("Content-Length: 1000000\r\n\r\n");
  expect(await results[1]).toEqual({ tag: "no_memory" });
  await begin("Content-Length: 500000\r\n\r\n");
  await begin("Content-Length: 100000\r\n\r\n");
  expect(await results[3]).toEqual({ tag: "no_memory" });
  await begin("Content-Length: 5\r\n\r\nhello");
  expect(await results[4]).toMatchObject({ tag: "read" });
});

it("reports bodies that are too large or break off", async () => {
  await begin("Content-Length: 1000001\r\n\r\n");
  expect(await results[0]).toEqual({ tag: "too_large" });
  const socket = await begin("Content-Length: 5\r\n\r\nhel");
  socket.destroy();
  expect(await results[1]).toEqual({ tag: "broken" });
});

// Guards against bodies that stay in memory after their reservation is released.
it("holds nothing of a refused body while its caller goes on sending", async () => {
  v8.setFlagsFromString("--expose-gc");
  const collectGarbage = vm.runInNewContext("gc") as () => void;
  const heldBytes = () => {
    collectGarbage();
    return process.memoryUsage().arrayBuffers;
  };
  const bytesBefore = heldBytes();
  pool.limitBytes = REFUSED_BODIES * 2 * MAX_BYTES;
  const chunk = `${MAX_BYTES.toString(16)}\r\n${"b".repeat(MAX_BYTES)}\r\n`;
  for (let count = 0; count < REFUSED_BODIES; count++) {
    await begin(`Transfer-Encoding: chunked\r\n\r\n${chunk}1\r\nb`);
  }
  for (const result of results) {
    expect(await result).toEqual({ tag: "too_large" });
  }
  await expect.poll(() => heldBytes() - bytesBefore)
    .toBeLessThan(REFUSED_BODIES * MAX_BYTES / 4);
  expect(requests).toHaveLength(REFUSED_BODIES);
});

// Guards against a timer that keeps a request whose caller has left.
it("has nothing to discard of a request whose connection is closed", async () => {
  const socket = await begin("Content-Length: 5\r\n\r\nhel");
  socket.destroy();
  expect(await results[0]).toEqual({ tag: "broken" });
  const [req] = requests;
  if (!req!.closed) await new Promise((resolve) => req!.once("close", resolve));
  const done = discardRequestBody(req!).then(() => "done");
  expect(await Promise.race([done, sleep(500)])).toBe("done");
});
