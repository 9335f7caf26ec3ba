import * as net from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as fc from "fast-check";
import { Refusal } from "@bitternfall/errors";
import {
  CallerServer,
  getJsonDepth,
  parseModelRequest,
  type ServiceRequest,
} from "./mod.ts";

const seen: string[] = [];
let server: CallerServer<{ workspace: string; office: string }>;
let url: string;
let port: number;
let hold: Promise<void> = Promise.resolve();

beforeAll(async () => {
  server = new CallerServer({
    host: "127.0.0.1",
    port: 0,
    headerBytes: 2048,
    bodyBytes: 10_000,
    requestReadMs: 400,
    jsonDepth: 20,
    inFlight: 3,
    perWorkspaceInFlight: 2,
    handler: {
      findCaller: (key) =>
        key.startsWith("key-")
          ? { workspace: key.slice(4), office: "o" }
          : undefined,
      isReady: () => true,
      listModels: () => ["planner"],
      onModel: async (req, call) => {
        seen.push(req.prompt);
        await hold;
        call.res.end("ok");
      },
      onService: (req: ServiceRequest, call) => {
        seen.push(
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
  port = await server.listen();
  url = `http://127.0.0.1:${port}`;
});
afterAll(() => server.close());

interface Answer {
  readonly status: number;
  readonly type: string;
  readonly outcome: string | null;
}

async function post(
  path: string,
  options: { key?: string; body?: string; method?: string },
): Promise<Answer> {
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

describe("the doors towards callers", () => {
  it("refuses bad input with a clear answer, and nothing runs", async () => {
    const before = seen.length;
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
    expect(seen.length).toBe(before);
  });

  it("passes on what belongs to the call, not what belongs to the connection", async () => {
    await fetch(`${url}/services/app/a/b?c=1`, {
      headers: {
        authorization: "Bearer key-w",
        "idempotency-key": "k",
        "x-tag": "t",
      },
    });
    expect(seen.at(-1)).toMatch(/^GET app \/a\/b\?c=1 /);
    expect(seen.at(-1)).toContain("x-tag");
    expect(seen.at(-1)).not.toMatch(
      /authorization|idempotency-key|host|connection/,
    );
  });

  it("bounds the requests of a workspace and of all", async () => {
    let release = () => {};
    hold = new Promise((resolve) => release = resolve);
    const running = ["key-a", "key-a", "key-b"].map((key) =>
      post("/v1/chat/completions", { key, body: CHAT })
    );
    await expect.poll(() => server.inFlight).toBe(3);
    expect(await post("/v1/chat/completions", { key: "key-c", body: CHAT }))
      .toMatchObject({ status: 503 });
    release();
    await Promise.all(running);
    hold = new Promise((resolve) => release = resolve);
    const two = ["key-a", "key-a"].map((key) =>
      post("/v1/chat/completions", { key, body: CHAT })
    );
    await expect.poll(() => server.inFlight).toBe(2);
    expect(await post("/v1/chat/completions", { key: "key-a", body: CHAT }))
      .toMatchObject({ status: 429 });
    release();
    await Promise.all(two);
    expect(server.inFlight).toBe(0);
  });

  it("cuts a caller off that sends its body too slowly", async () => {
    const socket = net.connect({ host: "127.0.0.1", port });
    socket.write(
      "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-w\r\ncontent-length: 100\r\n\r\n{",
    );
    let answer = "";
    for await (const chunk of socket) answer += chunk;
    expect(answer).toContain("408");
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

  it("refuses arbitrary JSON with a refusal only", () => {
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
