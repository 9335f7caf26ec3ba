/**
 * Figures that issuers and accounts derive from a quota and from the bound on its use.
 * Durations are in milliseconds, amounts in the unit of the quota.
 * @module
 */
import type { QuotaLimit } from "@bitternfall/access";

/** How far the use over all VMs may exceed a quota in any window. */
export interface QuotaBound {
  readonly windowMs: number;
  /** Share of the quota of one window. */
  readonly tolerance: number;
  /** Amount beyond that share, in each window. */
  readonly slack: number;
}

/** Figures of one quota. */
export interface QuotaTerms {
  readonly perMs: number;
  /** Largest sum of an issuer's balance and the leases that it has issued. */
  readonly capacity: number;
  /** Validity of a lease. */
  readonly leaseMs: number;
  /** How long an issuer counts a lease: until it is spent or returned. */
  readonly countedMs: number;
  /** What all VMs together may spend beyond their leases. */
  readonly credit: number;
  /** How far one lease may take the balance below zero. */
  readonly debt: number;
}

/** Longest validity of a lease; demand is not forecast further ahead. */
const MAX_LEASE_MS = 1000;
/**
 * An issuer counts a VM as reachable for this long after its last heartbeat: three of the
 * usual intervals, so that one late heartbeat does not reduce the share.
 */
export const REACH_MS = 1500;
/** Part of the time for which a lease is counted; the rest is for its return. */
const LEASE_TIME_SHARE = 3 / 4;
/** Burst that is assumed for quotas with less, so that leases can be issued at all. */
const MIN_BURST_MS = 100;
/** Shortest time from the last heartbeat of an issuer until another VM takes over. */
const MIN_DETECTION_MS = 900;
/**
 * The balance of a new issuer grows from this time on: by then, a previous issuer that is
 * cut off has noticed that it reaches fewer VMs.
 */
export const TAKEOVER_MS = REACH_MS - MIN_DETECTION_MS;
/**
 * How long after a request its amount can be given back. Later, it would add to what
 * another window allows.
 */
export const GIVE_BACK_MS = 2000;
/** The tolerance is divided among leases, overdraft and debt; an eighth is left for delays. */
const LEASE_SHARE = 1 / 2;
const CREDIT_SHARE = 1 / 4;
const DEBT_SHARE = 1 / 8;
/**
 * Largest part of the slack that is used, relative to the quota of one window. A slack far
 * above a small quota would let VMs overdraw more than the quota provides in minutes.
 */
const MAX_SLACK_SHARE = 2;

/** Derives the figures of a quota. */
export function deriveTerms(
  { perSecond, burst }: QuotaLimit,
  { windowMs, tolerance, slack }: QuotaBound,
): QuotaTerms {
  const perMs = perSecond / 1000;
  const perWindow = perMs * windowMs + burst;
  const excess = tolerance * perWindow +
    Math.min(slack, MAX_SLACK_SHARE * perWindow);
  const countedMs = Math.min(
    MAX_LEASE_MS / LEASE_TIME_SHARE,
    LEASE_SHARE * excess / perMs,
  );
  const minBurst = Math.min(MIN_BURST_MS * perMs, DEBT_SHARE * excess);
  return {
    perMs,
    capacity: Math.max(burst, minBurst) + perMs * countedMs,
    leaseMs: LEASE_TIME_SHARE * countedMs,
    countedMs,
    credit: CREDIT_SHARE * excess,
    debt: DEBT_SHARE * excess,
  };
}
