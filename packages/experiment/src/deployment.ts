/**
 * Starts a complete deployment as child processes: the platform, engines, services and
 * entry VMs. The link to each of them goes through a fault proxy.
 * @module
 */
import type * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { type EngineParameters, FaultProxy } from "@bitternfall/stand-ins";
import { sleep, type VmListEntry } from "@bitternfall/types";
import { findScript, ProcessGroup, waitForExit } from "./process_group.ts";

/** A stand-in engine to start. */
export interface EngineSpec {
  readonly id: string;
  readonly role: "prefill" | "decode";
  readonly availabilityZone: string;
  readonly cell?: string;
  readonly parameters?: Partial<EngineParameters>;
}

/** A stand-in server of a plain service to start. */
export interface ServiceSpec {
  readonly id: string;
  readonly availabilityZone: string;
}

/** The processes that a deployment starts, and their settings. */
export interface DeploymentSpec {
  /** Availability zones. */
  readonly zones: readonly string[];
  /** Number of entry VMs, assigned to the zones in turn. */
  readonly daemons: number;
  /** Engines by model service. */
  readonly engines: { readonly [service: string]: readonly EngineSpec[] };
  /** Servers by plain service. */
  readonly services: { readonly [service: string]: readonly ServiceSpec[] };
  /** Daemon settings that override the defaults of the test deployment, by top-level key. */
  readonly settings?: object;
  /** Cell of each entry VM by index; all VMs share one cell by default. */
  readonly cells?: readonly string[];
  readonly seed?: number;
  /** Number of processes that the engines are distributed over. */
  readonly engineProcesses?: number;
}

/** An entry VM of the deployment, with its process and proxies. */
export interface EntryVm {
  readonly id: string;
  readonly availabilityZone: string;
  readonly cell: string;
  child: childProcess.ChildProcess;
  /** Base URL of the listener for callers. */
  callerUrl: string;
  operatorUrl: string;
  /** In front of this VM's peer listener. */
  readonly peerProxy: FaultProxy;
  /** Between this VM and the platform. */
  readonly platformProxy: FaultProxy;
  /** State of the process. */
  state: "up" | "paused" | "down";
  /** State that the platform's VM list shows. */
  vmState: "live" | "leaving";
}

/** Bearer token for the operators' API of a test deployment. */
export const OPERATOR_TOKEN = "operator-token-of-a-test-deployment";
/** Secret that the entry VMs of a test deployment share. */
const PEER_KEY = "peer-key-of-a-test-deployment";
const OPERATOR_TOKEN_SHA256 =
  "ca1ce75a5fe81a59b92e1c573a16bd95455b175770ace3bb1342df4016e8254f";

/** A running deployment. */
export class Deployment {
  readonly spec: DeploymentSpec;
  readonly directory: string;
  readonly vms: EntryVm[] = [];
  /** Base URLs of the stand-ins by id, without the proxies; for fault control and ledgers. */
  readonly standIns: { [id: string]: string } = {};
  /** Proxies in front of engines and service servers, by id. */
  readonly upstreamProxies = new Map<string, FaultProxy>();
  readonly #processes: ProcessGroup;
  readonly #leavingUpstreams = new Set<string>();
  #changeCount = 0;

  private constructor(spec: DeploymentSpec) {
    this.spec = spec;
    this.directory = fs.mkdtempSync(path.join(os.tmpdir(), "bitternfall-"));
    this.#processes = new ProcessGroup({ logDirectory: this.directory });
  }

  /** Starts all processes and waits until each VM is ready. */
  static async start(spec: DeploymentSpec): Promise<Deployment> {
    const deployment = new Deployment(spec);
    try {
      await deployment.#startStandIns();
      await Promise.all(
        Array.from(
          { length: spec.daemons },
          (_, index) => deployment.#startVm(index),
        ),
      );
      await deployment.publishVms();
      await deployment.waitUntilReady();
    } catch (err) {
      await deployment.stop();
      throw err;
    }
    return deployment;
  }

