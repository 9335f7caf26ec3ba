import { afterEach, beforeEach, describe, expect, it } from "vitest";
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
  await deployment.addServer({ id: "d-1", service: "lm", role: "decode" });
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
});
