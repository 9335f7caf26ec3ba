/**
 * Measures the network traffic and CPU time of a VM's control messages: heartbeats by size
 * and number of cells, and dispatch messages per request.
 * @module
 */
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import {
  decodeHashes,
  Dispatcher,
  encodeHashes,
  hashPrefixes,
  hashText,
  type ServiceConfig,
} from "@bitternfall/dispatch";
import {
  type Handlers,
  PeerLink,
  PeerServer,
  type Traffic,
} from "@bitternfall/peer";
import {
  MemberState,
  monotonicNow,
  ServerRole,
  sleep,
} from "@bitternfall/types";
import { Deployment } from "./deployment.ts";
import type { ResultLine } from "./report_lines.ts";

const MAX_BYTES_PER_SECOND = 21_000;
const MAX_CPU_PERCENT = 1.6;
const MAX_MEMORY_MB = 128;
const REQUESTS_PER_SECOND = 35;
const LARGEST_CELL_VMS = 16;
const IDLE_WINDOW_MS = 10_000;
const WARM_UP_MS = 12_000;
/** Measured requests; each sends acquire, started and release. */
const CYCLES = 4000;
const CONCURRENCY = 20;
const PEER_KEY = "a-key-of-a-benchmark";

interface IdleCost {
  readonly bytesPerSecond: number;
  readonly cpuPercent: number;
  readonly memoryMb: number;
}

/** Measures idle cells of several sizes and the dispatch messages between two VMs. */
export async function benchControl(): Promise<ResultLine[]> {
  const lines: ResultLine[] = [];
  const bySize = new Map<number, IdleCost>();
  for (const size of [2, 8, LARGEST_CELL_VMS]) {
    const cost = await measureIdleCost({ cells: 1, vmsPerCell: size });
    bySize.set(size, cost);
    lines.push(...formatIdleCost(`control: idle, cell of ${size}`, cost));
  }
  for (const cells of [1, 2, 4]) {
    lines.push(
      ...formatIdleCost(
        `control: idle, ${cells} cells of 4`,
        await measureIdleCost({ cells, vmsPerCell: 4 }),
      ),
    );
  }
  const { bytes, cpuUs } = await measureDispatchCost();
  lines.push({
    name: "control: bytes of a request's dispatching, both ways",
    value: Math.round(bytes),
    unit: "B",
  });
  lines.push({
    name: "control: CPU of a request's dispatching, both sides",
    value: Math.round(cpuUs),
    unit: "µs",
  });
  const idle = bySize.get(LARGEST_CELL_VMS)!;
  // At this rate per VM, each VM is on average the entry VM of one request and the
  // dispatcher of another. `bytes` is the traffic of one of these roles; `cpuUs` covers both,
  // which run in this process.
  const bytesPerSecond = idle.bytesPerSecond + 2 * bytes * REQUESTS_PER_SECOND;
  const cpuPercent = idle.cpuPercent + cpuUs * REQUESTS_PER_SECOND / 1e4;
  lines.push(
    {
      name:
        `control: bytes a second a node at ${REQUESTS_PER_SECOND} requests/s, cell of ${LARGEST_CELL_VMS}`,
      value: Math.round(bytesPerSecond),
      unit: "B/s",
      target: MAX_BYTES_PER_SECOND,
      ok: bytesPerSecond <= MAX_BYTES_PER_SECOND,
    },
    {
      name:
        `control: CPU a node at ${REQUESTS_PER_SECOND} requests/s, cell of ${LARGEST_CELL_VMS}`,
      value: Math.round(cpuPercent * 100) / 100,
      unit: "% of a core",
      target: MAX_CPU_PERCENT,
      ok: cpuPercent <= MAX_CPU_PERCENT,
    },
    {
      name: `memory: an idle node, cell of ${LARGEST_CELL_VMS}`,
      value: Math.round(idle.memoryMb),
      unit: "MB",
      target: MAX_MEMORY_MB,
      ok: idle.memoryMb <= MAX_MEMORY_MB,
    },
  );
  return lines;
}

function formatIdleCost(name: string, cost: IdleCost): ResultLine[] {
  return [
    {
      name: `${name}, bytes a second a node`,
      value: Math.round(cost.bytesPerSecond),
      unit: "B/s",
    },
    {
      name: `${name}, CPU a node`,
      value: Math.round(cost.cpuPercent * 100) / 100,
      unit: "% of a core",
    },
  ];
}

/** Returns the mean cost per VM of idle cells. */
async function measureIdleCost(
  options: { cells: number; vmsPerCell: number },
): Promise<IdleCost> {
  const { cells, vmsPerCell } = options;
  const daemons = cells * vmsPerCell;
  const deployment = await Deployment.start({
    zones: ["a", "b", "c"],
    daemons,
    engines: {},
    services: {},
    cells: Array.from(
      { length: daemons },
      (_, index) => `cell-${Math.floor(index / vmsPerCell) + 1}`,
    ),
    settings: {
      log: { level: "warn" },
      steward: { leaseMs: 6000, longestOrderMs: 1500 },
    },
  });
  try {
    await sleep(WARM_UP_MS);
    const before = await readStatuses(deployment);
    const startedAt = performance.now();
    await sleep(IDLE_WINDOW_MS);
    const after = await readStatuses(deployment);
    const seconds = (performance.now() - startedAt) / 1000;
    const bytes = after.map((status, index) =>
      status.traffic.sent + status.traffic.received -
      before[index]!.traffic.sent - before[index]!.traffic.received
    );
    const cpuMs = after.map((status, index) =>
      status.cpuMs - before[index]!.cpuMs
    );
    return {
      bytesPerSecond: mean(bytes) / seconds,
      cpuPercent: mean(cpuMs) / 10 / seconds,
      memoryMb: mean(after.map((status) => status.memoryBytes)) / 1e6,
    };
  } finally {
    await deployment.stop();
  }
}