  /** Kills all processes, closes the proxies and removes the logs unless `keepLogs` is set. */
  async stop(options: { keepLogs?: boolean } = {}): Promise<void> {
    await this.#processes.stop();
    for (const vm of this.vms) {
      await vm.peerProxy.close();
      await vm.platformProxy.close();
    }
    for (const proxy of this.upstreamProxies.values()) await proxy.close();
    if (!options.keepLogs) {
      fs.rmSync(this.directory, { recursive: true, force: true });
    }
  }

  /** Returns the VM with the given id; throws if there is none. */
  getVm(id: string): EntryVm {
    const vm = this.vms.find((candidate) => candidate.id === id);
    if (vm === undefined) throw new Error(`unknown VM ${id}`);
    return vm;
  }

  /** Returns the proxy in front of an upstream; throws if there is none. */
  getProxy(id: string): FaultProxy {
    const proxy = this.upstreamProxies.get(id);
    if (proxy === undefined) throw new Error(`unknown upstream ${id}`);
    return proxy;
  }

  /** Address of an upstream for use in records; leads through its proxy. */
  getAddress(id: string): string {
    return `http://127.0.0.1:${this.getProxy(id).port}`;
  }

  /** Sets faults on a stand-in through its control endpoint. */
  async setFaults(id: string, faults: object): Promise<void> {
    await fetch(`${this.standIns[id]}/_control`, {
      method: "PUT",
      body: JSON.stringify(faults),
    });
  }

  /** Reads the control state or the ledger of a stand-in. */
  async readStandIn<T>(id: string, page: "_control" | "_ledger"): Promise<T> {
    return await (await fetch(`${this.standIns[id]}/${page}`)).json() as T;
  }

  /** Writes a record through the operators' API of a VM and returns the stored version. */
  async applyRecord(
    record: { kind: string; name: string },
    options: { vm?: string } = {},
  ): Promise<number> {
    const { operatorUrl } = options.vm === undefined
      ? this.vms[0]!
      : this.getVm(options.vm);
    const address = `${operatorUrl}/v1/records/${record.kind}/${record.name}`;
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    const current = await (await fetch(address, { headers })).json() as {
      version: number;
    };
    const res = await fetch(address, {
      method: "PUT",
      headers: {
        ...headers,
        "if-match": String(current.version),
        "change-id": `setup-change-${++this.#changeCount}`,
      },
      body: JSON.stringify(record),
    });
    const responseBody = await res.json() as { version: number };
    if (!res.ok) {
      throw new Error(
        `${record.kind}/${record.name}: ${JSON.stringify(responseBody)}`,
      );
    }
    return responseBody.version;
  }

  /** Reads the status of one VM; undefined if it does not respond within 1.5 s. */
  async readStatus(vm: EntryVm): Promise<VmStatus | undefined> {
    try {
      const res = await fetch(`${vm.operatorUrl}/v1/status?scope=this`, {
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        signal: AbortSignal.timeout(1500),
      });
      const { vms } = await res.json() as {
        vms: { vm: string; status: VmStatus }[];
      };
      return vms.find((entry) => entry.vm === vm.id)?.status;
    } catch {
      return undefined;
    }
  }

  /** Waits until the status of every running VM satisfies the predicate. */
  async waitForStatus(
    isExpected: (status: VmStatus) => boolean,
    options: { timeoutMs?: number } = {},
  ): Promise<void> {
    const endsAt = performance.now() + (options.timeoutMs ?? 15_000);
    for (;;) {
      const running = this.vms.filter((vm) => vm.state === "up");
      const statuses = await Promise.all(
        running.map((vm) => this.readStatus(vm)),
      );
      if (
        statuses.every((status) => status !== undefined && isExpected(status))
      ) {
        return;
      }
      if (performance.now() > endsAt) {
        throw new Error(
          `VMs did not reach the expected status in time: ${
            JSON.stringify(statuses)
          }`,
        );
      }
      await sleep(50);
    }
  }

