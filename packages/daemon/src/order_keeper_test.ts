import { describe, expect, it } from "vitest";
import type { EngineOrder, EngineReport } from "@bitternfall/engine";
import { EventLog } from "@bitternfall/events";
import { ServerRole } from "@bitternfall/types";
import { OrderKeeper, type OrderKeeperOptions } from "./order_keeper.ts";

/** An engine that reports what a test sets and keeps its orders. */
class FakeEngine {
  readonly orders: EngineOrder[] = [];
  report: Pick<EngineReport, "role" | "adapters" | "changing"> = {
    role: ServerRole.Prefill,
    adapters: [],
    changing: false,
  };

  getReport(): Promise<EngineReport> {
    return Promise.resolve(this.report as EngineReport);
  }

  sendOrder(order: EngineOrder): Promise<void> {
    this.orders.push(order);
    return Promise.resolve();
  }
}

function createKeeper(engine: FakeEngine): OrderKeeper {
  const service = {
    checksFencing: true,
    adapters: ["tiles"],
    servers: [{ id: "e1", role: "decode" }],
  };
  const options = {
    lease: { getFence: () => 1, acquiredAt: 0 },
    leaseMs: 2000,
    longestOrderMs: 500,
    upstreams: { findEngine: () => engine },
    weights: { getLoadMs: () => Promise.resolve(0) },
    log: new EventLog({ level: "fatal" }),
    getSnapshot: () => ({ modelServices: new Map([["lm", service]]) }),
    plan: { owns: () => true },
  };
  return new OrderKeeper(options as unknown as OrderKeeperOptions);
}

describe("an engine that differs in two ways", () => {
  it("gets the second order as soon as the first shows", async () => {
    const engine = new FakeEngine();
    const keeper = createKeeper(engine);
    await keeper.reconcile();
    engine.report = { ...engine.report, role: ServerRole.Decode };
    await keeper.reconcile();
    expect(engine.orders.map(({ role, adapter }) => role ?? adapter))
      .toEqual([ServerRole.Decode, "tiles"]);
  });

  it("is left alone with an order that has not shown", async () => {
    const engine = new FakeEngine();
    const keeper = createKeeper(engine);
    await keeper.reconcile();
    await keeper.reconcile();
    expect(engine.orders).toHaveLength(1);
  });
});
