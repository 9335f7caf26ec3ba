import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";
import { OWN_HEADERS, OwnRegistry } from "./own_dialect.ts";
import { TEST_ENGINE, TEST_ROUTES, TestGateway } from "./test_gateway.ts";

/** Time within which a VM applies a configuration that the store has accepted. */
const CONFIG_APPLY_MS = 3000;
const VMS = [0, 1];
const [SAFE] = TEST_ROUTES;
const SERVICES = [{ name: "app" }, { name: "lm", engine: TEST_ENGINE }];
const FIRST = { name: "first", keys: ["k-first"] };

let deployment: TestGateway;
let requestCount = 0;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start({ workspaces: [FIRST] });
  await deployment.addServer({ id: "s1" });
  await deployment.addServer({ id: "p1", service: "lm", role: "prefill" });
  await deployment.addServer({ id: "d1", service: "lm", role: "decode" });
  for (const _ of VMS) await deployment.addGateway();
});
afterEach(() => deployment.close());

async function getStatus(
  path: string,
  { vm, key = "k-first", headers = {} }: {
    vm: number;
    key?: string;
    headers?: { readonly [name: string]: string };
  },
): Promise<number> {
  const id = `r${++requestCount}`;
  const sent = { [OWN_HEADERS.key]: key, ...headers };
  return (await deployment.send({ id, path, headers: sent }, vm)).status;
}

/** Writes a second version with an added route, and waits until all VMs serve it. */
async function configure(
  { routes = [], services = [], workspaces = [] }: {
    routes?: readonly object[];
    services?: readonly object[];
    workspaces?: readonly object[];
  },
): Promise<void> {
  await deployment.configure({
    version: 2,
    routes: [...TEST_ROUTES, { ...SAFE, pathPrefix: "/added/" }, ...routes],
    services: [...SERVICES, ...services],
    workspaces: [FIRST, ...workspaces],
  });
  const until = Date.now() + CONFIG_APPLY_MS;
  for (const vm of VMS) {
    while (await getStatus("/added/x", { vm }) !== 200) {
      expect(Date.now()).toBeLessThan(until);
      await sleep(20);
    }
  }
}

describe("a configuration with a part that can't be used", () => {
  // Guards against one tenant's name that keeps a version from every VM.
  it("serves a workspace whose name has an accent, and all others", async () => {
    const name = "Oficina Engativá";
    await configure({ workspaces: [{ name, keys: ["k-second"] }] });
    for (const vm of VMS) {
      expect(await getStatus("/safe/x", { vm, key: "k-second" })).toBe(200);
    }
    const { headers } = deployment.servers[0]!.receivedRequests.at(-1)!;
    expect(headers[OWN_HEADERS.workspace]).toBe(name);
  });

  // Guards against a caller that another workspace pays for, or that is told a wrong reason.
  it("refuses a key of two workspaces and keys of one without a name with 503", async () => {
    const workspaces = [
      { name: "second", keys: ["k-second", "k-both"] },
      { name: "third", keys: ["k-third", "k-both"] },
      { name: "", keys: ["k-nameless"] },
    ];
    await configure({ workspaces });
    for (const vm of VMS) {
      const get = (key: string) => getStatus("/safe/x", { vm, key });
      expect(await get("k-second")).toBe(200);
      expect(await get("k-third")).toBe(200);
      expect(await get("k-both")).toBe(503);
      expect(await get("k-nameless")).toBe(503);
      expect(await get("k-unknown")).toBe(401);
    }
  });

  // Guards against requests that a shorter prefix takes, to a service of other work.
  it("serves a route of an unknown kind, and refuses one that can't be used with 503", async () => {
    const target = { service: "other", weight: 1 };
    await configure({
      services: [{ name: "other", maxConnections: "many" }, { name: 5 }],
      routes: [
        { ...SAFE, name: "new", pathPrefix: "/new/", kind: "batch" },
        { ...SAFE, pathPrefix: "/added/pay", targets: [target] },
        { ...SAFE, pathPrefix: "/split/", targets: { app: 1 } },
        { ...SAFE, host: 7 },
        [],
      ],
    });
    for (const vm of VMS) {
      expect(await getStatus("/new/x", { vm })).toBe(200);
      expect(await getStatus("/added/pay/x", { vm })).toBe(503);
      expect(await getStatus("/split/x", { vm })).toBe(503);
    }
  });

  // Guards against numbers at which timers end at once, or that messages can't carry.
  it("serves routes and workspaces with very large numbers", async () => {
    const quota = {
      unit: "tokens",
      perSecond: 1e300,
      burst: 1e300,
      plainTokens: 200,
    };
    const chat = { ...TEST_ROUTES[2]!, timeoutMs: 2 ** 40 };
    await configure({
      workspaces: [{ name: "second", keys: ["k-second"], quota }],
      routes: [
        { ...SAFE, pathPrefix: "/long/", timeoutMs: 2 ** 40 },
        { ...chat, pathPrefix: "/long-chat/", targetMs: 1e300 },
        { ...chat, pathPrefix: "/named/", name: "n".repeat(5000) },
      ],
    });
    for (const vm of VMS) {
      const key = "k-second";
      const headers = { [OWN_HEADERS.tokens]: "1000,100,50" };
      // The first issuer of a quota begins without a balance.
      while (await getStatus("/long/x", { vm, key }) !== 200) await sleep(20);
      expect(await getStatus("/long-chat/x", { vm, key, headers }))
        .toBe(200);
      expect(await getStatus("/named/x", { vm, key, headers })).toBe(200);
    }
  });
});

/** The entries of servers as a VM reads them that reaches none of them. */
class UnreachableRegistry extends OwnRegistry {
  override readServer(id: string, value: unknown): ServerEntry | undefined {
    const entry = super.readServer(id, value);
    return entry && { ...entry, port: 1 };
  }
}

// Guards against a name that no header between VMs carries.
it("a request of a workspace with any name is served by way of another VM", async () => {
  const name = "東京 – Engativá";
  await configure({ workspaces: [{ name, keys: ["k-second"] }] });
  await deployment.addGateway({}, { registry: new UnreachableRegistry() });
  const vm = VMS.length;
  while (await getStatus("/safe/x", { vm, key: "k-second" }) !== 200) {
    await sleep(10);
  }
  const { headers } = deployment.servers[0]!.receivedRequests.at(-1)!;
  const value = Buffer.from(String(headers[OWN_HEADERS.workspace]), "latin1");
  expect(value.toString("utf8")).toBe(name);
});
