/**
 * Starts of gateways that something disturbs: one of their ports is in use, or they get
 * changed settings and SIGHUP just after they began to run.
 * @module
 */
import type * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import { createRandom } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { BOUNDS } from "./soak_config.ts";
import { type PlannedFault, SoakFault } from "./soak_plan.ts";

const PORT_NAMES = ["caller", "ready", "peer", "metrics"] as const;

/** Ports of a gateway's listeners. */
export type GatewayPorts = Readonly<
  Record<(typeof PORT_NAMES)[number], number>
>;

/** How a disturbed start went; times are on the monotonic clock. */
export interface DisturbedStart {
  readonly vm: string;
  readonly disturbance: string;
  /** When nothing hindered the start any more. */
  freeAt: number;
  readyAt: number;
  /** A port that took a connection while another one was in use. */
  openedEarly?: string;
  /** Whether the settings of the last SIGHUP are in force; undefined if there was none. */
  isReloaded?: boolean;
}

/** A start with its gateway. */
export interface StartingGateway {
  readonly ports: GatewayPorts;
  readonly start: DisturbedStart;
  /** Exists once the process runs code of its own. */
  readonly markFile: string;
  readonly logFile: string;
  /** Starts the process with settings that log errors only. */
  readonly launch: () => void;
  /** The process, until it has ended. */
  readonly getChild: () => childProcess.ChildProcess | undefined;
  readonly isReady: () => Promise<boolean>;
  /** Writes settings that log requests too. */
  readonly writeSettings: () => void;
}

/** Below the range from which the system takes ports for connections. */
const FIRST_PORT = 15_000;
const PORT_RANGE = 15_000;
const POLL_MS = 20;
const PROBE_TIMEOUT_MS = 200;
/** A listener keeps a connection for longer, unless it is closed again at once. */
const KEPT_MS = 50;
const MAX_SIGNALS = 3;
const MAX_SIGNAL_MS = 300;
const LOG_TIMEOUT_MS = 2000;

/** Picks ports that nothing listens on, from a drawn one on. */
export async function pickPorts(random: () => number): Promise<GatewayPorts> {
  const ports: number[] = [];
  let port = FIRST_PORT + Math.floor(random() * PORT_RANGE);
  for (; ports.length < PORT_NAMES.length; port++) {
    const probe = await holdPort(port).catch(() => undefined);
    if (probe === undefined) continue;
    ports.push(port);
    await closeServer(probe);
  }
  const [caller, ready, peer, metrics] = ports as [
    number,
    number,
    number,
    number,
  ];
  return { caller, ready, peer, metrics };
}

/** Starts a gateway with one of its ports in use until `durationMs` after it began to run. */
export async function startOnBusyPort(
  { durationMs, pick }: PlannedFault,
  gateway: StartingGateway,
): Promise<void> {
  const { ports, start } = gateway;
  const name = pickPortName(pick);
  const holder = await holdPort(ports[name]);
  holder.on("connection", (socket) => socket.destroy());
  gateway.launch();
  await waitForMark(gateway);
  const until = performance.now() + durationMs;
  const others = PORT_NAMES.filter((each) => each !== name);
  while (performance.now() < until && gateway.getChild() !== undefined) {
    await Promise.all(others.map(async (each) => {
      if (await accepts(ports[each])) start.openedEarly ??= each;
    }));
    await sleep(POLL_MS);
  }
  start.freeAt = performance.now();
  await closeServer(holder);
  await waitUntilReady(gateway);
}

/** Says what disturbs a start. */
export function describeDisturbance({ kind, pick }: PlannedFault): string {
  return kind === SoakFault.BusyPort
    ? `${pickPortName(pick)} port in use`
    : kind;
}

function pickPortName(pick: number): keyof GatewayPorts {
  return PORT_NAMES[Math.floor(pick * 1000) % PORT_NAMES.length]!;
}

/** Starts a gateway that logs errors only, and has it reload settings that log more. */
export async function startWithReloads(
  { pick }: PlannedFault,
  gateway: StartingGateway,
): Promise<void> {
  const { start } = gateway;
  const random = createRandom(Math.floor(pick * 2 ** 30));
  const launchedAt = performance.now();
  gateway.launch();
  await waitForMark(gateway);
  const from = performance.now();
  // Until Node.js has loaded the program, which takes less than its own start, a signal ends it.
  const minMs = from - launchedAt;
  const count = 1 + Math.floor(random() * MAX_SIGNALS);
  const delays = Array.from(
    { length: count },
    () => minMs + random() * Math.max(0, MAX_SIGNAL_MS - minMs),
  ).sort((a, b) => a - b);
  for (const delayMs of delays) {
    await sleep(Math.max(0, from + delayMs - performance.now()));
    gateway.writeSettings();
    gateway.getChild()?.kill("SIGHUP");
  }
  start.freeAt = performance.now();
  await waitUntilReady(gateway);
  if (start.readyAt < Infinity) start.isReloaded = await logsRequests(gateway);
}

/** Waits for a request that has no route to appear in the log. */
async function logsRequests(
  { ports, logFile, getChild }: StartingGateway,
): Promise<boolean> {
  const id = `reload-${performance.now()}`;
  const until = performance.now() + LOG_TIMEOUT_MS;
  while (performance.now() < until && getChild() !== undefined) {
    const res = await fetch(`http://127.0.0.1:${ports.caller}/${id}`, {
      headers: { "bitternfall-request-id": id },
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    }).catch(() => undefined);
    await res?.arrayBuffer().catch(() => {});
    if (fs.readFileSync(logFile, "utf8").includes(id)) return true;
    await sleep(POLL_MS);
  }
  return false;
}

async function waitForMark(
  { markFile, getChild }: StartingGateway,
): Promise<void> {
  while (getChild() !== undefined && !fs.existsSync(markFile)) {
    await sleep(POLL_MS / 4);
  }
}

async function waitUntilReady(
  { start, getChild, isReady }: StartingGateway,
): Promise<void> {
  const until = start.freeAt + 2 * BOUNDS.startMs;
  while (performance.now() < until && getChild() !== undefined) {
    if (await isReady()) {
      start.readyAt = performance.now();
      return;
    }
    await sleep(POLL_MS);
  }
}

function holdPort(port: number): Promise<net.Server> {
  const server = net.createServer();
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}

function closeServer(server: net.Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}

/** Whether a connection to the port lives for a moment. */
function accepts(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect({ host: "127.0.0.1", port });
    const finish = (isAccepted: boolean) => {
      socket.destroy();
      resolve(isAccepted);
    };
    socket.once("connect", () => setTimeout(() => finish(true), KEPT_MS));
    socket.on("error", () => finish(false));
    socket.once("close", () => finish(false));
  });
}