  /** Waits until each running VM is ready and sees all others of its cell alive and ready. */
  async waitUntilReady(): Promise<void> {
    const running = this.vms.filter((vm) => vm.state === "up");
    const sizes = new Map<string, number>();
    for (const { cell } of running) sizes.set(cell, (sizes.get(cell) ?? 0) + 1);
    await this.waitForStatus((status) => {
      const alive = status.peers.filter((peer) =>
        peer.alive && peer.state === "ready"
      ).length;
      return status.state === "ready" &&
        alive === (sizes.get(status.cell) ?? 1) - 1;
    });
  }

  /** Waits until every running VM has applied the given version of a record or a later one. */
  async waitForRecord(
    record: { kind: string; name: string },
    version: number,
  ): Promise<void> {
    await this.waitForStatus((status) =>
      status.records.some((applied) =>
        applied.kind === record.kind && applied.name === record.name &&
        applied.version >= version
      )
    );
  }

  /** Publishes the VMs that are not down, and leaving upstreams, in the platform's VM list. */
  async publishVms(): Promise<void> {
    const vms: VmListEntry[] = this.vms.filter((vm) => vm.state !== "down").map(
      (vm) => ({
        id: vm.id,
        kind: "entry",
        address: `127.0.0.1:${vm.peerProxy.port}`,
        availabilityZone: vm.availabilityZone,
        cell: vm.cell,
        state: vm.vmState,
      }),
    );
    for (const id of this.#leavingUpstreams) {
      vms.push({
        id,
        kind: "upstream",
        address: "",
        availabilityZone: "",
        state: "leaving",
      });
    }
    await fetch(`${this.standIns.platform}/_control/vms`, {
      method: "PUT",
      body: JSON.stringify(vms),
    });
  }

  /** Sets or clears the `leaving` state of an upstream in the platform's VM list. */
  async setUpstreamLeaving(id: string, isLeaving: boolean): Promise<void> {
    if (isLeaving) this.#leavingUpstreams.add(id);
    else this.#leavingUpstreams.delete(id);
    await this.publishVms();
  }

  /** Kills a VM with SIGKILL, also when it is paused. */
  async kill(id: string): Promise<void> {
    const vm = this.getVm(id);
    vm.state = "down";
    const exit = waitForExit(vm.child);
    vm.child.kill("SIGCONT");
    vm.child.kill("SIGKILL");
    await exit;
  }

  /** Pauses (SIGSTOP) or resumes (SIGCONT) the process of a VM. */
  setPaused(id: string, isPaused: boolean): void {
    const vm = this.getVm(id);
    vm.child.kill(isPaused ? "SIGSTOP" : "SIGCONT");
    vm.state = isPaused ? "paused" : "up";
  }

  /** Drains a VM with SIGTERM and returns its exit code; null if a signal ended it. */
  async drain(id: string): Promise<number | null> {
    const vm = this.getVm(id);
    const exit = waitForExit(vm.child);
    vm.child.kill("SIGTERM");
    const code = await exit;
    vm.state = "down";
    return code;
  }

  /** Starts a VM that is down and publishes it again. */
  async restart(id: string): Promise<void> {
    const vm = this.getVm(id);
    await this.#startProcess(vm);
    await this.publishVms();
  }

