/**
 * Injects planned faults into a deployment and reverts them.
 * @module
 */
import { Direction } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import type { Deployment, EntryVm } from "./deployment.ts";
import type { PlannedFault } from "./fault_plan.ts";
import { FaultKind } from "./fault_scenario.ts";

/** Period in which the VM list showed an upstream as leaving, in ms since the epoch. */
export interface LeavingPeriod {
  readonly id: string;
  readonly from: number;
  to: number;
}

/** Injected faults, as far as the checks need them. */
export interface InjectedFaults {
  readonly leavingPeriods: LeavingPeriod[];
  /** Periods in which an entry VM was killed or paused, on the monotonic clock. */
  readonly outages: { vm: string; from: number; to: number }[];
  /** Drained VMs with their exit codes after SIGTERM. */
  readonly drains: { vm: string; code: number | null }[];
  /** One line per fault, for the report. */
  readonly logLines: string[];
}

/** Shortest time between the kill of a VM and its restart. */
const MIN_DOWNTIME_MS = 300;

/** Injects faults into one deployment. */
export class FaultInjector {
  readonly injected: InjectedFaults = {
    leavingPeriods: [],
    outages: [],
    drains: [],
    logLines: [],
  };
  readonly #deployment: Deployment;
  readonly #startedAt = performance.now();

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /**
   * Injects one fault and resolves once it is reverted. Connections that were silenced or
   * reset are not restored; connections that open later work.
   */
  async inject(fault: PlannedFault): Promise<void> {
    const durationMs = fault.endMs - fault.startMs;
    switch (fault.kind) {
      case FaultKind.KillEntry:
        return await this.#killVms(this.#pickVms(fault, 1), durationMs);
      case FaultKind.KillDispatcherAndEntry:
        return await this.#killVms(
          await this.#pickDispatcherAndOther(fault),
          durationMs,
        );
      case FaultKind.KillZone:
        return await this.#killVms(this.#pickZone(fault), durationMs);
      case FaultKind.PauseEntry:
        return await this.#pauseVm(fault, durationMs);
      case FaultKind.DrainEntry:
        return await this.#drainVm(fault);
      case FaultKind.LeavingUpstream:
        return await this.#markUpstreamLeaving(fault, durationMs);
      case FaultKind.SilencePeers:
      case FaultKind.SilencePlatform:
      case FaultKind.SilenceEngine:
      case FaultKind.SilenceService:
      case FaultKind.ResetEngine:
      case FaultKind.ResetPeers:
      case FaultKind.DelayEngine:
        return await this.#injectLinkFault(fault, durationMs);
      case FaultKind.ConfigRace:
        // ConfigMonitor writes concurrent changes throughout the run.
        return;
      default:
        return await this.#injectStandInFault(fault, durationMs);
    }
  }

  #logFault(fault: PlannedFault, target: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.injected.logLines.push(`${at} ms ${fault.kind} ${target}`);
  }

  #listRunningVms(): EntryVm[] {
    return this.#deployment.vms.filter((vm) =>
      vm.state === "up" && vm.vmState === "live"
    );
  }

  /** Picks up to `count` running VMs; at least one is left running. */
  #pickVms(fault: PlannedFault, count: number): EntryVm[] {
    const running = this.#listRunningVms();
    const start = Math.floor(fault.targetDraw * running.length);
    const picked = running.map((_, index) =>
      running[(start + index) % running.length]!
    );
    return picked.slice(0, Math.max(0, Math.min(count, running.length - 1)));
  }

  /** Picks a dispatcher and one more VM; a single VM if none reports a dispatcher role. */
  async #pickDispatcherAndOther(fault: PlannedFault): Promise<EntryVm[]> {
    for (const vm of this.#listRunningVms()) {
      const status = await this.#deployment.readStatus(vm);
      if (!status?.dispatcherOf.length) continue;
      const others = this.#pickVms(fault, 2).filter((other) => other !== vm);
      return [vm, ...others.slice(0, 1)].slice(
        0,
        this.#listRunningVms().length - 1,
      );
    }
    return this.#pickVms(fault, 1);
  }

  /** Picks the running VMs of one zone; none if no VM runs in another zone. */
  #pickZone(fault: PlannedFault): EntryVm[] {
    const { zones } = this.#deployment.spec;
    const zone = zones[Math.floor(fault.targetDraw * zones.length)];
    const picked = this.#listRunningVms().filter((vm) =>
      vm.availabilityZone === zone
    );
    return picked.length < this.#listRunningVms().length ? picked : [];
  }

  async #killVms(vms: readonly EntryVm[], durationMs: number): Promise<void> {
    const from = performance.now();
    const outages = vms.map((vm) => ({ vm: vm.id, from, to: Infinity }));
    this.injected.outages.push(...outages);
    this.injected.logLines.push(
      `${Math.round(from - this.#startedAt)} ms kill ${
        vms.map((vm) => vm.id).join(" ")
      }`,
    );
    await Promise.all(vms.map((vm) => this.#deployment.kill(vm.id)));
    await sleep(Math.max(MIN_DOWNTIME_MS, durationMs));
    await Promise.all(vms.map((vm) => this.#deployment.restart(vm.id)));
    for (const outage of outages) outage.to = performance.now();
  }

  async #pauseVm(fault: PlannedFault, durationMs: number): Promise<void> {
    const [vm] = this.#pickVms(fault, 1);
    if (vm === undefined) return;
    this.#logFault(fault, vm.id);
    const outage = { vm: vm.id, from: performance.now(), to: Infinity };
    this.injected.outages.push(outage);
    this.#deployment.setPaused(vm.id, true);
    await sleep(durationMs);
    if (vm.state === "paused") this.#deployment.setPaused(vm.id, false);
    outage.to = performance.now();
  }

  async #drainVm(fault: PlannedFault): Promise<void> {
    const [vm] = this.#pickVms(fault, 1);
    if (vm === undefined) return;
    this.#logFault(fault, vm.id);
    vm.vmState = "leaving";
    const code = await this.#deployment.drain(vm.id);
    this.injected.drains.push({ vm: vm.id, code });
    vm.vmState = "live";
    await this.#deployment.restart(vm.id);
  }

  async #markUpstreamLeaving(
    fault: PlannedFault,
    durationMs: number,
  ): Promise<void> {
    const id = this.#pickUpstream(fault, "any");
    this.#logFault(fault, id);
    await this.#deployment.setUpstreamLeaving(id, true);
    const period = { id, from: Date.now(), to: Infinity };
    this.injected.leavingPeriods.push(period);
    // Longer than the notice period, after which the checks count work started on it.
    await sleep(Math.max(durationMs, 5000));
    period.to = Date.now();
    await this.#deployment.setUpstreamLeaving(id, false);
  }

  async #injectLinkFault(
    fault: PlannedFault,
    durationMs: number,
  ): Promise<void> {
    const direction = [
      Direction.Both,
      Direction.ToClient,
      Direction.ToServer,
    ][Math.floor(fault.targetDraw * 30) % 3]!;
    const vm = this.#pickVms(fault, 1)[0] ?? this.#deployment.vms[0]!;
    if (
      fault.kind === FaultKind.SilencePeers ||
      fault.kind === FaultKind.ResetPeers
    ) {
      this.#logFault(fault, vm.id);
      if (fault.kind === FaultKind.SilencePeers) {
        vm.peerProxy.silenceConnections(direction);
      } else vm.peerProxy.resetConnections();
      return;
    }
    if (fault.kind === FaultKind.SilencePlatform) {
      this.#logFault(fault, vm.id);
      return vm.platformProxy.silenceConnections(direction);
    }
    const id = this.#pickUpstream(
      fault,
      fault.kind === FaultKind.SilenceService ? "service" : "engine",
    );
    const proxy = this.#deployment.getProxy(id);
    this.#logFault(fault, `${id} ${direction}`);
    if (fault.kind === FaultKind.ResetEngine) return proxy.resetConnections();
    if (fault.kind !== FaultKind.DelayEngine) {
      return proxy.silenceConnections(direction);
    }
    proxy.delayMs = 50;
    await sleep(durationMs);
    proxy.delayMs = 0;
  }

  async #injectStandInFault(
    fault: PlannedFault,
    durationMs: number,
  ): Promise<void> {
    const effect = STAND_IN_FAULTS[fault.kind];
    if (effect === undefined) throw new Error(`no settings for ${fault.kind}`);
    const id = effect.target === "platform"
      ? "platform"
      : this.#pickUpstream(fault, effect.target);
    this.#logFault(fault, id);
    await this.#deployment.setFaults(id, effect.faultSettings);
    if (effect.restoreSettings === undefined) return;
    await sleep(durationMs);
    await this.#deployment.setFaults(id, effect.restoreSettings);
  }

  #pickUpstream(
    fault: PlannedFault,
    kind: "engine" | "decode" | "service" | "any",
  ): string {
    const { engines, services } = this.#deployment.spec;
    const candidateEngines = Object.values(engines).flat().filter((engine) =>
      kind !== "decode" || engine.role === "decode"
    );
    const serviceServers = Object.values(services).flat();
    const candidates = kind === "service"
      ? serviceServers
      : kind === "any"
      ? [...candidateEngines, ...serviceServers]
      : candidateEngines;
    return candidates[Math.floor(fault.targetDraw * candidates.length)]!.id;
  }
}

