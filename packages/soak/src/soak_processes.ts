/**
 * The gateway processes of a soak: starts them with their settings, and ends them.
 * @module
 */
import type * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import {
  findScript,
  ProcessGroup,
  type StartedProcess,
  waitForExit,
} from "@bitternfall/experiment";
import type { FaultProxy } from "@bitternfall/stand-ins";
import { withTimeout } from "@bitternfall/types";
import * as esbuild from "esbuild";
import { BOUNDS, createSettings } from "./soak_config.ts";
import type { GatewayPorts } from "./soak_starts.ts";

/** An entry VM: one gateway process and the proxies of its links. */
export interface SoakVm {
  readonly id: string;
  readonly availabilityZone: string;
  readonly peerProxy: FaultProxy;
  readonly storeProxy: FaultProxy;
  child: childProcess.ChildProcess | undefined;
  callerPort: number;
  readyPort: number;
  /** Ports that the settings name; undefined while they name none. */
  ports: GatewayPorts | undefined;
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
  /** Share of its processor's time that the process got while it was stopped. */
  readonly timeShare?: number;
  /** When the signal was sent. */
  readonly from?: number;
}

/** A time on the monotonic clock at one VM. */
export interface VmPeriod {
  readonly vm: string;
  readonly from: number;
  until: number;
}

/** Options of {@link SoakProcesses}. */
export interface SoakProcessesOptions {
  readonly directory: string;
  readonly random: () => number;
  /** Memory of each gateway's VM; unknown by default. */
  readonly memoryMb?: number | undefined;
  /** Time after SIGTERM in which gateways take all requests. */
  readonly balancerLagMs?: number | undefined;
  /** Aborted when the soak ends, after which ends of processes mean nothing. */
  readonly signal: AbortSignal;
  /** A port that gets no reply, and the ports of the servers. */
  readonly getLinkPorts: () => readonly number[];
}

/** Nothing listens on this port. */
const CLOSED_PORT = 1;
/** Log lines of a gateway, unless its settings change. */
export const LINES_PER_SECOND = 200;
/** Largest offset of a gateway's clock, and largest jump, in either direction. */
const MAX_CLOCK_OFFSET_MS = 600_000;
/** A gateway's clock jumps at most this long after its start. */
const MAX_JUMP_DELAY_MS = 20_000;
/** Arguments with which a gateway runs on a VM of little memory, as on small machines. */
const SMALL_HEAP_ARGS = ["--max-old-space-size=96", "--max-semi-space-size=4"];

/** Starts and ends gateways. */
export class SoakProcesses {
  readonly exits: SoakExit[] = [];
  /** Times from SIGTERM to the end of a gateway. */
  readonly stops: VmPeriod[] = [];
  readonly #options: SoakProcessesOptions;
  readonly #group: ProcessGroup;
  #script = findScript("@bitternfall/gateway", "main.js");

  constructor(options: SoakProcessesOptions) {
    this.#options = options;
    this.#group = new ProcessGroup({ logDirectory: options.directory });
  }

  /** Has gateways run from one file from now on, which loads as fast as a deployed one. */
  async bundle(): Promise<void> {
    const outfile = path.join(this.#options.directory, "gateway.mjs");
    await esbuild.build({
      entryPoints: [this.#script],
      outfile,
      bundle: true,
      platform: "node",
      format: "esm",
      external: ["unix-dgram"],
      banner: {
        js: `import { createRequire } from "node:module";
const require = createRequire(import.meta.url);`,
      },
    });
    this.#script = outfile;
  }

  /** Kills all gateways. */
  stop(): Promise<void> {
    return this.#group.stop();
  }

  /** Ends a gateway by a signal. */
  async terminate(
    vm: SoakVm,
    signal: "SIGKILL" | "SIGTERM",
    { timeShare = 1 } = {},
  ): Promise<void> {
    const { child } = vm;
    if (child === undefined) return;
    vm.child = undefined;
    // Another process of the soak may listen on its port before the next one starts.
    vm.peerProxy.setTarget({ host: "127.0.0.1", port: CLOSED_PORT });
    const startedAt = performance.now();
    const stop = { vm: vm.id, from: startedAt, until: Infinity };
    if (signal === "SIGTERM") this.stops.push(stop);
    const exit = waitForExit(child);
    child.kill(signal);
    const cause = signal === "SIGKILL" ? "kill" : "stop";
    const ended = await withTimeout(
      exit.then((code) => ({ code })),
      { ms: BOUNDS.graceMs, fallback: undefined },
    );
    if (ended === undefined) child.kill("SIGKILL");
    const code = ended === undefined ? -1 : ended.code;
    stop.until = performance.now();
    const tookMs = stop.until - startedAt;
    const from = startedAt;
    this.exits.push({ vm: vm.id, code, cause, tookMs, timeShare, from });
    vm.isReady = false;
  }

  /** Starts a gateway and waits for its startup message. */
  async launch(vm: SoakVm): Promise<void> {
    vm.ports = undefined;
    const file = this.writeSettings(vm);
    const { child, startupMessage } = await this.#startProcess(vm, file);
    const { callerPort, readyPort, peerPort } = startupMessage as {
      callerPort: number;
      readyPort: number;
      peerPort: number;
    };
    this.#useProcess(vm, child, {
      caller: callerPort,
      ready: readyPort,
      peer: peerPort,
    });
  }

