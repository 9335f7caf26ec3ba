/**
 * Calls that other entry VMs make to this one.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  decodeHashes,
  RefusalReason,
} from "@bitternfall/dispatch";
import type { Journal } from "@bitternfall/journal";
import type { Membership } from "@bitternfall/membership";
import type { Beat, Handlers, Params } from "@bitternfall/peer";
import { vmListSchema } from "@bitternfall/platform";
import {
  MemberState,
  monotonicNow,
  type VmListEntry,
} from "@bitternfall/types";
import * as zod from "zod";
import { encodeDecision, fromWireGrants } from "./dispatch_client.ts";
import type { DispatchHost } from "./dispatch_host.ts";
import { encodeOutcome, type KeyedCalls } from "./keyed_calls.ts";
import type { KeyedModels } from "./keyed_models.ts";
import type { RecordKeeper } from "./record_keeper.ts";
import type { RecordSync } from "./record_sync.ts";
import type { RunningCalls } from "./running_calls.ts";

/** What peers' calls act on. */
export interface PeerHandlerOptions {
  readonly getBeat: () => Beat;
  readonly membership: Membership;
  readonly keeper: RecordKeeper;
  readonly sync: RecordSync;
  readonly host: DispatchHost;
  readonly calls: RunningCalls;
  readonly journal: Journal;
  readonly keyed: KeyedCalls;
  readonly keyedModels: KeyedModels;
  readonly onVms: (vms: readonly VmListEntry[] | string) => void;
  readonly getStatus: () => unknown;
  readonly startDrain: (who: string) => void;
}

const MOVED: Decision = {
  kind: "refusal",
  reason: RefusalReason.Moved,
  retryAfterMs: 0,
};

/** Builds the handlers of one VM. */
export function createPeerHandlers(options: PeerHandlerOptions): Handlers {
  const { membership, keeper, sync, host, calls, journal, keyed, keyedModels } =
    options;
  return {
    beat: (params) => {
      const [id, incarnation, state, revision] = params as Beat;
      membership.onBeat({ id, incarnation, state, revision });
      if (state !== MemberState.Joining) sync.onPeerRevision(id, revision);
      return options.getBeat();
    },
    witness: ([vm]) => membership.hasHeard(vm),
    "records.pull": ([since]) => ({
      revision: keeper.revision,
      objects: keeper.listAfter(since),
    }),
    "records.push": ([sender, since, revision, objects]) => {
      sync.onPush({ sender, since, revision, objects });
      return null;
    },
    "vms.push": ([vms]) => {
      const parsed = zod.union([vmListSchema, zod.string()]).safeParse(vms);
      if (parsed.success) options.onVms(parsed.data);
      return null;
    },
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
    started: ([service, requestId, attempt, cachedTokens, transferMs]) => {
      const id = { requestId, attempt };
      host.find(service)?.started(id, { cachedTokens, transferMs });
      return null;
    },
    release: (
      [service, requestId, attempt, outputTokens, intervalMs, failed],
    ) => {
      host.find(service)?.release({ requestId, attempt }, {
        outputTokens,
        intervalMs,
        failedServer: failed === "" ? undefined : failed,
      });
      return null;
    },
    adopt: ([service, owner, grants]) => {
      host.adopt(service, fromWireGrants(owner, grants));
      return null;
    },
    "dispatch.pressure": ([service]) => {
      const { prefill = 0, decode = 0 } = host.find(service)?.pressure ?? {};
      return [prefill, decode];
    },
    "entry.owned": ([ids]) =>
      ids.map(([requestId, attempt]) => calls.owns(requestId, attempt)),
    "journal.claim": async ([key, fingerprint, claimId, vm, incarnation]) =>
      encodeOutcome(
        await journal.claim({ key, fingerprint, claimId, vm, incarnation }),
      ),
    "journal.settle": ([key, claimId, result, status, answer]) =>
      journal.settle({ kind: "settle", key, claimId, result, status, answer }),
    "journal.probe": ([claimId]) => keyed.probe(claimId),
    "keyed.join": ([key, fingerprint]) => keyedModels.join(key, fingerprint),
    "keyed.locate": ([key, fingerprint, vm]) =>
      keyedModels.locate(key, { fingerprint, vm }),
    "keyed.forget": ([key, vm]) => {
      keyedModels.forget(key, vm);
      return null;
    },
    status: () => options.getStatus(),
    "status.queue": () => host.summarize(),
    drain: ([who]) => {
      options.startDrain(who);
      return true;
    },
    "cell.summary": ([service]) => {
      const { freeSlots, queueDelayMs } = host.getSummary(service);
      return [freeSlots, queueDelayMs];
    },
  };
}

function readAcquire(
  params: Params<"acquire">,
  availabilityZone: string,
): AcquireRequest {
  const [, requestId, attempt, workspace, owner, priority, ...rest] = params;
  const [promptTokens, outputTokens, maxTokens, leftMs, hashes, avoid] = rest;
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
    deadline: monotonicNow() + leftMs,
    hashes: decodeHashes(hashes),
    avoid,
  };
}
