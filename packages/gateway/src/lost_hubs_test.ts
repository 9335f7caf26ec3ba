import { afterEach, beforeEach, expect, it, vi } from "vitest";
import {
  type ListOptions,
  type ObjectApi,
  type ObjectList,
  type StoredObject,
  StoreError,
  type WatchOptions,
} from "@bitternfall/platform";
import { monotonicNow, sleep } from "@bitternfall/types";
import { formatCrashRecord } from "./crash_records.ts";
import { hashRequest } from "./request_identity.ts";
import { TEST_ROUTES, TestGateway } from "./test_gateway.ts";

/** With up to 16 VMs, all are hubs. */
const VMS = 19;
/** Time within which a change that the store has accepted is applied. */
const APPLY_MS = 3000;
/** As in a deployment. */
const WAITS = { watchWaitMs: 16_000, hubWatchWaitMs: 2000 };
const [SAFE] = TEST_ROUTES;

/** Whether calls of one VM reach the object API. */
enum Reach {
  All,
  /** Calls are refused at once. */
  Refused,
  /** Calls get no answer. */
  Silent,
}

/** An object API whose stale results lack all changes, and that one VM may lose. */
class DelayedObjects implements ObjectApi {
  readonly #api: ObjectApi;
  readonly calls;
  reach = Reach.All;
  /** Whether the last watch of the configuration was allowed to be stale. */
  isStale: boolean | undefined;

  constructor(api: ObjectApi) {
    this.#api = api;
    this.calls = api.calls;
  }

  get isDown(): boolean {
    return this.#api.isDown;
  }

  async watch(prefix: string, options: WatchOptions): Promise<ObjectList> {
    const { since, waitMs, allowStale = false, signal } = options;
    if (prefix === "gateway/") this.isStale = allowStale;
    if (this.reach === Reach.All && allowStale) {
      await sleep(waitMs, signal);
      if (signal?.aborted) throw createError("unavailable");
      return { revision: since, objects: [] };
    }
    return await this.#call(() => this.#api.watch(prefix, options), options);
  }

  get(key: string): Promise<StoredObject | undefined> {
    return this.#call(() => this.#api.get(key));
  }

  list(prefix: string, options?: ListOptions): Promise<ObjectList> {
    return this.#call(() => this.#api.list(prefix, options));
  }

  put(...args: Parameters<ObjectApi["put"]>): Promise<number> {
    return this.#call(() => this.#api.put(...args));
  }

  delete(key: string, version: number): Promise<void> {
    return this.#call(() => this.#api.delete(key, version));
  }

  close(): Promise<void> {
    return this.#api.close();
  }

  async #call<T>(
    call: () => Promise<T>,
    { waitMs = 0, signal }: { waitMs?: number; signal?: AbortSignal } = {},
  ): Promise<T> {
    if (this.reach === Reach.Refused) throw createError("unavailable");
    if (this.reach === Reach.Silent) {
      await sleep(waitMs + 1000, signal);
      throw createError("unknown_fate");
    }
    const result = await call();
    // What is on its way when the VM is cut off does not arrive.
    if (this.reach === Reach.All) return result;
    return await this.#call(call, { waitMs });
  }
}

function createError(tag: "unavailable" | "unknown_fate"): StoreError {
  return new StoreError({ tag }, "no answer");
}

let deployment: TestGateway;
let apis: DelayedObjects[];
let requestCount = 0;

beforeEach(async () => {
  deployment = new TestGateway();
  apis = [];
  await deployment.start();
  await deployment.addServer({ id: "s1" });
  await Promise.all(Array.from({ length: VMS }, async (_, vm) => {
    await sleep(20 * vm);
    const objects = new DelayedObjects(deployment.createStore());
    apis.push(objects);
    const objectApi = { address: "unused:1", ...WAITS };
    await deployment.addGateway({ objectApi }, { objects });
  }));
  // Until the followers rely on the hubs.
  while (listVms(true).length !== 5) await sleep(50);
}, 30_000);
afterEach(() => deployment.close());

/** Indexes of the VMs that watch as hubs, or of all others. */
function listVms(areHubs: boolean): number[] {
  const all = [...apis.keys()];
  return all.filter((vm) => apis[vm]!.isStale !== areHubs);
}

async function getStatus(vm: number, path: string): Promise<number> {
  const id = `r${++requestCount}`;
  const req = { id, path, method: "POST", body: "blocked" };
  return (await deployment.send(req, vm)).status;
}

