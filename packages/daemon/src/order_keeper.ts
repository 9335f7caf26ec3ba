/**
 * Brings engines to the state that the records ask for: roles and adapters, one order
 * at a time for each engine, under the steward's fencing number.
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

/** Options of an {@link OrderKeeper}. */
export interface OrderKeeperOptions {
  readonly lease: Lease;
  readonly leaseMs: number;
  /** Longest time from sending an order to its arrival. */
  readonly longestOrderMs: number;
  readonly upstreams: Upstreams;
  readonly weights: WeightStoreClient | undefined;
  readonly log: EventLog;
  readonly getSnapshot: () => Snapshot;
  readonly plan: CellPlan;
}

const DEFAULT_LOAD_MS = 2000;
/** An order that shows no effect for this long is given again. */
const PATIENCE_MS = 8000;

/** What an engine is asked to change. */
type EngineChange = Pick<EngineOrder, "role" | "adapter">;

/** An order whose effect has not shown. */
interface PendingOrder {
  readonly change: EngineChange;
  /** The engine is left alone with it until then. */
  readonly until: number;
}

/** Issues the steward's orders. */
export class OrderKeeper {
  readonly #options: OrderKeeperOptions;
  /** The order that each engine got last, until its effect shows. */
  readonly #pending = new Map<string, PendingOrder>();
  #nextLoadAt = 0;

  constructor(options: OrderKeeperOptions) {
    this.#options = options;
  }

  /** Compares each engine with its record and orders what differs. */
  async reconcile(): Promise<void> {
    for (const service of this.#options.getSnapshot().modelServices.values()) {
      if (this.#mustWaitOut(service)) continue;
      await Promise.all(
        service.servers.filter((server) => this.#options.plan.owns(server)).map(
          (server) => this.#reconcileServer(service, server),
        ),
      );
    }
  }

  /** Where engines ignore old numbers, an earlier steward's last order must have arrived first. */
  #mustWaitOut(service: ModelService): boolean {
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
        this.#pending.delete(server.id);
        return;
      }
      if (this.#isPending(server.id, change)) return;
      if (
        change.adapter !== undefined && !await this.#takeLoad(change.adapter)
      ) return;
      await this.#send(server.id, change);
    } catch (err) {
      if (!(err instanceof EngineError)) throw err;
      if (err.detail.tag !== "stale_fence") return;
      this.#options.log.emit("orderRefused", {
        server: server.id,
        fence: err.detail.fence,
      });
    }
  }

  /** Another change than the one that was ordered shows that it has taken effect. */
  #isPending(serverId: string, { role, adapter }: EngineChange): boolean {
    const pending = this.#pending.get(serverId);
    if (pending === undefined || pending.until <= monotonicNow()) return false;
    const { change } = pending;
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

  /** Keeps loads one after the other at the weight store's rate. */
  async #takeLoad(adapter: string): Promise<boolean> {
    if (monotonicNow() < this.#nextLoadAt) return false;
    this.#nextLoadAt = Infinity;
    const loadMs = await this.#options.weights?.getLoadMs(adapter) ??
      DEFAULT_LOAD_MS;
    this.#nextLoadAt = monotonicNow() + loadMs;
    return true;
  }

  async #send(
    serverId: string,
    change: EngineChange,
  ): Promise<void> {
    const { lease, longestOrderMs, upstreams, log } = this.#options;
    // The lease must outlast the order's way, or a later steward could be overtaken by it.
    const fence = lease.getFence(longestOrderMs);
    if (fence === undefined) return;
    const order: EngineOrder = {
      orderId: crypto.randomUUID(),
      fence,
      ...change,
    };
    const until = monotonicNow() + PATIENCE_MS;
    this.#pending.set(serverId, { change, until });
    log.emit("orderIssued", {
      server: serverId,
      fence,
      role: change.role,
      adapter: change.adapter,
    });
    await upstreams.findEngine(serverId)?.sendOrder(order);
  }
}
