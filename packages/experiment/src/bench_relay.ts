/**
 * Measures the cost of relaying output events and the latency that the router adds to the
 * first output.
 * @module
 */
import * as http from "node:http";
import { EngineClient } from "@bitternfall/engine";
import { sleep } from "@bitternfall/types";
import { callModel } from "./client.ts";
import { Deployment, type EngineSpec, type VmStatus } from "./deployment.ts";
import { getQuantile } from "./experiment_metrics.ts";
import {
  applyRecords,
  createAssignment,
  createModelService,
} from "./records.ts";
import type { ResultLine } from "./report_lines.ts";

const CALLER_KEY = "key-of-a-benchmark";
const STREAMS = 525;
const EVENT_INTERVAL_MS = 32;
const WARM_UP_MS = 3000;
const RELAY_WINDOW_MS = 10_000;
const MIN_EVENTS_PER_CORE_SECOND = 25_000;
const MAX_ADDED_FIRST_OUTPUT_MS = 2;
const REQUESTS_PER_SECOND = 35;
/** Requests sent through the router, and as many sent directly to the engines. */
const REQUESTS_PER_PATH = 400;

/** Measures the relay with 525 concurrent streams through one entry VM. */
export async function benchRelay(): Promise<ResultLine[]> {
  const deployment = await startDeployment({
    slots: 200,
    outputIntervalMs: EVENT_INTERVAL_MS,
    decodes: 3,
  });
  try {
    const vm = deployment.vms[0]!;
    const idle = await readStatus(deployment);
    const counter = { events: 0 };
    const stop = new AbortController();
    const streams: Promise<void>[] = [];
    for (let stream = 0; stream < STREAMS; stream++) {
      streams.push(
        countEvents({
          url: vm.callerUrl,
          counter,
          signal: stop.signal,
          number: stream,
        }),
      );
      await sleep(4);
    }
    await sleep(WARM_UP_MS);
    const before = await readStatus(deployment);
    const eventsBefore = counter.events;
    const startedAt = performance.now();
    await sleep(RELAY_WINDOW_MS);
    const seconds = (performance.now() - startedAt) / 1000;
    const events = counter.events - eventsBefore;
    const after = await readStatus(deployment);
    stop.abort();
    await Promise.all(streams);
    const cpuUsPerEvent = (after.cpuMs - before.cpuMs) * 1000 / events;
    const eventsPerCoreSecond = 1e6 / cpuUsPerEvent;
    const bytesPerRequest = (after.memoryBytes - idle.memoryBytes) / STREAMS;
    return [
      { name: "relay: streams", value: after.modelCalls },
      {
        name: "relay: events a second",
        value: Math.round(events / seconds),
        unit: "1/s",
      },
      {
        name: "relay: CPU an event",
        value: round(cpuUsPerEvent),
        unit: "µs",
        target: 40,
        ok: cpuUsPerEvent <= 40,
      },
      {
        name: "relay: events a second a core",
        value: Math.round(eventsPerCoreSecond),
        unit: "1/s",
        target: MIN_EVENTS_PER_CORE_SECOND,
        ok: eventsPerCoreSecond >= MIN_EVENTS_PER_CORE_SECOND,
      },
      {
        name: "memory: an entry VM without requests",
        value: round(idle.memoryBytes / 1e6),
        unit: "MB",
      },
      {
        name: "memory: a request in flight",
        value: round(bytesPerRequest / 1000),
        unit: "kB",
      },
    ];
  } finally {
    await deployment.stop();
  }
}

/** Measures the time to first output with and without the router, at 35 requests per second. */
export async function benchFirstOutput(): Promise<ResultLine[]> {
  const deployment = await startDeployment({
    slots: 200,
    outputIntervalMs: 5,
    decodes: 2,
  });
  try {
    const url = deployment.vms[0]!.callerUrl;
    const routedMs: number[] = [];
    const directMs: number[] = [];
    const engines = deployment.spec.engines.lm!.map(({ id }) =>
      new EngineClient(deployment.getAddress(id))
    );
    // The two paths alternate, so that both are measured under the same load of the machine.
    await sendAtRate((number) => {
      const prompt = createPrompt(number);
      return number % 2 === 0
        ? callModel({ url, key: CALLER_KEY, model: "m", prompt })
          .then((result) => void routedMs.push(result.firstOutputMs))
        : callEnginesDirectly(engines, { prompt, number })
          .then((ms) => void directMs.push(ms));
    });
    for (const engine of engines) await engine.close();
    // The first tenth of the samples is warm-up.
    const [routed, direct] = [routedMs, directMs].map((samplesMs) => {
      const sorted = samplesMs.slice(REQUESTS_PER_PATH / 10).sort((a, b) =>
        a - b
      );
      return {
        p50: getQuantile(sorted, 0.5),
        p95: getQuantile(sorted, 0.95),
      };
    });
    const addedP95Ms = routed!.p95 - direct!.p95;
    return [
      {
        name: "first output: p50 without the router",
        value: round(direct!.p50),
        unit: "ms",
      },
      {
        name: "first output: p95 without the router",
        value: round(direct!.p95),
        unit: "ms",
      },
      {
        name: "first output: added at p50",
        value: round(routed!.p50 - direct!.p50),
        unit: "ms",
      },
      {
        name: "first output: added at p95",
        value: round(addedP95Ms),
        unit: "ms",
        target: MAX_ADDED_FIRST_OUTPUT_MS,
        ok: addedP95Ms <= MAX_ADDED_FIRST_OUTPUT_MS,
      },
    ];
  } finally {
    await deployment.stop();
  }
}

