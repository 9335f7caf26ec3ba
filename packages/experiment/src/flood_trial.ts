/**
 * Measures a gateway process under a flood: its memory, and how the callers of its sound
 * services are served beside it.
 * @module
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import process from "node:process";
import { Worker } from "node:worker_threads";
import { StagedServer } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { getQuantile } from "./experiment_metrics.ts";
import {
  FAULTY_SERVICE,
  FAULTY_TIMEOUT_MS,
  type FloodCase,
  FloodPeer,
  type FloodReport,
  type FloodWorkerData,
  StoreCall,
} from "./flood_case.ts";
import {
  GatewayProcess,
  type ProcessService,
  readWaitedMs,
} from "./gateway_process.ts";
import { type HeavyAnswer, postAndRead } from "./heavy_callers.ts";
import { findScript } from "./process_group.ts";

/** What a trial found. */
export interface FloodResult {
  readonly peakMb: number;
  readonly hasEnded: boolean;
  /**
   * Of the sound services' callers; without the time in which the gateway, or this process
   * with the callers and sound servers, was ready to run and had no CPU, whichever is longer.
   */
  readonly p99Ms: number;
  /** Of as many callers at a gateway without a flood, at the same time. */
  readonly calmP99Ms: number;
  readonly answered: number;
  readonly unanswered: number;
  readonly report: FloodReport;
  /** What breaks a target; empty if nothing does. */
  readonly faults: readonly string[];
}

const MEMORY_MB = 200;
const BYTES_PER_MB = 1e6;
/** Part of the memory that the process may take. */
const MAX_MEMORY_SHARE = 0.9;
const MAX_SLOWDOWN = 2;
const MIN_BOUND_MS = 100;
const WORK_MS = 50;
const WARM_UP_MS = 500;
const MIN_FLOOD_MS = 1000;
const MAX_FLOOD_MS = FAULTY_TIMEOUT_MS + 2000;
const FAILURE_PAUSE_MS = 10;
const MEMORY_POLL_MS = 20;
const PLAIN_CALLERS = 6;
const MODEL_CALLERS = 2;
const MODEL = "lm";
const MODEL_TIMEOUT_MS = 10_000;
const SMALL_BODY = Buffer.from("small");

/** Runs one case on a gateway of its own, beside another one without a flood. */
export async function runFloodTrial(
  floodCase: FloodCase,
): Promise<FloodResult> {
  const trial = new FloodTrial(floodCase);
  try {
    return await trial.run();
  } finally {
    await trial.close();
  }
}

class FloodTrial {
  readonly #floodCase: FloodCase;
  readonly #servers: StagedServer[] = [];
  readonly #gateways: GatewayProcess[] = [];
  #worker: Worker | undefined;
  #frontPort = 0;
  #calls = 0;

  constructor(floodCase: FloodCase) {
    this.#floodCase = floodCase;
  }

  async run(): Promise<FloodResult> {
    const [gateway, calmGateway] = await this.#start();
    const callBoth = (until: Promise<unknown>) =>
      Promise.all([
        this.#callOthers(gateway, until),
        this.#callOthers(calmGateway, until),
      ]);
    await callBoth(sleep(WARM_UP_MS));
    const worker = this.#worker!;
    const flooded = once(worker, "message");
    worker.postMessage(gateway.ports);
    if (this.#floodsWrites()) await this.#changeVersion(gateway);
    const ended = Promise.race([flooded, sleep(MAX_FLOOD_MS)]);
    const [beside, calm] = await callBoth(
      Promise.all([ended, sleep(MIN_FLOOD_MS)]),
    );
    const [report] = await flooded as [FloodReport];
    const result = {
      ...beside,
      peakMb: Math.round(beside.peakBytes / BYTES_PER_MB),
      hasEnded: gateway.hasEnded,
      calmP99Ms: calm.p99Ms,
      report,
    };
    return { ...result, faults: [...findFaults(result)] };
  }

  async close(): Promise<void> {
    await this.#worker?.terminate();
    for (const gateway of this.#gateways) await gateway.stop();
    for (const server of this.#servers) await server.close();
  }

  /** Starts the gateway that is flooded, and the one that is not. */
  async #start(): Promise<[GatewayProcess, GatewayProcess]> {
    const { peer } = this.#floodCase;
    const isServer = peer !== FloodPeer.ObjectApi && peer !== FloodPeer.Caller;
    const sound: ProcessService = {
      name: MODEL,
      timeoutMs: MODEL_TIMEOUT_MS,
      servers: [
        { role: "prefill", port: await this.#startServer("prefill") },
        { role: "decode", port: await this.#startServer("decode") },
      ],
    };
    const faulty = isServer ? [await this.#startFaultyService(peer)] : [];
    const options = { memoryMb: MEMORY_MB, workMs: WORK_MS };
    const calmGateway = new GatewayProcess({ ...options, services: [sound] });
    const gateway = new GatewayProcess({
      ...options,
      services: [sound, ...faulty],
      ...(!isServer && {
        coverObjectApi: async (address) => {
          await this.#startWorker(Number(new URL(address).port));
          return `http://127.0.0.1:${this.#frontPort}`;
        },
      }),
    });
    this.#gateways.push(gateway, calmGateway);
    await Promise.all([gateway.start(), calmGateway.start()]);
    return [gateway, calmGateway];
  }

  async #startFaultyService(
    peer: FloodPeer.Plain | FloodPeer.Decode | FloodPeer.Prefill,
  ): Promise<ProcessService> {
    const options = { name: FAULTY_SERVICE, timeoutMs: FAULTY_TIMEOUT_MS };
    const role = peer === FloodPeer.Prefill ? "prefill" : "decode";
    await this.#startWorker(await this.#startServer(role));
    const port = this.#frontPort;
    if (peer === FloodPeer.Plain) return { ...options, servers: [{ port }] };
    const soundRole = peer === FloodPeer.Prefill ? "decode" : "prefill";
    const soundPort = await this.#startServer(soundRole);
    const servers = [{ port, role }, {
      port: soundPort,
      role: soundRole,
    }] as const;
    return { ...options, servers };
  }

  async #startServer(role: "prefill" | "decode"): Promise<number> {
    const server = new StagedServer({ id: `sound-${this.#servers.length}` });
    server.role = role;
    this.#servers.push(server);
    await server.listen();
    return server.port;
  }

  async #startWorker(soundPort: number): Promise<void> {
    const script = findScript("@bitternfall/experiment", "flood_worker.js");
    const data: FloodWorkerData = { floodCase: this.#floodCase, soundPort };
    this.#worker = new Worker(script, {
      workerData: data,
      // Without the conditions of a test, since it runs the build.
      execArgv: [],
    });
    [this.#frontPort] = await once(this.#worker, "message") as [number];
  }

  #floodsWrites(): boolean {
    const floodCase = this.#floodCase;
    return floodCase.peer === FloodPeer.ObjectApi &&
      floodCase.call === StoreCall.Write;
  }

  /** Changes the version of the model's servers, which the gateway then writes down. */
  async #changeVersion({ platform }: GatewayProcess): Promise<void> {
    for (const key of platform.keys()) {
      if (!key.startsWith(`servers/${MODEL}-`)) continue;
      const entry = { ...platform.peek(key) as object, softwareVersion: "v2" };
      const url = `${platform.address}/objects/${encodeURIComponent(key)}`;
      const body = JSON.stringify(entry);
      const res = await fetch(url, { method: "PUT", body });
      await res.arrayBuffer();
    }
  }

