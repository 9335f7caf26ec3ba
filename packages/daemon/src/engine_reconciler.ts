/**
 * Reconciles the roles and adapters of engines with the records. Sends each engine one
 * order at a time, with the steward's fencing number.
 * @module
 */
import * as crypto from "node:crypto";
import {
  EngineError,
  type EngineOrder,
  type EngineReport,
} from "@bitternfall/engine";
import type { EventLog } from "@bitternfall/events";
import type { WeightStoreClient } from "@bitternfall/platform";
import type { ModelService, Snapshot } from "@bitternfall/records";
import { monotonicNow, ServerRole } from "@bitternfall/types";
import type { CellPlan } from "./cell_plan.ts";
import type { Lease } from "@bitternfall/lease";
import type { Upstreams } from "./upstreams.ts";

/** Options of an {@link EngineReconciler}. */
export interface EngineReconcilerOptions {
  readonly lease: Lease;
  readonly leaseMs: number;
  /** Longest time that an order takes from sending to arrival. */
  readonly longestOrderMs: number;
  readonly upstreams: Upstreams;
  readonly weights: WeightStoreClient | undefined;
  readonly log: EventLog;
  readonly getSnapshot: () => Snapshot;
  readonly plan: CellPlan;
}

/** Assumed time to load an adapter when no weight store reports it. */
const DEFAULT_ADAPTER_LOAD_MS = 2000;
/** An order is sent again if the engine's report doesn't show its effect after this long. */
const ORDER_RETRY_MS = 8000;

/** The change that an order asks for: a role or an adapter. */
type EngineChange = Pick<EngineOrder, "role" | "adapter">;

/** An order whose effect the engine's report doesn't show yet. */
interface PendingOrder {
  readonly change: EngineChange;
  /** The same order is not sent again before this time. */
  readonly retryAt: number;
}

/** Sends the steward's orders to engines. */
export class EngineReconciler {
  readonly #options: EngineReconcilerOptions;
  /** The last order to each engine, by server id, until the engine's report shows its effect. */
  readonly #pendingOrders = new Map<string, PendingOrder>();
  /** When the next adapter load may start, across all engines. */
  #nextAdapterLoadAt = 0;

  constructor(options: EngineReconcilerOptions) {
    this.#options = options;
  }

  /** Compares each engine of this cell with its record and sends an order where they differ. */
  async reconcile(): Promise<void> {
    for (const service of this.#options.getSnapshot().modelServices.values()) {
      if (this.#mustAwaitStaleOrders(service)) continue;
      await Promise.all(
        service.servers.filter((server) => this.#options.plan.owns(server)).map(
          (server) => this.#reconcileServer(service, server),
        ),
      );
    }
  }

  /**
   * Engines that don't check fencing numbers would also execute late orders of an earlier
   * steward, so a new steward first waits until the last of these must have arrived.
   */
  #mustAwaitStaleOrders(service: ModelService): boolean {
    const { lease, leaseMs, longestOrderMs } = this.#options;
    if (service.checksFencing) return false;
    return monotonicNow() - lease.acquiredAt < leaseMs + longestOrderMs;
  }

  async #reconcileServer(
    service: ModelService,
    server: ModelService["servers"][number],
  ): Promise<void> {
    const engine = this.#options.upstreams.findEngine(server.id);
    if (engine === undefined) return;
    try {
      const report = await engine.getReport();
      const change = this.#findChange({ service, server, report });
      if (change === undefined) {
        this.#pendingOrders.delete(server.id);
        return;
      }
      if (this.#isPending(server.id, change)) return;
      if (
        change.adapter !== undefined &&
        !await this.#reserveAdapterLoad(change.adapter)
      ) return;
      await this.#sendOrder(server.id, change);
    } catch (err) {
      if (!(err instanceof EngineError)) throw err;
      if (err.detail.tag !== "stale_fence") return;
      this.#options.log.emit("orderRefused", {
        server: server.id,
        fence: err.detail.fence,
      });
    }
  }

  /**
   * Whether the same change has been ordered recently. If another change is due, the engine
   * has already carried out the last order.
   */
  #isPending(serverId: string, { role, adapter }: EngineChange): boolean {
    const order = this.#pendingOrders.get(serverId);
    if (order === undefined || order.retryAt <= monotonicNow()) {
      return false;
    }
    const { change } = order;
    return change.role === role && change.adapter === adapter;
  }

  #findChange(
    options: {
      service: ModelService;
      server: ModelService["servers"][number];
      report: EngineReport;
    },
  ): EngineChange | undefined {
    const { service, server, report } = options;
    if (report.changing) return undefined;
    const role = server.role === "prefill"
      ? ServerRole.Prefill
      : ServerRole.Decode;
    if (report.role !== role) return { role };
    const adapter = service.adapters.find((name) =>
      !report.adapters.includes(name)
    );
    return adapter === undefined ? undefined : { adapter };
  }

  /**
   * Reserves the weight store for loading an adapter; false while another load is assumed to
   * take place. Loads are ordered one after the other, at the weight store's rate.
   */
  async #reserveAdapterLoad(adapter: string): Promise<boolean> {
    if (monotonicNow() < this.#nextAdapterLoadAt) return false;
    this.#nextAdapterLoadAt = Infinity;
    const loadMs = await this.#options.weights?.getLoadMs(adapter) ??
      DEFAULT_ADAPTER_LOAD_MS;
    this.#nextAdapterLoadAt = monotonicNow() + loadMs;
    return true;
  }

  async #sendOrder(
    serverId: string,
    change: EngineChange,
  ): Promise<void> {
    const { lease, longestOrderMs, upstreams, log } = this.#options;
    // The lease must be valid until the order arrives, or the order could arrive after one
    // of the next steward.
    const fence = lease.getFence(longestOrderMs);
    if (fence === undefined) return;
    const order: EngineOrder = {
      orderId: crypto.randomUUID(),
      fence,
      ...change,
    };
    const retryAt = monotonicNow() + ORDER_RETRY_MS;
    this.#pendingOrders.set(serverId, { change, retryAt });
    log.emit("orderIssued", {
      server: serverId,
      fence,
      role: change.role,
      adapter: change.adapter,
    });
    await upstreams.findEngine(serverId)?.sendOrder(order);
  }
}
