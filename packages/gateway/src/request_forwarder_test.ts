import { Buffer } from "node:buffer";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import { monotonicNow, sleep } from "@bitternfall/types";
import { CallerResponse } from "./caller_response.ts";
import { type GatewayRequest, RouteKind } from "./model.ts";
import { createPeerHttp, decline, type ForwardedTraits } from "./peer_http.ts";
import type { CallOutcome } from "./plain_call.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { RequestProgress } from "./request_progress.ts";

const KEY = "a-shared-secret-of-the-test";

/** A VM that serves forwarded requests as the test says. */
interface Helper {
  readonly server: http.Server;
  readonly requests: { headers: http.IncomingHttpHeaders; body: string }[];
  readonly traits: ForwardedTraits[];
}

let helpers: Map<string, Helper>;
let log: EventLog;
let front: http.Server;

beforeEach(() => {
  helpers = new Map();
  log = new EventLog({ level: "fatal" });
});
afterEach(async () => {
  front.closeAllConnections();
  front.close();
  for (const { server } of helpers.values()) {
    server.closeAllConnections();
    server.close();
  }
  await log.close();
});

async function addHelper(
  id: string,
  answer: (req: http.IncomingMessage, res: http.ServerResponse) => void,
): Promise<Helper> {
  const requests: Helper["requests"] = [];
  const traits: ForwardedTraits[] = [];
  const server = http.createServer(createPeerHttp({
    key: KEY,
    findServer: () => undefined,
    listObjects: () => [],
    serveForwarded: (req, res, stated) => {
      traits.push(stated);
      let body = "";
      req.on("data", (chunk) => body += String(chunk));
      req.on("end", () => {
        requests.push({ headers: req.headers, body });
        answer(req, res);
      });
    },
  }));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const helper = { server, requests, traits };
  helpers.set(id, helper);
  return helper;
}

function createRequest(callerSignal: AbortSignal): GatewayRequest {
  const now = monotonicNow();
  return {
    requestId: "r1",
    method: "POST",
    path: "/safe/x?y=1",
    headers: [],
    rawHeaders: [
      ...["Host", "test", "Request-Id", "r1", "Deadline-Ms", "900"],
      ...["Authorization", "Token k-huka"],
      ...["Connection", "keep-alive", "Bitternfall-Peer-Key", "forged"],
    ],
    progress: new RequestProgress(),
    isForwarded: false,
    isCounted: false,
    body: Buffer.from("body"),
    arrivedAt: now,
    deadline: now + 800,
    route: {
      name: "safe",
      host: "test",
      pathPrefix: "/safe/",
      kind: RouteKind.Safe,
      timeoutMs: 800,
      targetMs: 500,
      eventGapMs: 100,
      priority: 1,
      maxAttempts: 1,
      isResumable: false,
      targets: [{ service: "app", weight: 1 }],
    },
    service: { name: "app", maxConnections: 10 },
    workspace: { name: "huka", keys: [] },
    callerSignal,
  };
}

/** Forwards one request of a caller, who may leave after a while. */
async function forward(
  { leaveAfterMs, mayHaveRun = false }: {
    leaveAfterMs?: number;
    mayHaveRun?: boolean;
  } = {},
) {
  let outcome: Promise<CallOutcome> | undefined;
  front = http.createServer((_, res) => {
    const left = new AbortController();
    res.once("close", () => res.writableFinished || left.abort());
    const forwarder = new RequestForwarder({
      key: KEY,
      links: {
        areLost: () => true,
        getHelpers: () => ["gone", ...helpers.keys()],
      },
      findAddress: (id) => {
        const server = helpers.get(id)?.server;
        if (server === undefined) return "127.0.0.1:1";
        return `127.0.0.1:${(server.address() as AddressInfo).port}`;
      },
      log,
      now: monotonicNow,
    });
    outcome = forwarder.forward(
      createRequest(left.signal),
      new CallerResponse(res),
      { mayHaveRun },
    );
  });
  await new Promise<void>((resolve) => front.listen(0, "127.0.0.1", resolve));
  const { port } = front.address() as AddressInfo;
  const init = leaveAfterMs === undefined
    ? {}
    : { signal: AbortSignal.timeout(leaveAfterMs) };
  const res = await fetch(`http://127.0.0.1:${port}/`, init).catch(() =>
    undefined
  );
  const body = await res?.text().catch(() => undefined);
  return { res, body, outcome: await outcome! };
}

