/**
 * Carries planned faults out on a deployment and takes them back.
 * @module
 */
import { Direction } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import type { Deployment, EntryVm } from "./deployment.ts";
import type { PlannedFault } from "./fault_plan.ts";
import { FaultKind } from "./fault_scenario.ts";

/** Times at which upstreams began and ceased to leave, in ms since the epoch. */
export interface LeavingPeriod {
  readonly id: string;
  readonly from: number;
  to: number;
}

/** What the checks need to know of the faults. */
export interface FaultRecord {
  readonly leaving: LeavingPeriod[];
  /** Entry VMs that died or were paused, with the time span, on the monotonic clock. */
  readonly disturbed: { vm: string; from: number; to: number }[];
  /** Drains: exit codes of SIGTERM. */
  readonly drains: { vm: string; code: number | null }[];
  readonly lines: string[];
}

const RESTART_AFTER_MS = 300;

/** Carries faults out on one deployment. */
export class FaultActions {
  readonly record: FaultRecord = {
    leaving: [],
    disturbed: [],
    drains: [],
    lines: [],
  };
  readonly #deployment: Deployment;
  readonly #startedAt = performance.now();

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Carries one fault out; resolves once it is taken back. */
  async run(fault: PlannedFault): Promise<void> {
    const lastMs = fault.until - fault.at;
    switch (fault.kind) {
      case FaultKind.KillEntry:
        return await this.#killVms(this.#pickVms(fault, 1), lastMs);
      case FaultKind.KillDispatcherAndEntry:
        return await this.#killVms(
          await this.#pickDispatcherAndOther(fault),
          lastMs,
        );
      case FaultKind.KillZone:
        return await this.#killVms(this.#pickZone(fault), lastMs);
      case FaultKind.PauseEntry:
        return await this.#pause(fault, lastMs);
      case FaultKind.DrainEntry:
        return await this.#drain(fault);
      case FaultKind.LeavingUpstream:
        return await this.#leave(fault, lastMs);
      case FaultKind.SilencePeers:
      case FaultKind.SilencePlatform:
      case FaultKind.SilenceEngine:
      case FaultKind.SilenceService:
      case FaultKind.ResetEngine:
      case FaultKind.ResetPeers:
      case FaultKind.DelayEngine:
        return await this.#disturbLink(fault, lastMs);
      case FaultKind.ConfigRace:
        // The load generator writes racing changes all the time.
        return;
      default:
        return await this.#disturbStandIn(fault, lastMs);
    }
  }

  #note(fault: PlannedFault, target: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.record.lines.push(`${at} ms ${fault.kind} ${target}`);
  }

  #running(): EntryVm[] {
    return this.#deployment.vms.filter((vm) =>
      vm.state === "up" && vm.vmState === "live"
    );
  }

  /** VMs to take down, leaving at least one. */
  #pickVms(fault: PlannedFault, count: number): EntryVm[] {
    const running = this.#running();
    const start = Math.floor(fault.pick * running.length);
    const picked = running.map((_, index) =>
      running[(start + index) % running.length]!
    );
    return picked.slice(0, Math.max(0, Math.min(count, running.length - 1)));
  }

  async #pickDispatcherAndOther(fault: PlannedFault): Promise<EntryVm[]> {
    for (const vm of this.#running()) {
      const status = await this.#deployment.readStatus(vm);
      if (!status?.dispatcherOf.length) continue;
      const others = this.#pickVms(fault, 2).filter((other) => other !== vm);
      return [vm, ...others.slice(0, 1)].slice(0, this.#running().length - 1);
    }
    return this.#pickVms(fault, 1);
  }

  #pickZone(fault: PlannedFault): EntryVm[] {
    const { zones } = this.#deployment.spec;
    const zone = zones[Math.floor(fault.pick * zones.length)];
    const picked = this.#running().filter((vm) => vm.availabilityZone === zone);
    return picked.length < this.#running().length ? picked : [];
  }

  async #killVms(vms: readonly EntryVm[], lastMs: number): Promise<void> {
    const from = performance.now();
    const spans = vms.map((vm) => ({ vm: vm.id, from, to: Infinity }));
    this.record.disturbed.push(...spans);
    this.record.lines.push(
      `${Math.round(from - this.#startedAt)} ms kill ${
        vms.map((vm) => vm.id).join(" ")
      }`,
    );
    await Promise.all(vms.map((vm) => this.#deployment.kill(vm.id)));
    await sleep(Math.max(RESTART_AFTER_MS, lastMs));
    await Promise.all(vms.map((vm) => this.#deployment.restart(vm.id)));
    for (const span of spans) span.to = performance.now();
  }

  async #pause(fault: PlannedFault, lastMs: number): Promise<void> {
    const [vm] = this.#pickVms(fault, 1);
    if (vm === undefined) return;
    this.#note(fault, vm.id);
    const span = { vm: vm.id, from: performance.now(), to: Infinity };
    this.record.disturbed.push(span);
    this.#deployment.setPaused(vm.id, true);
    await sleep(lastMs);
    if (vm.state === "paused") this.#deployment.setPaused(vm.id, false);
    span.to = performance.now();
  }

  async #drain(fault: PlannedFault): Promise<void> {
    const [vm] = this.#pickVms(fault, 1);
    if (vm === undefined) return;
    this.#note(fault, vm.id);
    vm.vmState = "leaving";
    const code = await this.#deployment.drain(vm.id);
    this.record.drains.push({ vm: vm.id, code });
    vm.vmState = "live";
    await this.#deployment.restart(vm.id);
  }

  async #leave(fault: PlannedFault, lastMs: number): Promise<void> {
    const id = this.#pickUpstream(fault, "any");
    this.#note(fault, id);
    await this.#deployment.setUpstreamLeaving(id, true);
    const period = { id, from: Date.now(), to: Infinity };
    this.record.leaving.push(period);
    await sleep(Math.max(lastMs, 5000));
    period.to = Date.now();
    await this.#deployment.setUpstreamLeaving(id, false);
  }

  async #disturbLink(fault: PlannedFault, lastMs: number): Promise<void> {
    const direction = [
      Direction.Both,
      Direction.ToClient,
      Direction.ToServer,
    ][Math.floor(fault.pick * 30) % 3]!;
    const vm = this.#pickVms(fault, 1)[0] ?? this.#deployment.vms[0]!;
    if (
      fault.kind === FaultKind.SilencePeers ||
      fault.kind === FaultKind.ResetPeers
    ) {
      this.#note(fault, vm.id);
      if (fault.kind === FaultKind.SilencePeers) {
        vm.peerProxy.silenceConnections(direction);
      } else vm.peerProxy.resetConnections();
      return;
    }
    if (fault.kind === FaultKind.SilencePlatform) {
      this.#note(fault, vm.id);
      return vm.platformProxy.silenceConnections(direction);
    }
    const id = this.#pickUpstream(
      fault,
      fault.kind === FaultKind.SilenceService ? "service" : "engine",
    );
    const proxy = this.#deployment.getProxy(id);
    this.#note(fault, `${id} ${direction}`);
    if (fault.kind === FaultKind.ResetEngine) return proxy.resetConnections();
    if (fault.kind !== FaultKind.DelayEngine) {
      return proxy.silenceConnections(direction);
    }
    proxy.delayMs = 50;
    await sleep(lastMs);
    proxy.delayMs = 0;
  }

  async #disturbStandIn(fault: PlannedFault, lastMs: number): Promise<void> {
    const plan = STAND_IN_FAULTS[fault.kind];
    if (plan === undefined) throw new Error(`no action for ${fault.kind}`);
    const id = plan.target === "platform"
      ? "platform"
      : this.#pickUpstream(fault, plan.target);
    this.#note(fault, id);
    await this.#deployment.setFaults(id, plan.on);
    if (plan.off === undefined) return;
    await sleep(lastMs);
    await this.#deployment.setFaults(id, plan.off);
  }

  #pickUpstream(
    fault: PlannedFault,
    kind: "engine" | "decode" | "service" | "any",
  ): string {
    const { engines, services } = this.#deployment.spec;
    const models = Object.values(engines).flat().filter((one) =>
      kind !== "decode" || one.role === "decode"
    );
    const plain = Object.values(services).flat();
    const candidates = kind === "service"
      ? plain
      : kind === "any"
      ? [...models, ...plain]
      : models;
    return candidates[Math.floor(fault.pick * candidates.length)]!.id;
  }
}

