import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { Listener } from "./listener.ts";

/** Less than the socket buffers of both ends hold. */
const RESPONSE_BYTES = 2_000_000;

let listener: Listener;
let client: net.Socket;
let port: number;

afterEach(async () => {
  client.destroy();
  await listener.close();
});

/** Connects to a new listener, without reading. */
async function connect(handler: http.RequestListener): Promise<void> {
  listener = new Listener({ host: "127.0.0.1", port: 0 }, handler);
  port = await listener.listen();
  client = net.connect(port, "127.0.0.1");
}

/** Reads until the connection ends or breaks. */
function readAll(socket = client): Promise<string> {
  let text = "";
  socket.setEncoding("latin1").on("data", (chunk) => text += String(chunk));
  return new Promise((resolve) => {
    socket.once("error", (err) => resolve(`${text}${err.message}`));
    socket.once("end", () => resolve(text));
  });
}

describe("a connection that is closed", () => {
  // Guards against a reset that destroys what was sent, as unread bytes cause.
  it("delivers a response although its request is not read to the end", async () => {
    let onAnswered = () => {};
    const answered = new Promise<void>((resolve) => onAnswered = resolve);
    await connect((_, res) => {
      res.shouldKeepAlive = false;
      res.end(Buffer.alloc(RESPONSE_BYTES), onAnswered);
    });
    const length = `content-length: ${RESPONSE_BYTES}`;
    client.write(`POST / HTTP/1.1\r\nhost: x\r\n${length}\r\n\r\n`);
    client.write(Buffer.alloc(RESPONSE_BYTES));
    await answered;
    expect((await readAll()).length).toBeGreaterThan(RESPONSE_BYTES);
  });

  // Guards against callers that never learn that a request behind another one has no answer.
  it("closes the responses that wait for an earlier one", async () => {
    const closed: Promise<string>[] = [];
    let onSecond = () => {};
    const second = new Promise<void>((resolve) => onSecond = resolve);
    await connect((req, res) => {
      closed.push(
        new Promise((resolve) => res.once("close", () => resolve(req.url!))),
      );
      if (closed.length === 2) onSecond();
    });
    for (const path of ["/1", "/2"]) {
      client.write(`GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`);
    }
    await second;
    client.resetAndDestroy();
    expect(await Promise.all(closed)).toEqual(["/1", "/2"]);
  });
});

describe("a listener that closes", () => {
  // Guards against connections that are reset since they wait to be accepted.
  it("serves the requests of all that have connected", async () => {
    await connect((_, res) => {
      res.shouldKeepAlive = false;
      res.end("ok");
    });
    await new Promise((resolve) => client.once("connect", resolve));
    const sockets = Array.from(
      { length: 20 },
      () => net.connect(port, "127.0.0.1"),
    );
    const texts = sockets.map((socket) => {
      socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
      return readAll(socket);
    });
    await new Promise((resolve) => sockets[0]!.once("connect", resolve));
    await listener.stopAccepting();
    for (const text of await Promise.all(texts)) expect(text).toContain("ok");
  });
});
