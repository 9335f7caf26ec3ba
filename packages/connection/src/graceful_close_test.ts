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
async function connect(
  handler: http.RequestListener,
  options: { requestReadMs?: number } = {},
): Promise<void> {
  listener = new Listener({ host: "127.0.0.1", port: 0, ...options }, handler);
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

describe("bytes behind a request that can't be read", () => {
  const REQUEST = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab";
  const ANSWER_MS = 300;
  const REQUEST_READ_MS = 200;
  /** Longer than the time limit of a head and two checks of it. */
  const STREAM_MS = 2500;

  // Guards against a refusal that is taken for the answer of a request that runs.
  it.each(["garbage\r\n\r\n", "GET / HTTP/1.1\r\nno header\r\n\r\n"])(
    "leave the running request its answer: %j",
    async (bytes) => {
      await connect((_, res) =>
        void setTimeout(() => res.end("done"), ANSWER_MS)
      );
      const caller = client;
      caller.write(REQUEST);
      setTimeout(() => caller.write(bytes), ANSWER_MS / 3);
      setTimeout(() => caller.write(bytes), ANSWER_MS / 2);
      const text = await readAll();
      expect(text).toMatch(/^HTTP\/1.1 200 .*\r\n\r\ndone$/s);
    },
  );

  // Guards against a head that is written into a stream when the next one takes too long.
  it("leave a stream whole when the time for the next head is over", async () => {
    await connect((_, res) => {
      res.useChunkedEncodingByDefault = false;
      res.write("begin ");
      setTimeout(() => res.end("end"), STREAM_MS);
    }, { requestReadMs: REQUEST_READ_MS });
    client.write(`${REQUEST}POST / HTTP/1.1\r\nhost:`);
    expect(await readAll()).toMatch(
      /^HTTP\/1.1 200 [^]*\r\n\r\nbegin end$/,
    );
  });

  // Guards against requests that run although their connection ends before their answers.
  it("let no later request in", async () => {
    const paths: string[] = [];
    await connect((req, res) => {
      paths.push(req.url!);
      setTimeout(() => res.end("done"), STREAM_MS);
    }, { requestReadMs: REQUEST_READ_MS });
    const caller = client;
    caller.write(`${REQUEST}GET /late HTTP/1.1\r\nhost:`);
    setTimeout(() => caller.write(" x\r\n\r\n"), STREAM_MS - 200);
    expect(await readAll()).toMatch(/done$/);
    expect(paths).toEqual(["/"]);
  });

  // Guards against a caller that waits in vain since its own body can't be read.
  it("are refused at once if they belong to its body", async () => {
    await connect(() => {});
    const head = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n";
    client.write(`${head}\r\n2\r\nab\r\nzz\r\n`);
    expect(await readAll()).toMatch(/^HTTP\/1.1 400 /);
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
