import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { OWN_HEADERS } from "./own_dialect.ts";
import { TEST_ROUTES, TestGateway, type TestRequest } from "./test_gateway.ts";

const KEY = "k-huka-1";
const PUBLIC_ROUTE = { ...TEST_ROUTES[0]!, name: "open", pathPrefix: "/open/" };
const ROUTES = [
  { ...TEST_ROUTES[0]!, priority: 1 },
  { ...TEST_ROUTES[2]!, priority: 0 },
  { ...PUBLIC_ROUTE, isPublic: true },
];
const WORKSPACES = [
  { name: "huka", keys: [KEY, "k-huka-2"], priority: 1 },
  { name: "welo", keys: ["k-welo"] },
  { name: "sami", keys: ["k-sami"], priority: 3 },
];

let deployment: TestGateway;
let requestCount = 0;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start({ routes: ROUTES, workspaces: WORKSPACES });
  await deployment.addServer({ id: "app-1" });
  await deployment.addServer({ id: "p-1", service: "lm", role: "prefill" });
  await deployment.addServer({
    id: "d-1",
    service: "lm",
    role: "decode",
    events: 10,
    eventMs: 40,
  });
  await deployment.addGateway();
});
afterEach(() => deployment.close());

/** Sends a request with a key and returns its status and what servers got of it. */
async function sendWithKey(key: string | undefined, req: Partial<TestRequest>) {
  const id = `r-${++requestCount}`;
  const headers = {
    ...(key === undefined ? {} : { [OWN_HEADERS.key]: key }),
    ...req.headers,
  };
  const { status } = await deployment.send({
    id,
    path: "/safe/x",
    ...req,
    headers,
  });
  const received = deployment.servers.flatMap((server) =>
    server.receivedRequests.filter(({ requestId }) => requestId === id)
  );
  return { status, received: received.map((one) => one.headers) };
}

const countsOf = (tokens: string) => ({
  path: "/chat/x",
  headers: { [OWN_HEADERS.tokens]: tokens },
});

describe("a gateway whose configuration has workspaces", () => {
  // Guards against callers without a key that use up what others pay for.
  it.each([undefined, "", "k-none", "k".repeat(8000), `${KEY},${KEY}`])(
    "refuses a request with the key %j, and sends it to no server",
    async (key) => {
      expect(await sendWithKey(key, {}))
        .toEqual({ status: 401, received: [] });
    },
  );

  // Guards against a key that servers could use, and a workspace that a caller claims.
  it("tells servers the workspace of the key, and nothing else of it", async () => {
    const claimed = { [OWN_HEADERS.workspace]: "sami" };
    const { status, received } = await sendWithKey(KEY, { headers: claimed });
    expect(status).toBe(200);
    expect(received).toHaveLength(1);
    expect(received[0]![OWN_HEADERS.workspace]).toBe("huka");
    expect(JSON.stringify(received)).not.toContain(KEY);
  });

  // Guards against a caller without a key who learns what a valid request looks like.
  it.each([
    ["no route", "k-none", { path: "/nowhere" }, 404],
    ["unknown key, malformed counts", "k-none", countsOf("-1,5"), 401],
    ["counts below 0", KEY, countsOf("10,-5"), 400],
    ["counts that are no numbers", KEY, countsOf("NaN,5"), 400],
    ["too few counts", KEY, countsOf("10"), 400],
    ["counts above 10^9", KEY, countsOf("10,1000000001"), 400],
  ])("checks the route, then the key, then the rest: %s", async (...row) => {
    const [, key, req, status] = row;
    expect(await sendWithKey(key, req)).toEqual({ status, received: [] });
  });

  it("serves a public route without a key, but not with one that is unknown", async () => {
    const path = "/open/x";
    const open = await sendWithKey(undefined, { path });
    expect(open.status).toBe(200);
    expect(open.received[0]![OWN_HEADERS.workspace]).toBeUndefined();
    const keyed = await sendWithKey("k-welo", { path });
    expect(keyed.received[0]![OWN_HEADERS.workspace]).toBe("welo");
    expect(JSON.stringify(keyed.received)).not.toContain("k-welo");
    expect((await sendWithKey("k-none", { path })).status).toBe(401);
  });

  // Guards against a server that runs an urgent request's prefill or decode among the others.
  it.each([[KEY, "0"], ["k-sami", "1"], ["k-welo", "1"]])(
    "tells model servers the workspace and priority of key %s, prefills included",
    async (key, priority) => {
      const req = { ...countsOf("1000,100,50"), method: "POST", body: "p" };
      const { status, received } = await sendWithKey(key, req);
      expect(status).toBe(200);
      expect(received).toHaveLength(2);
      for (const headers of received) {
        expect(headers[OWN_HEADERS.workspace]).toBe(key.split("-")[1]);
        expect(headers[OWN_HEADERS.priority]).toBe(priority);
      }
      const plain = await sendWithKey(key, {});
      expect(plain.received[0]![OWN_HEADERS.priority]).toBeUndefined();
    },
  );

  // Guards against a removed key that still works, and against one that moves and is lost.
  it("refuses removed keys and follows moved ones, but serves an open stream on", async () => {
    const req = { ...countsOf("1000,100,50"), method: "POST", body: "p" };
    let isOpen = true;
    const stream = sendWithKey(KEY, req).finally(() => isOpen = false);
    while (deployment.servers[2]!.receivedRequests.length === 0) await sleep(1);
    const workspaces = [{ name: "huka", keys: [] }, {
      name: "welo",
      keys: ["k-huka-2"],
    }];
    await deployment.configure({ version: 2, routes: ROUTES, workspaces });
    while ((await sendWithKey(KEY, {})).status !== 401) await sleep(5);
    expect(isOpen).toBe(true);
    expect((await stream).status).toBe(200);
    const moved = await sendWithKey("k-huka-2", {});
    expect(moved.received[0]![OWN_HEADERS.workspace]).toBe("welo");
  });
});

describe("a gateway whose configuration has no workspaces", () => {
  // Guards against deployments without workspaces that are no longer served as before.
  it("serves requests without a key and passes a caller's key on", async () => {
    await deployment.configure({ version: 2, routes: ROUTES });
    while ((await sendWithKey(undefined, {})).status !== 200) await sleep(5);
    const claimed = { [OWN_HEADERS.workspace]: "sami" };
    const { received } = await sendWithKey("k-any", { headers: claimed });
    expect(received[0]![OWN_HEADERS.key]).toBe("k-any");
    expect(received[0]![OWN_HEADERS.workspace]).toBeUndefined();
  });
});
