/**
 * Checks the requests with a part that crashes servers by the users' arithmetic.
 * @module
 */

/** How many requests with a part may still reach servers. */
export interface CrashBound {
  /** Crashes under a part after which requests with it are counted. */
  readonly crashes: number;
  /** Time from the last of these crashes until requests are counted. */
  readonly settleMs: number;
  /** Requests that may reach servers after that, prefills included. */
  readonly requests: number;
}

/** The users' bound. */
export const CRASH_BOUND: CrashBound = {
  crashes: 5,
  settleMs: 3000,
  requests: 3,
};

/** Requests with one part that reached servers although they should not have. */
export interface CrashOverrun {
  readonly crashes: number;
  readonly requests: number;
}

/** Counts the requests that reached servers too late; undefined if there are few enough. */
export function findCrashOverrun(
  /** Times of the crashes under one part. */
  crashTimes: readonly number[],
  /** Times at which requests with that part reached servers. */
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
