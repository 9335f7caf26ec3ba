import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  FaultProxy,
  findRecoveryShortfall,
  HangingPorts,
  RECOVERY_BOUND,
  type RecoveryBound,
} from "@bitternfall/stand-ins";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";
import { OWN_HEADERS, OwnRegistry } from "./own_dialect.ts";
import { TestGateway, type TestResponse } from "./test_gateway.ts";

const VM_COUNT = 3;
/** Requests are sent to the VMs in turn; VM 0 loses its links. */
const CUT_VM = 0;
const PLAIN_SERVERS = 4;
const SEND_INTERVAL_MS = 15;
const CUT_MS = 3000;
/** Time before each event of a stream; the first one is still due when the links are lost. */
const EVENT_MS = 150;
/** The users' bound with a shorter time to settle and no slack, so that the test is short. */
const BOUND: RecoveryBound = { ...RECOVERY_BOUND, settleMs: 1000, slack: 3 };

/** How the links of a VM to the servers are lost. */
enum Cut {
  /** Open connections are reset, new ones refused. */
  Reset = "are reset",
  /** Open connections live on, new ones are refused. */
  Refused = "live on while new ones are refused",
  /** Nothing gets through, and new connections get no reply. */
  Hang = "hang",
}

const KINDS = [
  { path: "/safe/x" },
  { path: "/unsafe/x" },
  { path: "/chat/x", headers: { "bitternfall-tokens": "1000,100,50" } },
];

interface SentRequest {
  readonly id: string;
  readonly path: string;
  readonly vm: number;
  readonly at: number;
  readonly response: Promise<TestResponse | undefined>;
}

/** The entries of servers as a VM reads them that reaches them through proxies. */
class ProxiedRegistry extends OwnRegistry {
  readonly #proxies: ReadonlyMap<number, FaultProxy>;

  constructor(proxies: ReadonlyMap<number, FaultProxy>) {
    super();
    this.#proxies = proxies;
  }

  override readServer(id: string, value: unknown): ServerEntry | undefined {
    const entry = super.readServer(id, value);
    const proxy = this.#proxies.get(entry?.port ?? 0);
    if (entry === undefined || proxy === undefined) return entry;
    return { ...entry, port: proxy.port };
  }
}

let deployment: TestGateway;
let proxies: Map<number, FaultProxy>;
let hangingPorts: HangingPorts;
let sent: SentRequest[];
let streamCount = 0;

beforeEach(async () => {
  sent = [];
  proxies = new Map();
  hangingPorts = new HangingPorts();
  await hangingPorts.start();
  deployment = new TestGateway();
  await deployment.start();
  for (let index = 1; index <= PLAIN_SERVERS; index++) {
    await deployment.addServer({ id: `s${index}`, runMs: 10 });
  }
  const service = "lm";
  for (const id of ["p1", "p2"]) {
    await deployment.addServer({ id, service, role: "prefill" });
  }
  for (const id of ["d1", "d2", "d3"]) {
    await deployment.addServer({
      id,
      service,
      role: "decode",
      eventMs: EVENT_MS,
    });
  }
  for (const { port } of deployment.servers) {
    const proxy = new FaultProxy({ host: "127.0.0.1", port });
    await proxy.listen();
    proxies.set(port, proxy);
  }
  for (let vm = 0; vm < VM_COUNT; vm++) {
    const isProxied = vm === CUT_VM;
    await deployment.addGateway(
      {},
      isProxied ? { registry: new ProxiedRegistry(proxies) } : {},
    );
  }
});
afterEach(async () => {
  await hangingPorts.close();
  for (const proxy of proxies.values()) await proxy.close();
  await deployment.close();
});

async function loseLinks(cut: Cut): Promise<void> {
  const all = [...proxies.values()];
  for (const proxy of all) {
    if (cut === Cut.Hang) proxy.silenceConnections();
    if (cut === Cut.Reset) proxy.resetConnections();
    proxy.refuseConnections();
  }
  if (cut === Cut.Hang) await hangingPorts.listen(all.map(({ port }) => port));
}

async function restoreLinks(): Promise<void> {
  await hangingPorts.close();
  for (const proxy of proxies.values()) await proxy.listen(proxy.port);
}

/** Sends a stream whose prompt shares a part with others. */
function sendStream(
  vm: number,
  sharedPart: string,
): Promise<TestResponse | undefined> {
  const id = `p${streamCount++}`;
  const parts = `common:400,${sharedPart}:200,${id}:100`;
  const headers = { [OWN_HEADERS.promptParts]: parts };
  return deployment.stream({ id, path: "/once/x", body: id, headers }, vm)
    .catch(() => undefined);
}