  async #startStandIns(): Promise<void> {
    const { engines, services, seed = 1, engineProcesses = 2 } = this.spec;
    const platform = [{ kind: "platform", id: "platform" }];
    const engineGroups: object[][] = Array.from(
      { length: engineProcesses },
      () => [],
    );
    let nextGroup = 0;
    for (const list of Object.values(engines)) {
      for (const engine of list) {
        engineGroups[nextGroup++ % engineProcesses]!.push({
          ...engine,
          kind: "engine",
        });
      }
    }
    const serviceSpecs = Object.values(services).flat().map((server) => ({
      ...server,
      kind: "service",
    }));
    const script = findScript("@bitternfall/stand-ins", "main.js");
    const standInGroups = [platform, serviceSpecs, ...engineGroups].filter((
      group,
    ) => group.length > 0);
    const started = await Promise.all(
      standInGroups.map((group, index) =>
        this.#processes.start({
          script,
          args: [JSON.stringify(group), String(seed * 100 + index)],
          name: `stand-ins-${index}`,
        })
      ),
    );
    for (const { startupMessage } of started) {
      Object.assign(this.standIns, startupMessage);
    }
    for (const [id, address] of Object.entries(this.standIns)) {
      if (id === "platform") continue;
      const proxy = new FaultProxy({
        host: "127.0.0.1",
        port: Number(new URL(address).port),
      });
      await proxy.listen();
      this.upstreamProxies.set(id, proxy);
    }
  }

  async #startVm(index: number): Promise<void> {
    const { zones, cells } = this.spec;
    const platformProxy = new FaultProxy({
      host: "127.0.0.1",
      port: Number(new URL(this.standIns.platform!).port),
    });
    const peerProxy = new FaultProxy({ host: "127.0.0.1", port: 0 });
    await Promise.all([platformProxy.listen(), peerProxy.listen()]);
    const vm: EntryVm = {
      id: `entry-${index + 1}`,
      availabilityZone: zones[index % zones.length]!,
      cell: cells?.[index] ?? "cell-1",
      child: undefined as unknown as childProcess.ChildProcess,
      callerUrl: "",
      operatorUrl: "",
      peerProxy,
      platformProxy,
      state: "down",
      vmState: "live",
    };
    this.vms[index] = vm;
    await this.#startProcess(vm);
  }

  async #startProcess(vm: EntryVm): Promise<void> {
    const settingsFile = path.join(this.directory, `${vm.id}.json`);
    fs.writeFileSync(settingsFile, JSON.stringify(this.#getSettings(vm)));
    const { child, startupMessage } = await this.#processes.start({
      script: findScript("@bitternfall/daemon", "main.js"),
      args: ["--config", settingsFile],
      name: vm.id,
    });
    const { listening } = startupMessage as {
      listening: { caller: number; peer: number; operator: number };
    };
    vm.child = child;
    vm.callerUrl = `http://127.0.0.1:${listening.caller}`;
    vm.operatorUrl = `http://127.0.0.1:${listening.operator}`;
    vm.peerProxy.setTarget({ host: "127.0.0.1", port: listening.peer });
    vm.state = "up";
  }

  #getSettings(vm: EntryVm): object {
    const platform = `http://127.0.0.1:${vm.platformProxy.port}`;
    return {
      vm: { id: vm.id, availabilityZone: vm.availabilityZone, cell: vm.cell },
      platform: {
        objectApi: platform,
        vmList: platform,
        weightStore: platform,
      },
      peerKey: PEER_KEY,
      operators: [{
        name: "operator",
        tokenSha256: OPERATOR_TOKEN_SHA256,
        scopes: ["read", "write"],
      }],
      shutdown: { balancerLagMs: 300, graceMs: 20_000 },
      steward: { leaseMs: 2000, longestOrderMs: 500 },
      ...this.spec.settings,
    };
  }
}

/** Status of a VM from the operators' API. */
export interface VmStatus {
  readonly vm: string;
  readonly cell: string;
  readonly state: string;
  readonly revision: number;
  readonly records: readonly { kind: string; name: string; version: number }[];
  readonly dispatcherOf: readonly string[];
  readonly stewardFence: number | null;
  readonly inFlight: number;
  readonly modelCalls: number;
  readonly journalKeys: number;
  readonly unsettled: number;
  readonly storeCalls: {
    readonly reads: number;
    readonly writes: number;
    readonly watches: number;
  };
  readonly peers: readonly {
    id: string;
    state: string;
    alive: boolean;
    revision: number;
  }[];
  readonly traffic: {
    readonly sent: number;
    readonly received: number;
    readonly messages: number;
  };
  readonly memoryBytes: number;
  readonly cpuMs: number;
}
