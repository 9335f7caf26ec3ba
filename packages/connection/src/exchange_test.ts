import * as net from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import {
  ConnectionError,
  type ExchangeRequest,
  openExchange,
  probeAddress,
  ProbeResult,
  readResponseBody,
} from "./mod.ts";

const servers: net.Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

/** Starts a raw TCP server and returns a request that is addressed to it. */
async function startServer(
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

async function readBody(req: ExchangeRequest): Promise<string> {
  const res = await openExchange(req);
  const body = await readResponseBody(res, { maxBytes: 1000, timeoutMs: 500 });
  return body.toString();
}

async function getFaultTag(response: Promise<unknown>): Promise<string> {
  try {
    await response;
  } catch (err) {
    if (err instanceof ConnectionError) return err.detail.tag;
  }
  return "answered";
}

describe("readResponseBody of a response without a length", () => {
  const UNFRAMED_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

  it("returns the body when the connection ends normally", async () => {
    const req = await startServer((socket) =>
      socket.end(`${UNFRAMED_RESPONSE_HEAD}whole`)
    );
    expect(await readBody(req)).toBe("whole");
  });

  it("fails when the connection is reset", async () => {
    const req = await startServer((socket) => {
      socket.write(`${UNFRAMED_RESPONSE_HEAD}ha`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    expect(await getFaultTag(readBody(req))).toBe("cut");
  });

  it("fails when the reset arrives together with the last bytes", async () => {
    const req = await startServer((socket) => {
      socket.write(
        `${UNFRAMED_RESPONSE_HEAD}ha`,
        () => socket.resetAndDestroy(),
      );
    });
    expect(await getFaultTag(readBody(req))).toBe("cut");
  });
});

describe("an HTTP exchange", () => {
  it("reports that nothing was sent only if no connection was established", async () => {
    const req = await startServer((socket) => socket.destroy());
    expect(await getFaultTag(openExchange(req))).toBe("cut");
    for (const server of servers.splice(0)) {
      await new Promise<void>((resolve) => server.close(() => resolve()));
    }
    expect(await getFaultTag(openExchange(req))).toBe("not_sent");
  });

  // Guards against an exception that callers do not expect of an address from elsewhere.
  it("reports that nothing was sent to an address that is none", async () => {
    const valid = await startServer(() => {});
    const addresses = [{ port: 65_536 }, { host: "a\0b" }, {
      headers: ["Host", "a\nb"],
    }];
    for (const address of addresses) {
      const sent = readBody({ ...valid, ...address });
      expect(await getFaultTag(sent)).toBe("not_sent");
    }
    const probed = { host: "127.0.0.1", port: 65_536, timeoutMs: 100 };
    expect(await probeAddress(probed)).toBe(ProbeResult.Unreachable);
  });

  it("times out when the server does not respond", async () => {
    const req = await startServer(() => {});
    const response = openExchange({ ...req, headTimeoutMs: 100 });
    expect(await getFaultTag(response)).toBe("no_reply");
  });

  it("fails when a chunked response ends early", async () => {
    const req = await startServer((socket) =>
      socket.end(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
      )
    );
    expect(await getFaultTag(readBody(req))).toBe("cut");
  });

  it("times out when a response stops partway", async () => {
    const req = await startServer((socket) =>
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    );
    expect(await getFaultTag(readBody(req))).toBe("no_reply");
  });

  it("closes the connection when the caller disconnects", async () => {
    const callerAbort = new AbortController();
    let resolveClosed: () => void;
    const connectionClosed = new Promise<void>((resolve) =>
      resolveClosed = resolve
    );
    const req = await startServer((socket) => {
      socket.once("close", () => resolveClosed());
      callerAbort.abort();
    });
    expect(
      await getFaultTag(openExchange({ ...req, signal: callerAbort.signal })),
    )
      .toBe("aborted");
    await connectionClosed;
  });
});

describe("an answer without end", () => {
  const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const KINDS = [
    ["interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"],
    ["blank lines", "", "\r\n"],
    ["chunks of one byte", CHUNKED, "1\r\na\r\n"],
    ["chunk extensions", CHUNKED, `4;${"a=b;".repeat(200)}\r\nabcd\r\n`],
    ["headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"],
    ["trailers", `${CHUNKED}1\r\na\r\n0\r\n`, "A: b\r\n"],
  ];

  /** Sends bytes over and over until the connection is closed. */
  function flood(socket: net.Socket, bytes: string): void {
    const block = bytes.repeat(Math.ceil(65_536 / bytes.length));
    const write = () => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on("drain", write);
    write();
  }

  // Guards against calls that read what can't become an answer until their timeout.
  it.each(KINDS)(
    "of %s is cut after some hundred kB",
    async (_, head, rest) => {
      let server: net.Socket | undefined;
      const req = await startServer((socket) => {
        server = socket;
        socket.write(head!);
        flood(socket, rest!);
      });
      const closed = async () => {
        const res = await openExchange(req);
        const limits = { maxBytes: 1_000_000, timeoutMs: 10_000 };
        await readResponseBody(res, limits);
      };
      expect(await getFaultTag(closed())).toBe("cut");
      // With the buffers of both sockets.
      expect(server!.bytesWritten).toBeLessThan(10_000_000);
    },
  );

  it("is not seen in one whose data is larger than what is around it", async () => {
    const body = "event\n".repeat(40_000);
    const req = await startServer((socket) => {
      socket.write(CHUNKED);
      socket.end(`${"6\r\nevent\n\r\n".repeat(40_000)}0\r\n\r\n`);
    });
    const res = await openExchange(req);
    const limits = { maxBytes: 1_000_000, timeoutMs: 10_000 };
    expect((await readResponseBody(res, limits)).toString()).toBe(body);
  });
});
