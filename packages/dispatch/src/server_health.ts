/**
 * Outlier ejection by server health. A server that is down fails every request, each at
 * the cost of a wasted prefill, so it is ejected with exponential back-off. So is one that
 * refuses requests although it has none to run: it may be changing its role. A server that
 * loses some responses still serves most requests and is not ejected: where many servers
 * lose some, ejecting them all would cost more capacity than the losses.
 * @module
 */

/** Kinds of server failures. */
export enum ServerFailure {
  /** The server could not be reached or stopped responding. */
  Down = "down",
  /** The server stated that it has not run the request. */
  Refused = "refused",
  /** The server failed while it ran the request. */
  Fault = "fault",
}

/** Health of one server, updated by {@link recordFailure} and {@link recordSuccess}. */
export interface ServerHealth {
  /** The server gets no new work until this time. */
  avoidUntil: number;
  /** Ejections for being down since the last success. */
  consecutiveOutages: number;
  /** Ejections for refusing a request while it ran none, since the last success. */
  idleRefusals: number;
  /** Moving average of the share of requests that failed or were refused. */
  failureShare: number;
  /** The limit that the server has named allows no other request until then. */
  limitedUntil: number;
}

const BASE_EJECTION_MS = 1000;
/** Caps the ejection at 8 s, about the time until a crashed server's entry is removed. */
const MAX_EJECTION_DOUBLINGS = 3;
/** A full server has free capacity again after a few outputs. */
const REFUSAL_BACKOFF_MS = 300;
/** Caps the back-off of a server that refuses while it runs nothing at 4.8 s. */
const MAX_REFUSAL_DOUBLINGS = 4;
/** Weight of the last request in `failureShare`. */
const FAILURE_SMOOTHING = 0.15;

/** Creates the health of a server that has not been used yet. */
export function createHealth(): ServerHealth {
  return {
    avoidUntil: 0,
    consecutiveOutages: 0,
    idleRefusals: 0,
    failureShare: 0,
    limitedUntil: 0,
  };
}

/** A failed request. */
export interface RequestFailure {
  readonly kind: ServerFailure;
  readonly now: number;
  /** Whether the server has no other granted work, so that it can't be full. */
  readonly isIdle?: boolean;
}

/** Records a failed request; ejects the server if it is down or refuses work. */
export function recordFailure(
  server: ServerHealth,
  { kind, now, isIdle = false }: RequestFailure,
): void {
  if (kind !== ServerFailure.Down) {
    server.failureShare += FAILURE_SMOOTHING * (1 - server.failureShare);
  }
  if (kind === ServerFailure.Refused) {
    const isEjected = now < server.avoidUntil;
    const doublings = isIdle && !isEjected
      ? Math.min(server.idleRefusals++, MAX_REFUSAL_DOUBLINGS)
      : 0;
    server.avoidUntil = Math.max(
      server.avoidUntil,
      now + REFUSAL_BACKOFF_MS * 2 ** doublings,
    );
  } else if (kind === ServerFailure.Down && now >= server.avoidUntil) {
    // Failures of requests that were in flight at the same time count once.
    const doublings = Math.min(
      server.consecutiveOutages,
      MAX_EJECTION_DOUBLINGS,
    );
    server.avoidUntil = now + BASE_EJECTION_MS * 2 ** doublings;
    server.consecutiveOutages++;
  }
}

/** Records a successful request. */
export function recordSuccess(server: ServerHealth): void {
  server.consecutiveOutages = 0;
  server.idleRefusals = 0;
  server.failureShare -= FAILURE_SMOOTHING * server.failureShare;
}

/** Whether a server takes new work: neither leaving, nor ejected, nor at its limit. */
export function isUsable(
  server: { isLeaving: boolean; avoidUntil: number; limitedUntil: number },
  now: number,
): boolean {
  return !server.isLeaving && server.avoidUntil <= now &&
    server.limitedUntil <= now;
}
