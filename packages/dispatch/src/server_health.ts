/**
 * How far a server can be relied on. Pattern: a server that is down fails every request,
 * and each costs a prompt read in vain, so it is left alone for longer each time; one
 * that loses some answers still serves most, and where many do, leaving all of them
 * alone would take more capacity away than the losses.
 * @module
 */

/** What a failure says of a server. */
export enum ServerFailure {
  /** It could not be reached, or fell silent. */
  Down = "down",
  /** It stated that it has not run the request. */
  Refused = "refused",
  /** It failed while it ran the request. */
  Fault = "fault",
}

/** State of one server that {@link recordFailure} and {@link recordSuccess} keep. */
export interface ServerHealth {
  /** No new work until then. */
  avoidUntil: number;
  /** Failures since the last success that showed it down. */
  consecutiveOutages: number;
  /** Recent share of requests that failed while they ran. */
  faultShare: number;
}

const BASE_EJECTION_MS = 1000;
/** Longest doubling: 8 s, about the time in which a crashed server's entry goes. */
const MAX_EJECTION_DOUBLINGS = 3;
/** A server that is full has room again after a few outputs. */
const REFUSAL_BACKOFF_MS = 300;
/** Weight of the last request in the share of failures. */
const FAULT_GAIN = 0.15;

/** Health of a server that has not been used yet. */
export function createHealth(): ServerHealth {
  return { avoidUntil: 0, consecutiveOutages: 0, faultShare: 0 };
}

/** A request failed at a server. */
export function recordFailure(
  server: ServerHealth,
  { kind, now }: { kind: ServerFailure; now: number },
): void {
  if (kind === ServerFailure.Refused) {
    server.avoidUntil = Math.max(server.avoidUntil, now + REFUSAL_BACKOFF_MS);
  } else if (kind === ServerFailure.Fault) {
    server.faultShare += FAULT_GAIN * (1 - server.faultShare);
  } else if (now >= server.avoidUntil) {
    // Failures of requests that were under way together count once.
    const doublings = Math.min(
      server.consecutiveOutages,
      MAX_EJECTION_DOUBLINGS,
    );
    server.avoidUntil = now + BASE_EJECTION_MS * 2 ** doublings;
    server.consecutiveOutages++;
  }
}

/** A server did what it was asked. */
export function recordSuccess(server: ServerHealth): void {
  server.consecutiveOutages = 0;
  server.faultShare -= FAULT_GAIN * server.faultShare;
}

/** Whether a server takes new work. */
export function isUsable(
  server: { isLeaving: boolean; avoidUntil: number },
  now: number,
): boolean {
  return !server.isLeaving && server.avoidUntil <= now;
}
