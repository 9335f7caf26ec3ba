/**
 * Calls that other entry VMs make to this one.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  RefusalReason,
} from "@bitternfall/dispatch";
import type { Journal } from "@bitternfall/journal";
import type { Membership } from "@bitternfall/membership";
import type { Handlers, Params } from "@bitternfall/peer";
import { vmListSchema } from "@bitternfall/platform";
import {
  MemberState,
  monotonicNow,
  type VmListEntry,
} from "@bitternfall/types";
import { encodeDecision, fromWireGrants } from "./dispatch_client.ts";
import type { DispatchHost } from "./dispatch_host.ts";
import { encodeOutcome, type KeyedCalls } from "./keyed_calls.ts";
import type { KeyedModels } from "./keyed_models.ts";
import type { RecordKeeper } from "./record_keeper.ts";
import type { RecordSync } from "./record_sync.ts";
import type { RunningCalls } from "./running_calls.ts";

/** What peers' calls act on. */
export interface PeerHandlerOptions {
  readonly getBeat: () => Params<"beat">;
  readonly membership: Membership;
  readonly keeper: RecordKeeper;
  readonly sync: RecordSync;
  readonly host: DispatchHost;
  readonly calls: RunningCalls;
  readonly journal: Journal;
  readonly keyed: KeyedCalls;
  readonly keyedModels: KeyedModels;
  readonly onVms: (vms: readonly VmListEntry[]) => void;
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
    beat: ([id, incarnation, state, revision]) => {
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
      const parsed = vmListSchema.safeParse(vms);
      if (parsed.success) options.onVms(parsed.data);
      return null;
    },
    "dispatch.acquire": async (params) => {
      const [service] = params;
      const decision = await host.acquire(service, readAcquire(params)) ??
        MOVED;
      return encodeDecision(decision);
    },
    "dispatch.withdraw": ([service, requestId, attempt]) => {
      host.find(service)?.withdraw({ requestId, attempt });
      return null;
    },
    "dispatch.prefilled": ([service, grantId, cachedTokens]) => {
      host.find(service)?.prefilled(grantId, { cachedTokens });
      return null;
    },
    "dispatch.started": ([service, grantId]) => {
      host.find(service)?.started(grantId);
      return null;
    },
    "dispatch.release": (
      [service, grantId, outputTokens, intervalMs, failed],
    ) => {
      const failedServer = failed === "" ? undefined : failed;
      host.find(service)?.release(grantId, {
        outputTokens,
        intervalMs,
        failedServer,
      });
      return null;
    },
    "dispatch.adopt": ([service, owner, grants]) => {
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

function readAcquire(params: Params<"dispatch.acquire">): AcquireRequest {
  const [
    ,
    requestId,
    attempt,
    workspace,
    owner,
    availabilityZone,
    priority,
    ...numbers
  ] = params;
  const [promptTokens, outputTokens, maxTokens, leftMs, hashes, avoid] =
    numbers;
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
    hashes,
    avoid,
  };
}
