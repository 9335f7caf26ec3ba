/**
 * Callers with large bodies, and callers that read large answers slowly, each on a connection
 * of its own.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { createLargeBody, createRandom } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import type { SoakClients } from "./soak_clients.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { PlannedFault } from "./soak_plan.ts";
import type { SoakVm } from "./soak_processes.ts";

/** A large body, and how fast its caller sends it. */
export interface LargeBody {
  readonly bytes: number;
  readonly sendMs: number;
}

/** A large answer, and how fast its caller reads it. */
export interface SlowReading {
  readonly bytes: number;
  readonly readMs: number;
  /** A time without reading, from `pauseAtMs` on. */
  readonly pauseAtMs: number;
  readonly pauseMs: number;
}

const MIN_CALLERS = 8;
const MAX_LARGE_CALLERS = 64;
const MIN_BODY_BYTES = 300_000;
/** The largest body that a configuration allows by default. */
const MAX_BODY_BYTES = 3_999_000;
const SLOW_SENDER_SHARE = 0.5;
const MAX_SEND_MS = 1500;
const MAX_SLOW_READERS = 24;
const MIN_ANSWER_BYTES = 1_000_000;
const MAX_ANSWER_BYTES = 12_000_000;
/** With the pause, less than the timeout of a route for large answers. */
const MAX_READ_MS = 3000;
const MAX_READ_PAUSE_MS = 1500;
const RESTART_SHARE = 0.5;
const MEAN_PAUSE_MS = 100;
const TICK_MS = 20;
const PLAIN_ROUTES = ["safe", "unsafe"] as const;

/** Loads single gateways with large bodies or answers. */
export class BodyLoad {
  readonly #fleet: SoakFleet;
  readonly #clients: SoakClients;

  constructor(fleet: SoakFleet, clients: SoakClients) {
    this.#fleet = fleet;
    this.#clients = clients;
  }

  /** Has callers post large bodies at once, again and again. */
  async post(vm: SoakVm, fault: PlannedFault): Promise<void> {
    await this.#repeat(vm, fault, {
      maxCallers: MAX_LARGE_CALLERS,
      drawOptions: (random) => ({
        largeBody: {
          bytes: drawBetween(random, MIN_BODY_BYTES, MAX_BODY_BYTES),
          sendMs: random() < SLOW_SENDER_SHARE ? random() * MAX_SEND_MS : 0,
        },
      }),
    });
  }

  /** Has callers read large answers slowly; half of the time the gateway is restarted. */
  async read(vm: SoakVm, fault: PlannedFault): Promise<void> {
    const isRestarted = fault.pick * 1000 % 1 < RESTART_SHARE;
    await Promise.all([
      this.#repeat(vm, fault, {
        maxCallers: MAX_SLOW_READERS,
        drawOptions: (random) => ({
          slowReading: {
            bytes: drawBetween(random, MIN_ANSWER_BYTES, MAX_ANSWER_BYTES),
            readMs: random() * MAX_READ_MS,
            pauseAtMs: random() * MAX_READ_MS / 2,
            pauseMs: random() < 0.5 ? random() * MAX_READ_PAUSE_MS : 0,
          },
        }),
      }),
      isRestarted && sleep(fault.durationMs / 2)
        .then(() => this.#fleet.restart(vm)),
    ]);
  }

  async #repeat(
    vm: SoakVm,
    { durationMs, pick }: PlannedFault,
    { maxCallers, drawOptions }: {
      maxCallers: number;
      drawOptions: (
        random: () => number,
      ) => { largeBody: LargeBody } | { slowReading: SlowReading };
    },
  ): Promise<void> {
    const random = createRandom(Math.floor(pick * 2 ** 30));
    const load = { vm: vm.id, from: performance.now(), until: Infinity };
    this.#fleet.bodyLoads.push(load);
    const endAt = load.from + durationMs;
    const runCaller = async () => {
      while (performance.now() < endAt) {
        const route = PLAIN_ROUTES[Math.floor(random() * 2)]!;
        const options = drawOptions(random);
        if (vm.isReady) await this.#clients.send(vm, { route, ...options });
        await sleep(-Math.log(1 - random()) * MEAN_PAUSE_MS);
      }
    };
    const count = drawBetween(random, MIN_CALLERS, maxCallers);
    const callers = Promise.all(Array.from({ length: count }, runCaller));
    await sleep(durationMs);
    load.until = performance.now();
    await callers;
  }
}

/** Sends a body piece by piece, and has the answer read only after it. */
export async function sendBody(
  req: http.ClientRequest,
  text: string,
  { bytes, sendMs }: LargeBody,
): Promise<void> {
  const [firstLine, filling] = createLargeBody(text, bytes);
  req.once("socket", (socket) => {
    socket.pause();
    req.once("finish", () => socket.resume());
  });
  req.write(firstLine);
  const steps = Math.max(1, Math.round(sendMs / TICK_MS));
  const stepBytes = Math.ceil(filling.length / steps);
  for (let from = 0; from < filling.length; from += stepBytes) {
    if (from > 0) await sleep(TICK_MS);
    if (req.destroyed) return;
    req.write(filling.subarray(from, from + stepBytes));
  }
  req.end();
}

/** Reads an answer at its pace, until it ends. */
export async function readSlowly(
  res: http.IncomingMessage,
  reading: SlowReading,
  onData: (chunk: Buffer) => void,
): Promise<void> {
  const { bytes, readMs, pauseAtMs, pauseMs } = reading;
  const startedAt = performance.now();
  const steps = Math.max(1, readMs / TICK_MS);
  const stepBytes = Math.ceil(bytes / steps);
  while (!res.destroyed && !res.readableEnded) {
    const ms = performance.now() - startedAt;
    const isPaused = ms > pauseAtMs && ms < pauseAtMs + pauseMs;
    for (let left = isPaused ? 0 : stepBytes; left > 0;) {
      const chunk = res.read(
        Math.min(left, Math.max(1, res.readableLength)),
      ) as Buffer | null;
      if (chunk === null) break;
      left -= chunk.length;
      onData(chunk);
    }
    await sleep(TICK_MS);
  }
}

function drawBetween(random: () => number, min: number, max: number): number {
  return Math.floor(min + random() * (max - min));
}
