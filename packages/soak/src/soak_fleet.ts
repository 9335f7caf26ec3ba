/**
 * What a soak runs: gateways as processes, and around them the object API and the
 * servers, each link through a fault proxy.
 * @module
 */
import type * as childProcess from "node:child_process";
import { setMaxListeners } from "node:events";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { findScript, ProcessGroup, waitForExit } from "@bitternfall/experiment";
import { FaultProxy, PlatformStandIn } from "@bitternfall/stand-ins";
import { sleep, withTimeout } from "@bitternfall/types";
import { Disturbances } from "./disturbances.ts";
import { BOUNDS, createSettings, SERVERS } from "./soak_config.ts";
import { SoakRegistry } from "./soak_registry.ts";
import { SoakServer } from "./soak_server.ts";

/** One gateway. */
export interface SoakVm {
  readonly id: string;
  readonly availabilityZone: string;
  readonly peerProxy: FaultProxy;
  readonly storeProxy: FaultProxy;
  child: childProcess.ChildProcess | undefined;
  callerPort: number;
  readyPort: number;
  /** A signal or a start is under way; further ones wait for their turn. */
  busy: Promise<void>;
  /** Whether the balancer sends new connections here. */
  isReady: boolean;
}

/** How a gateway's process ended. */
export interface SoakExit {
  readonly vm: string;
  readonly code: number | null;
  readonly cause: "kill" | "stop" | "itself";
  readonly tookMs: number;
}

/** Options of a {@link SoakFleet}. */
export interface SoakFleetOptions {
  readonly vms: number;
  readonly random: () => number;
}

const ZONES = ["a", "b", "c"];
const PROBE_MS = 300;
const PROBE_TIMEOUT_MS = 250;
/** A gateway is taken out after two checks in a row without a 200. */
const FAILURES_UNTIL_OUT = 2;
const LINES_PER_SECOND = 200;
/** Clocks are wrong by up to this much, and jump by as much. */
const LONGEST_SKEW_MS = 600_000;
const JUMP_WITHIN_MS = 20_000;
const READY_TIMEOUT_MS = 20_000;

