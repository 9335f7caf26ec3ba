/**
 * The processes and servers of a soak: gateways as processes, and in the soak's own process
 * the object API and the servers. Each link between them has a fault proxy.
 * @module
 */
import type * as childProcess from "node:child_process";
import { setMaxListeners } from "node:events";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { EVENTS } from "@bitternfall/events";
import { findScript, ProcessGroup, waitForExit } from "@bitternfall/experiment";
import {
  FaultProxy,
  HangingPorts,
  PlatformStandIn,
} from "@bitternfall/stand-ins";
import { sleep, withTimeout } from "@bitternfall/types";
import { Disturbances } from "./disturbances.ts";
import type { LostLinks } from "./lost_links.ts";
import { BOUNDS, createSettings, SERVERS } from "./soak_config.ts";
import { SoakRegistry } from "./soak_registry.ts";
import { SoakServer } from "./soak_server.ts";

/** An entry VM: one gateway process and the proxies of its links. */
export interface SoakVm {
  readonly id: string;
  readonly availabilityZone: string;
  readonly peerProxy: FaultProxy;
  readonly storeProxy: FaultProxy;
  child: childProcess.ChildProcess | undefined;
  callerPort: number;
  readyPort: number;
  /** Resolves after the last queued signal or start; the next one waits for it. */
  lastOperation: Promise<void>;
  /** Whether callers open new connections to it, as behind a load balancer. */
  isReady: boolean;
}

/** How a gateway process ended. */
export interface SoakExit {
  readonly vm: string;
  readonly code: number | null;
  /** `itself`: the process ended without a signal from the soak. */
  readonly cause: "kill" | "stop" | "itself";
  readonly tookMs: number;
}

/** Options of a {@link SoakFleet}. */
export interface SoakFleetOptions {
  readonly vms: number;
  readonly random: () => number;
}

const ZONES = ["a", "b", "c"];
/** Nothing listens on this port. */
const CLOSED_PORT = 1;
/** Time for which a server is down that a prompt has ended. */
const PROMPT_CRASH_MS = 600;
const PROBE_INTERVAL_MS = 300;
const PROBE_TIMEOUT_MS = 250;
/** Failed readiness probes in a row after which the balancer stops using a gateway. */
const FAILED_PROBES_UNTIL_UNREADY = 2;
const LINES_PER_SECOND = 200;
/** Largest offset of a gateway's clock, and largest jump, in either direction. */
const MAX_CLOCK_OFFSET_MS = 600_000;
/** A gateway's clock jumps at most this long after its start. */
const MAX_JUMP_DELAY_MS = 20_000;
const READY_TIMEOUT_MS = 20_000;

