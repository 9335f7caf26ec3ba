/**
 * The processes and servers of a soak: gateways as processes, and in the soak's own process
 * the object API and the servers. Each link between them has a fault proxy.
 * @module
 */
import { setMaxListeners } from "node:events";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { EVENTS } from "@bitternfall/events";
import {
  FaultProxy,
  HangingPorts,
  PlatformStandIn,
  throttle,
} from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { Disturbances } from "./disturbances.ts";
import type { LostLinks } from "./lost_links.ts";
import { SERVERS } from "./soak_config.ts";
import { readPeakMemoryMb } from "./peak_memory.ts";
import { type PlannedFault, SoakFault } from "./soak_plan.ts";
import {
  LINES_PER_SECOND,
  type SoakExit,
  SoakProcesses,
  type SoakVm,
  type VmPeriod,
} from "./soak_processes.ts";
import { SoakFloods } from "./soak_floods.ts";
import { SoakRegistry } from "./soak_registry.ts";
import { SoakServer } from "./soak_server.ts";
import {
  describeDisturbance,
  type DisturbedStart,
  pickPorts,
  startOnBusyPort,
  startWithReloads,
} from "./soak_starts.ts";

/** Options of a {@link SoakFleet}. */
export interface SoakFleetOptions {
  readonly vms: number;
  readonly random: () => number;
  /** Memory of each gateway's VM; unknown by default. */
  readonly memoryMb?: number | undefined;
  /** Time after SIGTERM in which gateways take all requests. */
  readonly balancerLagMs?: number | undefined;
  /** Whether gateways run from one file, as where they are deployed; false by default. */
  readonly isBundled?: boolean;
  /** Whether there are faulty servers that answer without end; false by default. */
  readonly hasFloods?: boolean;
  /** Whether configurations have workspaces, so that requests need keys; false by default. */
  readonly hasWorkspaces?: boolean;
}

