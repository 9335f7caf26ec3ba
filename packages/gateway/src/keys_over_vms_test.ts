import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";
import { OWN_HEADERS, OwnRegistry } from "./own_dialect.ts";
import { SilencedObjects, TestGateway } from "./test_gateway.ts";

/** Time within which a VM applies a configuration that the store has accepted. */
const CONFIG_APPLY_MS = 3000;
const NEW_KEY_MS = 1000;
const HUKA = { name: "huka", keys: ["k-old"] };

let deployment: TestGateway;
let requestCount = 0;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start({ workspaces: [HUKA] });
  await deployment.addServer({ id: "s1" });
});
afterEach(() => deployment.close());

async function getStatus(key: string, vm: number): Promise<number> {
  const headers = { [OWN_HEADERS.key]: key };
  const id = `r${++requestCount}`;
  return (await deployment.send({ id, path: "/safe/x", headers }, vm)).status;
}

/** Sends requests until one has a status; returns the time that it took. */
async function waitForStatus(status: number, key: string, vm: number) {
  const startedAt = monotonicNow();
  while (await getStatus(key, vm) !== status) await sleep(10);
  return monotonicNow() - startedAt;
}

describe("a changed key", () => {
  it("is granted and refused at all VMs in time", async () => {
    await deployment.addGateway();
    await deployment.addGateway();
    const workspaces = [{ ...HUKA, keys: ["k-new"] }];
    await deployment.configure({ version: 2, workspaces });
    for (const vm of [0, 1]) {
      expect(await waitForStatus(200, "k-new", vm)).toBeLessThan(NEW_KEY_MS);
      expect(await waitForStatus(401, "k-old", vm))
        .toBeLessThan(CONFIG_APPLY_MS);
    }
  });

  // Guards against a removed key that works on where the store does not answer.
  it("reaches a VM that hears nothing of the store from its peers", async () => {
    const objects = new SilencedObjects(deployment.createStore());
    await deployment.addGateway({}, { objects });
    await deployment.addGateway();
    // Until its watches have reached what the other VM has listed.
    await sleep(800);
    objects.silence({ longestWaitMs: 0 });
    const workspaces = [{ ...HUKA, keys: [] }];
    await deployment.configure({ version: 2, workspaces });
    expect(await waitForStatus(401, "k-old", 0)).toBeLessThan(CONFIG_APPLY_MS);
  });

  // Guards against callers that are refused in an outage of the store.
  it("is not needed for known keys while store and peers are lost", async () => {
    await deployment.addGateway();
    deployment.platform.faults.down = true;
    await sleep(500);
    expect(await getStatus("k-old", 0)).toBe(200);
    expect(await getStatus("k-new", 0)).toBe(401);
  });
});

/** The entries of servers as a VM reads them that reaches none of them. */
class UnreachableRegistry extends OwnRegistry {
  override readServer(id: string, value: unknown): ServerEntry | undefined {
    const entry = super.readServer(id, value);
    return entry && { ...entry, port: 1 };
  }
}

// Guards against 401 for a caller whose VM reaches no server, and against a key that leaks.
it("a request that another VM serves belongs to its key's workspace", async () => {
  const registry = new UnreachableRegistry();
  await deployment.addGateway({}, { registry });
  await deployment.addGateway();
  await waitForStatus(200, "k-old", 0);
  const [server] = deployment.servers;
  const { headers } = server!.receivedRequests.at(-1)!;
  expect(headers[OWN_HEADERS.workspace]).toBe("huka");
  expect(JSON.stringify(headers)).not.toContain("k-old");
  expect(await getStatus("k-new", 0)).toBe(401);
});
