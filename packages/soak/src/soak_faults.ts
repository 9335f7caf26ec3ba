/**
 * Carries the faults of a soak out, and takes them back.
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
import type { SoakFleet, SoakVm } from "./soak_fleet.ts";
import { type PlannedFault, SoakFault } from "./soak_plan.ts";
import type { SoakServer } from "./soak_server.ts";

const DELAY_MS = 80;
const STORE_SLOW_MS = 300;
const LOST_SHARE = 0.4;
/** Operators drain a server for at least this long. */
const DRAIN_MS = 5000;

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
    on: { slowMs: STORE_SLOW_MS },
    off: { slowMs: 0 },
  },
  [SoakFault.LoseStoreReplies]: {
    on: { loseReplies: LOST_SHARE },
    off: { loseReplies: 0 },
  },
  [SoakFault.SilentWatch]: {
    on: { silentWatch: true },
    off: { silentWatch: false },
  },
};

const DIRECTIONS = [Direction.Both, Direction.ToClient, Direction.ToServer];

/** Carries faults out on one fleet. */
export class SoakFaults {
  /** One line a fault, with when it began. */
  readonly lines: string[] = [];
  readonly #fleet: SoakFleet;
  readonly #signal: AbortSignal;
  readonly #startedAt = performance.now();

  constructor(fleet: SoakFleet, signal: AbortSignal) {
    this.#fleet = fleet;
    this.#signal = signal;
  }

  /** Carries one fault out; resolves once it is taken back. */
  async run(fault: PlannedFault): Promise<void> {
    const { kind, pick, lastMs } = fault;
    const { vms, servers, registry } = this.#fleet;
    const vm = vms[Math.floor(pick * vms.length)]!;
    const server = servers[Math.floor(pick * servers.length)]!;
    const storeFault = STORE_FAULTS[kind];
    const misbehaviour = MISBEHAVIOURS[kind];
    this.#note(fault, kind.includes("server") ? server.id : vm.id);
    if (storeFault !== undefined) {
      return await this.#disturbStore(storeFault, lastMs);
    }
    if (misbehaviour !== undefined) {
      return await this.#misbehave(server, misbehaviour, lastMs);
    }
    switch (kind) {
      case SoakFault.KillVm:
        return await this.#fleet.kill(vm, lastMs / 4);
      case SoakFault.PauseVm:
        return await this.#fleet.pause(vm, lastMs);
      case SoakFault.RestartVm:
        return await this.#fleet.restart(vm);
      case SoakFault.ReloadVm:
        return await this.#fleet.reload(vm);
      case SoakFault.ChangeConfig:
        return await registry.changeConfig(this.#signal);
      case SoakFault.DrainServer:
        return await this.#drain(server, lastMs);
      case SoakFault.CrashServer:
        return await this.#crash(server, lastMs);
      default:
        return await this.#disturbLink(fault, { vm, server });
    }
  }

  #note({ kind, lastMs }: PlannedFault, target: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.lines.push(`${at} ms ${kind} ${target} for ${Math.round(lastMs)} ms`);
  }

  async #disturbStore(
    { on, off }: { on: object; off: object },
    lastMs: number,
  ): Promise<void> {
    const end = this.#fleet.disturbances.begin(STORE);
    Object.assign(this.#fleet.store.faults, on);
    await sleep(lastMs);
    Object.assign(this.#fleet.store.faults, off);
    end();
  }

  async #misbehave(
    server: SoakServer,
    misbehaviour: Misbehaviour,
    lastMs: number,
  ): Promise<void> {
    const { current } = server;
    current.misbehaviour = misbehaviour;
    await sleep(lastMs);
    current.misbehaviour = Misbehaviour.None;
  }

  async #drain(server: SoakServer, lastMs: number): Promise<void> {
    if (server.isDraining) return;
    server.isDraining = true;
    await sleep(Math.max(DRAIN_MS, lastMs));
    server.isDraining = false;
  }

  async #crash(server: SoakServer, lastMs: number): Promise<void> {
    // A server that is down cannot die again.
    if (server.proxy.refusesNewConnections) return;
    const end = this.#fleet.disturbances.begin(server.id);
    await server.crash(sleep(lastMs));
    end();
  }

  async #disturbLink(
    { kind, lastMs, pick }: PlannedFault,
    { vm, server }: { vm: SoakVm; server: SoakServer },
  ): Promise<void> {
    const [proxy, target] = pickLink(kind, { vm, server });
    const end = this.#fleet.disturbances.begin(target);
    const isReset = RESETS.has(kind);
    const isDelay = DELAYS.has(kind);
    if (isReset) proxy.resetConnections();
    else if (isDelay) proxy.delayMs = DELAY_MS;
    else {
      proxy.silencesNewConnections = true;
      proxy.silenceConnections(DIRECTIONS[Math.floor(pick * 30) % 3]);
    }
    await sleep(isReset ? 0 : lastMs);
    proxy.delayMs = 0;
    proxy.silencesNewConnections = false;
    // Some connections stay silent for good, as after a lost route.
    if (!isReset && !isDelay && Math.floor(pick * 60) % 2 === 0) {
      proxy.resetConnections();
    }
    end();
  }
}

const RESETS = new Set([
  SoakFault.ResetPeer,
  SoakFault.ResetServer,
  SoakFault.ResetStoreLink,
]);
const DELAYS = new Set([
  SoakFault.DelayPeer,
  SoakFault.DelayServer,
  SoakFault.DelayStoreLink,
]);
const STORE_LINKS = new Set([
  SoakFault.SilenceStoreLink,
  SoakFault.ResetStoreLink,
  SoakFault.DelayStoreLink,
]);
const PEER_LINKS = new Set([
  SoakFault.SilencePeer,
  SoakFault.ResetPeer,
  SoakFault.DelayPeer,
]);

function pickLink(
  kind: SoakFault,
  { vm, server }: { vm: SoakVm; server: SoakServer },
): [FaultProxy, string] {
  if (STORE_LINKS.has(kind)) return [vm.storeProxy, vm.id];
  if (PEER_LINKS.has(kind)) return [vm.peerProxy, vm.id];
  return [server.proxy, server.id];
}
