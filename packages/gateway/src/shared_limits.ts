/**
 * Limits that apply to all VMs of a deployment together, and this VM's share of them.
 * @module
 */
import { RetryAllowance, type RetryBudgetOptions } from "@bitternfall/dispatch";
import { LatencyWindow } from "@bitternfall/service";
import { type Clock, monotonicNow } from "@bitternfall/types";
import type { GatewayService } from "./model.ts";

/** Options of {@link SharedLimits}. */
export interface SharedLimitsOptions {
  /** Retries that all VMs together may send to a service. */
  readonly retryBudget: RetryBudgetOptions;
  readonly now?: Clock;
}

/** Share of a server's connections that all VMs together may use. */
const CONNECTION_SHARE = 0.9;

/** Retry allowances by service, latencies by route, and limits on connections. */
export class SharedLimits {
  #retryBudget: RetryBudgetOptions;
  readonly #now: Clock;
  readonly #allowances = new Map<string, RetryAllowance>();
  readonly #latencies = new Map<string, LatencyWindow>();
  /** Higher numbers of VMs within the last window, each with the time until it counts. */
  #vmCounts: { count: number; until: number }[] = [];
  /** Undefined until the other VMs are known. */
  #vmCount: number | undefined;
  #isListed = false;
  #isLeaving = false;

  constructor({ retryBudget, now = monotonicNow }: SharedLimitsOptions) {
    this.#retryBudget = retryBudget;
    this.#now = now;
  }

  /**
   * Sets the number of VMs that share the limits, including this one, and whether this VM is
   * listed as a member, so that the others count it too. A lower number applies one window
   * later, when VMs that are leaving have left.
   */
  setVmCount(count: number, { isListed = true } = {}): void {
    if (this.#vmCount !== undefined && count < this.#vmCount) {
      const until = this.#now() + this.#retryBudget.windowMs;
      this.#vmCounts.push({ count: this.#vmCount, until });
    }
    this.#vmCount = Math.max(1, count);
    this.#isListed = isListed;
    this.#shareAmongVms();
  }

  /** Number of VMs that share the limits, as last set. */
  get vmCount(): number | undefined {
    return this.#vmCount;
  }

  /** Whether this VM is listed as a member, as last set. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Applies a changed retry budget. */
  configure({ retryBudget }: Pick<SharedLimitsOptions, "retryBudget">): void {
    this.#retryBudget = retryBudget;
    for (const allowance of this.#allowances.values()) {
      allowance.configure(retryBudget, this.#now());
    }
  }

  /** Begins the retry allowances of a configuration's services and ends all others. */
  setServices(services: Iterable<string>): void {
    const names = new Set(services);
    for (const [name, allowance] of this.#allowances) {
      if (names.has(name)) continue;
      // Calls in flight still pay from it, beside a new one if the service comes back.
      allowance.stopAccruing(this.#now());
      this.#allowances.delete(name);
    }
    for (const name of names) this.getRetryAllowance(name);
  }

  /** Ends the accrual of retry tokens with time, when this VM leaves. */
  stopAccruing(): void {
    this.#isLeaving = true;
    for (const allowance of this.#allowances.values()) {
      allowance.stopAccruing(this.#now());
    }
  }

  /** This VM's part of the retry budget of a service. */
  getRetryAllowance(service: string): RetryAllowance {
    let allowance = this.#allowances.get(service);
    if (allowance === undefined) {
      allowance = new RetryAllowance(this.#retryBudget, {
        vmCount: this.#accruingVmCount,
        now: this.#now(),
      });
      if (this.#isLeaving) allowance.stopAccruing(this.#now());
      this.#allowances.set(service, allowance);
    }
    return allowance;
  }

  /** The retry allowances by service. */
  listRetryAllowances(): Iterable<[string, RetryAllowance]> {
    this.#shareAmongVms();
    return this.#allowances;
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
    const share = CONNECTION_SHARE * maxConnections / this.#highestVmCount;
    return Math.max(1, Math.floor(share));
  }

  /** Number of VMs among which the slack is divided; infinite while this VM has no part. */
  get #accruingVmCount(): number {
    return this.#isListed ? this.#highestVmCount : Infinity;
  }

  get #highestVmCount(): number {
    if (this.#vmCount === undefined) return Infinity;
    const now = this.#now();
    this.#vmCounts = this.#vmCounts.filter(({ until }) => until > now);
    return Math.max(this.#vmCount, ...this.#vmCounts.map(({ count }) => count));
  }

  #shareAmongVms(): void {
    const count = this.#accruingVmCount;
    for (const allowance of this.#allowances.values()) {
      allowance.setVmCount(count, this.#now());
    }
  }
}
