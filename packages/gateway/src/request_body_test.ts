import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { afterEach, beforeEach, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { indexHeaders } from "./headers.ts";
import { MemoryPool } from "./memory_budget.ts";
import { type BodyResult, readRequestBody } from "./request_body.ts";

const MAX_BYTES = 1_000_000;

let server: http.Server;
let pool: MemoryPool;
let results: Promise<BodyResult>[];
let port: number;

beforeEach(async () => {
  pool = new MemoryPool(2_000_000);
  results = [];
  server = http.createServer((req, res) => {
    const result = readRequestBody(req, {
      headers: indexHeaders(req.rawHeaders),
      maxBytes: MAX_BYTES,
      reservation: pool.open(),
    });
    results.push(result);
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
