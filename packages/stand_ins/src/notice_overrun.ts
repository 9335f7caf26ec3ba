/**
 * Checks the requests that a VM sends to a server against what the server has said of itself
 * in its answers to that VM, by the users' arithmetic.
 * @module
 */
import type { ReceivedRequest } from "./staged_server.ts";

/** An arrival at one server process from one VM. */
export interface NoticedArrival
  extends Pick<ReceivedRequest, "at" | "endedAt" | "notice"> {
  /** When the client sent the request. */
  readonly sentAt: number;
}

/** Time from an answer that says that the server leaves until no request may follow. */
const DRAIN_MS = 3000;
/** Time from an answer with a pause until requests count, and how many may arrive then. */
const PAUSE_SETTLE_MS = 500;
const MAX_REQUESTS_IN_PAUSE = 2;

/** A time in which a server got requests that it had told a VM not to send. */
export interface NoticeOverrun {
  readonly from: number;
  readonly to: number;
  readonly requests: number;
}

/** Requests sent by clients too long after an answer has said that the server leaves. */
export function findRequestsWhileLeaving(
  arrivals: readonly NoticedArrival[],
): NoticeOverrun | undefined {
  const told = Math.min(
    ...arrivals.filter(({ notice }) => notice?.isLeaving)
      .map(({ endedAt }) => endedAt),
  );
  const late = arrivals.filter(({ sentAt }) => sentAt > told + DRAIN_MS);
  if (late.length === 0) return undefined;
  return { from: told, to: late[0]!.at, requests: late.length };
}

/** More requests than may arrive in a pause that the server has asked for, if any. */
export function findRequestsInPause(
  arrivals: readonly NoticedArrival[],
): NoticeOverrun | undefined {
  for (const { endedAt, notice } of arrivals) {
    const from = endedAt + PAUSE_SETTLE_MS;
    const to = endedAt + (notice?.pauseMs ?? 0);
    const requests = arrivals.filter(({ at }) => at > from && at < to).length;
    if (requests > MAX_REQUESTS_IN_PAUSE) return { from, to, requests };
  }
  return undefined;
}