describe("a request that is forwarded to another VM", () => {
  it("arrives as its caller sent it, with the time that is left, and is answered", async () => {
    const helper = await addHelper("vm-2", (_, res) => {
      res.writeHead(200, { seal: "s1", "content-length": 4 }).end("done");
    });
    const { res, body, outcome } = await forward();
    expect([res?.status, res?.headers.get("seal"), body])
      .toEqual([200, "s1", "done"]);
    expect(outcome).toMatchObject({ status: 200, helper: "vm-2" });
    const [received] = helper.requests;
    expect(received).toMatchObject({
      body: "body",
      headers: { host: "test", "request-id": "r1", "deadline-ms": "900" },
    });
    expect(helper.traits[0]?.deadlineMs).toBeLessThanOrEqual(800);
    expect(helper.traits[0]?.deadlineMs).toBeGreaterThan(600);
    // The helper need not know the key yet.
    expect(helper.traits[0]?.workspace).toBe("huka");
    expect(received?.headers.authorization).toBe("Token k-huka");
  });

  // Guards against a request that no other VM gets because the first one is cut off itself.
  it("goes to another VM if one declines it", async () => {
    const first = await addHelper("vm-2", (_, res) => decline(res));
    await addHelper("vm-3", (_, res) => res.end("done"));
    const { body, outcome } = await forward();
    expect(body).toBe("done");
    expect(outcome.helper).toBe("vm-3");
    expect(first.requests).toHaveLength(1);
  });

  // Guards against a second run, and against a promise that it has not run.
  it("gets 502 and goes to no other VM if the one that has it breaks off", async () => {
    await addHelper("vm-2", (req) => req.socket.resetAndDestroy());
    const second = await addHelper("vm-3", (_, res) => res.end("done"));
    const { res } = await forward();
    expect(res?.status).toBe(502);
    expect(second.requests).toEqual([]);
  });

  // Guards against a partial answer that looks complete.
  it("has an answer that breaks off where the VM's does", async () => {
    await addHelper("vm-2", (req, res) => {
      res.writeHead(200, { "content-length": 100 });
      res.write("half", () => req.socket.resetAndDestroy());
    });
    const { body, outcome } = await forward();
    expect(body).toBeUndefined();
    expect(outcome.status).toBe(0);
  });

  it("gets 504 at its deadline if the VM does not answer", async () => {
    await addHelper("vm-2", () => {});
    const startedAt = monotonicNow();
    const { res } = await forward();
    expect(res?.status).toBe(504);
    expect(monotonicNow() - startedAt).toBeLessThan(1100);
  });

  // Guards against servers that work on for a caller who has left.
  it("is closed at the VM when its caller leaves", async () => {
    let closedAt = 0;
    await addHelper("vm-2", (_, res) => {
      res.once("close", () => closedAt = monotonicNow());
    });
    const startedAt = monotonicNow();
    const { outcome } = await forward({ leaveAfterMs: 200 });
    expect(outcome.status).toBe(499);
    while (closedAt === 0) await sleep(5);
    expect(closedAt - startedAt).toBeLessThan(500);
  });

  // Guards against a wait for nothing.
  it("is refused at once, as not run, if no VM takes it", async () => {
    await addHelper("vm-2", (_, res) => decline(res));
    const startedAt = monotonicNow();
    const { res } = await forward();
    expect(res?.status).toBe(503);
    expect(Number(res?.headers.get("retry-after"))).toBeLessThan(0.3);
    expect(monotonicNow() - startedAt).toBeLessThan(300);
  });

  // Guards against a promise that a request has not run which an earlier server has run.
  it("gets 502 if it may have run and the VM, or no VM, takes it", async () => {
    const helper = await addHelper(
      "vm-2",
      (_, res) => res.writeHead(503, { "retry-after": "1" }).end(),
    );
    const { res } = await forward({ mayHaveRun: true });
    expect(res?.status).toBe(502);
    front.close();
    helper.server.removeAllListeners("request");
    helper.server.on("request", (_, refused) => decline(refused));
    expect((await forward({ mayHaveRun: true })).res?.status).toBe(502);
  });

  it("is not taken by a VM whose key differs", async () => {
    const helper = await addHelper("vm-2", (_, res) => res.end("done"));
    const { port } = helper.server.address() as AddressInfo;
    const res = await fetch(`http://127.0.0.1:${port}/safe/x`, {
      headers: {
        "bitternfall-peer-key": "Bearer another",
        "bitternfall-peer-deadline-ms": "500",
      },
    });
    expect(res.status).toBe(401);
    expect(helper.requests).toEqual([]);
    front = http.createServer();
  });
});
