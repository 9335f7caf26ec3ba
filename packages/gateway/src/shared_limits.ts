/**
 * What the VMs of a deployment may use together, and this VM's share of it.
 * @module
 */
import { RetryBudget } from "@bitternfall/dispatch";
import { LatencyWindow } from "@bitternfall/service";
import type { GatewayService } from "./model.ts";

/** Options of {@link SharedLimits}. */
export interface SharedLimitsOptions {
  /** Repeats of all VMs: a share of the requests, and a burst beside it. */
  readonly retryBudget: { readonly ratio: number; readonly slack: number };
}

/** Share of the deployment's retry budget that is used, the rest being a margin. */
const BUDGET_SHARE = 0.7;
/** Share of a server's connections that all VMs together take. */
const CONNECTION_SHARE = 0.9;

/** Budgets and measures by service and route. */
export class SharedLimits {
  #options: SharedLimitsOptions;
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #latencies = new Map<string, LatencyWindow>();
  #vms = 1;

  constructor(options: SharedLimitsOptions) {
    this.#options = options;
  }

  /** Sets the number of VMs that share, this one among them. */
  setVms(count: number): void {
    this.#vms = Math.max(1, count);
    this.#configureBudgets();
  }

  /** Takes another budget into force. */
  configure(options: SharedLimitsOptions): void {
    this.#options = options;
    this.#configureBudgets();
  }

  #configureBudgets(): void {
    for (const budget of this.#budgets.values()) {
      budget.configure(this.#getBudgetBounds());
    }
  }

  /** Retry budget of a service. */
  getBudget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const bounds = this.#getBudgetBounds();
      budget = new RetryBudget({ ...bounds, initial: bounds.burst });
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** Recent latencies of a route. */
  getLatencies(route: string): LatencyWindow {
    let window = this.#latencies.get(route);
    if (window === undefined) {
      window = new LatencyWindow();
      this.#latencies.set(route, window);
    }
    return window;
  }

  /** Calls that one server of a service may have under way from here. */
  getMaxOutstanding({ maxConnections }: GatewayService): number {
    const share = CONNECTION_SHARE * maxConnections / this.#vms;
    return Math.max(1, Math.floor(share));
  }

  /** What all VMs together may repeat of one service's requests. */
  get wholeBudget(): { share: number; burst: number } {
    const { ratio, slack } = this.#options.retryBudget;
    return { share: BUDGET_SHARE * ratio, burst: BUDGET_SHARE * slack };
  }

  #getBudgetBounds(): { share: number; burst: number } {
    const { share, burst } = this.wholeBudget;
    return { share, burst: Math.max(1, burst / this.#vms) };
  }
}
