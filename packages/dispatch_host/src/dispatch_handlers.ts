/**
 * Calls of peers that concern dispatching.
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
import { encodeDecision, fromWireGrants } from "./dispatch_client.ts";
import type { DispatchHost } from "./dispatch_host.ts";
import type { RunningCalls } from "./running_calls.ts";

/** What the calls act on. */
export interface DispatchHandlerOptions {
  readonly membership: Membership;
  readonly host: DispatchHost;
  readonly calls: RunningCalls;
}

/** Methods that {@link createDispatchHandlers} serves. */
export type DispatchMethod =
  | "acquire"
  | "withdraw"
  | "prefilled"
  | "started"
  | "release"
  | "adopt"
  | "dispatch.pressure"
  | "entry.owned"
  | "status.queue";

const FAILURES = new Map<string, ServerFailure>(
  Object.values(ServerFailure).map((kind) => [kind, kind]),
);

const MOVED: Decision = {
  kind: "refusal",
  reason: RefusalReason.Moved,
  retryAfterMs: 0,
};

/** Builds the handlers of dispatching. */
export function createDispatchHandlers(
  options: DispatchHandlerOptions,
): Pick<Handlers, DispatchMethod> {
  const { membership, host, calls } = options;
  return {
    acquire: async (params) => {
      const [service, , , , owner] = params;
      const zone = membership.find(owner)?.availabilityZone ?? "";
      const decision = await host.acquire(service, readAcquire(params, zone));
      return encodeDecision(decision ?? MOVED);
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
      [service, requestId, attempt, outputTokens, intervalMs, failed, failure],
    ) => {
      host.find(service)?.release({ requestId, attempt }, {
        outputTokens,
        intervalMs,
        failedServer: failed === "" ? undefined : failed,
        failure: FAILURES.get(failure),
      });
      return null;
    },
    adopt: ([service, owner, grants]) => {
      host.adopt(service, owner, fromWireGrants(owner, grants));
      return null;
    },
    "dispatch.pressure": ([service]) => {
      const { prefill = 0, decode = 0 } = host.find(service)?.pressure ?? {};
      return [prefill, decode];
    },
    "entry.owned": ([ids]) =>
      ids.map(([requestId, attempt]) => calls.owns(requestId, attempt)),
    "status.queue": () => host.summarize(),
  };
}

function readAcquire(
  params: Params<"acquire">,
  availabilityZone: string,
): AcquireRequest {
  const [, requestId, attempt, workspace, owner, priority, ...rest] = params;
  const [promptTokens, outputTokens, maxTokens, leftMs, ...more] = rest;
  const [hashes, avoid, heldTokens, patienceMs, lateLeftMs, ...last] = more;
  const [prefilledBy, retriedCalls] = last;
  const now = monotonicNow();
  const patience = patienceMs === 0
    ? undefined
    : { remainingMs: patienceMs, relaxedDeadline: now + lateLeftMs };
  return {
    requestId,
    attempt,
    workspace,
    owner,
    availabilityZone,
    priority,
    promptTokens,
    outputTokens,
    maxTokens,
    deadline: now + leftMs,
    hashes: decodeHashes(hashes),
    avoid,
    heldTokens,
    patience,
    prefilledBy: prefilledBy === "" ? undefined : prefilledBy,
    retriedCalls,
  };
}
