import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { type CallContext, MemoryPool, sendRefusal } from "@bitternfall/caller";
import { HttpClient } from "@bitternfall/connection";
import { EngineClient } from "@bitternfall/engine";
import { Refusal } from "@bitternfall/errors";
import { ServiceClient } from "@bitternfall/service";
import { CellForwarder } from "./cell_forwarder.ts";
import { ServiceRouter } from "./service_router.ts";
import { StreamReader } from "./stream_reader.ts";

/** What a server writes before its connection ends. */
interface Kind {
  readonly name: string;
  readonly bytes: string;
  readonly isWhole?: boolean;
  /** Whether only the end of the connection ends the answer. */
  readonly isUnframed?: boolean;
}

enum End {
  Fin = "closes",
  Reset = "is reset",
}

const RESET_DELAY_MS = 10;
const BODY = "id: 1.0\ndata: a\n\nid: 1.1\nevent: end\ndata: {}\n\n";
const ERROR = "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n";
const STATUS = "HTTP/1.1 200 OK\r\n";
const SIZED = `${STATUS}Content-Length: ${BODY.length}\r\n`;
const CHUNKED = `${STATUS}Transfer-Encoding: chunked\r\n\r\n`;
const CLOSED_CHUNKED = CHUNKED.replace("\r\n", "\r\nConnection: close\r\n");
const CHUNK = `${BODY.length.toString(16)}\r\n${BODY}\r\n`;
const LAST_CHUNK = "0\r\n\r\n";

const KINDS: readonly Kind[] = [
  { name: "nothing", bytes: "" },
  { name: "a status line", bytes: STATUS },
  { name: "half a header", bytes: `${STATUS}Content-Len` },
  { name: "a head but for its blank line", bytes: SIZED },
  { name: "a head with a length", bytes: `${SIZED}\r\n` },
  { name: "a head for chunks", bytes: CHUNKED },
  { name: "a head with no framing", bytes: `${STATUS}\r\n`, isUnframed: true },
  { name: "half a body", bytes: `${SIZED}\r\n${BODY.slice(0, 20)}` },
  { name: "half a chunk", bytes: CHUNKED + CHUNK.slice(0, 20) },
  {
    name: "half a chunk and a close",
    bytes: CLOSED_CHUNKED + CHUNK.slice(0, 9),
  },
  { name: "all chunks but the last", bytes: CLOSED_CHUNKED + CHUNK },
  { name: "an error among chunks", bytes: CHUNKED + CHUNK + ERROR },
  { name: "a whole answer", bytes: `${SIZED}\r\n${BODY}`, isWhole: true },
  {
    name: "a whole answer in chunks",
    bytes: CHUNKED + CHUNK + LAST_CHUNK,
    isWhole: true,
  },
  {
    name: "an answer and an error",
    bytes: `${SIZED}\r\n${BODY}${ERROR}`,
    isWhole: true,
  },
  {
    name: "a body with no framing",
    bytes: `${STATUS}\r\n${BODY}`,
    isWhole: true,
    isUnframed: true,
  },
  { name: "100", bytes: "HTTP/1.1 100 Continue\r\n\r\n" },
  { name: "101", bytes: "HTTP/1.1 101 Switching Protocols\r\n\r\n" },
  { name: "status 099", bytes: `${SIZED}\r\n${BODY}`.replace("200", "099") },
  { name: "a body without a head", bytes: BODY },
  {
    name: "two lengths",
    bytes: `${SIZED}Content-Length: 9\r\n\r\n${BODY}`,
  },
  {
    name: "a length and chunks",
    bytes: `${SIZED}Transfer-Encoding: chunked\r\n\r\n${CHUNK}${LAST_CHUNK}`,
  },
  {
    name: "an encoding that ends with the connection",
    bytes: `${STATUS}Transfer-Encoding: gzip\r\n\r\n${BODY}`,
  },
  {
    name: "chunks of an encoding",
    bytes: `${STATUS}Transfer-Encoding: gzip, chunked\r\n\r\n` + CHUNK +
      LAST_CHUNK,
  },
];

let answer: (socket: net.Socket) => void;
let serve: (call: CallContext<never>) => Promise<unknown>;
const server = net.createServer((socket) => {
  socket.on("error", () => {});
  socket.once("data", () => answer(socket));
});
const front = http.createServer((req, res) => {
  const left = new AbortController();
  res.once("close", () => res.writableFinished || left.abort());
  const call = {
    res,
    memory: new MemoryPool(1_000_000).open(),
    body: Buffer.alloc(0),
    callerSignal: left.signal,
  };
  req.resume();
  void serve(call as unknown as CallContext<never>).catch((err) => {
    if (!(err instanceof Refusal)) throw err;
    sendRefusal(res, err);
  });
});
const closers: (() => unknown)[] = [];

