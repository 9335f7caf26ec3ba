/**
 * Checks a server's arrivals against the limit that it has named, by the users' arithmetic.
 * @module
 */
import type { NamedLimit, ReceivedRequest } from "./staged_server.ts";

/** An arrival at the server, and the VM that sent it. */
export interface LimitedArrival
  extends Pick<ReceivedRequest, "at" | "endedAt"> {
  readonly vm: string;
}

/** How closely VMs have to keep the limit of a server. */
export interface LimitBound {
  readonly windowMs: number;
  /** Time from the first naming of the limit until it has to be kept. */
  readonly settleMs: number;
  /** Time from the answer that tells a VM of the limit until its requests count. */
  readonly toldMs: number;
  /** Requests in a window: this many times the limit, plus the slack. */
  readonly factor: number;
  readonly slack: number;
}

/** The users' bound. */
export const LIMIT_BOUND: LimitBound = {
  windowMs: 4000,
  settleMs: 3000,
  toldMs: 500,
  factor: 1.5,
  slack: 5,
};

/** A window in which a server got more requests than allowed. */
export interface LimitOverrun {
  /** Begin of the window. */
  readonly from: number;
  readonly requests: number;
  readonly allowed: number;
}

/**
 * Returns the first window with too many arrivals from VMs that the server had told of its
 * limit, if any. Windows lie within one of the times in which the limit is named.
 */
export function findLimitOverrun(
  arrivals: readonly LimitedArrival[],
  namedLimits: readonly NamedLimit[],
  bound: LimitBound = LIMIT_BOUND,
): LimitOverrun | undefined {
  const sorted = [...arrivals].sort((a, b) => a.at - b.at);
  for (const limit of namedLimits) {
    const overrun = findOverrunOfLimit(sorted, limit, bound);
    if (overrun !== undefined) return overrun;
  }
  return undefined;
}

function findOverrunOfLimit(
  sorted: readonly LimitedArrival[],
  { requestsPerSecond, from: namedAt, until }: NamedLimit,
  bound: LimitBound,
): LimitOverrun | undefined {
  const { windowMs, settleMs, toldMs, factor, slack } = bound;
  const allowed = factor * requestsPerSecond * windowMs / 1000 + slack;
  const toldAt = new Map<string, number>();
  for (const { vm, at, endedAt } of sorted) {
    if (at < namedAt || endedAt > until) continue;
    toldAt.set(vm, Math.min(endedAt, toldAt.get(vm) ?? Infinity));
  }
  const times = sorted.filter(({ vm, at }) =>
    at >= namedAt + settleMs && at < until &&
    at >= (toldAt.get(vm) ?? Infinity) + toldMs
  ).map(({ at }) => at);
  let end = 0;
  for (const [index, from] of times.entries()) {
    if (from + windowMs > until) return undefined;
    while (end < times.length && times[end]! < from + windowMs) end++;
    const requests = end - index;
    if (requests > allowed) return { from, requests, allowed };
  }
  return undefined;
}