/** Sends requests of each kind to all VMs at a steady rate. */
async function load(durationMs: number): Promise<void> {
  const end = monotonicNow() + durationMs;
  while (monotonicNow() < end) {
    const index = sent.length;
    const vm = index % VM_COUNT;
    const kind = KINDS[Math.floor(index / VM_COUNT) % KINDS.length]!;
    const id = `r${index}`;
    const request = { method: "POST", body: `body ${id}`, ...kind, id };
    const response = deployment.send(request, vm).catch(() => undefined);
    sent.push({ id, path: kind.path, vm, at: monotonicNow(), response });
    await sleep(SEND_INTERVAL_MS);
  }
}

async function listTries(path?: string) {
  const own = sent.filter((req) => path === undefined || req.path === path);
  return await Promise.all(own.map(async ({ vm, at, response }) => {
    const res = await response;
    const isServed = res?.status === 200 && res.isComplete;
    return { at, isCut: vm === CUT_VM, isServed };
  }));
}

function getShare(tries: readonly { isServed: boolean }[]): number {
  return tries.filter(({ isServed }) => isServed).length / tries.length;
}

describe("a VM that loses its links to all servers, which", () => {
  // Guards against callers who fail at a VM that has no other way to a server.
  it.each(Object.values(Cut))(
    "%s, serves its callers by way of other VMs, and by itself again",
    async (cut) => {
      await load(1000);
      const from = monotonicNow();
      await loseLinks(cut);
      await load(CUT_MS);
      const until = monotonicNow();
      await restoreLinks();
      await load(1500);
      for (const { path } of KINDS) {
        const tries = await listTries(path);
        expect(findRecoveryShortfall(tries, { from, until }, BOUND))
          .toBeUndefined();
        const during = tries.filter(({ at }) => at > from && at < until);
        expect(getShare(during.filter(({ isCut }) => !isCut)))
          .toBeGreaterThan(0.9);
        expect(getShare(tries.filter(({ at }) => at > until + 1000))).toBe(1);
      }
      for (const { id, path, response } of sent) {
        const runs = deployment.servers.flatMap((server) => server.runs)
          .filter(({ requestId }) => requestId === id).length;
        const res = await response;
        if (path === "/unsafe/x") expect(runs).toBeLessThanOrEqual(1);
        if (res?.status === 503) expect(runs).toBe(0);
      }
    },
    30_000,
  );
});

describe("prompts of a VM that loses its links to all servers", () => {
  // Guards against lost links that are taken for servers which end under these prompts.
  it(
    "are not blocked, at this VM or others, once the links are back",
    async () => {
      const others = setInterval(() => {
        for (let vm = 1; vm < VM_COUNT; vm++) void sendStream(vm, "other");
      }, 100);
      await sleep(500);
      const atCut = Array.from({ length: 20 }, () => sendStream(CUT_VM, "own"));
      await sleep(0.7 * EVENT_MS);
      await loseLinks(Cut.Reset);
      await sleep(1500);
      await restoreLinks();
      await Promise.all(atCut);
      await sleep(1000);
      const answers = await Promise.all(
        Array.from({ length: 6 }, (_, at) => sendStream(at % VM_COUNT, "own")),
      );
      clearInterval(others);
      expect(answers.map((res) => res?.status)).toEqual(Array(6).fill(200));
      // Also a verdict that a run has lifted since rests on ends that never were.
      expect(await deployment.read("bitternfall-services/crashes-lm"))
        .toBeUndefined();
    },
    20_000,
  );

  // Guards against sound servers that are ejected for all on one VM's word.
  it("leave the servers to the other VMs", async () => {
    const served: Promise<boolean>[] = [];
    const send = () => {
      for (let vm = 1; vm < VM_COUNT; vm++) {
        served.push(
          sendStream(vm, "other").then((res) => res?.isComplete === true),
        );
      }
      void sendStream(CUT_VM, "own");
    };
    const timer = setInterval(send, 50);
    await sleep(500);
    await loseLinks(Cut.Reset);
    await sleep(2000);
    clearInterval(timer);
    const results = await Promise.all(served);
    expect(results.filter(Boolean).length / results.length)
      .toBeGreaterThan(0.95);
  }, 20_000);
});
