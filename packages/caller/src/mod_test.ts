import { once } from "node:events";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as fc from "fast-check";
import { Refusal } from "@bitternfall/errors";
import {
  CallerServer,
  getJsonDepth,
  parseModelRequest,
  type ServiceRequest,
} from "./mod.ts";

const HELD_BYTES = 20_000;

const handled: string[] = [];
let server: CallerServer<{ workspace: string; office: string }>;
let url: string;
let port: number;
let handlerGate: Promise<void> = Promise.resolve();

function createServer({ requestReadMs = 400 } = {}): typeof server {
  return new CallerServer({
    host: "127.0.0.1",
    port: 0,
    headerBytes: 2048,
    bodyBytes: 10_000,
    requestReadMs,
    jsonDepth: 20,
    inFlight: 3,
    perWorkspaceInFlight: 2,
    heldBytes: HELD_BYTES,
    handler: {
      findCaller: (key) =>
        key.startsWith("key-")
          ? { workspace: key.slice(4), office: "o" }
          : undefined,
      isReady: () => true,
      listModels: () => ["planner"],
      onModelRequest: async (req, call) => {
        handled.push(req.prompt);
        await handlerGate;
        call.res.end("ok");
      },
      onServiceRequest: (req: ServiceRequest, call) => {
        handled.push(
          `${req.method} ${req.service} ${req.path}${req.query} ${
            Object.keys(req.headers).sort().join(",")
          }`,
        );
        call.res.end("ok");
        return Promise.resolve();
      },
      onRefused: () => {},
    },
  });
}

beforeAll(async () => {
  server = createServer();
  port = await server.listen();
  url = `http://127.0.0.1:${port}`;
});
afterAll(() => server.close());

interface PostResult {
  readonly status: number;
  readonly type: string;
  readonly outcome: string | null;
}

async function post(
  path: string,
  options: { key?: string; body?: string; method?: string },
): Promise<PostResult> {
  const { key = "key-w", body = "{}", method = "POST" } = options;
  const res = await fetch(url + path, {
    method,
    headers: { authorization: `Bearer ${key}` },
    ...(method === "GET" ? {} : { body }),
  });
  const text = await res.text();
  const type = text.startsWith("{")
    ? (JSON.parse(text) as { error: { type: string } }).error.type
    : text;
  return {
    status: res.status,
    type,
    outcome: res.headers.get("bitternfall-outcome"),
  };
}

const CHAT = JSON.stringify({
  model: "planner",
  messages: [{ role: "user", content: "hello" }],
});

