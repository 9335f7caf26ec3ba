import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { EventLog } from "@bitternfall/events";
import { monotonicNow, sleep } from "@bitternfall/types";
import { activateConfig, type ActiveConfig } from "./active_config.ts";
import { CallerFront } from "./caller_front.ts";
import type { CallerResponse } from "./caller_response.ts";
import { MemoryBudget } from "./memory_budget.ts";
import type { GatewayRequest } from "./model.ts";
import { OWN_HEADERS, OwnCallers, OwnRegistry } from "./own_dialect.ts";
import type { CallOutcome } from "./plain_call.ts";
import { TEST_ROUTES } from "./test_gateway.ts";

const TIMEOUT_MS = 300;
const FORWARDED = { deadlineMs: TIMEOUT_MS, isCounted: false };

let log: EventLog;
let front: CallerFront;
let serve: (
  callerResponse: CallerResponse,
  req: GatewayRequest,
) => Promise<CallOutcome>;
let port: number;
let active: ActiveConfig | undefined;

function createConfig(fields: object = {}): ActiveConfig {
  const config = new OwnRegistry().readConfig({
    version: 1,
    routes: TEST_ROUTES.map((route) => ({
      ...route,
      host: "127.0.0.1",
      timeoutMs: TIMEOUT_MS,
    })),
    services: [{ name: "app" }, { name: "lm" }],
    ...fields,
  })!;
  return activateConfig(config, 0);
}

beforeEach(async () => {
  active = createConfig();
  log = new EventLog({ level: "fatal" });
  front = new CallerFront({
    host: "127.0.0.1",
    port: 0,
    dialect: new OwnCallers(),
    log,
    now: monotonicNow,
    limits: { inFlight: 100 },
    memory: new MemoryBudget({ memoryMb: 200, heldBodyBytes: 1_000_000 }),
    maxConnections: 100,
    getConfig: () => active,
    serve: (req, callerResponse) => serve(callerResponse, req),
  });
  port = await front.listen();
});
afterEach(async () => {
  await front.close();
  await log.close();
});

function send(headers: { [name: string]: string } = {}): Promise<Response> {
  return fetch(`http://127.0.0.1:${port}/safe/x`, {
    headers: { [OWN_HEADERS.requestId]: "r1", ...headers },
  });
}

/** Sends a request as another VM forwards it. */
async function sendForwarded(
  path: string,
  options: {
    workspace: string | undefined;
    headers?: { [name: string]: string };
  },
): Promise<Response> {
  const { workspace, headers = {} } = options;
  const helper = http.createServer((req, res) =>
    front.handleForwarded(req, res, { ...FORWARDED, workspace })
  );
  await new Promise<void>((resolve) => helper.listen(0, "127.0.0.1", resolve));
  const { port: helperPort } = helper.address() as net.AddressInfo;
  try {
    return await fetch(`http://127.0.0.1:${helperPort}${path}`, {
      headers: { [OWN_HEADERS.requestId]: "r1", ...headers },
    });
  } finally {
    helper.closeAllConnections();
    helper.close();
  }
}

describe("a request that nothing answers", () => {
  // Guards against a path that hangs and leaves its caller without an answer.
  it("is ended a fixed time after its deadline", async () => {
    serve = () => new Promise(() => {});
    const sentAt = monotonicNow();
    expect((await send()).status).toBe(504);
    expect(monotonicNow() - sentAt).toBeGreaterThan(TIMEOUT_MS);
  });

  // Guards against timers that run before what has arrived while the VM was suspended.
  it("is not ended if its answer arrived while the process stood still", async () => {
    let answer: net.Socket | undefined;
    const server = net.createServer((socket) => answer = socket);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port: answerPort } = server.address() as net.AddressInfo;
    const client = net.connect(answerPort, "127.0.0.1");
    serve = (callerResponse) =>
      new Promise((resolve) =>
        client.once("data", () => {
          callerResponse.refuse(502, "the server failed");
          resolve({ status: 502, reason: "the server failed", servers: [] });
        })
      );
    const response = send();
    while (answer === undefined) await sleep(5);
    await sleep(TIMEOUT_MS / 2);
    // After immediates, timers run before what has arrived is read.
    setImmediate(() => {
      answer!.write("failed");
      const end = monotonicNow() + TIMEOUT_MS + 1200;
      while (monotonicNow() < end);
    });
    expect((await response).status).toBe(502);
    client.destroy();
    server.close();
  });

  // Guards against a path that ends without having answered a caller who is still there.
  it("is ended at once if its call has ended", async () => {
    serve = () =>
      Promise.resolve({ status: 499, reason: "caller went away", servers: [] });
    const sentAt = monotonicNow();
    expect((await send()).status).toBe(504);
    expect(monotonicNow() - sentAt).toBeLessThan(TIMEOUT_MS);
  });
});