  /** Has the callers of the sound services call again and again until `until` resolves. */
  async #callOthers(
    gateway: GatewayProcess,
    until: Promise<unknown>,
  ): Promise<
    { p99Ms: number; answered: number; unanswered: number; peakBytes: number }
  > {
    let isOver = false;
    const over = until.finally(() => isOver = true);
    const answers: HeavyAnswer[] = [];
    const callMs: number[] = [];
    let peakBytes = 0;
    const callAgain = async (path: string, headerLines: string) => {
      while (!isOver) {
        const waitedMs = gateway.waitedMs;
        const ownWaitedMs = readWaitedMs(process.pid);
        const answer = await postAndRead({
          port: gateway.callerPort,
          id: `other-${++this.#calls}`,
          path,
          headerLines,
          body: SMALL_BODY,
        });
        answers.push(answer);
        // Both may have waited at the same time.
        const starvedMs = Math.max(
          gateway.waitedMs - waitedMs,
          readWaitedMs(process.pid) - ownWaitedMs,
        );
        callMs.push(answer.ms - Math.max(0, starvedMs));
        if (!isServed(answer)) await sleep(FAILURE_PAUSE_MS);
      }
    };
    const pollMemory = async () => {
      for (; !isOver && !gateway.hasEnded; await sleep(MEMORY_POLL_MS)) {
        peakBytes = Math.max(peakBytes, gateway.peakBytes);
      }
    };
    const modelLines = "bitternfall-tokens: 1000,100,50\r\n";
    await Promise.all([
      over,
      pollMemory(),
      ...Array.from({ length: PLAIN_CALLERS }, () => callAgain("/post/x", "")),
      ...Array.from(
        { length: MODEL_CALLERS },
        () => callAgain(`/${MODEL}/x`, modelLines),
      ),
    ]);
    callMs.sort((a, b) => a - b);
    const answered = answers.filter(isServed).length;
    return {
      p99Ms: getQuantile(callMs, 0.99),
      answered,
      unanswered: answers.length - answered,
      peakBytes,
    };
  }
}

function isServed({ status, isWhole }: HeavyAnswer): boolean {
  return status === 200 && isWhole;
}

function* findFaults(
  { peakMb, hasEnded, calmP99Ms, p99Ms, unanswered, report }: Omit<
    FloodResult,
    "faults"
  >,
): Iterable<string> {
  if (hasEnded) yield "the process has ended";
  if (peakMb > MAX_MEMORY_SHARE * MEMORY_MB) yield `${peakMb} MB`;
  if (unanswered > 0) yield `${unanswered} others not served`;
  if (p99Ms > Math.max(MAX_SLOWDOWN * calmP99Ms, MIN_BOUND_MS)) {
    yield `others' p99 ${Math.round(p99Ms)} ms`;
  }
  const faults = new Set(report.calls.map(({ fault }) => fault));
  for (const fault of faults) {
    if (fault !== undefined) yield `flooded calls: ${fault}`;
  }
}