  /** Starts a gateway that logs errors only; it need not print a startup message. */
  launchOnPorts(vm: SoakVm, ports: GatewayPorts): void {
    vm.ports = ports;
    fs.rmSync(this.getFile(vm, "mark"), { force: true });
    const file = this.writeSettings(vm, { logLevel: "error" });
    void this.#startProcess(
      vm,
      file,
      (child) => this.#useProcess(vm, child, ports),
    ).catch(() => {});
  }

  #startProcess(
    vm: SoakVm,
    settingsFile: string,
    onSpawn?: (child: childProcess.ChildProcess) => void,
  ): Promise<StartedProcess> {
    const { random, memoryMb, getLinkPorts } = this.#options;
    const drawOffsetMs = () =>
      Math.round((2 * random() - 1) * MAX_CLOCK_OFFSET_MS);
    const jumpAtMs = Math.round(random() * MAX_JUMP_DELAY_MS);
    const preloaded = ["skewed_clock.js", "lost_links.js", "start_mark.js"];
    return this.#group.start({
      script: this.#script,
      args: ["--config", settingsFile],
      name: vm.id,
      nodeArgs: [
        ...memoryMb === undefined ? [] : SMALL_HEAP_ARGS,
        ...preloaded.flatMap((script) => [
          "--import",
          findScript("@bitternfall/soak", script),
        ]),
      ],
      env: {
        SOAK_CLOCK: `${drawOffsetMs()},${jumpAtMs},${drawOffsetMs()}`,
        SOAK_LINKS: [
          this.getFile(vm, "links"),
          ...getLinkPorts(),
        ].join(),
        SOAK_MARK: this.getFile(vm, "mark"),
      },
      logsStdout: true,
      ...(onSpawn && { onSpawn }),
    });
  }

  #useProcess(
    vm: SoakVm,
    child: childProcess.ChildProcess,
    ports: Omit<GatewayPorts, "metrics">,
  ): void {
    vm.callerPort = ports.caller;
    vm.readyPort = ports.ready;
    vm.peerProxy.setTarget({ host: "127.0.0.1", port: ports.peer });
    vm.child = child;
    void waitForExit(child).then((code) => {
      if (vm.child !== child || this.#options.signal.aborted) return;
      vm.child = undefined;
      this.exits.push({ vm: vm.id, code, cause: "itself", tookMs: 0 });
    });
  }

  /** A file of a VM, such as its log. */
  getFile({ id }: SoakVm, suffix: string): string {
    return path.join(this.#options.directory, `${id}.${suffix}`);
  }

  /** Writes the settings of a gateway, and returns their file. */
  writeSettings(
    vm: SoakVm,
    { linesPerSecond = LINES_PER_SECOND, logLevel = "info" } = {},
  ): string {
    const file = this.getFile(vm, "json");
    const { id, availabilityZone, ports, peerProxy, storeProxy } = vm;
    const settings = createSettings({
      id,
      availabilityZone,
      storePort: storeProxy.port,
      peerPort: peerProxy.port,
      linesPerSecond,
      logLevel,
      memoryMb: this.#options.memoryMb,
      balancerLagMs: this.#options.balancerLagMs,
      ports,
    });
    // A gateway may read the file at any moment, and has to find a whole one.
    fs.writeFileSync(`${file}.new`, JSON.stringify(settings));
    fs.renameSync(`${file}.new`, file);
    return file;
  }
}
