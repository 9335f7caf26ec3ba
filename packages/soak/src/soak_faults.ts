/**
 * Injects the planned faults of a soak, and removes each after its duration.
 * @module
 */
import {
  Direction,
  type FaultProxy,
  Misbehaviour,
  type PlatformFaults,
} from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { STORE } from "./disturbances.ts";
import { BodyLoad } from "./soak_bodies.ts";
import type { SoakClients } from "./soak_clients.ts";
import { getRepeatedPayload } from "./soak_config.ts";
import { LostLinks } from "./lost_links.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakVm } from "./soak_processes.ts";
import { FLOOD_FAULTS, type PlannedFault, SoakFault } from "./soak_plan.ts";
import { pickFlood } from "./soak_floods.ts";
import type { SoakServer } from "./soak_server.ts";
import { stopUnderLongWork } from "./soak_stops.ts";
import { surge } from "./soak_workspaces.ts";

const LINK_DELAY_MS = 80;
const STORE_DELAY_MS = 300;
const LOST_REPLY_SHARE = 0.4;
/** Requests a second that a limited server takes; less than its part of the load. */
const MIN_LIMIT = 1;
const MAX_LIMIT = 2;
/** Shortest pause that a server asks for; longer than a repeat without a pause waits. */
const MIN_PAUSE_S = 2;
/** Time from the end of a server that has said that it leaves until it starts again. */
const LEAVE_DOWN_MS = 500;
/** A drain lasts at least this long; only the time after `drainNoticeMs` is checked. */
const MIN_DRAIN_MS = 5000;

const MISBEHAVIOURS: { readonly [kind in SoakFault]?: Misbehaviour } = {
  [SoakFault.RefusingServer]: Misbehaviour.Refuse,
  [SoakFault.FailingServer]: Misbehaviour.Fail,
  [SoakFault.ResettingServer]: Misbehaviour.Reset,
  [SoakFault.HangingServer]: Misbehaviour.Hang,
  [SoakFault.CuttingServer]: Misbehaviour.CutStream,
  [SoakFault.UnsealedServer]: Misbehaviour.Unsealed,
  [SoakFault.CrossingServer]: Misbehaviour.Crossed,
};

const STORE_FAULTS: {
  readonly [kind in SoakFault]?: {
    readonly on: Partial<PlatformFaults>;
    readonly off: Partial<PlatformFaults>;
  };
} = {
  [SoakFault.StoreDown]: { on: { down: true }, off: { down: false } },
  [SoakFault.StoreSlow]: {
    on: { slowMs: STORE_DELAY_MS },
    off: { slowMs: 0 },
  },
  [SoakFault.LoseStoreReplies]: {
    on: { loseReplies: LOST_REPLY_SHARE },
    off: { loseReplies: 0 },
  },
  [SoakFault.SilentWatch]: {
    on: { silentWatch: true },
    off: { silentWatch: false },
  },
};

const DIRECTIONS = [Direction.Both, Direction.ToClient, Direction.ToServer];

/** Injects faults into one fleet. */
export class SoakFaultInjector {
  /** One line for each injected fault, with its start, target and duration. */
  readonly lines: string[] = [];
  readonly #fleet: SoakFleet;
  readonly #signal: AbortSignal;
  readonly #clients: SoakClients;
  readonly #bodyLoad: BodyLoad;
  readonly #startedAt = performance.now();

  constructor(
    fleet: SoakFleet,
    { clients, signal }: { clients: SoakClients; signal: AbortSignal },
  ) {
    this.#fleet = fleet;
    this.#signal = signal;
    this.#clients = clients;
    this.#bodyLoad = new BodyLoad(fleet, clients);
  }