async function readStatuses(deployment: Deployment) {
  return await Promise.all(deployment.vms.map(async (vm) => {
    const status = await deployment.readStatus(vm);
    if (status === undefined) throw new Error(`no status from ${vm.id}`);
    return status;
  }));
}

/** Measures the messages of one request between an entry VM and its dispatcher. */
async function measureDispatchCost(): Promise<
  { bytes: number; cpuUs: number }
> {
  const dispatcher = new Dispatcher({
    service: "planner-lm",
    config: createConfig(),
  });
  const traffic: Traffic = { sent: 0, received: 0, messages: 0 };
  const server = http.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const peers = new PeerServer({
    server,
    key: PEER_KEY,
    handlers: createHandlers(dispatcher),
    traffic,
  });
  const link = new PeerLink({
    vmId: "entry-1",
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    key: PEER_KEY,
    heartbeatMs: 60_000,
    heartbeatTimeoutMs: 1000,
    getHeartbeat: () => ["entry-2", 1, MemberState.Ready, 0],
    traffic: { sent: 0, received: 0, messages: 0 },
    listener: {
      onHeartbeat: () => {},
      onSuspect: () => {},
      onUnreachable: () => {},
    },
  });
  void link.run();
  await sleep(300);
  await runDispatchCycles(link, { count: CYCLES / 4, from: 0 });
  const before = { ...traffic };
  const cpuBefore = process.cpuUsage();
  await runDispatchCycles(link, { count: CYCLES, from: CYCLES });
  const cpuUsed = process.cpuUsage(cpuBefore);
  const bytes = traffic.sent + traffic.received - before.sent - before.received;
  link.close();
  peers.close();
  server.close();
  return {
    bytes: bytes / CYCLES,
    cpuUs: (cpuUsed.user + cpuUsed.system) / CYCLES,
  };
}

async function runDispatchCycles(
  link: PeerLink,
  options: { count: number; from: number },
): Promise<void> {
  const hashes = encodeHashes(
    hashPrefixes("a prompt of some length ".repeat(120)),
  );
  const parts = encodeHashes(["system", "office", "case"].map(hashText));
  let nextNumber = options.from;
  const end = options.from + options.count;
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (nextNumber < end) {
      const requestId = String(nextNumber++).padStart(16, "r");
      const result = await link.call("acquire", [
        "planner-lm",
        requestId,
        1,
        "workspace-17",
        "entry-2",
        1,
        720,
        0,
        512,
        730,
        hashes,
        [],
        0,
        0,
        0,
        "",
        0,
        parts,
        null,
        null,
      ]);
      if (result[0] !== "g") throw new Error(`acquire refused: ${result[1]}`);
      link.notify("started", ["planner-lm", requestId, 1, 512, 61]);
      link.notify("release", [
        "planner-lm",
        requestId,
        1,
        64,
        25.3,
        "",
        "",
      ]);
    }
  }));
}

function createHandlers(dispatcher: Dispatcher): Handlers {
  const handlers: Partial<Handlers> = {
    beat: () => ["entry-1", 1, MemberState.Ready, 0],
    acquire: async (params) => {
      const [, requestId, attempt, workspace, owner, priority, ...rest] =
        params;
      const [
        promptTokens,
        outputTokens,
        maxTokens,
        deadlineInMs,
        hashes,
        avoid,
      ] = rest;
      const decision = await dispatcher.acquire({
        requestId,
        attempt,
        workspace,
        owner,
        availabilityZone: "sofia-b",
        priority,
        promptTokens,
        outputTokens,
        maxTokens,
        // The message states milliseconds; each request gets 100 times that.
        deadline: monotonicNow() + deadlineInMs * 100,
        hashes: decodeHashes(hashes),
        avoid,
      });
      if (decision.kind === "refusal") {
        return ["r", decision.reason, decision.retryAfterMs, ""];
      }
      return ["g", decision.grant.prefill, decision.grant.decode, "", "", null];
    },
    started: ([, requestId, attempt, cachedTokens, transferMs]) => {
      dispatcher.started({ requestId, attempt }, { cachedTokens, transferMs });
      return null;
    },
    release: ([, requestId, attempt, outputTokens, intervalMs]) => {
      dispatcher.release({ requestId, attempt }, { outputTokens, intervalMs });
      return null;
    },
  };
  return handlers as Handlers;
}

function createConfig(): ServiceConfig {
  return {
    servers: Array.from({ length: 100 }, (_, index) => ({
      id: `server-${index}`,
      role: index < 40 ? ServerRole.Prefill : ServerRole.Decode,
      availabilityZone: `sofia-${"abc"[index % 3]}`,
    })),
    firstOutputMs: 730,
    betweenOutputsMs: 32,
    decodeSlots: 20,
    perWorkspaceInFlight: 1e6,
    weights: { goodput: 1, wastedPrefill: 1 },
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}
