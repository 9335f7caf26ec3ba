/**
 * Checks requests that crash servers, by themselves or by a part of their prompt, by the
 * users' arithmetic.
 * @module
 */

/** How many requests that crash servers may still reach some. */
export interface CrashBound {
  /** Crashes after which requests are counted. */
  readonly crashes: number;
  /** Time from the last of these crashes until requests are counted. */
  readonly settleMs: number;
  /** Requests that may reach servers after that, prefills included. */
  readonly requests: number;
}

/** The users' bound on requests with a part that crashes servers. */
export const CRASH_BOUND: CrashBound = {
  crashes: 5,
  settleMs: 3000,
  requests: 3,
};

/** The users' bound on a request that crashes servers, however often it is repeated. */
export const REPEATED_CRASH_BOUND: CrashBound = { ...CRASH_BOUND, crashes: 3 };

/** Requests that reached servers although they should not have. */
export interface CrashOverrun {
  readonly crashes: number;
  readonly requests: number;
}

/** Counts the requests that reached servers too late; undefined if there are few enough. */
export function findCrashOverrun(
  /** Times of the crashes. */
  crashTimes: readonly number[],
  /** Times at which the requests reached servers. */
  arrivalTimes: readonly number[],
  bound: CrashBound = CRASH_BOUND,
): CrashOverrun | undefined {
  const decisive = [...crashTimes].sort((a, b) => a - b)[bound.crashes - 1];
  if (decisive === undefined) return undefined;
  const countedFrom = decisive + bound.settleMs;
  const requests = arrivalTimes.filter((at) => at > countedFrom).length;
  return requests > bound.requests
    ? { crashes: crashTimes.length, requests }
    : undefined;
}
