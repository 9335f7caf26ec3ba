/**
 * Limits that apply to all VMs of a deployment together, and this VM's share of them.
 * @module
 */
import { RetryBudget } from "@bitternfall/dispatch";
import { LatencyWindow } from "@bitternfall/service";
import type { GatewayService } from "./model.ts";

/** Options of {@link SharedLimits}. */
export interface SharedLimitsOptions {
  /** Retries of all VMs: a ratio of the requests, plus a burst. */
  readonly retryBudget: { readonly ratio: number; readonly slack: number };
}

/** Share of the deployment's retry budget that is used; the rest is a safety margin. */
const RETRY_BUDGET_SHARE = 0.7;
/** Share of a server's connections that all VMs together may use. */
const CONNECTION_SHARE = 0.9;

/** Retry budgets by service, latencies by route, and limits on connections. */
export class SharedLimits {
  #options: SharedLimitsOptions;
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #latencies = new Map<string, LatencyWindow>();
  #vmCount = 1;

  constructor(options: SharedLimitsOptions) {
    this.#options = options;
  }

  /** Sets the number of VMs that share the limits, including this one. */
  setVmCount(count: number): void {
    this.#vmCount = Math.max(1, count);
    this.#configureBudgets();
  }

  /** Applies a changed retry budget. */
  configure(options: SharedLimitsOptions): void {
    this.#options = options;
    this.#configureBudgets();
  }

  #configureBudgets(): void {
    for (const budget of this.#budgets.values()) {
      budget.configure(this.#getVmBudget());
    }
  }

  /** This VM's retry budget for a service. */
  getRetryBudget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const vmBudget = this.#getVmBudget();
      budget = new RetryBudget({ ...vmBudget, initial: vmBudget.burst });
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** Recent latencies of a route. */
  getLatencyWindow(route: string): LatencyWindow {
    let window = this.#latencies.get(route);
    if (window === undefined) {
      window = new LatencyWindow();
      this.#latencies.set(route, window);
    }
    return window;
  }

  /** Calls that this VM may have in flight at one server of a service. */
  getMaxOutstanding({ maxConnections }: GatewayService): number {
    const share = CONNECTION_SHARE * maxConnections / this.#vmCount;
    return Math.max(1, Math.floor(share));
  }

  /** Retries that all VMs together may make of one service's requests. */
  get totalRetryBudget(): { share: number; burst: number } {
    const { ratio, slack } = this.#options.retryBudget;
    return {
      share: RETRY_BUDGET_SHARE * ratio,
      burst: RETRY_BUDGET_SHARE * slack,
    };
  }

  #getVmBudget(): { share: number; burst: number } {
    const { share, burst } = this.totalRetryBudget;
    return { share, burst: Math.max(1, burst / this.#vmCount) };
  }
}
