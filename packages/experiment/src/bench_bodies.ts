/**
 * Measures the memory of a gateway process while many callers post large bodies at once,
 * and the latency of small requests beside them.
 * @module
 */
import { Buffer } from "node:buffer";
import { Worker } from "node:worker_threads";
import { sleep } from "@bitternfall/types";
import type { Burst } from "./burst_worker.ts";
import { getQuantile } from "./experiment_metrics.ts";
import { GatewayProcess } from "./gateway_process.ts";
import { type HeavyAnswer, postAndRead } from "./heavy_callers.ts";
import type { ResultLine } from "./report_lines.ts";

const BYTES_PER_MB = 1e6;
const MEMORY_MB = [200, 350];
/** Part of the memory that the process may take. */
const MAX_SHARE = 0.9;
const BURSTS = [
  { callers: 300, bodyMb: 0.3 },
  { callers: 600, bodyMb: 1 },
  { callers: 80, bodyMb: 4 },
  { callers: 200, bodyMb: 4 },
  { callers: 900, bodyMb: 4 },
];
const WORK_MS = 50;
const SMALL_BODY = Buffer.from("small");
const SMALL_INTERVAL_MS = 10;
const CALM_MS = 2000;
const MAX_SLOWDOWN = 2;

/** Measures each burst on a gateway of its own. */
export async function benchBodies(): Promise<ResultLine[]> {
  const lines: ResultLine[] = [];
  for (const memoryMb of MEMORY_MB) {
    for (const burst of BURSTS) {
      lines.push(...await measureBurst({ memoryMb, ...burst }));
    }
  }
  return lines;
}

async function measureBurst(
  options: { memoryMb: number; callers: number; bodyMb: number },
): Promise<ResultLine[]> {
  const { memoryMb, callers, bodyMb } = options;
  const gateway = new GatewayProcess({ memoryMb, workMs: WORK_MS });
  const name = `bodies: ${memoryMb} MB, ${callers} x ${bodyMb} MB`;
  try {
    await gateway.start();
    const port = gateway.callerPort;
    const calmMs = await measureSmall(port, sleep(CALM_MS));
    const answers = sendBurst({
      port,
      callers,
      bodyBytes: bodyMb * BYTES_PER_MB,
    });
    const besideMs = await measureSmall(port, answers);
    const unread = (await answers).filter(({ isWhole }) => !isWhole).length;
    const served = (await answers).filter(({ status }) => status === 200);
    const peakMb = Math.round(gateway.peakBytes / BYTES_PER_MB);
    const maxPeakMb = MAX_SHARE * memoryMb;
    const maxBesideMs = MAX_SLOWDOWN * calmMs;
    return [
      {
        name: `${name}: peak`,
        value: peakMb,
        unit: "MB",
        target: maxPeakMb,
        ok: peakMb <= maxPeakMb,
      },
      { name: `${name}: served`, value: served.length },
      {
        name: `${name}: without a whole answer`,
        value: unread,
        target: 0,
        ok: unread === 0,
      },
      {
        name: `${name}: small requests, p99`,
        value: Math.round(besideMs),
        unit: "ms",
        target: Math.round(maxBesideMs),
        ok: besideMs <= maxBesideMs,
      },
    ];
  } finally {
    await gateway.stop();
  }
}

/** Sends a burst from a thread of its own, so that small requests are not held up there. */
function sendBurst(burst: Burst): Promise<HeavyAnswer[]> {
  return new Promise((resolve, reject) => {
    const script = new URL("./burst_worker.js", import.meta.url);
    const worker = new Worker(script, { workerData: burst });
    worker.once("message", resolve);
    worker.once("error", reject);
  });
}

/** Sends small requests at a steady rate until `until` resolves; returns their p99. */
async function measureSmall(
  port: number,
  until: Promise<unknown>,
): Promise<number> {
  let isOver = false;
  void until.finally(() => isOver = true);
  const answers: Promise<HeavyAnswer>[] = [];
  while (!isOver) {
    const id = `small-${answers.length}`;
    answers.push(postAndRead({ port, id, body: SMALL_BODY }));
    await sleep(SMALL_INTERVAL_MS);
  }
  const sortedMs = (await Promise.all(answers)).map(({ ms }) => ms)
    .sort((a, b) => a - b);
  return getQuantile(sortedMs, 0.99);
}