/** Everything that runs in one soak. */
export class SoakFleet {
  readonly disturbances = new Disturbances();
  readonly store: PlatformStandIn;
  readonly registry: SoakRegistry;
  readonly servers: SoakServer[] = [];
  readonly vms: SoakVm[] = [];
  readonly exits: SoakExit[] = [];
  readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), "soak-"));
  readonly #options: SoakFleetOptions;
  readonly #group = new ProcessGroup({ logDirectory: this.directory });
  readonly #stop = new AbortController();

  constructor(options: SoakFleetOptions) {
    this.#options = options;
    // Every server's entry and every check of a gateway listens to it.
    setMaxListeners(0, this.#stop.signal);
    this.store = new PlatformStandIn({ random: options.random });
    this.registry = new SoakRegistry(this.store);
  }

  /** Starts everything and waits until each gateway is ready. */
  async start(): Promise<void> {
    await this.store.listen();
    await this.registry.start(this.#stop.signal);
    for (const spec of SERVERS) {
      const server = new SoakServer(spec);
      await server.start();
      this.servers.push(server);
      void this.registry.follow(server, this.#stop.signal);
    }
    const { vms } = this.#options;
    await Promise.all(
      Array.from({ length: vms }, (_, index) => this.#createVm(index)),
    );
    void this.#probe();
    await this.waitUntilReady();
  }

  /** Waits until every gateway says that it is ready. */
  async waitUntilReady(): Promise<void> {
    const endsAt = performance.now() + READY_TIMEOUT_MS;
    while (!this.vms.every(({ isReady }) => isReady)) {
      if (performance.now() > endsAt) throw new Error("gateways not ready");
      await sleep(50);
    }
  }

  /** Kills a gateway and starts it again. */
  kill(vm: SoakVm, downMs: number): Promise<void> {
    return this.#inTurn(vm, async () => {
      const end = this.disturbances.begin(vm.id);
      await this.#end(vm, "SIGKILL");
      await sleep(downMs);
      await this.#launch(vm);
      end();
    });
  }

  /** Stops a gateway as an operator does, and starts it again. */
  restart(vm: SoakVm): Promise<void> {
    return this.#inTurn(vm, async () => {
      await this.#end(vm, "SIGTERM");
      const end = this.disturbances.begin(vm.id);
      await this.#launch(vm);
      end();
    });
  }

  pause(vm: SoakVm, ms: number): Promise<void> {
    return this.#inTurn(vm, async () => {
      const end = this.disturbances.begin(vm.id);
      vm.child?.kill("SIGSTOP");
      await sleep(ms);
      vm.child?.kill("SIGCONT");
      end();
    });
  }

  /** Has a gateway read changed settings. */
  reload(vm: SoakVm): Promise<void> {
    return this.#inTurn(vm, async () => {
      const lines = LINES_PER_SECOND + Math.floor(this.#options.random() * 50);
      this.#writeSettings(vm, lines);
      vm.child?.kill("SIGHUP");
      await Promise.resolve();
    });
  }

  /** Ends everything; keeps the logs only where asked. */
  async close(options: { keepLogsIn?: string | undefined } = {}) {
    this.#stop.abort();
    await Promise.all(this.vms.map(({ busy }) => busy));
    await this.#group.stop();
    for (const { peerProxy, storeProxy } of this.vms) {
      await peerProxy.close();
      await storeProxy.close();
    }
    for (const server of this.servers) await server.close();
    await this.registry.close();
    await this.store.close();
    const { keepLogsIn } = options;
    if (keepLogsIn !== undefined) {
      fs.rmSync(keepLogsIn, { recursive: true, force: true });
      fs.mkdirSync(path.dirname(keepLogsIn), { recursive: true });
      fs.cpSync(this.directory, keepLogsIn, { recursive: true });
    }
    fs.rmSync(this.directory, { recursive: true, force: true });
  }

  /** Signals and starts of one gateway come one after the other. */
  #inTurn(vm: SoakVm, run: () => Promise<void>): Promise<void> {
    vm.busy = vm.busy.then(run);
    return vm.busy;
  }

  async #end(vm: SoakVm, signal: "SIGKILL" | "SIGTERM"): Promise<void> {
    const { child } = vm;
    if (child === undefined) return;
    vm.child = undefined;
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
      busy: Promise.resolve(),
      isReady: false,
    };
    this.vms[index] = vm;
    const end = this.disturbances.begin(vm.id);
    await this.#launch(vm);
    end();
  }

  async #launch(vm: SoakVm): Promise<void> {
    const { random } = this.#options;
    const draw = () => Math.round((2 * random() - 1) * LONGEST_SKEW_MS);
    const jumpAt = Math.round(random() * JUMP_WITHIN_MS);
    const file = this.#writeSettings(vm, LINES_PER_SECOND);
    const { child, startupMessage } = await this.#group.start({
      script: findScript("@bitternfall/gateway", "main.js"),
      args: ["--config", file],
      name: vm.id,
      nodeArgs: [
        "--import",
        findScript("@bitternfall/soak", "skewed_clock.js"),
      ],
      env: { SOAK_CLOCK: `${draw()},${jumpAt},${draw()}` },
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

  /** Asks every gateway whether it is ready, as the balancer does. */
  async #probe(): Promise<void> {
    const failures = new Map<string, number>();
    while (!this.#stop.signal.aborted) {
      await Promise.all(this.vms.map(async (vm) => {
        const isReady = vm.child !== undefined && await checkReady(vm);
        const failed = isReady ? 0 : (failures.get(vm.id) ?? 0) + 1;
        failures.set(vm.id, failed);
        vm.isReady = failed < FAILURES_UNTIL_OUT && (isReady || vm.isReady);
      }));
      await sleep(PROBE_MS, this.#stop.signal);
    }
  }
}

async function checkReady({ readyPort }: SoakVm): Promise<boolean> {
  try {
    const res = await fetch(`http://127.0.0.1:${readyPort}/`, {
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await res.arrayBuffer();
    return res.ok;
  } catch {
    // A gateway that does not answer is not ready.
    return false;
  }
}