/** Settings that put a fault into effect on a stand-in, and those that revert it. */
interface StandInFault {
  readonly target: "platform" | "engine" | "decode" | "service";
  readonly faultSettings: object;
  /** Undefined for a one-time fault, which needs no reversal. */
  readonly restoreSettings?: object;
}

const STAND_IN_FAULTS: { readonly [kind in FaultKind]?: StandInFault } = {
  [FaultKind.CrashEngine]: { target: "engine", faultSettings: { crash: true } },
  [FaultKind.FreezeEngine]: {
    target: "decode",
    faultSettings: { frozen: true },
    restoreSettings: { frozen: false },
  },
  [FaultKind.FailingEngine]: {
    target: "engine",
    faultSettings: { failShare: 0.5 },
    restoreSettings: { failShare: 0 },
  },
  [FaultKind.LoseCancels]: {
    target: "engine",
    faultSettings: { loseCancels: 0.7 },
    restoreSettings: { loseCancels: 0 },
  },
  [FaultKind.DoubleEvents]: {
    target: "decode",
    faultSettings: { doubleEvents: true },
    restoreSettings: { doubleEvents: false },
  },
  [FaultKind.StoreDown]: {
    target: "platform",
    faultSettings: { down: true },
    restoreSettings: { down: false },
  },
  [FaultKind.StoreSlow]: {
    target: "platform",
    faultSettings: { slowMs: 400 },
    restoreSettings: { slowMs: 0 },
  },
  [FaultKind.StoreLimited]: {
    target: "platform",
    faultSettings: { writesPerSecond: 3 },
    restoreSettings: { writesPerSecond: 300 },
  },
  [FaultKind.LoseStoreReplies]: {
    target: "platform",
    faultSettings: { loseReplies: 0.5 },
    restoreSettings: { loseReplies: 0 },
  },
  [FaultKind.SilentWatch]: {
    target: "platform",
    faultSettings: { silentWatch: true },
    restoreSettings: { silentWatch: false },
  },
  [FaultKind.LoseServiceReplies]: {
    target: "service",
    faultSettings: { loseReplies: 0.5 },
    restoreSettings: { loseReplies: 0 },
  },
  [FaultKind.SlowService]: {
    target: "service",
    faultSettings: { delayMs: 1200 },
    restoreSettings: { delayMs: 2 },
  },
};
