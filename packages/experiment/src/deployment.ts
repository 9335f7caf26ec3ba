/**
 * A whole deployment as real processes: platform, engines, services and entry VMs, each
 * behind a fault proxy.
 * @module
 */
import type * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { type EngineParameters, FaultProxy } from "@bitternfall/stand-ins";
import { sleep, type VmListEntry } from "@bitternfall/types";
import { findScript, ProcessGroup, waitForExit } from "./process_group.ts";

/** An engine of a deployment. */
export interface EngineSpec {
  readonly id: string;
  readonly role: "prefill" | "decode";
  readonly availabilityZone: string;
  readonly cell?: string;
  readonly parameters?: Partial<EngineParameters>;
}

/** A server of a plain service. */
export interface ServiceSpec {
  readonly id: string;
  readonly availabilityZone: string;
}

/** What a deployment consists of. */
export interface DeploymentSpec {
  readonly zones: readonly string[];
  /** Number of entry VMs, spread over the zones. */
  readonly daemons: number;
  /** Engines by model service. */
  readonly engines: { readonly [service: string]: readonly EngineSpec[] };
  /** Servers by plain service. */
  readonly services: { readonly [service: string]: readonly ServiceSpec[] };
  /** Settings that go over the defaults of the test deployment. */
  readonly settings?: object;
  /** Cell of each entry VM by its number; one cell by default. */
  readonly cells?: readonly string[];
  readonly seed?: number;
  /** Processes that the engines are spread over. */
  readonly engineProcesses?: number;
}

/** A running entry VM. */
export interface EntryVm {
  readonly id: string;
  readonly availabilityZone: string;
  readonly cell: string;
  child: childProcess.ChildProcess;
  /** Base URL towards callers. */
  callerUrl: string;
  operatorUrl: string;
  readonly peerProxy: FaultProxy;
  readonly platformProxy: FaultProxy;
  state: "up" | "paused" | "down";
  vmState: "live" | "leaving";
}

/** Token of the operator in a test deployment. */
export const OPERATOR_TOKEN = "operator-token-of-a-test-deployment";
/** Secret between the entry VMs of a test deployment. */
const PEER_KEY = "peer-key-of-a-test-deployment";
const OPERATOR_SHA256 =
  "ca1ce75a5fe81a59b92e1c573a16bd95455b175770ace3bb1342df4016e8254f";

/** A deployment that runs. */
export class Deployment {
  readonly spec: DeploymentSpec;
  readonly directory: string;
  readonly vms: EntryVm[] = [];
  /** Base URLs of the stand-ins themselves, for control and ledgers. */
  readonly standIns: { [id: string]: string } = {};
  /** Proxies in front of engines and services. */
  readonly upstreamProxies = new Map<string, FaultProxy>();
  readonly #group: ProcessGroup;
  readonly #leavingUpstreams = new Set<string>();
  #changes = 0;

  private constructor(spec: DeploymentSpec) {
    this.spec = spec;
    this.directory = fs.mkdtempSync(path.join(os.tmpdir(), "bitternfall-"));
    this.#group = new ProcessGroup({ logDirectory: this.directory });
  }

  /** Starts everything and waits until each VM is ready. */
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

  /** Ends all processes and removes the logs. */
  async stop(options: { keepLogs?: boolean } = {}): Promise<void> {
    await this.#group.stop();
    for (const vm of this.vms) {
      await vm.peerProxy.close();
      await vm.platformProxy.close();
    }
    for (const proxy of this.upstreamProxies.values()) await proxy.close();
    if (!options.keepLogs) {
      fs.rmSync(this.directory, { recursive: true, force: true });
    }
  }

  /** A VM by id. */
  getVm(id: string): EntryVm {
    const vm = this.vms.find((one) => one.id === id);
    if (vm === undefined) throw new Error(`no VM ${id}`);
    return vm;
  }

  /** The proxy in front of an upstream. */
  getProxy(id: string): FaultProxy {
    const proxy = this.upstreamProxies.get(id);
    if (proxy === undefined) throw new Error(`no upstream ${id}`);
    return proxy;
  }

  /** Address of an upstream as records name it. */
  getAddress(id: string): string {
    return `http://127.0.0.1:${this.getProxy(id).port}`;
  }

  /** Sets faults of a stand-in. */
  async setFaults(id: string, faults: object): Promise<void> {
    await fetch(`${this.standIns[id]}/_control`, {
      method: "PUT",
      body: JSON.stringify(faults),
    });
  }

  /** Reads a control or ledger page of a stand-in. */
  async readStandIn<T>(id: string, page: "_control" | "_ledger"): Promise<T> {
    return await (await fetch(`${this.standIns[id]}/${page}`)).json() as T;
  }