describe("a kept connection that closes after a response during a drain", () => {
  // Guards against a server that runs a request whose caller can get no answer any more.
  it("passes on no request that crosses the close", async () => {
    const headIsSent = new Promise<CallerResponse>((resolve) => {
      serve = (callerResponse) => {
        callerResponse.writeHead(200, ["content-length", "2"]);
        callerResponse.write(Buffer.from("o"));
        resolve(callerResponse);
        return new Promise(() => {});
      };
    });
    const client = net.connect({
      port,
      host: "127.0.0.1",
      allowHalfOpen: true,
    });
    const request = (id: string) =>
      `GET /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\n${OWN_HEADERS.requestId}: ${id}\r\n\r\n`;
    client.write(request("r1"));
    const first = await headIsSent;
    front.closeConnectionsAfterResponses();
    const served = new Promise<string>((resolve) => {
      serve = () => {
        resolve("served");
        return new Promise(() => {});
      };
    });
    const closed = new Promise<string>((resolve) =>
      client.once("close", () => resolve("closed"))
    );
    client.on("error", () => {});
    // A closed connection shows only by a further write.
    client.once("end", () => {
      const timer = setInterval(() => client.write(request("r2")), 20);
      client.once("close", () => clearInterval(timer));
    });
    client.resume();
    first.end(Buffer.from("k"));
    expect(await Promise.race([served, closed])).toBe("closed");
  });
});

describe("a stop while refused requests are received", () => {
  const MAX_STOP_MS = 2500;

  // Guards against a caller that stops in a refused body and holds the stop.
  it.each([
    ["ends one that has stalled", false, "idle"],
    ["waits for one that is still sent", true, "open"],
  ])("%s", async (_, isSent, result) => {
    const caller = net.connect(port, "127.0.0.1");
    let text = "";
    caller.on("data", (chunk) => text += String(chunk));
    caller.on("error", (err) => text += err.message);
    const length = "content-length: 1000000";
    caller.write(`POST /nowhere HTTP/1.1\r\nhost: x\r\n${length}\r\n\r\nabc`);
    while (!text.includes("no route")) await sleep(5);
    const timer = isSent
      ? setInterval(() => caller.write("a"), 300)
      : undefined;
    await front.stopAccepting();
    const idle = front.whenIdle().then(() => "idle");
    const open = sleep(MAX_STOP_MS).then(() => "open");
    expect(await Promise.race([idle, open])).toBe(result);
    expect(text).toMatch(/^HTTP\/1.1 404 [^]*"no route"}}$/);
    clearInterval(timer);
    caller.destroy();
  });
});

describe("a request in a deployment with workspaces", () => {
  const KEYED = { workspaces: [{ name: "huka", keys: ["k-huka"] }] };

  // Guards against callers that give up on their key because a VM has just started.
  it("gets 503, not 401, from a VM without a configuration", async () => {
    active = undefined;
    expect((await send()).status).toBe(503);
  });

  // Guards against a refusal that tells a caller which part of a key was right.
  it("gets the same 401 for each fault, and a log line with the reason and no key", async () => {
    active = createConfig(KEYED);
    const emit = vi.spyOn(log, "emit");
    const bodies = new Set<string>();
    for (const key of [undefined, "", "k-hukb", "k".repeat(8000)]) {
      const res = await send(
        key === undefined ? {} : { [OWN_HEADERS.key]: key },
      );
      bodies.add(`${res.status} ${await res.text()}`);
    }
    expect([...bodies]).toEqual([
      '401 {"error":{"status":401,"message":"no valid key"}}',
    ]);
    expect(emit).toHaveBeenNthCalledWith(
      3,
      "requestRejected",
      expect.objectContaining({
        requestId: "r1",
        reason: "key",
        fault: "unknown key",
        configVersion: 1,
        configAgeMs: expect.any(Number),
      }),
    );
    expect(JSON.stringify(emit.mock.calls)).not.toContain("k-huk");
  });

  // Guards against 401 for an admitted request because a VM has not applied a new key yet.
  it.each([
    ["huka", 200, "huka"],
    ["newer", 503, undefined],
    [undefined, 503, undefined],
  ])(
    "is served for the workspace %s of the VM that forwards it, or declined",
    async (name, status, served) => {
      active = createConfig(KEYED);
      let workspace: string | undefined;
      serve = (callerResponse, req) => {
        workspace = req.workspace?.name;
        callerResponse.writeHead(200, ["content-length", "0"]);
        callerResponse.end();
        return Promise.resolve({
          status: 200,
          reason: "answered",
          servers: [],
        });
      };
      const res = await sendForwarded("/safe/x", { workspace: name });
      expect(res.status).toBe(status);
      expect(res.headers.has("bitternfall-peer-declined")).toBe(status === 503);
      expect(workspace).toBe(served);
    },
  );

  // Guards against a key that a server gets from a VM which has not applied the keys yet.
  it("is served without its key by a VM whose configuration has no keys", async () => {
    let passedOn: readonly string[] = [];
    serve = (callerResponse, req) => {
      passedOn = req.headers;
      callerResponse.writeHead(200, ["content-length", "0"]);
      callerResponse.end();
      return Promise.resolve({ status: 200, reason: "answered", servers: [] });
    };
    const res = await sendForwarded("/safe/x", {
      workspace: "huka",
      headers: { [OWN_HEADERS.key]: "k-huka" },
    });
    expect(res.status).toBe(200);
    expect(passedOn).toContain(OWN_HEADERS.requestId);
    expect(JSON.stringify(passedOn)).not.toContain("k-huka");
  });

  // Guards against 404 for an admitted request because a VM has not applied a new route yet.
  it("is declined by a VM that does not know the route of the one that forwards it", async () => {
    const res = await sendForwarded("/newer/x", { workspace: undefined });
    expect(res.status).toBe(503);
    expect(res.headers.has("bitternfall-peer-declined")).toBe(true);
  });
});