beforeAll(async () => {
  for (const listener of [server, front]) {
    await new Promise<void>((resolve) =>
      listener.listen(0, "127.0.0.1", resolve)
    );
  }
});
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});
afterAll(() => {
  server.close();
  front.closeAllConnections();
  front.close();
});

function getUrl(listener: net.Server): string {
  return `http://127.0.0.1:${(listener.address() as net.AddressInfo).port}`;
}

function setAnswer({ bytes }: Kind, end: End): void {
  answer = (socket) => {
    socket.write(bytes);
    if (end === End.Fin) socket.end();
    else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  };
}

/** Sends a caller's request; status 0 stands for an answer that is not whole. */
function send(): Promise<{ status: number; body: string }> {
  return new Promise((resolve) => {
    const req = http.get(`${getUrl(front)}/x`, { agent: false }, (res) => {
      let body = "";
      res.on("data", (chunk) => body += String(chunk));
      res.on("error", () => {});
      res.on(
        "close",
        () => resolve({ status: res.complete ? res.statusCode ?? 0 : 0, body }),
      );
    });
    req.on("error", () => resolve({ status: 0, body: "" }));
  });
}

/** Routes calls to one server, with up to three attempts where they may be repeated. */
function createRouter(repeatable: boolean): ServiceRouter {
  const client = new ServiceClient(getUrl(server));
  closers.push(() => client.close());
  const service = { name: "app", timeoutMs: 1000, servers: [{ id: "s1" }] };
  const options = {
    pool: {
      pick: (_: unknown, tried: string[]) =>
        tried.length === 0 ? service.servers[0] : undefined,
      begin: () => () => {},
      avoid: () => {},
    },
    upstreams: { findService: () => client },
    log: { emit: () => {} },
    getSnapshot: () => ({ plainServices: new Map([["app", service]]) }),
    getRetryBudget: () => ({ onRequest: () => {}, tryTake: () => true }),
  };
  const operation = { repeatable, keyRequired: false };
  const routing = { findOperation: () => operation };
  const router = new ServiceRouter(options as never);
  serve = (call) =>
    router.serve({
      service: "app",
      method: "GET",
      path: "/x",
      query: "",
      headers: {},
      body: undefined,
    }, { ...call, caller: { routing } as never });
  return router;
}

describe.each([End.Fin, End.Reset])("a server whose connection %s", (end) => {
  describe.each(KINDS)("after it has written $name", (kind) => {
    const isWhole = kind.isWhole && !(kind.isUnframed && end === End.Reset);

    // Guards against 200 with an empty or short body, framed as whole.
    it.each([true, false])(
      "gives no part of a service's answer that looks whole (repeatable: %s)",
      async (repeatable) => {
        setAnswer(kind, end);
        createRouter(repeatable);
        const { status, body } = await send();
        if (isWhole) expect([status, body]).toEqual([200, BODY]);
        else {expect([status, JSON.parse(body)]).toMatchObject([502, {
            error: {},
          }]);}
      },
    );

    // Guards against a part of another VM's answer that looks whole.
    it("gives no part of another cell's answer that looks whole", async () => {
      setAnswer(kind, end);
      const client = new HttpClient(getUrl(server));
      closers.push(() => client.close());
      const forwarder = new CellForwarder({
        getClient: () => client,
        peerHeaders: {},
      });
      serve = (call) => forwarder.forward("vm-2", call);
      const { status, body } = await send();
      if (isWhole && !kind.isUnframed) {
        expect([status, body]).toEqual([200, BODY]);
      } else expect([0, 502]).toContain(status);
      if (status === 0) expect(kind.bytes).toContain(body);
    });

    // Guards against a stream that ends as if complete, or with another text in it.
    it("gives outputs of a model, and an end only if it wrote it", async () => {
      setAnswer(kind, end);
      const engine = new EngineClient(getUrl(server));
      closers.push(() => engine.close());
      const outputs: number[] = [];
      const read = await new StreamReader({
        open: (handler) =>
          engine.resume(
            { requestId: "r1", attempt: 1, fromOffset: 0 },
            handler,
          ),
        attempt: 1,
        getOffset: () => outputs.length,
        maxOutputs: 100,
        onOutputs: (events) =>
          outputs.push(...events.map(({ offset }) => offset)) > 0,
        sink: {
          write: () => true,
          onceDrained: () => {},
          finish: () => {},
          fail: () => {},
        },
        callerSignal: new AbortController().signal,
      }).read();
      const hasEnd = kind.bytes.includes("event: end") &&
        /^HTTP\/1.1 200 /.test(kind.bytes);
      if (isWhole) expect(read.kind).toBe("done");
      if (!hasEnd) expect(read.kind).toBe("failed");
      expect([[], [0]]).toContainEqual(outputs);
    });
  });
});