  /** Writes a record through a VM's operators' API; returns the version. */
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
        "change-id": `setup-change-${++this.#changes}`,
      },
      body: JSON.stringify(record),
    });
    const reply = await res.json() as { version: number };
    if (!res.ok) {
      throw new Error(
        `${record.kind}/${record.name}: ${JSON.stringify(reply)}`,
      );
    }
    return reply.version;
  }

  /** Status of one VM, or undefined when it does not answer. */
  async readStatus(vm: EntryVm): Promise<VmStatus | undefined> {
    try {
      const res = await fetch(`${vm.operatorUrl}/v1/status?scope=this`, {
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        signal: AbortSignal.timeout(1500),
      });
      const { vms } = await res.json() as {
        vms: { vm: string; status: VmStatus }[];
      };
      return vms.find((one) => one.vm === vm.id)?.status;
    } catch {
      return undefined;
    }
  }

  /** Waits until a condition on the status of all running VMs holds. */
  async waitFor(
    holds: (status: VmStatus) => boolean,
    options: { timeoutMs?: number } = {},
  ): Promise<void> {
    const endsAt = performance.now() + (options.timeoutMs ?? 15_000);
    for (;;) {
      const running = this.vms.filter((vm) => vm.state === "up");
      const statuses = await Promise.all(
        running.map((vm) => this.readStatus(vm)),
      );
      if (statuses.every((status) => status !== undefined && holds(status))) {
        return;
      }
      if (performance.now() > endsAt) {
        throw new Error(`VMs did not settle: ${JSON.stringify(statuses)}`);
      }
      await sleep(50);
    }
  }

  /** Waits until all running VMs are ready and see each other within their cell. */
  async waitUntilReady(): Promise<void> {
    const running = this.vms.filter((vm) => vm.state === "up");
    const sizes = new Map<string, number>();
    for (const { cell } of running) sizes.set(cell, (sizes.get(cell) ?? 0) + 1);
    await this.waitFor((status) => {
      const alive = status.peers.filter((peer) =>
        peer.alive && peer.state === "ready"
      ).length;
      return status.state === "ready" &&
        alive === (sizes.get(status.cell) ?? 1) - 1;
    });
  }

  /** Waits until every running VM has a record in force at a version or above. */
  async waitForRecord(
    record: { kind: string; name: string },
    version: number,
  ): Promise<void> {
    await this.waitFor((status) =>
      status.records.some((one) =>
        one.kind === record.kind && one.name === record.name &&
        one.version >= version
      )
    );
  }

  /** Tells the platform's VM list what runs. */
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

  /** The VM list shows an upstream as leaving. */
  async setUpstreamLeaving(id: string, leaving: boolean): Promise<void> {
    if (leaving) this.#leavingUpstreams.add(id);
    else this.#leavingUpstreams.delete(id);
    await this.publishVms();
  }

  /** Kills a VM without warning. */
  async kill(id: string): Promise<void> {
    const vm = this.getVm(id);
    vm.state = "down";
    const exit = waitForExit(vm.child);
    vm.child.kill("SIGCONT");
    vm.child.kill("SIGKILL");
    await exit;
  }

  /** Pauses or resumes a VM's process. */
  setPaused(id: string, paused: boolean): void {
    const vm = this.getVm(id);
    vm.child.kill(paused ? "SIGSTOP" : "SIGCONT");
    vm.state = paused ? "paused" : "up";
  }

  /** Drains a VM and returns its exit code. */
  async drain(id: string): Promise<number | null> {
    const vm = this.getVm(id);
    const exit = waitForExit(vm.child);
    vm.child.kill("SIGTERM");
    const code = await exit;
    vm.state = "down";
    return code;
  }

  /** Starts a VM again that is down. */
  async restart(id: string): Promise<void> {
    const vm = this.getVm(id);
    await this.#launch(vm);
    await this.publishVms();
  }

  async #startStandIns(): Promise<void> {
    const { engines, services, seed = 1, engineProcesses = 2 } = this.spec;
    const platform = [{ kind: "platform", id: "platform" }];
    const groups: object[][] = Array.from(
      { length: engineProcesses },
      () => [],
    );
    let next = 0;
    for (const list of Object.values(engines)) {
      for (const engine of list) {
        groups[next++ % engineProcesses]!.push({ ...engine, kind: "engine" });
      }
    }
    const plain = Object.values(services).flat().map((server) => ({
      ...server,
      kind: "service",
    }));
    const script = findScript("@bitternfall/stand-ins", "main.js");
    const specs = [platform, plain, ...groups].filter((group) =>
      group.length > 0
    );
    const started = await Promise.all(
      specs.map((group, index) =>
        this.#group.start({
          script,
          args: [JSON.stringify(group), String(seed * 100 + index)],
          name: `stand-ins-${index}`,
        })
      ),
    );
    for (const { greeting } of started) Object.assign(this.standIns, greeting);
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
    await this.#launch(vm);
  }

  async #launch(vm: EntryVm): Promise<void> {
    const file = path.join(this.directory, `${vm.id}.json`);
    fs.writeFileSync(file, JSON.stringify(this.#getSettings(vm)));
    const { child, greeting } = await this.#group.start({
      script: findScript("@bitternfall/daemon", "main.js"),
      args: ["--config", file],
      name: vm.id,
    });
    const { listening } = greeting as {
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
        tokenSha256: OPERATOR_SHA256,
        scopes: ["read", "write"],
      }],
      shutdown: { balancerLagMs: 300, graceMs: 20_000 },
      steward: { leaseMs: 2000, longestOrderMs: 500 },
      ...this.spec.settings,
    };
  }
}

/** What a VM says of itself. */
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