async function startDeployment(
  options: { slots: number; outputIntervalMs: number; decodes: number },
): Promise<Deployment> {
  const { slots, outputIntervalMs, decodes } = options;
  const parameters = {
    slots,
    stepBaseMs: outputIntervalMs,
    stepPerRequestMs: 0,
    stepPerKiloTokenMs: 0,
    prefillBaseMs: 2,
  };
  const createEngine = (
    role: EngineSpec["role"],
    number: number,
  ): EngineSpec => ({
    id: `${role}-${number}`,
    role,
    availabilityZone: "a",
    parameters,
  });
  const deployment = await Deployment.start({
    zones: ["a"],
    daemons: 1,
    engines: {
      lm: [
        createEngine("prefill", 1),
        ...Array.from(
          { length: decodes },
          (_, index) => createEngine("decode", index + 1),
        ),
      ],
    },
    services: {},
    settings: {
      log: { level: "warn" },
      limits: { perWorkspaceInFlight: 1000 },
    },
    engineProcesses: 3,
  });
  await applyRecords(deployment, [
    createModelService(deployment, "lm", {
      targets: { firstOutputMs: 5000, betweenOutputsMs: 60 },
      limits: { decodeSlots: slots, perWorkspaceInFlight: 1000 },
    }),
    { kind: "RoutingRecord", schemaVersion: 1, name: "r", models: { m: "lm" } },
    createAssignment({
      office: "o",
      workspace: "w",
      routing: "r",
      key: CALLER_KEY,
    }),
  ]);
  return deployment;
}

async function readStatus(deployment: Deployment): Promise<VmStatus> {
  const status = await deployment.readStatus(deployment.vms[0]!);
  if (status === undefined) throw new Error("no status from the entry VM");
  return status;
}

/** Opens a long stream and counts its events without parsing them. */
function countEvents(
  options: {
    url: string;
    counter: { events: number };
    signal: AbortSignal;
    number: number;
  },
): Promise<void> {
  const { url, counter, signal, number } = options;
  return new Promise((resolve) => {
    const headers = {
      authorization: `Bearer ${CALLER_KEY}`,
      "content-type": "application/json",
    };
    const req = http.request(`${url}/v1/completions`, {
      method: "POST",
      headers,
      agent: false,
      signal,
    }, (res) => {
      res.on("data", (chunk: Uint8Array) => {
        // An event ends with two line feeds, which don't occur elsewhere in the stream.
        for (let index = 1; index < chunk.length; index++) {
          if (chunk[index] === 10 && chunk[index - 1] === 10) counter.events++;
        }
      });
      res.on("error", () => {});
      res.on("close", resolve);
    });
    req.on("error", () => resolve());
    req.end(
      JSON.stringify({
        model: "m",
        stream: true,
        max_tokens: 4000,
        prompt: `stream ${number} len=2000`,
      }),
    );
  });
}

function createPrompt(number: number): string {
  return `request ${number} len=20`;
}

/**
 * Sends requests at twice `REQUESTS_PER_SECOND`, which `send` divides between the two paths,
 * and waits for all responses.
 */
async function sendAtRate(
  send: (number: number) => Promise<void>,
): Promise<void> {
  const calls: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let number = 0; number < 2 * REQUESTS_PER_PATH; number++) {
    const dueAt = startedAt + number * 500 / REQUESTS_PER_SECOND;
    await sleep(dueAt - performance.now());
    calls.push(send(number));
  }
  await Promise.all(calls);
}

/** Calls the engines without the router and returns the time to first output. */
async function callEnginesDirectly(
  engines: readonly EngineClient[],
  options: { prompt: string; number: number },
): Promise<number> {
  const [prefill, ...decodes] = engines;
  const decode = decodes[options.number % decodes.length]!;
  const id = {
    requestId: `direct-${options.number}`,
    attempt: 1,
    owner: "benchmark",
  };
  const startedAt = performance.now();
  const { kv } = await prefill!.prefill(
    { ...id, prompt: options.prompt, outputTokens: 0, priority: 1 },
    { timeoutMs: 10_000 },
  );
  const body = {
    ...id,
    kv,
    source: prefill!.address,
    maxTokens: 20,
    fromOffset: 0,
    shape: "text" as const,
  };
  return await new Promise((resolve, reject) => {
    let firstEventMs = 0;
    decode.decode(body, {
      onStart: () => {},
      onEvents: () => firstEventMs ||= performance.now() - startedAt,
      onClose: () => resolve(firstEventMs),
      onError: reject,
    });
  });
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
