/**
 * Faulty servers, object APIs and callers of a soak, which send bytes without end. They run
 * in a thread of their own, so that they hold up nothing but gateways.
 * @module
 */
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { findScript } from "@bitternfall/experiment";
import { CallerFlood, createRandom, ServerFlood } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import type { SoakFleet } from "./soak_fleet.ts";
import { type PlannedFault, SoakFault } from "./soak_plan.ts";
import type { SoakVm } from "./soak_processes.ts";

/** Data of the thread. */
export interface FloodThreadData {
  readonly storePort: number;
}

/** Ports of the thread's servers. */
export interface FloodPorts {
  /** Answers plain requests and decodes. */
  readonly server: number;
  readonly prefill: number;
  /** A front of the object API. */
  readonly store: number;
}

/** What the thread is told to send. */
export interface FloodOrder {
  readonly peer: "server" | "store" | "caller";
  /** A `CallerFlood` of callers, a `ServerFlood` of others. */
  readonly kind: string;
  /** Port of a gateway. */
  readonly port: number;
  readonly calls: number;
  readonly durationMs: number;
}

/** Services of the faulty servers, and the first parts of their paths. */
export const FLOODED_SERVICE = "flooded";
export const FLOODED_MODEL = "flooded-lm";
const MAX_CALLS = 40;

/** Floods single gateways. */
export class SoakFloods {
  readonly #fleet: SoakFleet;
  #worker: Worker | undefined;
  #ports: FloodPorts | undefined;

  constructor(fleet: SoakFleet) {
    this.#fleet = fleet;
  }

  /** Starts the thread, and returns the entries of its servers. */
  async start(storePort: number): Promise<readonly object[]> {
    const script = findScript("@bitternfall/soak", "flood_thread.js");
    const data: FloodThreadData = { storePort };
    this.#worker = new Worker(script, { workerData: data, execArgv: [] });
    const [ports] = await once(this.#worker, "message") as [FloodPorts];
    this.#ports = ports;
    const model = { service: FLOODED_MODEL };
    return [
      { service: FLOODED_SERVICE, port: ports.server },
      { ...model, role: "decode", port: ports.server },
      { ...model, role: "prefill", port: ports.prefill },
    ];
  }

  async close(): Promise<void> {
    await this.#worker?.terminate();
  }

  /** Has callers of a gateway meet a faulty server. */
  floodAsServer(vm: SoakVm, fault: PlannedFault): Promise<void> {
    return this.#flood(vm, fault, "server");
  }

  /** Has faulty callers call a gateway. */
  floodAsCallers(vm: SoakVm, fault: PlannedFault): Promise<void> {
    return this.#flood(vm, fault, "caller");
  }

  /** Has a gateway meet a faulty object API. */
  async floodAsStore(vm: SoakVm, fault: PlannedFault): Promise<void> {
    vm.storeProxy.setTarget({ host: "127.0.0.1", port: this.#ports!.store });
    vm.storeProxy.resetConnections();
    await this.#flood(vm, fault, "store");
    const port = Number(new URL(this.#fleet.store.address).port);
    vm.storeProxy.setTarget({ host: "127.0.0.1", port });
    vm.storeProxy.resetConnections();
  }

  async #flood(
    vm: SoakVm,
    fault: PlannedFault,
    peer: FloodOrder["peer"],
  ): Promise<void> {
    const { durationMs, pick } = fault;
    const load = { vm: vm.id, from: performance.now(), until: Infinity };
    this.#fleet.bodyLoads.push(load);
    const random = createRandom(Math.floor(pick * 2 ** 30));
    const order: FloodOrder = {
      peer,
      kind: pickFlood(fault),
      port: vm.callerPort,
      calls: 1 + Math.floor(random() * MAX_CALLS),
      durationMs,
    };
    this.#worker!.postMessage(order);
    await sleep(durationMs);
    load.until = performance.now();
  }
}

/** Returns the kind of a planned flood. */
export function pickFlood({ kind, pick }: PlannedFault): string {
  const kinds: readonly string[] = kind === SoakFault.FloodingCallers
    ? Object.values(CallerFlood)
    : Object.values(ServerFlood);
  return kinds[Math.floor(pick * 1000 % 1 * kinds.length)]!;
}