  /** Injects one fault; resolves once it is removed. */
  async inject(fault: PlannedFault): Promise<void> {
    const { kind, pick, durationMs } = fault;
    const { vms, servers, registry } = this.#fleet;
    const vm = vms[Math.floor(pick * vms.length)]!;
    const server = servers[Math.floor(pick * servers.length)]!;
    const storeFault = STORE_FAULTS[kind];
    const misbehaviour = MISBEHAVIOURS[kind];
    const isFlood = FLOOD_FAULTS.includes(kind);
    const target = isFlood ? `${vm.id} ${pickFlood(fault)}` : vm.id;
    this.#recordFault(fault, kind.includes("server") ? server.id : target);
    if (storeFault !== undefined) {
      return await this.#disturbStore(storeFault, durationMs);
    }
    if (misbehaviour !== undefined) {
      return await this.#makeMisbehave(server, misbehaviour, durationMs);
    }
    switch (kind) {
      case SoakFault.KillVm:
        return await this.#fleet.kill(vm, durationMs / 4);
      case SoakFault.PauseVm:
        return await this.#fleet.pause(vm, durationMs);
      case SoakFault.RestartVm:
        return await this.#fleet.restart(vm);
      case SoakFault.ReloadVm:
        return await this.#fleet.reload(vm);
      case SoakFault.ChangeConfig:
        return await registry.changeConfig(this.#signal);
      case SoakFault.DrainServer:
        return await this.#drain(server, durationMs);
      case SoakFault.CrashServer:
        return await this.#fleet.crash(server, durationMs);
      case SoakFault.CrashingPrompts:
        return await this.#sendCrashingPrompts(durationMs);
      case SoakFault.UpgradeServer:
        return await this.#upgrade(pick, durationMs);
      case SoakFault.LoseLinks:
        return await this.#fleet.loseLinks(vm, pickLostLinks(pick), durationMs);
      case SoakFault.KillAllVms:
        await Promise.all(
          vms.map((each) => this.#fleet.kill(each, durationMs)),
        );
        return;
      case SoakFault.LeavingServer:
        return await this.#leave(server, durationMs);
      case SoakFault.PausingServer:
        return await this.#pauseRequests(server, fault);
      case SoakFault.BusyPort:
      case SoakFault.EarlyReload:
        return await this.#fleet.startDisturbed(vm, fault);
      case SoakFault.LargeBodies:
        return await this.#bodyLoad.post(vm, fault);
      case SoakFault.SlowReaders:
        return await this.#bodyLoad.read(vm, fault);
      case SoakFault.StopUnderWork:
        return await stopUnderLongWork(vm, fault, {
          fleet: this.#fleet,
          clients: this.#clients,
        });
      case SoakFault.CallerSurge:
        return await surge(vm, fault, {
          fleet: this.#fleet,
          clients: this.#clients,
        });
      case SoakFault.FloodedAnswers:
        return await this.#fleet.floods.floodAsServer(vm, fault);
      case SoakFault.FloodedObjects:
        return await this.#fleet.floods.floodAsStore(vm, fault);
      case SoakFault.FloodingCallers:
        return await this.#fleet.floods.floodAsCallers(vm, fault);
      case SoakFault.LimitedServer:
        return await this.#limit(server, fault);
      default:
        return await this.#disturbLink(fault, { vm, server });
    }
  }

  #recordFault({ kind, durationMs }: PlannedFault, target: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.lines.push(
      `${at} ms ${kind} ${target} for ${Math.round(durationMs)} ms`,
    );
  }

