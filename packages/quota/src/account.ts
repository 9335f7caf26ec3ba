/**
 * What one VM may spend of a workspace's quota: leases from the issuer, a small overdraft,
 * and a fixed share while the issuer does not answer.
 * @module
 */
import type { QuotaLimit } from "@bitternfall/access";
import type { QuotaReply, QuotaRequest } from "./messages.ts";
import {
  deriveTerms,
  GIVE_BACK_MS,
  type QuotaBound,
  type QuotaTerms,
} from "./terms.ts";

/** What paid for a request, or that nothing did. */
export enum QuotaSource {
  Lease = "lease",
  Overdraft = "overdraft",
  /** This VM's part of the quota, while the issuer does not answer. */
  OwnShare = "own-share",
  /** A lease that was asked for the request. */
  Asked = "asked",
  None = "none",
}

/** The figures by which a request was decided. */
export interface QuotaFigures {
  readonly source: QuotaSource;
  readonly wanted: number;
  /** Balance of the leases before the request. */
  readonly balance: number;
  readonly overdrawn: number;
  /** Time since the issuer's last reply; undefined if there is none. */
  readonly leaseAgeMs: number | undefined;
  readonly issuer: string | undefined;
}

/** Whether a request may pass. */
export type QuotaDecision =
  & { readonly figures: Omit<QuotaFigures, "issuer"> }
  & (
    | { readonly tag: "granted" }
    | { readonly tag: "refused"; readonly retryAfterMs: number }
  );

/** Options of a {@link QuotaAccount}. */
export interface QuotaAccountOptions {
  readonly limit: QuotaLimit;
  readonly bound: QuotaBound;
  /** Start of this process. */
  readonly startedAt: number;
  /** Number of listed VMs; infinite while they are not known. */
  readonly getVmCount: () => number;
}

interface Lease {
  amount: number;
  readonly until: number;
}

/** Time constant of the demand estimate. */
const DEMAND_WINDOW_MS = 2000;
/** Time before the end of a lease, or of its amount, at which it is renewed. */
const RENEW_AHEAD_MS = 100;
/** Leases are asked beyond a request only if this many requests are expected to use them. */
const MIN_EXPECTED_REQUESTS = 2;
/** Smaller amounts are not returned by a message of their own, relative to a request. */
const MIN_RETURNED_SHARE = 1 / 4;
/** A smaller part of the credit is not settled with the messages of other workspaces. */
const SETTLED_SHARE = 1 / 4;
/** A denial applies to requests of at least this part of the denied amount. */
const DENIED_SHARE = 1 / 2;
/** Time after which an issuer that did not answer is asked again. */
const UNREACHABLE_MS = 250;
/** Callers honour up to a third of their remaining time: 4.7 s of the usual 14 s. */
const MAX_RETRY_AFTER_MS = 4500;
const MIN_RETRY_AFTER_MS = 50;
/** Unspent leases are returned within this time of their end, while the issuer knows them. */
const MAX_RETURN_MS = GIVE_BACK_MS / 2;
/** How long an amount that was given back can be spent at this VM. */
const GIVEN_BACK_MS = 100;

/** The account of one workspace at this VM. */
export class QuotaAccount {
  readonly #options: QuotaAccountOptions;
  #terms: QuotaTerms;
  #leases: Lease[] = [];
  /** Unspent leases that have ended, until they can be returned no more. */
  #ended: Lease[] = [];
  #overdrawn = 0;
  #denial = { least: 0, until: -Infinity };
  #contactAt: number | undefined;
  #failingSince: number | undefined;
  #askAgainAt = -Infinity;
  #ownBalance = 0;
  #ownFilledAt = 0;
  #demand = 0;
  #requests = 0;
  #demandAt = 0;
  #nextRetryAt = 0;
  #voidedAt = -Infinity;

  constructor(options: QuotaAccountOptions) {
    this.#options = options;
    this.#terms = deriveTerms(options.limit, options.bound);
  }

  /** Changes the quota. A denial of the earlier one is void. */
  setLimit(limit: QuotaLimit, now: number): void {
    this.#fillOwnShare(now);
    this.#terms = deriveTerms(limit, this.#options.bound);
    this.#denial = { least: 0, until: -Infinity };
    this.#overdrawn = Math.min(this.#overdrawn, this.#getCredit(now));
    this.#nextRetryAt = 0;
  }

  /** Voids the leases, which may have ended during a suspension. */
  voidLeases(now: number): void {
    this.#voidedAt = now;
    this.#leases = [];
    this.#ended = [];
    this.#contactAt = undefined;
  }

