/**
 * Handlers of the peer methods of dispatching.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  decodeHashes,
  RefusalReason,
  ServerFailure,
} from "@bitternfall/dispatch";
import type { Membership } from "@bitternfall/membership";
import type { Handlers, Params } from "@bitternfall/peer";
import { monotonicNow } from "@bitternfall/types";
import { decodeGrants, encodeDecision } from "./dispatch_client.ts";
import type { DispatchHost } from "./dispatch_host.ts";
import type { RunningCalls } from "./running_calls.ts";

/** Options of {@link createDispatchHandlers}. */
export interface DispatchHandlerOptions {
  readonly membership: Membership;
  readonly host: DispatchHost;
  readonly calls: RunningCalls;
}

/** Peer methods that {@link createDispatchHandlers} handles. */
export type DispatchMethod =
  | "acquire"
  | "withdraw"
  | "prefilled"
  | "started"
  | "release"
  | "adopt"
  | "dispatch.pressure"
  | "dispatch.tokenClock"
  | "dispatch.tokens"
  | "limits.named"
  | "entry.owned"
  | "status.queue";

const SERVER_FAILURE_BY_NAME = new Map<string, ServerFailure>(
  Object.values(ServerFailure).map((kind) => [kind, kind]),
);

const MOVED_REFUSAL: Decision = {
  kind: "refusal",
  reason: RefusalReason.Moved,
  retryAfterMs: 0,
};

/** Creates the handlers of the dispatching methods. */
export function createDispatchHandlers(
  options: DispatchHandlerOptions,
): Pick<Handlers, DispatchMethod> {
  const { membership, host, calls } = options;
  return {
    acquire: async (params) => {
      const [service, , , , owner] = params;
      const zone = membership.find(owner)?.availabilityZone ?? "";
      const decision = await host.acquire(
        service,
        decodeAcquireRequest(params, zone),
      );
      return encodeDecision(decision ?? MOVED_REFUSAL);
    },
    withdraw: ([service, requestId, attempt]) => {
      host.find(service)?.withdraw({ requestId, attempt });
      return null;
    },
    prefilled: ([service, requestId, attempt]) => {
      host.find(service)?.prefilled({ requestId, attempt });
      return null;
    },
    started: ([service, requestId, attempt, cachedTokens, transferMs]) => {
      const id = { requestId, attempt };
      host.find(service)?.started(id, { cachedTokens, transferMs });
      return null;
    },
    release: (
      [service, requestId, attempt, outputTokens, intervalMs, server, failure],
    ) => {
      host.find(service)?.release({ requestId, attempt }, {
        outputTokens,
        intervalMs,
        failedServer: server === "" ? undefined : server,
        failure: SERVER_FAILURE_BY_NAME.get(failure),
      });
      return null;
    },
    adopt: ([service, owner, grants]) => {
      host.adopt(service, owner, decodeGrants(owner, grants));
      return null;
    },
    "dispatch.pressure": ([service]) => {
      const { prefill = 0, decode = 0 } = host.find(service)?.pressure ?? {};
      return [prefill, decode];
    },
    "dispatch.tokenClock": ([service]) => {
      const clock = host.find(service)?.readRetryTokenClock();
      return clock === undefined ? null : [clock.poolId, clock.now];
    },
    "dispatch.tokens": ([service, poolId, batches]) => {
      host.find(service)?.receiveRetryTokens(
        poolId,
        batches.map(([count, expiresAt]) => ({ count, expiresAt })),
      );
      return null;
    },
    "limits.named": ([service, serverId, requestsPerSecond]) => {
      host.setServerLimit(service, {
        id: serverId,
        requestsPerSecond: requestsPerSecond ?? undefined,
      });
      return null;
    },
    "entry.owned": ([ids]) =>
      ids.map(([requestId, attempt]) =>
        calls.isRunningAttempt(requestId, attempt)
      ),
    "status.queue": () => host.summarize(),
  };
}

function decodeAcquireRequest(
  params: Params<"acquire">,
  availabilityZone: string,
): AcquireRequest {
  const [, requestId, attempt, workspace, owner, priority, ...rest] = params;
  const [promptTokens, outputTokens, maxTokens, deadlineInMs, ...more] = rest;
  const [hashes, avoid, heldTokens, patienceMs, relaxedDeadlineInMs, ...last] =
    more;
  const [
    prefilledBy,
    retriedCalls,
    parts,
    version,
    resumedStreamId,
    ...ranked
  ] = last;
  const [rank = 0, account] = ranked;
  const now = monotonicNow();
  const patience = patienceMs === 0
    ? undefined
    : { remainingMs: patienceMs, relaxedDeadline: now + relaxedDeadlineInMs };
  return {
    requestId,
    attempt,
    workspace,
    owner,
    availabilityZone,
    priority,
    rank,
    account: account ?? undefined,
    promptTokens,
    outputTokens,
    maxTokens,
    deadline: now + deadlineInMs,
    hashes: decodeHashes(hashes),
    parts: decodeHashes(parts),
    avoid,
    heldTokens,
    patience,
    prefilledBy: prefilledBy === "" ? undefined : prefilledBy,
    retriedCalls,
    softwareVersion: version ?? undefined,
    resumedStreamId: resumedStreamId ?? undefined,
  };
}