  async #disturbStore(
    { on, off }: { on: object; off: object },
    durationMs: number,
  ): Promise<void> {
    const endDisturbance = this.#fleet.disturbances.begin(STORE);
    Object.assign(this.#fleet.store.faults, on);
    await sleep(durationMs);
    Object.assign(this.#fleet.store.faults, off);
    endDisturbance();
  }

  async #makeMisbehave(
    server: SoakServer,
    misbehaviour: Misbehaviour,
    durationMs: number,
  ): Promise<void> {
    const { current } = server;
    current.misbehaviour = misbehaviour;
    await sleep(durationMs);
    current.misbehaviour = Misbehaviour.None;
  }

  async #drain(server: SoakServer, durationMs: number): Promise<void> {
    if (server.isDraining) return;
    server.isDraining = true;
    await sleep(Math.max(MIN_DRAIN_MS, durationMs));
    server.isDraining = false;
  }

  /** Has callers send prompts with a new part, and repeat a request, that end servers. */
  async #sendCrashingPrompts(durationMs: number): Promise<void> {
    const { crashingParts, crashingBodies, sentParts } = this.#fleet;
    const part = `bad${crashingParts.size + 1}`;
    crashingParts.add(part);
    crashingBodies.add(getRepeatedPayload(part));
    sentParts.add(part);
    await sleep(durationMs, this.#signal);
    sentParts.delete(part);
  }

  async #upgrade(pick: number, durationMs: number): Promise<void> {
    const decodes = this.#fleet.servers.filter(({ spec }) =>
      spec.role === "decode"
    );
    const server = decodes[Math.floor(pick * decodes.length)]!;
    if (!server.proxy.isListening) return;
    server.softwareVersion = server.softwareVersion === "v1" ? "v2" : "v1";
    this.#fleet.hasVersions = true;
    await this.#fleet.crash(server, durationMs);
  }

  /** Has a server say that it leaves, and start again after that. */
  async #leave(server: SoakServer, durationMs: number): Promise<void> {
    const { current } = server;
    if (!server.proxy.isListening || current.saysLeaving) return;
    current.saysLeaving = true;
    await sleep(durationMs, this.#signal);
    if (server.current === current) {
      await this.#fleet.crash(server, LEAVE_DOWN_MS);
    }
  }

  /** Has a server refuse requests, and say for how long it wants none. */
  async #pauseRequests(
    server: SoakServer,
    { durationMs, pick }: PlannedFault,
  ): Promise<void> {
    const { current } = server;
    current.retryAfter = String(MIN_PAUSE_S + Math.floor(pick * 1000) % 3);
    await this.#makeMisbehave(server, Misbehaviour.Refuse, durationMs);
    current.retryAfter = undefined;
  }

  async #limit(
    server: SoakServer,
    { durationMs, pick }: PlannedFault,
  ): Promise<void> {
    const endLimit = await server.nameLimit(
      MIN_LIMIT + Math.floor(pick * 1000) % (MAX_LIMIT - MIN_LIMIT + 1),
    );
    await sleep(durationMs);
    endLimit?.();
  }

  async #disturbLink(
    { kind, durationMs, pick }: PlannedFault,
    { vm, server }: { vm: SoakVm; server: SoakServer },
  ): Promise<void> {
    const [proxy, target] = pickLink(kind, { vm, server });
    const endDisturbance = this.#fleet.disturbances.begin(target);
    const isReset = LINK_RESETS.has(kind);
    const isDelay = LINK_DELAYS.has(kind);
    if (isReset) proxy.resetConnections();
    else if (isDelay) proxy.delayMs = LINK_DELAY_MS;
    else {
      proxy.silencesNewConnections = true;
      proxy.silenceConnections(DIRECTIONS[Math.floor(pick * 30) % 3]);
    }
    await sleep(isReset ? 0 : durationMs);
    proxy.delayMs = 0;
    proxy.silencesNewConnections = false;
    // Half of the time, silenced connections are reset; otherwise they stay silent, as after
    // the loss of a network route.
    if (!isReset && !isDelay && Math.floor(pick * 60) % 2 === 0) {
      proxy.resetConnections();
    }
    endDisturbance();
  }
}

const LINK_RESETS = new Set([
  SoakFault.ResetPeer,
  SoakFault.ResetServer,
  SoakFault.ResetStoreLink,
]);
const LINK_DELAYS = new Set([
  SoakFault.DelayPeer,
  SoakFault.DelayServer,
  SoakFault.DelayStoreLink,
]);
const STORE_LINK_FAULTS = new Set([
  SoakFault.SilenceStoreLink,
  SoakFault.ResetStoreLink,
  SoakFault.DelayStoreLink,
]);
const PEER_LINK_FAULTS = new Set([
  SoakFault.SilencePeer,
  SoakFault.ResetPeer,
  SoakFault.DelayPeer,
]);

function pickLostLinks(pick: number): LostLinks {
  const all = Object.values(LostLinks);
  return all[Math.floor(pick * 1000) % all.length]!;
}

/** Returns the proxy of the link that a fault hits, and the VM or server behind it. */
function pickLink(
  kind: SoakFault,
  { vm, server }: { vm: SoakVm; server: SoakServer },
): [FaultProxy, string] {
  if (STORE_LINK_FAULTS.has(kind)) return [vm.storeProxy, vm.id];
  if (PEER_LINK_FAULTS.has(kind)) return [vm.peerProxy, vm.id];
  return [server.proxy, server.id];
}