interface StandInFault {
  readonly target: "platform" | "engine" | "decode" | "service";
  readonly on: object;
  readonly off?: object;
}

const STAND_IN_FAULTS: { readonly [kind in FaultKind]?: StandInFault } = {
  [FaultKind.CrashEngine]: { target: "engine", on: { crash: true } },
  [FaultKind.FreezeEngine]: {
    target: "decode",
    on: { frozen: true },
    off: { frozen: false },
  },
  [FaultKind.FailingEngine]: {
    target: "engine",
    on: { failShare: 0.5 },
    off: { failShare: 0 },
  },
  [FaultKind.LoseCancels]: {
    target: "engine",
    on: { loseCancels: 0.7 },
    off: { loseCancels: 0 },
  },
  [FaultKind.DoubleEvents]: {
    target: "decode",
    on: { doubleEvents: true },
    off: { doubleEvents: false },
  },
  [FaultKind.StoreDown]: {
    target: "platform",
    on: { down: true },
    off: { down: false },
  },
  [FaultKind.StoreSlow]: {
    target: "platform",
    on: { slowMs: 400 },
    off: { slowMs: 0 },
  },
  [FaultKind.StoreLimited]: {
    target: "platform",
    on: { writesPerSecond: 3 },
    off: { writesPerSecond: 300 },
  },
  [FaultKind.LoseStoreReplies]: {
    target: "platform",
    on: { loseReplies: 0.5 },
    off: { loseReplies: 0 },
  },
  [FaultKind.SilentWatch]: {
    target: "platform",
    on: { silentWatch: true },
    off: { silentWatch: false },
  },
  [FaultKind.LoseServiceReplies]: {
    target: "service",
    on: { loseReplies: 0.5 },
    off: { loseReplies: 0 },
  },
  [FaultKind.SlowService]: {
    target: "service",
    on: { delayMs: 1200 },
    off: { delayMs: 2 },
  },
};