describe("CallerServer", () => {
  it("rejects invalid requests with their status and does not run them", async () => {
    const before = handled.length;
    const chat = "/v1/chat/completions";
    expect(await post(chat, { key: "wrong" })).toMatchObject({
      status: 401,
      outcome: "not-run",
    });
    expect(await post("/v1/nothing", {})).toMatchObject({ status: 404 });
    expect(await post(chat, { body: "{" })).toMatchObject({
      status: 400,
      type: "bad_request",
    });
    expect(await post(chat, { body: '{"model":"planner"}' })).toMatchObject({
      status: 400,
    });
    expect(await post(chat, { body: "x".repeat(20_000) })).toMatchObject({
      status: 413,
      outcome: "not-run",
    });
    expect(await post(chat, { body: "[".repeat(5000) })).toMatchObject({
      status: 400,
    });
    expect(await post(chat, { method: "GET" })).toMatchObject({ status: 405 });
    expect(await post("/services/app/x%2f..%2fsecret", { method: "GET" }))
      .toMatchObject({ status: 400 });
    expect(handled.length).toBe(before);
  });

  // Guards against bodies that are each within their limit and together fill the memory.
  it("refuses a body for which there is no memory, until another request has ended", async () => {
    let openGate = () => {};
    handlerGate = new Promise((resolve) => openGate = resolve);
    const before = handled.length;
    const body = CHAT + " ".repeat(9000 - CHAT.length);
    const held = ["key-a", "key-b"].map((key) =>
      post("/v1/chat/completions", { key, body })
    );
    while (handled.length < before + 2) await timers.setTimeout(5);
    const refused = await fetch(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: "Bearer key-c" },
      body,
    });
    expect([refused.status, refused.headers.get("retry-after")])
      .toEqual([503, "1"]);
    expect(refused.headers.get("bitternfall-outcome")).toBe("not-run");
    await refused.text();
    openGate();
    for (const { status } of await Promise.all(held)) expect(status).toBe(200);
    const { status } = await post("/v1/chat/completions", {
      key: "key-c",
      body,
    });
    expect(status).toBe(200);
  });

  it("forwards the headers of a call, but not those of the connection or the router", async () => {
    await fetch(`${url}/services/app/a/b?c=1`, {
      headers: {
        authorization: "Bearer key-w",
        "idempotency-key": "k",
        "x-tag": "t",
      },
    });
    expect(handled.at(-1)).toMatch(/^GET app \/a\/b\?c=1 /);
    expect(handled.at(-1)).toContain("x-tag");
    expect(handled.at(-1)).not.toMatch(
      /authorization|idempotency-key|host|connection/,
    );
  });

  it("limits the requests in flight per workspace and in total", async () => {
    let release = () => {};
    handlerGate = new Promise((resolve) => release = resolve);
    const running = ["key-a", "key-a", "key-b"].map((key) =>
      post("/v1/chat/completions", { key, body: CHAT })
    );
    await expect.poll(() => server.inFlight).toBe(3);
    expect(await post("/v1/chat/completions", { key: "key-c", body: CHAT }))
      .toMatchObject({ status: 503 });
    release();
    await Promise.all(running);
    handlerGate = new Promise((resolve) => release = resolve);
    const ofOneWorkspace = ["key-a", "key-a"].map((key) =>
      post("/v1/chat/completions", { key, body: CHAT })
    );
    await expect.poll(() => server.inFlight).toBe(2);
    expect(await post("/v1/chat/completions", { key: "key-a", body: CHAT }))
      .toMatchObject({ status: 429 });
    release();
    await Promise.all(ofOneWorkspace);
    expect(server.inFlight).toBe(0);
  });

  // Guards against requests that end with the process, with no answer.
  it("tells the callers of requests that are ended whether they have run", async () => {
    let release = () => {};
    handlerGate = new Promise((resolve) => release = resolve);
    const before = handled.length;
    const running = post("/v1/chat/completions", { body: CHAT });
    const unread = net.connect({ host: "127.0.0.1", port });
    unread.write(
      "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-w\r\ncontent-length: 100\r\n\r\n{",
    );
    await expect.poll(() => server.inFlight).toBe(2);
    await expect.poll(() => handled.length).toBe(before + 1);
    server.endUnanswered();
    expect(await running).toMatchObject({ status: 504, outcome: "unknown" });
    let response = "";
    for await (const chunk of unread) response += chunk;
    expect(response).toContain("503 Service Unavailable");
    expect(response).toContain('"outcome":"not-run"');
    await server.whenIdle();
    release();
    await expect.poll(() => server.inFlight).toBe(0);
  });

  // Guards against refusals that are lost since the connection is closed while bytes arrive.
  it.each([
    ["an unknown key", "wrong", "content-length: 3000000", 401],
    [
      "a body that is declared too large",
      "key-w",
      "content-length: 3000000",
      413,
    ],
    ["a body that gets too large", "key-w", "transfer-encoding: chunked", 413],
  ])(
    "refuses %s to a caller that goes on sending for 1.2 s",
    async (...args) => {
      const [, key, framing, status] = args;
      const slowServer = createServer({ requestReadMs: 10_000 });
      const port = await slowServer.listen();
      const socket = net.connect({ host: "127.0.0.1", port });
      socket.on("error", () => {});
      socket.write(
        `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key}\r\n${framing}\r\n\r\n`,
      );
      const isChunked = framing.startsWith("transfer");
      const bytes = "x".repeat(75_000);
      for (let sent = 0; sent < 3_000_000; sent += bytes.length) {
        if (isChunked) socket.write(`${bytes.length.toString(16)}\r\n`);
        socket.write(isChunked ? `${bytes}\r\n` : bytes);
        await timers.setTimeout(30);
      }
      if (isChunked) socket.write("0\r\n\r\n");
      let response = "";
      socket.on("data", (chunk) => response += chunk);
      if (!socket.closed) await once(socket, "close");
      expect(response).toMatch(
        new RegExp(`^HTTP/1.1 ${status} .*"not-run"}}$`, "s"),
      );
      await slowServer.close();
    },
  );

  it("responds with 408 to a caller that sends its body too slowly", async () => {
    const socket = net.connect({ host: "127.0.0.1", port });
    socket.write(
      "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-w\r\ncontent-length: 100\r\n\r\n{",
    );
    let response = "";
    for await (const chunk of socket) response += chunk;
    expect(response).toContain("408");
    await expect.poll(() => server.inFlight).toBe(0);
  });
});

describe("parseModelRequest", () => {
  it("reads chat and completion bodies", () => {
    expect(parseModelRequest("chat", JSON.parse(CHAT))).toMatchObject({
      prompt: "<|user|>\nhello\n",
      stream: false,
    });
    const body = { model: "m", prompt: "p", stream: true, max_tokens: 7 };
    expect(parseModelRequest("text", body)).toEqual({
      shape: "text",
      model: "m",
      stream: true,
      maxTokens: 7,
      prompt: "p",
    });
  });

  it("throws nothing but Refusal on arbitrary JSON", () => {
    fc.assert(
      fc.property(
        fc.jsonValue(),
        fc.constantFrom("chat" as const, "text" as const),
        (body, shape) => {
          try {
            parseModelRequest(shape, body);
          } catch (err) {
            expect(err).toBeInstanceOf(Refusal);
          }
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });
});

describe("getJsonDepth", () => {
  it("counts nesting outside strings only", () => {
    expect(getJsonDepth('{"a":[1,{"b":"[[[\\"[["}]}', 10)).toBe(3);
    expect(getJsonDepth("[".repeat(1000), 10)).toBe(11);
  });
});
