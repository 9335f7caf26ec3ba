/**
 * Measures the time of one decision of the dispatcher by number of servers and queue length.
 * @module
 */
import {
  type AcquireRequest,
  Dispatcher,
  type Grant,
  hashPrefixes,
  type ServiceConfig,
} from "@bitternfall/dispatch";
import { createRandom } from "@bitternfall/stand-ins";
import { Priority, ServerRole } from "@bitternfall/types";
import type { ResultLine } from "./report_lines.ts";

const MAX_DECISION_US = 100;
const CYCLES = 4000;
const DECODE_SLOTS = 20;
const WORKSPACES = 50;

/** Measures a release, an acquire and a started report at several sizes. */
export async function benchDecision(): Promise<ResultLine[]> {
  const lines: ResultLine[] = [];
  for (
    const [servers, queued] of [[10, 0], [10, 1000], [100, 0], [
      100,
      1000,
    ]] as const
  ) {
    for (const ranks of [1, 2]) {
      const size = { servers, queued, ranks };
      const cycleUs = Math.round(await measureCycleUs(size) * 10) / 10;
      const name = `decision: ${servers} servers, ${queued} queued` +
        (ranks === 1 ? "" : `, ${ranks} ranks and ${WORKSPACES} accounts`);
      lines.push({
        name,
        value: cycleUs,
        unit: "µs",
        target: MAX_DECISION_US,
        ok: cycleUs <= MAX_DECISION_US,
      });
    }
  }
  return lines;
}

async function measureCycleUs(
  size: { servers: number; queued: number; ranks: number },
): Promise<number> {
  let now = 0;
  const dispatcher = new Dispatcher({
    service: "lm",
    config: createConfig(size.servers),
    now: () => now,
    random: createRandom(1),
    schedule: () => () => {},
  });
  const random = createRandom(2);
  const prompts = Array.from(
    { length: 40 },
    (_, index) => hashPrefixes(`prompt ${index} `.repeat(600)),
  );
  let count = 0;
  const grants: Grant[] = [];
  const requestServers = () => {
    const workspace = `w${Math.floor(random() * WORKSPACES)}`;
    const hashes = prompts[Math.floor(random() * prompts.length)]!;
    void dispatcher.acquire(
      createRequest({ number: ++count, workspace, hashes, ranks: size.ranks }),
    ).then((decision) => {
      if (decision.kind === "grant") grants.push(decision.grant);
    });
  };
  // Fills the decode slots, so that the requests after that are queued.
  const totalSlots = Math.ceil(size.servers * 0.6) * DECODE_SLOTS;
  while (grants.length < totalSlots && count < 10 * totalSlots) {
    requestServers();
    now += 20;
    await Promise.resolve();
    reportNewestStarted(dispatcher, grants);
  }
  for (let index = 0; index < size.queued; index++) requestServers();
  await Promise.resolve();
  const startedAt = performance.now();
  for (let cycle = 0; cycle < CYCLES; cycle++) {
    now += 5;
    const grant = grants.shift();
    if (grant !== undefined) {
      dispatcher.release(grant, { outputTokens: 60, intervalMs: 25 });
    }
    requestServers();
    await Promise.resolve();
    const newest = grants.at(-1);
    if (newest !== undefined) reportStarted(dispatcher, newest);
  }
  return (performance.now() - startedAt) * 1000 / CYCLES;
}

function reportNewestStarted(
  dispatcher: Dispatcher,
  granted: readonly Grant[],
): void {
  const newest = granted.at(-1);
  if (newest !== undefined) reportStarted(dispatcher, newest);
}

function reportStarted(dispatcher: Dispatcher, grant: Grant): void {
  dispatcher.started(grant, { cachedTokens: 0, transferMs: 40 });
}

function createConfig(servers: number): ServiceConfig {
  const prefills = Math.floor(servers * 0.4);
  return {
    servers: Array.from({ length: servers }, (_, index) => ({
      id: `s${index}`,
      role: index < prefills ? ServerRole.Prefill : ServerRole.Decode,
      availabilityZone: `z${index % 3}`,
    })),
    firstOutputMs: 1e9,
    betweenOutputsMs: 32,
    decodeSlots: DECODE_SLOTS,
    perWorkspaceInFlight: 1e6,
    weights: { goodput: 1, wastedPrefill: 1 },
  };
}

function createRequest(
  options: {
    number: number;
    workspace: string;
    hashes: readonly number[];
    ranks: number;
  },
): AcquireRequest {
  const { number, workspace, hashes, ranks } = options;
  return {
    requestId: `r${number}`,
    attempt: 1,
    workspace: ranks === 1 ? workspace : "chat",
    ...(ranks === 1 ? {} : { rank: number % ranks, account: workspace }),
    owner: "vm",
    availabilityZone: "z1",
    priority: Priority.Normal,
    promptTokens: 600,
    outputTokens: 0,
    maxTokens: 200,
    deadline: 1e12,
    hashes,
    avoid: [],
  };
}
