/**
 * Cost of one decision of the dispatcher against servers and queue length.
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

const DECISION_LIMIT_US = 100;
const CYCLES = 4000;
const SLOTS = 20;
const WORKSPACES = 50;

/** Measures acquire, progress and release at several sizes. */
export async function benchDecision(): Promise<ResultLine[]> {
  const lines: ResultLine[] = [];
  for (
    const [servers, queued] of [[10, 0], [10, 1000], [100, 0], [
      100,
      1000,
    ]] as const
  ) {
    const us = Math.round(await measure({ servers, queued }) * 10) / 10;
    const name = `decision: ${servers} servers, ${queued} queued`;
    lines.push({
      name,
      value: us,
      unit: "µs",
      target: DECISION_LIMIT_US,
      ok: us <= DECISION_LIMIT_US,
    });
  }
  return lines;
}

async function measure(
  size: { servers: number; queued: number },
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
  const granted: Grant[] = [];
  const ask = () => {
    const workspace = `w${Math.floor(random() * WORKSPACES)}`;
    const hashes = prompts[Math.floor(random() * prompts.length)]!;
    void dispatcher.acquire(
      createRequest({ number: ++count, workspace, hashes }),
    ).then((decision) => {
      if (decision.kind === "grant") granted.push(decision.grant);
    });
  };
  const slots = Math.ceil(size.servers * 0.6) * SLOTS;
  while (granted.length < slots && count < 10 * slots) {
    ask();
    now += 20;
    await Promise.resolve();
    advanceAll(dispatcher, granted);
  }
  for (let index = 0; index < size.queued; index++) ask();
  await Promise.resolve();
  const startedAt = performance.now();
  for (let cycle = 0; cycle < CYCLES; cycle++) {
    now += 5;
    const grant = granted.shift();
    if (grant !== undefined) {
      dispatcher.release(grant, { outputTokens: 60, intervalMs: 25 });
    }
    ask();
    await Promise.resolve();
    const fresh = granted.at(-1);
    if (fresh !== undefined) start(dispatcher, fresh);
  }
  return (performance.now() - startedAt) * 1000 / CYCLES;
}

function advanceAll(dispatcher: Dispatcher, granted: readonly Grant[]): void {
  const fresh = granted.at(-1);
  if (fresh !== undefined) start(dispatcher, fresh);
}

function start(dispatcher: Dispatcher, grant: Grant): void {
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
    decodeSlots: SLOTS,
    perWorkspaceInFlight: 1e6,
    weights: { goodput: 1, wastedPrefill: 1 },
  };
}

function createRequest(
  options: { number: number; workspace: string; hashes: readonly number[] },
): AcquireRequest {
  return {
    requestId: `r${options.number}`,
    attempt: 1,
    workspace: options.workspace,
    owner: "vm",
    availabilityZone: "z1",
    priority: Priority.Normal,
    promptTokens: 600,
    outputTokens: 0,
    maxTokens: 200,
    deadline: 1e12,
    hashes: options.hashes,
    avoid: [],
  };
}
