/**
 * Handlers of the calls that other entry VMs make to this one.
 * @module
 */
import {
  createDispatchHandlers,
  type DispatchHost,
  type RunningCalls,
} from "@bitternfall/dispatch-host";
import type { Journal } from "@bitternfall/journal";
import type { Membership } from "@bitternfall/membership";
import type { Handlers, Heartbeat } from "@bitternfall/peer";
import { vmListSchema } from "@bitternfall/platform";
import { MemberState, type VmListEntry } from "@bitternfall/types";
import * as zod from "zod";
import { encodeOutcome, type KeyedCalls } from "./keyed_calls.ts";
import type { KeyedModelCalls } from "./keyed_model_calls.ts";
import type { RecordReplica } from "./record_replica.ts";
import type { RecordSync } from "./record_sync.ts";

/** Options of {@link createPeerHandlers}: the components that the handlers use. */
export interface PeerHandlerOptions {
  readonly getHeartbeat: () => Heartbeat;
  readonly membership: Membership;
  readonly replica: RecordReplica;
  readonly sync: RecordSync;
  readonly host: DispatchHost;
  readonly calls: RunningCalls;
  readonly journal: Journal;
  readonly keyedCalls: KeyedCalls;
  readonly keyedModelCalls: KeyedModelCalls;
  readonly onVmList: (vms: readonly VmListEntry[] | string) => void;
  readonly getStatus: () => unknown;
  readonly startDrain: (who: string) => void;
}

/** Creates the handlers of peer calls. */
export function createPeerHandlers(
  options: PeerHandlerOptions,
): Omit<
  Handlers,
  | "objects.confirm"
  | "objects.pull"
  | "limits.take"
  | "quota.take"
  | "crashes.push"
  | "crashes.try"
  | "streams.begun"
  | "servers.pick"
  | "servers.done"
> {
  const {
    membership,
    replica,
    sync,
    host,
    calls,
    journal,
    keyedCalls,
    keyedModelCalls,
  } = options;
  return {
    beat: (params) => {
      const [id, incarnation, state, revision] = params as Heartbeat;
      membership.onHeartbeat({ id, incarnation, state, revision });
      if (state !== MemberState.Joining) sync.onPeerRevision(id, revision);
      return options.getHeartbeat();
    },
    witness: ([vm]) => membership.hasRecentHeartbeat(vm),
    "records.pull": ([since]) => ({
      revision: replica.revision,
      objects: replica.listAfter(since),
    }),
    "records.push": ([sender, since, revision, objects]) => {
      sync.onPush({ sender, since, revision, objects });
      return null;
    },
    "vms.push": ([vms]) => {
      const parsed = zod.union([vmListSchema, zod.string()]).safeParse(vms);
      if (parsed.success) options.onVmList(parsed.data);
      return null;
    },
    ...createDispatchHandlers({ membership, host, calls }),
    "journal.claim": async ([key, fingerprint, claimId, vm, incarnation]) =>
      encodeOutcome(
        await journal.claim({ key, fingerprint, claimId, vm, incarnation }),
      ),
    "journal.settle": ([key, claimId, result, status, answer]) =>
      journal.settle({ kind: "settle", key, claimId, result, status, answer }),
    "journal.probe": ([claimId, incarnation]) =>
      keyedCalls.probe(claimId, incarnation),
    "keyed.join": ([key, fingerprint]) =>
      keyedModelCalls.join(key, fingerprint),
    "keyed.locate": ([key, fingerprint, vm]) =>
      keyedModelCalls.locate(key, { fingerprint, vm }),
    "keyed.forget": ([key, vm]) => {
      keyedModelCalls.forgetLocation(key, vm);
      return null;
    },
    status: () => options.getStatus(),
    drain: ([who]) => {
      options.startDrain(who);
      return true;
    },
    "cell.summary": ([service]) => {
      const { freeSlots, queueDelayMs } = host.getLoadSummary(service);
      return [freeSlots, queueDelayMs];
    },
  };
}