/** Makes a change, and waits until all VMs answer a request with a status because of it. */
async function listLate(
  vms: readonly number[],
  { change, path, status, withinMs = APPLY_MS }: {
    change: () => Promise<void>;
    path: string;
    status: number;
    withinMs?: number;
  },
): Promise<string[]> {
  await change();
  const since = monotonicNow();
  const late = await Promise.all(vms.map(async (vm) => {
    for (;;) {
      const sentAt = monotonicNow();
      const answered = await getStatus(vm, path);
      if (answered === status) return [];
      if (sentAt - since > withinMs) return [`${vm} ${path} ${answered}`];
      await sleep(50);
    }
  }));
  return late.flat();
}

async function addRoute(): Promise<void> {
  const routes = [...TEST_ROUTES, { ...SAFE, pathPrefix: "/added/" }];
  await deployment.configure({ version: 2, routes });
}

/** Stores a verdict by which a request is blocked. */
async function addVerdict(): Promise<void> {
  const part = hashRequest({
    method: "POST",
    path: "/unsafe/x",
    headers: ["host", "test"],
    body: Buffer.from("blocked"),
  });
  const record = formatCrashRecord({
    reports: ["a", "b", "c"].map((process) => ({
      process,
      requestId: process,
      parts: [part],
    })),
    verdicts: [{ id: "v1", parts: [part], exonerated: [], trials: 9 }],
    cleared: [],
  });
  await deployment.write("bitternfall-services/crashes-app", record);
}

/** Returns the VMs at which a verdict that is stored now blocks nothing in time. */
async function listVmsWithoutVerdict(
  vms: readonly number[],
): Promise<number[]> {
  await addVerdict();
  await sleep(APPLY_MS);
  // Not before: a request that is served is evidence against a verdict.
  const statuses = await Promise.all(
    vms.map((vm) => getStatus(vm, "/unsafe/x")),
  );
  return vms.filter((_, at) => statuses[at] !== 400);
}

/** Adds a member, and returns the VMs that do not count it in time. */
async function listVmsWithoutMember(vms: readonly number[]): Promise<number[]> {
  const emits = vms.map((vm) => vi.spyOn(deployment.logs[vm]!, "emit"));
  await deployment.write("bitternfall-members/vm-new", {
    address: "127.0.0.1:9",
    availabilityZone: "a",
    strength: 0.01,
  });
  await sleep(APPLY_MS);
  return vms.filter((_, at) =>
    !emits[at]!.mock.calls.some(([event]) => event === "limitShareChanged")
  );
}

const LOSSES: [string, (hub: number) => Promise<void> | void][] = [
  ["killed", (vm) => deployment.gateways[vm]!.close()],
  ["stopped", (vm) => void deployment.gateways[vm]!.stop("test")],
  ["refused by the object API", (vm) => void (apis[vm]!.reach = Reach.Refused)],
  [
    "cut off from the object API without a sign",
    (vm) => void (apis[vm]!.reach = Reach.Silent),
  ],
];

// Guards against VMs that go on with watches which may be seconds old, for all kinds of
// objects that they watch.
it.each(LOSSES)(
  "VMs apply changes in time after all hubs were %s",
  async (_, lose) => {
    const hubs = listVms(true);
    const followers = listVms(false);
    expect(hubs).toHaveLength(5);
    await Promise.all(hubs.map(lose));
    await sleep(300);
    const late = await Promise.all([
      listLate(followers, { change: addRoute, path: "/added/x", status: 200 }),
      listVmsWithoutVerdict(followers),
      listVmsWithoutMember(followers),
    ]);
    expect(late).toEqual([[], [], []]);
    const change = () => deployment.remove("servers/s1");
    expect(await listLate(followers, { change, path: "/safe/x", status: 503 }))
      .toEqual([]);
  },
  40_000,
);

// Guards against hubs that issue quotas and dispatch by a configuration of long ago.
it(
  "hubs that alone are cut off from the object API learn of changes from the others",
  async () => {
    const hubs = listVms(true);
    for (const hub of hubs) apis[hub]!.reach = Reach.Silent;
    await sleep(300);
    const late = await listLate([...apis.keys()], {
      change: addRoute,
      path: "/added/x",
      status: 200,
      withinMs: 2 * APPLY_MS,
    });
    expect(late).toEqual([]);
  },
  40_000,
);
