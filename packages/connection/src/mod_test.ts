import * as http from "node:http";
import * as net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { bindAll, ConnectionError, HttpClient, Listener } from "./mod.ts";

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

function createClient(origin: string, options = {}): HttpClient {
  const client = new HttpClient(origin, options);
  closers.push(() => client.close());
  return client;
}

async function getFaultTag(call: Promise<unknown>): Promise<string> {
  try {
    await call;
    return "answered";
  } catch (err) {
    return (err as ConnectionError).detail.tag;
  }
}

describe("HttpClient", () => {
  it("accepts a timeout that is not a whole number of milliseconds", async () => {
    const origin = await listen(http.createServer((_, res) => res.end("ok")));
    const res = await createClient(origin).call({
      path: "/",
      timeoutMs: 1000.5,
    });
    expect(res.body.toString()).toBe("ok");
  });

  // Guards against calls that read interim responses until their timeout.
  it("cuts an answer of interim responses without end", async () => {
    const block = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(2000);
    const origin = await listen(
      net.createServer((socket) => {
        const write = () => {
          while (!socket.destroyed && socket.write(block));
        };
        socket.on("error", () => {}).on("drain", write);
        socket.once("data", write);
      }),
    );
    expect(await getFaultTag(createClient(origin).call({ path: "/" }))).toBe(
      "cut",
    );
  });

  it("distinguishes a refused connection from one closed after the request was sent", async () => {
    const breakingOrigin = await listen(
      net.createServer((socket) => socket.once("data", () => socket.destroy())),
    );
    expect(
      await getFaultTag(
        createClient(breakingOrigin).call({
          path: "/",
          method: "POST",
          body: "x",
        }),
      ),
    ).toBe("cut");
    const server = net.createServer();
    const origin = await listen(server);
    await new Promise((resolve) => server.close(resolve));
    expect(await getFaultTag(createClient(origin).call({ path: "/" }))).toBe(
      "not_sent",
    );
  });

  it("opens a new connection after a call timed out", async () => {
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
    const client = createClient(origin);
    expect(await getFaultTag(client.call({ path: "/", timeoutMs: 100 }))).toBe(
      "no_reply",
    );
    expect(await getFaultTag(client.call({ path: "/", timeoutMs: 1000 }))).toBe(
      "answered",
    );
    expect(connections).toBeGreaterThan(1);
  });

  it("rejects a response that is larger than allowed", async () => {
    const origin = await listen(
      http.createServer((_, res) => res.end("x".repeat(5000))),
    );
    expect(
      await getFaultTag(
        createClient(origin, { maxResponseBytes: 1000 }).call({ path: "/" }),
      ),
    ).toBe("too_large");
  });
});

describe("bindAll", () => {
  // Guards against a process that ends since it could not accept a connection.
  it("reports errors of accept, and its listeners go on", async () => {
    const listener = new Listener(
      { host: "127.0.0.1", port: 0 },
      (_, res) => res.end("ok"),
    );
    closers.push(() => listener.close());
    const errors: string[] = [];
    const { caller } = await bindAll({ caller: listener }, {
      timeoutMs: 1000,
      signal: new AbortController().signal,
      onFailure: () => {},
      onAcceptError: (role, reason) => errors.push(`${role}: ${reason}`),
    });
    listener.server.emit("error", new Error("accept EMFILE"));
    listener.server.emit("error", new Error("accept EMFILE"));
    expect(errors).toEqual(Array(2).fill("caller: accept EMFILE"));
    const res = await fetch(`http://127.0.0.1:${caller}/`);
    expect(await res.text()).toBe("ok");
  });
});

describe("Listener", () => {
  // Guards against an error event without a listener, which ends the process.
  it("survives errors of accept", async () => {
    const listener = new Listener({ host: "127.0.0.1", port: 0 });
    closers.push(() => listener.close());
    await listener.listen();
    for (let count = 0; count < 2; count++) {
      listener.server.emit("error", new Error("accept EMFILE"));
    }
    expect(listener.server.listening).toBe(true);
  });

  async function sendRaw(port: number, text: string): Promise<string> {
    const socket = net.connect({ host: "127.0.0.1", port });
    socket.write(text);
    let response = "";
    for await (const chunk of socket) response += chunk;
    return response;
  }

  async function startListener(options = {}): Promise<number> {
    const listener = new Listener(
      { host: "127.0.0.1", port: 0, ...options },
      (_, res) => res.end("ok"),
    );
    closers.push(() => listener.close());
    return await listener.listen();
  }

  it("responds with 431 to headers over the limit", async () => {
    const port = await startListener({ maxHeaderBytes: 1024 });
    expect(
      await sendRaw(
        port,
        `GET / HTTP/1.1\r\nhost: x\r\nbig: ${"y".repeat(4000)}\r\n\r\n`,
      ),
    ).toContain("431");
  });

  it("responds with 408 to a request that is not finished in time", async () => {
    const port = await startListener({ requestReadMs: 300 });
    expect(await sendRaw(port, "GET / HTTP/1.1\r\nhost: x\r\n")).toContain(
      "408",
    );
  });

  it("rejects a request with both Content-Length and Transfer-Encoding", async () => {
    const port = await startListener();
    const smuggled =
      "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /";
    const response = await sendRaw(port, smuggled);
    expect(response).toContain("400 Bad Request");
    expect(response).toContain('"outcome":"not-run"');
  });
});
