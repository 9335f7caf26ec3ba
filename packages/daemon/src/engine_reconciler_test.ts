import { describe, expect, it } from "vitest";
import type { EngineOrder, EngineReport } from "@bitternfall/engine";
import { EventLog } from "@bitternfall/events";
import { ServerRole } from "@bitternfall/types";
import {
  EngineReconciler,
  type EngineReconcilerOptions,
} from "./engine_reconciler.ts";

/** An engine that returns a report set by the test and records the orders it receives. */
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

function createReconciler(engine: FakeEngine): EngineReconciler {
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
  return new EngineReconciler(options as unknown as EngineReconcilerOptions);
}

describe("EngineReconciler", () => {
  it("sends an engine the second order as soon as its report shows the effect of the first", async () => {
    const engine = new FakeEngine();
    const reconciler = createReconciler(engine);
    await reconciler.reconcile();
    engine.report = { ...engine.report, role: ServerRole.Decode };
    await reconciler.reconcile();
    expect(engine.orders.map(({ role, adapter }) => role ?? adapter))
      .toEqual([ServerRole.Decode, "tiles"]);
  });

  it("does not repeat an order while its effect is pending", async () => {
    const engine = new FakeEngine();
    const reconciler = createReconciler(engine);
    await reconciler.reconcile();
    await reconciler.reconcile();
    expect(engine.orders).toHaveLength(1);
  });
});