const ZONES = ["a", "b", "c"];
/** Time for which a server is down that a prompt has ended. */
const PROMPT_CRASH_MS = 600;
const PROBE_INTERVAL_MS = 300;
const PROBE_TIMEOUT_MS = 250;
/** Failed readiness probes in a row after which the balancer stops using a gateway. */
const FAILED_PROBES_UNTIL_UNREADY = 2;
const READY_TIMEOUT_MS = 20_000;
const MAX_MORE_LINES = 50;
/** Time for which a gateway has been short of time when it is stopped. */
const THROTTLED_BEFORE_STOP_MS = 500;
/** Starts, disturbs and stops the gateways and servers of one soak. */
export class SoakFleet {
  readonly disturbances = new Disturbances();
  readonly store: PlatformStandIn;
  readonly registry: SoakRegistry;
  readonly servers: SoakServer[] = [];
  readonly vms: SoakVm[] = [];
  /** Whether servers of several software versions have served. */
  hasVersions = false;
  /** Parts that end each server which begins to write under them, since they were added. */
  readonly crashingParts = new Set<string>();
  /** Bodies of the plain requests that end each server which runs them. */
  readonly crashingBodies = new Set<string>();
  /** Times in which VMs were cut from all servers. */
  readonly lostLinks: VmPeriod[] = [];
  /** Times in which callers sent large bodies or read large answers slowly, or of floods. */
  readonly bodyLoads: VmPeriod[] = [];
  readonly starts: DisturbedStart[] = [];
  readonly floods = new SoakFloods(this);
  /** Peak resident memory of each VM's gateways. */
  readonly memoryPeaksMb = new Map<string, number>();
  /** The crashing parts that callers send now, in prompts and in bodies. */
  readonly sentParts = new Set<string>();
  readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), "soak-"));
  readonly #options: SoakFleetOptions;
  readonly #stop = new AbortController();
  readonly #processes: SoakProcesses;
  readonly #hangingPorts = new HangingPorts();
  readonly #throttled = new Set<SoakVm>();
  #hangingPort = 0;

  constructor(options: SoakFleetOptions) {
    this.#options = options;
    // Each server's entry writer and each probe adds a listener to this signal.
    setMaxListeners(0, this.#stop.signal);
    this.store = new PlatformStandIn({ random: options.random });
    this.#processes = new SoakProcesses({
      ...options,
      directory: this.directory,
      signal: this.#stop.signal,
      getLinkPorts: () => [
        this.#hangingPort,
        ...this.servers.map(({ proxy }) => proxy.port),
      ],
    });
    this.registry = new SoakRegistry(this.store, options);
  }

  get exits(): readonly SoakExit[] {
    return this.#processes.exits;
  }

  /** Times from SIGTERM to the end of a gateway. */
  get stops(): readonly VmPeriod[] {
    return this.#processes.stops;
  }

  /** Starts everything and waits until each gateway is ready. */
  async start(): Promise<void> {
    if (this.#options.isBundled) await this.#processes.bundle();
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
    if (this.#options.hasFloods) {
      const storePort = Number(new URL(this.store.address).port);
      await this.registry.addFlooded(
        await this.floods.start(storePort),
        this.#stop.signal,
      );
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
      await this.#processes.terminate(vm, "SIGKILL");
      await sleep(downMs);
      await this.#processes.launch(vm);
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
      await this.#processes.terminate(vm, "SIGTERM");
      const endDisturbance = this.disturbances.begin(vm.id);
      await this.#processes.launch(vm);
      endDisturbance();
    });
  }

  /** Restarts a gateway that gets only a share of its processor's time until it has ended. */
  restartThrottled(vm: SoakVm, timeShare: number): Promise<void> {
    return this.#runSerially(vm, async () => {
      const endDisturbance = this.disturbances.begin(vm.id);
      this.#throttled.add(vm);
      const endThrottle = throttle(vm.child, timeShare);
      await sleep(THROTTLED_BEFORE_STOP_MS);
      await this.#processes.terminate(vm, "SIGTERM", { timeShare });
      endThrottle();
      await this.#processes.launch(vm);
      endDisturbance();
    });
  }

  /** Sends a gateway SIGTERM, and starts it again while one of its ports is in use or so. */
  startDisturbed(vm: SoakVm, fault: PlannedFault): Promise<void> {
    return this.#runSerially(vm, async () => {
      await this.#processes.terminate(vm, "SIGTERM");
      const endDisturbance = this.disturbances.begin(vm.id);
      const start: DisturbedStart = {
        vm: vm.id,
        disturbance: describeDisturbance(fault),
        freeAt: Infinity,
        readyAt: Infinity,
      };
      this.starts.push(start);
      const ports = await pickPorts(this.#options.random);
      const begin = fault.kind === SoakFault.BusyPort
        ? startOnBusyPort
        : startWithReloads;
      await begin(fault, {
        ports,
        start,
        markFile: this.#processes.getFile(vm, "mark"),
        logFile: this.#processes.getFile(vm, "out.log"),
        getChild: () => vm.child,
        isReady: () => checkReady(vm),
        writeSettings: () => void this.#processes.writeSettings(vm),
        launch: () => this.#processes.launchOnPorts(vm, ports),
      });
      if (start.readyAt === Infinity) {
        await this.#processes.terminate(vm, "SIGKILL");
        await this.#processes.launch(vm);
      }
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
    const file = this.#processes.getFile(vm, "links");
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
      const more = Math.floor(this.#options.random() * MAX_MORE_LINES);
      this.#processes.writeSettings(vm, {
        linesPerSecond: LINES_PER_SECOND + more,
      });
      vm.child?.kill("SIGHUP");
      await Promise.resolve();
    });
  }

  /**
   * The first log line of a request that a gateway ended because nothing answered it. One
   * that is short of time may be late with the answer that it has.
   */
  findUnanswered(): string | undefined {
    const { id } = EVENTS.requestUnanswered;
    for (const vm of this.vms) {
      if (this.#throttled.has(vm)) continue;
      const file = this.#processes.getFile(vm, "out.log");
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
    await this.floods.close();
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
      ports: undefined,
      lastOperation: Promise.resolve(),
      isReady: false,
    };
    this.vms[index] = vm;
    const endDisturbance = this.disturbances.begin(vm.id);
    await this.#processes.launch(vm);
    endDisturbance();
  }

  #recordMemory({ id, child }: SoakVm): void {
    const peakMb = readPeakMemoryMb(child?.pid) ?? 0;
    const before = this.memoryPeaksMb.get(id) ?? 0;
    this.memoryPeaksMb.set(id, Math.max(before, peakMb));
  }

  /** Probes the readiness of every gateway, as a load balancer does. */
  async #pollReadiness(): Promise<void> {
    const failures = new Map<string, number>();
    while (!this.#stop.signal.aborted) {
      await Promise.all(this.vms.map(async (vm) => {
        const isReady = vm.child !== undefined && await checkReady(vm);
        if (this.#options.memoryMb !== undefined) this.#recordMemory(vm);
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
