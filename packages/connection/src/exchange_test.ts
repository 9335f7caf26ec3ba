import * as net from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import {
  ConnectionError,
  type ExchangeRequest,
  openExchange,
  readExchange,
} from "./mod.ts";

const servers: net.Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

/** Listens with a raw server and returns a request to it. */
async function serve(
  onRequest: (socket: net.Socket) => void,
): Promise<ExchangeRequest> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => onRequest(socket));
  });
  servers.push(server);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return {
    host: "127.0.0.1",
    port,
    method: "GET",
    path: "/",
    headers: ["Host", "test"],
    headTimeoutMs: 2000,
  };
}

async function read(req: ExchangeRequest): Promise<string> {
  const res = await openExchange(req);
  const body = await readExchange(res, { maxBytes: 1000, timeoutMs: 500 });
  return body.toString();
}

async function getTag(answer: Promise<unknown>): Promise<string> {
  try {
    await answer;
  } catch (err) {
    if (err instanceof ConnectionError) return err.detail.tag;
  }
  return "answered";
}

describe("an answer without a length", () => {
  const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

  it("is whole when its connection ends", async () => {
    const req = await serve((socket) => socket.end(`${HEAD}whole`));
    expect(await read(req)).toBe("whole");
  });

  it("is broken when its connection is reset", async () => {
    const req = await serve((socket) => {
      socket.write(`${HEAD}ha`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    expect(await getTag(read(req))).toBe("cut");
  });

  it("is broken when the reset comes with its last bytes", async () => {
    const req = await serve((socket) => {
      socket.write(`${HEAD}ha`, () => socket.resetAndDestroy());
    });
    expect(await getTag(read(req))).toBe("cut");
  });
});

describe("openExchange", () => {
  it("says that nothing was sent only where no connection stood", async () => {
    const req = await serve((socket) => socket.destroy());
    expect(await getTag(openExchange(req))).toBe("cut");
    for (const server of servers.splice(0)) {
      await new Promise<void>((resolve) => server.close(() => resolve()));
    }
    expect(await getTag(openExchange(req))).toBe("not_sent");
  });

  it("takes a server that says nothing for silent", async () => {
    const req = await serve(() => {});
    const answer = openExchange({ ...req, headTimeoutMs: 100 });
    expect(await getTag(answer)).toBe("no_reply");
  });

  it("takes a chunked answer that ends early for broken", async () => {
    const req = await serve((socket) =>
      socket.end(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
      )
    );
    expect(await getTag(read(req))).toBe("cut");
  });

  it("gives up an answer that stops midway", async () => {
    const req = await serve((socket) =>
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    );
    expect(await getTag(read(req))).toBe("no_reply");
  });

  it("ends the connection when the caller goes away", async () => {
    const gone = new AbortController();
    let ended: () => void;
    const end = new Promise<void>((resolve) => ended = resolve);
    const req = await serve((socket) => {
      socket.once("close", () => ended());
      gone.abort();
    });
    expect(await getTag(openExchange({ ...req, signal: gone.signal })))
      .toBe("aborted");
    await end;
  });
});