  /** Decides a request at once; undefined if the issuer must be asked. */
  decide(cost: number, now: number): QuotaDecision | undefined {
    this.#recordDemand(cost, now);
    const spent = this.trySpend(cost, now);
    if (spent !== undefined) return spent;
    const refused = this.refuseDenied(cost, now);
    if (refused !== undefined) return refused;
    if (this.#failingSince === undefined) return undefined;
    return this.decideAlone(cost, now);
  }

  /** Whether to ask in the background if the issuer answers again. */
  shouldProbe(now: number): boolean {
    return this.#failingSince !== undefined && now >= this.#askAgainAt;
  }

  /** Refuses a request to which the last denial applies. */
  refuseDenied(cost: number, now: number): QuotaDecision | undefined {
    const { least, until } = this.#denial;
    const isDenied = now < until && cost >= DENIED_SHARE * least;
    return isDenied ? this.refuse(cost, now) : undefined;
  }

  /** Spends from the leases, and beyond them within the credit. */
  trySpend(
    cost: number,
    now: number,
    source = QuotaSource.Lease,
  ): QuotaDecision | undefined {
    const balance = this.getBalance(now);
    const figures = this.#getFigures(cost, now);
    const missing = cost - balance;
    if (missing <= 0) {
      this.#spendLeases(cost);
      return { tag: "granted", figures: { ...figures, source } };
    }
    if (now < this.#denial.until) return undefined;
    if (this.#overdrawn + missing > this.#getCredit(now)) return undefined;
    this.#spendLeases(balance);
    this.#overdrawn += missing;
    return {
      tag: "granted",
      figures: { ...figures, source: QuotaSource.Overdraft },
    };
  }

  /** Decides a request without the issuer, by this VM's own share of the quota. */
  decideAlone(cost: number, now: number): QuotaDecision {
    this.#fillOwnShare(now);
    const credit = Math.max(0, this.#getCredit(now) - this.#overdrawn);
    if (cost > this.#ownBalance + credit) return this.refuse(cost, now);
    const figures = this.#getFigures(cost, now);
    this.#ownBalance -= cost;
    return {
      tag: "granted",
      figures: { ...figures, source: QuotaSource.OwnShare },
    };
  }

  /** Refuses a request, with a time to return that differs among the refused callers. */
  refuse(cost: number, now: number): QuotaDecision {
    const vms = Math.max(1, this.#options.getVmCount());
    // Half of the demand estimates what this VM gets while the limit is exceeded.
    const estimatedPerMs = this.#getDemandPerMs(now) / 2;
    const { perMs: limitPerMs } = this.#terms;
    const perMs = Math.max(
      limitPerMs / vms,
      Math.min(limitPerMs, estimatedPerMs),
    );
    const from = Math.max(now, this.#denial.until, this.#nextRetryAt);
    this.#nextRetryAt = Math.min(from + cost / perMs, now + MAX_RETRY_AFTER_MS);
    return {
      tag: "refused",
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, this.#nextRetryAt - now),
      figures: this.#getFigures(cost, now),
    };
  }

  /**
   * Gives back what a request took that has not run. What requests at this VM do not use
   * soon is returned to the issuer.
   */
  giveBack(cost: number, takenAt: number, now: number): void {
    if (now - takenAt > GIVE_BACK_MS || takenAt < this.#voidedAt) return;
    const settled = Math.min(cost, this.#overdrawn);
    this.#overdrawn -= settled;
    if (cost === settled) return;
    const until = now + GIVEN_BACK_MS;
    this.#leases.unshift({ amount: cost - settled, until });
  }

  /** Whether the lease ends soon, by time or amount, and the next one would be used. */
  shouldRenew(now: number): boolean {
    if (now < this.#denial.until || now < this.#askAgainAt) return false;
    const demand = this.getForecast(now);
    const last = this.#leases.at(-1);
    if (demand === 0 || last === undefined) return false;
    const ahead = this.#getDemandPerMs(now) * RENEW_AHEAD_MS;
    return last.until - now < RENEW_AHEAD_MS || this.getBalance(now) < ahead;
  }

  /** Whether so much of the credit is used that it is worth settling. */
  shouldSettle(now: number): boolean {
    return this.#overdrawn > SETTLED_SHARE * this.#getCredit(now);
  }

  /** Amount that requests within the validity of a lease probably need. */
  getForecast(now: number): number {
    const { leaseMs } = this.#terms;
    const requests = this.#decay(this.#requests, now) / DEMAND_WINDOW_MS;
    if (requests * leaseMs < MIN_EXPECTED_REQUESTS) return 0;
    return Math.floor(this.#getDemandPerMs(now) * leaseMs);
  }

  /** Builds the part of a message to the issuer; what it returns is returned only once. */
  createRequest(
    workspace: string,
    costs: readonly number[],
    now: number,
  ): QuotaRequest {
    this.getBalance(now);
    let returned = 0;
    for (const { amount } of this.#ended) returned += amount;
    this.#ended = [];
    const [least = 0, ...others] = costs;
    const waiting = others.reduce((sum, cost) => sum + cost, 0);
    const isForUse = costs.length > 0 || this.shouldRenew(now);
    const expected = isForUse ? this.getForecast(now) : 0;
    returned = Math.floor(returned);
    return [workspace, least, waiting, expected, this.#overdrawn, returned];
  }

  /** Applies the reply to a request that was sent at `sentAt`. */
  onReply(
    [, least, , , overdrawn]: QuotaRequest,
    [issued, ms]: QuotaReply,
    { sentAt, now }: { sentAt: number; now: number },
  ): void {
    this.#contactAt = now;
    this.#overdrawn = Math.max(0, this.#overdrawn - overdrawn);
    this.#leaveOwnShare(now);
    if (issued === 0 && ms === 0) return;
    if (issued > 0) {
      this.#denial = { least: 0, until: -Infinity };
      // At least in this turn, for the request that the lease was asked for.
      const until = Math.max(sentAt + ms, now + 1);
      this.#leases.push({ amount: issued, until });
    } else {
      // Waits at least to the end of this turn, so that each reply decides a request.
      this.#denial = { least, until: now + Math.max(1, ms) };
    }
  }

  /** The issuer did not answer; this VM spends its own share until it does. */
  onFailure(now: number): void {
    this.#askAgainAt = now + UNREACHABLE_MS;
    if (this.#failingSince !== undefined) return;
    this.#failingSince = now;
    const contactAt = this.#contactAt ?? now;
    this.#ownFilledAt = Math.max(now, contactAt + this.#terms.leaseMs);
  }

  /** When the first lease ends, if what is left of all is worth a message. */
  getReturnAt(now: number): number | undefined {
    const left = this.getBalance(now);
    if (left < MIN_RETURNED_SHARE * this.#meanCost) return undefined;
    return this.#leases[0]?.until;
  }

  /** Whether unspent leases have ended that are worth a message. */
  hasReturns(now: number): boolean {
    this.getBalance(now);
    const left = this.#ended.reduce((sum, { amount }) => sum + amount, 0);
    return left > 0 && left >= MIN_RETURNED_SHARE * this.#meanCost;
  }

  /** Balance of the leases that are valid. */
  getBalance(now: number): number {
    let balance = 0;
    const isValid = ({ until }: Lease) => until > now;
    if (!this.#leases.every(isValid)) {
      this.#ended.push(...this.#leases.filter((lease) => !isValid(lease)));
      this.#leases = this.#leases.filter(isValid);
    }
    this.#ended = this.#ended.filter(({ until }) =>
      until + MAX_RETURN_MS > now
    );
    for (const { amount } of this.#leases) balance += amount;
    return balance;
  }

  #spendLeases(cost: number): void {
    let left = cost;
    for (const lease of this.#leases) {
      const taken = Math.min(left, lease.amount);
      lease.amount -= taken;
      left -= taken;
      if (left <= 0) break;
    }
    this.#leases = this.#leases.filter(({ amount }) => amount > 0);
  }

  /** None in a process's first window: its predecessor may have used it. */
  #getCredit(now: number): number {
    const { startedAt, bound, getVmCount } = this.#options;
    if (now - startedAt < bound.windowMs) return 0;
    return this.#terms.credit / getVmCount();
  }

  #fillOwnShare(now: number): void {
    if (this.#failingSince === undefined) return;
    const vms = this.#options.getVmCount();
    const ms = Math.max(0, now - this.#ownFilledAt);
    this.#ownFilledAt = Math.max(now, this.#ownFilledAt);
    this.#ownBalance = Math.min(
      this.#ownBalance + ms * this.#terms.perMs / vms,
      this.#terms.capacity / vms,
    );
  }

  #leaveOwnShare(now: number): void {
    if (this.#failingSince === undefined) return;
    this.#fillOwnShare(now);
    this.#overdrawn += Math.ceil(Math.max(0, -this.#ownBalance));
    this.#ownBalance = 0;
    this.#failingSince = undefined;
    this.#askAgainAt = -Infinity;
  }

  #recordDemand(cost: number, now: number): void {
    this.#demand = this.#decay(this.#demand, now) + cost;
    this.#requests = this.#decay(this.#requests, now) + 1;
    this.#demandAt = now;
  }

  /** Mean cost of recent requests. */
  get #meanCost(): number {
    return this.#requests > 0 ? this.#demand / this.#requests : 0;
  }

  #decay(sum: number, now: number): number {
    return sum * Math.exp((this.#demandAt - now) / DEMAND_WINDOW_MS);
  }

  #getDemandPerMs(now: number): number {
    return this.#decay(this.#demand, now) / DEMAND_WINDOW_MS;
  }

  #getFigures(wanted: number, now: number): Omit<QuotaFigures, "issuer"> {
    return {
      source: QuotaSource.None,
      wanted,
      balance: Math.round(this.getBalance(now)),
      overdrawn: Math.round(this.#overdrawn),
      leaseAgeMs: this.#contactAt === undefined
        ? undefined
        : Math.round(now - this.#contactAt),
    };
  }
}