/** Starts, disturbs and stops the gateways and servers of one soak. */
export class SoakFleet {
  readonly disturbances = new Disturbances();
  readonly store: PlatformStandIn;
  readonly registry: SoakRegistry;
  readonly servers: SoakServer[] = [];
  readonly vms: SoakVm[] = [];
  readonly exits: SoakExit[] = [];
  /** Whether servers of several software versions have served. */
  hasVersions = false;
  /** Parts that end each server which begins to write under them, since they were added. */
  readonly crashingParts = new Set<string>();
  /** Bodies of the plain requests that end each server which runs them. */
  readonly crashingBodies = new Set<string>();
  /** Times in which VMs were cut from all servers. */
  readonly lostLinks: { vm: string; from: number; until: number }[] = [];
  /** The crashing parts that callers send now, in prompts and in bodies. */
  readonly sentParts = new Set<string>();
  readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), "soak-"));
  readonly #options: SoakFleetOptions;
  readonly #processes = new ProcessGroup({ logDirectory: this.directory });
  readonly #stop = new AbortController();
  readonly #hangingPorts = new HangingPorts();
  #hangingPort = 0;

  constructor(options: SoakFleetOptions) {
    this.#options = options;
    // Each server's entry writer and each probe adds a listener to this signal.
    setMaxListeners(0, this.#stop.signal);
    this.store = new PlatformStandIn({ random: options.random });
    this.registry = new SoakRegistry(this.store);
  }

  /** Starts everything and waits until each gateway is ready. */
  async start(): Promise<void> {
    await this.store.listen();
    await this.registry.start(this.#stop.signal);
    for (const spec of SERVERS) {
      const server = new SoakServer(spec, {
        crashingParts: this.crashingParts,
        crashingBodies: this.crashingBodies,
        onCrash: (crashed) => void this.crash(crashed, PROMPT_CRASH_MS),
      });
      await server.start();
      this.servers.push(server);
      void this.registry.publishEntry(server, this.#stop.signal);
    }
    this.#hangingPort = await this.#hangingPorts.listenOnFree();
    const { vms } = this.#options;
    await Promise.all(
      Array.from({ length: vms }, (_, index) => this.#createVm(index)),
    );
    void this.#pollReadiness();
    const unready = await this.waitUntilReady();
    if (unready.length > 0) {
      throw new Error(`not ready in time: ${unready.join(", ")}`);
    }
  }

  /**
   * Waits until every gateway passes its readiness probe. After a timeout, describes those
   * that do not.
   */
  async waitUntilReady(): Promise<string[]> {
    const endsAt = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endsAt) {
      if (this.vms.every(({ isReady }) => isReady)) return [];
      await sleep(50);
    }
    return this.vms.filter(({ isReady }) => !isReady).map(({ id, child }) =>
      `${id} (${child === undefined ? "no process" : `pid ${child.pid}`})`
    );
  }

  /** Sends a gateway SIGKILL, and starts it again after `downMs`. */
  kill(vm: SoakVm, downMs: number): Promise<void> {
    return this.#runSerially(vm, async () => {
      const endDisturbance = this.disturbances.begin(vm.id);
      await this.#terminate(vm, "SIGKILL");
      await sleep(downMs);
      await this.#launchGateway(vm);
      endDisturbance();
    });
  }

  /** Ends a server with all requests that it runs, and starts it again after `downMs`. */
  async crash(server: SoakServer, downMs: number): Promise<void> {
    // Already down through another fault.
    if (!server.proxy.isListening) return;
    const endDisturbance = this.disturbances.begin(server.id);
    await server.crash(sleep(downMs));
    endDisturbance();
  }

  /** Sends a gateway SIGTERM, as an operator does, and starts it again once it exits. */
  restart(vm: SoakVm): Promise<void> {
    return this.#runSerially(vm, async () => {
      await this.#terminate(vm, "SIGTERM");
      const endDisturbance = this.disturbances.begin(vm.id);
      await this.#launchGateway(vm);
      endDisturbance();
    });
  }

  /** Freezes a gateway with SIGSTOP for `ms`. */
  pause(vm: SoakVm, ms: number): Promise<void> {
    return this.#runSerially(vm, async () => {
      const endDisturbance = this.disturbances.begin(vm.id);
      vm.child?.kill("SIGSTOP");
      await sleep(ms);
      vm.child?.kill("SIGCONT");
      endDisturbance();
    });
  }

  /** Cuts a gateway from all servers for `ms`; it counts as undisturbed. */
  async loseLinks(vm: SoakVm, how: LostLinks, ms: number): Promise<void> {
    const file = this.#getLinksFile(vm);
    if (fs.existsSync(file)) return;
    const cut = { vm: vm.id, from: performance.now(), until: Infinity };
    this.lostLinks.push(cut);
    fs.writeFileSync(file, how);
    await sleep(ms, this.#stop.signal);
    cut.until = performance.now();
    fs.rmSync(file, { force: true });
  }

  /** Changes a gateway's settings file and sends SIGHUP, so that it reloads them. */
  reload(vm: SoakVm): Promise<void> {
    return this.#runSerially(vm, async () => {
      const lines = LINES_PER_SECOND + Math.floor(this.#options.random() * 50);
      this.#writeSettings(vm, lines);
      vm.child?.kill("SIGHUP");
      await Promise.resolve();
    });
  }

  /** The first log line of a request that a gateway ended because nothing answered it. */
  findUnanswered(): string | undefined {
    const { id } = EVENTS.requestUnanswered;
    for (const vm of this.vms) {
      const file = path.join(this.directory, `${vm.id}.out.log`);
      const line = fs.readFileSync(file, "utf8").split("\n").find((text) =>
        text.includes(`"event":${id},`)
      );
      if (line !== undefined) return line;
    }
    return undefined;
  }

  /** Stops everything, and copies the logs to `keepLogsIn` if given. */
  async close(options: { keepLogsIn?: string | undefined } = {}) {
    this.#stop.abort();
    await Promise.all(this.vms.map(({ lastOperation }) => lastOperation));
    await this.#processes.stop();
    for (const { peerProxy, storeProxy } of this.vms) {
      await peerProxy.close();
      await storeProxy.close();
    }
    for (const server of this.servers) await server.close();
    await this.registry.close();
    await this.store.close();
    await this.#hangingPorts.close();
    const { keepLogsIn } = options;
    if (keepLogsIn !== undefined) {
      fs.rmSync(keepLogsIn, { recursive: true, force: true });
      fs.mkdirSync(path.dirname(keepLogsIn), { recursive: true });
      fs.cpSync(this.directory, keepLogsIn, { recursive: true });
    }
    fs.rmSync(this.directory, { recursive: true, force: true });
  }

  /** Runs signals and starts of one gateway one after the other. */
  #runSerially(vm: SoakVm, run: () => Promise<void>): Promise<void> {
    vm.lastOperation = vm.lastOperation.then(run);
    return vm.lastOperation;
  }

  async #terminate(vm: SoakVm, signal: "SIGKILL" | "SIGTERM"): Promise<void> {
    const { child } = vm;
    if (child === undefined) return;
    vm.child = undefined;
    // Another process of the soak may listen on its port before the next one starts.
    vm.peerProxy.setTarget({ host: "127.0.0.1", port: CLOSED_PORT });
    const startedAt = performance.now();
    const exit = waitForExit(child);
    child.kill(signal);
    const cause = signal === "SIGKILL" ? "kill" : "stop";
    const ended = await withTimeout(
      exit.then((code) => ({ code })),
      { ms: BOUNDS.graceMs, fallback: undefined },
    );
    if (ended === undefined) child.kill("SIGKILL");
    const code = ended === undefined ? -1 : ended.code;
    const tookMs = performance.now() - startedAt;
    this.exits.push({ vm: vm.id, code, cause, tookMs });
    vm.isReady = false;
  }

  async #createVm(index: number): Promise<void> {
    const peerProxy = new FaultProxy({ host: "127.0.0.1", port: 0 });
    const storeProxy = new FaultProxy({
      host: "127.0.0.1",
      port: Number(new URL(this.store.address).port),
    });
    await Promise.all([peerProxy.listen(), storeProxy.listen()]);
    const vm: SoakVm = {
      id: `vm-${index + 1}`,
      availabilityZone: ZONES[index % ZONES.length]!,
      peerProxy,
      storeProxy,
      child: undefined,
      callerPort: 0,
      readyPort: 0,
      lastOperation: Promise.resolve(),
      isReady: false,
    };
    this.vms[index] = vm;
    const endDisturbance = this.disturbances.begin(vm.id);
    await this.#launchGateway(vm);
    endDisturbance();
  }

  async #launchGateway(vm: SoakVm): Promise<void> {
    const { random } = this.#options;
    const drawOffsetMs = () =>
      Math.round((2 * random() - 1) * MAX_CLOCK_OFFSET_MS);
    const jumpAtMs = Math.round(random() * MAX_JUMP_DELAY_MS);
    const file = this.#writeSettings(vm, LINES_PER_SECOND);
    const { child, startupMessage } = await this.#processes.start({
      script: findScript("@bitternfall/gateway", "main.js"),
      args: ["--config", file],
      name: vm.id,
      nodeArgs: [
        "--import",
        findScript("@bitternfall/soak", "skewed_clock.js"),
        "--import",
        findScript("@bitternfall/soak", "lost_links.js"),
      ],
      env: {
        SOAK_CLOCK: `${drawOffsetMs()},${jumpAtMs},${drawOffsetMs()}`,
        SOAK_LINKS: [
          this.#getLinksFile(vm),
          this.#hangingPort,
          ...this.servers.map(({ proxy }) => proxy.port),
        ].join(),
      },
      logsStdout: true,
    });
    const { callerPort, readyPort, peerPort } = startupMessage as {
      callerPort: number;
      readyPort: number;
      peerPort: number;
    };
    vm.callerPort = callerPort;
    vm.readyPort = readyPort;
    vm.peerProxy.setTarget({ host: "127.0.0.1", port: peerPort });
    vm.child = child;
    void waitForExit(child).then((code) => {
      if (vm.child !== child || this.#stop.signal.aborted) return;
      vm.child = undefined;
      this.exits.push({ vm: vm.id, code, cause: "itself", tookMs: 0 });
    });
  }

  #getLinksFile({ id }: SoakVm): string {
    return path.join(this.directory, `${id}.links`);
  }

  #writeSettings(vm: SoakVm, linesPerSecond: number): string {
    const file = path.join(this.directory, `${vm.id}.json`);
    const { id, availabilityZone, peerProxy, storeProxy } = vm;
    const settings = createSettings({
      id,
      availabilityZone,
      storePort: storeProxy.port,
      peerPort: peerProxy.port,
      linesPerSecond,
    });
    fs.writeFileSync(file, JSON.stringify(settings));
    return file;
  }

  /** Probes the readiness of every gateway, as a load balancer does. */
  async #pollReadiness(): Promise<void> {
    const failures = new Map<string, number>();
    while (!this.#stop.signal.aborted) {
      await Promise.all(this.vms.map(async (vm) => {
        const isReady = vm.child !== undefined && await checkReady(vm);
        const failed = isReady ? 0 : (failures.get(vm.id) ?? 0) + 1;
        failures.set(vm.id, failed);
        vm.isReady = failed < FAILED_PROBES_UNTIL_UNREADY &&
          (isReady || vm.isReady);
      }));
      await sleep(PROBE_INTERVAL_MS, this.#stop.signal);
    }
  }
}

/** Whether a gateway's readiness probe responds with a success status. */
async function checkReady({ readyPort }: SoakVm): Promise<boolean> {
  try {
    const res = await fetch(`http://127.0.0.1:${readyPort}/`, {
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await res.arrayBuffer();
    return res.ok;
  } catch {
    // A gateway that does not respond in time is not ready.
    return false;
  }
}
