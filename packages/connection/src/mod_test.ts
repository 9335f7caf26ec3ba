import * as http from "node:http";
import * as net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { ConnectionError, HttpConnection, Listener } from "./mod.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

async function listen(server: net.Server): Promise<string> {
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  closers.push(() => server.close());
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

function connect(origin: string, options = {}): HttpConnection {
  const connection = new HttpConnection(origin, options);
  closers.push(() => connection.close());
  return connection;
}

async function getTag(call: Promise<unknown>): Promise<string> {
  try {
    await call;
    return "answered";
  } catch (err) {
    return (err as ConnectionError).detail.tag;
  }
}

describe("HttpConnection", () => {
  it("takes a time limit with a fraction", async () => {
    const origin = await listen(http.createServer((_, res) => res.end("ok")));
    const reply = await connect(origin).call({ path: "/", timeoutMs: 1000.5 });
    expect(reply.body.toString()).toBe("ok");
  });

  it("tells a refused connection from one that broke after the request was written", async () => {
    const cut = await listen(
      net.createServer((socket) => socket.once("data", () => socket.destroy())),
    );
    expect(
      await getTag(connect(cut).call({ path: "/", method: "POST", body: "x" })),
    ).toBe("cut");
    const server = net.createServer();
    const origin = await listen(server);
    await new Promise((resolve) => server.close(resolve));
    expect(await getTag(connect(origin).call({ path: "/" }))).toBe("not_sent");
  });

  it("replaces a connection that went silent", async () => {
    let connections = 0;
    const origin = await listen(
      net.createServer((socket) => {
        const isFirst = ++connections === 1;
        socket.on("error", () => {});
        socket.on(
          "data",
          () =>
            isFirst ||
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        );
      }),
    );
    const connection = connect(origin);
    expect(await getTag(connection.call({ path: "/", timeoutMs: 100 }))).toBe(
      "no_reply",
    );
    expect(await getTag(connection.call({ path: "/", timeoutMs: 1000 }))).toBe(
      "answered",
    );
    expect(connections).toBeGreaterThan(1);
  });

  it("refuses a reply that is larger than allowed", async () => {
    const origin = await listen(
      http.createServer((_, res) => res.end("x".repeat(5000))),
    );
    expect(
      await getTag(
        connect(origin, { maxReplyBytes: 1000 }).call({ path: "/" }),
      ),
    ).toBe("too_large");
  });
});

describe("Listener", () => {
  async function talk(port: number, text: string): Promise<string> {
    const socket = net.connect({ host: "127.0.0.1", port });
    socket.write(text);
    let answer = "";
    for await (const chunk of socket) answer += chunk;
    return answer;
  }

  async function start(options = {}): Promise<number> {
    const listener = new Listener(
      { host: "127.0.0.1", port: 0, ...options },
      (_, res) => res.end("ok"),
    );
    closers.push(() => listener.close());
    return await listener.listen();
  }

  it("answers 431 to headers over the limit", async () => {
    const port = await start({ maxHeaderBytes: 1024 });
    expect(
      await talk(
        port,
        `GET / HTTP/1.1\r\nhost: x\r\nbig: ${"y".repeat(4000)}\r\n\r\n`,
      ),
    ).toContain("431");
  });

  it("answers 408 to a request that is not finished in time", async () => {
    const port = await start({ requestReadMs: 300 });
    expect(await talk(port, "GET / HTTP/1.1\r\nhost: x\r\n")).toContain("408");
  });

  it("refuses a request with two lengths", async () => {
    const port = await start();
    const smuggled =
      "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /";
    const answer = await talk(port, smuggled);
    expect(answer).toContain("400 Bad Request");
    expect(answer).toContain('"outcome":"not-run"');
  });
});
