/**
 * Messages between entry VMs. Parameters are positional to keep messages small. Each
 * method declares schemas by which the receiver validates parameters and results.
 * @module
 */
import {
  MAX_KEY_LENGTH,
  MAX_NAME_LENGTH,
  MemberState,
} from "@bitternfall/types";
import * as zod from "zod";

/** A name that its owner has chosen; empty where there is none. */
const name = zod.string().max(MAX_NAME_LENGTH);
const vmId = name.min(1);
const requestId = name.min(1);
const service = name.min(1);
/** A server process: the server's id with the time of its start. */
const process = zod.string().max(MAX_NAME_LENGTH + 32);
/** A process, or one with the hash of the request that is judged. */
const verdictId = zod.string().max(MAX_NAME_LENGTH + 64);
const count = zod.number().min(0).max(1e15);
/** A revision of the object API, which may begin anywhere, or a sum of some. */
const revision = zod.number().min(0);

/** A list whose items are read one by one: those that are malformed are left out. */
export function usableItems<S extends zod.ZodType>(
  schema: S,
  { max }: { max: number },
) {
  return zod.array(zod.unknown()).transform((items) => {
    const usable: zod.infer<S>[] = [];
    for (const item of items) {
      const parsed = schema.safeParse(item);
      if (parsed.success && usable.length < max) usable.push(parsed.data);
    }
    return usable;
  });
}

/** Largest number of servers that one request can ask to avoid. */
export const MAX_AVOIDED = 64;

/** Largest number of batches of retry tokens in one message. */
export const MAX_TOKEN_BATCHES = 100;

/** Largest number of streams in one message. */
export const MAX_BEGUN_STREAMS = 4000;

/** Largest number of workspaces in one message about quotas. */
export const MAX_QUOTA_REQUESTS = 100;
/** Rank of the least urgent requests. */
export const MAX_RANK = 9;

/** Largest number of parts of a prompt that messages name. */
export const MAX_PROMPT_PARTS = 100;
/** Largest number of parts that are known to have ended no server. */
const MAX_CLEARED_PARTS = 1000;
/** Hashes of parts of a prompt, as encoded text; each takes five characters. */
const partHashes = zod.string().max(5 * MAX_PROMPT_PARTS);

const storedObject = zod.tuple([
  zod.string().max(MAX_KEY_LENGTH),
  revision,
  zod.unknown(),
]);
const beat = zod.tuple([vmId, count, zod.enum(MemberState), revision]);
/** An empty heartbeat stands for the last full one of its connection. */
const shortBeat = zod.union([beat, zod.tuple([])]);

/**
 * A running grant: request, attempt, workspace, prefill server, decode server, phase (0
 * prefill, 1 decode), prompt tokens, maximum output tokens, tokens held.
 */
const runningGrant = zod.tuple([
  requestId,
  zod.int(),
  name,
  name,
  vmId,
  zod.int().min(0).max(1),
  count,
  count,
  count,
]);

/**
 * Prefill server or "", decode server, the addresses of both, "" where unknown, and the
 * software version of the decode server.
 */
const grantResult = zod.tuple([
  zod.literal("g"),
  name,
  vmId,
  name,
  name,
  zod.union([name, zod.null()]).default(null),
]);
/** Reason, retry delay in ms, and a VM of another cell with free capacity or "". */
const refusalResult = zod.tuple([
  zod.literal("r"),
  zod.string().max(200),
  count,
  name,
]);

const claimResult = zod.union([
  zod.tuple([zod.literal("claimed")]),
  zod.tuple([zod.literal("done"), zod.int(), zod.string()]),
  zod.tuple([zod.literal("running"), vmId, count, zod.string()]),
  zod.tuple([zod.literal("unknown")]),
  zod.tuple([zod.literal("mismatch")]),
  zod.tuple([zod.literal("unavailable")]),
]);

/** Schemas of the parameters and the result of each method. */
export const METHODS = {
  /** Heartbeat: VM, incarnation, state, records revision. The result is the receiver's own. */
  beat: { params: shortBeat, result: shortBeat },
  /** Whether the receiver has a recent heartbeat of a VM. */
  witness: { params: zod.tuple([vmId]), result: zod.boolean() },
  /** Objects newer than a revision. */
  "records.pull": {
    params: zod.tuple([count]),
    result: zod.object({ revision: count, objects: zod.array(storedObject) }),
  },
  /** Objects below each prefix that are newer than a version; null if some may be missing. */
  "objects.pull": {
    params: zod.tuple([
      zod.array(zod.tuple([name, revision])).max(16),
    ]),
    result: zod.array(zod.union([zod.array(storedObject), zod.null()])),
  },
  /**
   * What a hub knows of all objects: ms since the object API has last answered it, and its
   * revision; null if it may lack changes.
   */
  "objects.confirm": {
    params: zod.tuple([]),
    result: zod.union([zod.tuple([count, revision]), zod.null()]),
  },
  /**
   * New objects: sender, revision before them, revision after them, objects. A revision
   * of 0 means that other objects may be missing in between.
   */
  "records.push": {
    params: zod.tuple([vmId, count, count, zod.array(storedObject)]),
    result: zod.null(),
  },
  /** The VM list that the steward read from the platform. */
  "vms.push": { params: zod.tuple([zod.unknown()]), result: zod.null() },
  /**
   * Requests a grant: service, request, attempt, workspace, owner, priority, prompt
   * tokens, output tokens so far, maximum output tokens, deadline of the first output in
   * ms from now, prefix hashes, servers to avoid, tokens held at the decode server, time
   * that was left until the caller's own timeout when its request arrived in ms or 0 if
   * unknown, relaxed deadline in ms from now for a returning caller that can't meet the
   * first one, the server that ran the prefill or "", the number of server calls that are
   * retries, the hashes of the parts that the prompt shares with others, for a stream that
   * resumes the software version that began it and its id, else null for each, and where
   * the configuration has workspaces the rank and the account or null.
   */
  acquire: {
    params: zod.tuple([
      service,
      requestId,
      zod.int().min(0).max(100),
      name,
      vmId,
      zod.int().min(0).max(2),
      count,
      count,
      count,
      zod.number(),
      zod.string().max(200),
      zod.array(vmId).max(MAX_AVOIDED),
      count,
      count,
      zod.number(),
      name,
      zod.int().min(0).max(10),
      partHashes.default(""),
      zod.union([name, zod.null()]).default(null),
      zod.union([name, zod.null()]).default(null),
      zod.int().min(0).max(MAX_RANK).optional(),
      zod.union([name, zod.null()]).optional(),
    ]),
    result: zod.union([grantResult, refusalResult]),
  },
  /** The caller of a queued request disconnected: service, request, attempt. */
  withdraw: {
    params: zod.tuple([service, requestId, zod.int()]),
    result: zod.null(),
  },
  /** The prefill has ended: service, request, attempt. */
  prefilled: {
    params: zod.tuple([service, requestId, zod.int()]),
    result: zod.null(),
  },
  /** First output received: service, request, attempt, cached tokens, ms since the prefill. */
  started: {
    params: zod.tuple([service, requestId, zod.int(), count, count]),
    result: zod.null(),
  },
  /**
   * Releases a grant: service, request, attempt, output tokens, mean ms between outputs,
   * failed server or "", and how it failed.
   */
  release: {
    params: zod.tuple([
      service,
      requestId,
      zod.int(),
      count,
      count,
      name,
      zod.string().max(20),
    ]),
    result: zod.null(),
  },
  /** Hands the running grants of an entry VM to a new dispatcher. */
  adopt: {
    params: zod.tuple([service, vmId, zod.array(runningGrant).max(5000)]),
    result: zod.null(),
  },
  /** Id and monotonic clock of the receiver's pool of retry tokens; null if it has none. */
  "dispatch.tokenClock": {
    params: zod.tuple([service]),
    result: zod.union([zod.tuple([count, zod.number()]), zod.null()]),
  },
  /**
   * Passes retry tokens on: service, id of the pool, and for each batch its count and its
   * expiry on the pool's clock.
   */
  "dispatch.tokens": {
    params: zod.tuple([
      service,
      count,
      zod.array(zod.tuple([count, zod.number()])).max(MAX_TOKEN_BATCHES),
    ]),
    result: zod.null(),
  },
  /**
   * Asks the VM that keeps a service's limits whether a server takes one more request:
   * service, server, requests a second that it has named. The result is the time until it
   * does in ms, 0 if it takes this one.
   */
  "limits.take": {
    params: zod.tuple([service, vmId, zod.number().min(0)]),
    result: zod.number(),
  },
  /**
   * A server of a model service has named a limit: service, server, requests a second, or
   * null where it names none any more.
   */
  "limits.named": {
    params: zod.tuple([
      service,
      vmId,
      zod.union([zod.number().min(0), zod.null()]),
    ]),
    result: zod.null(),
  },
  /**
   * Asks the issuer of some workspaces for leases on their quotas: VM, message id, and for
   * each workspace its name, the amount without which nothing is to be issued, the amount
   * that further requests wait for, the amount expected to be used within a lease, the
   * amount spent beyond the lease and the amount returned. The result has for each the
   * amount issued and the validity of the lease in ms, or 0 and the time until there is
   * enough in ms, which is -1 where the receiver does not issue for it.
   */
  "quota.take": {
    params: zod.tuple([
      vmId,
      count,
      zod.array(
        zod.tuple([
          name.min(1),
          count,
          count,
          count,
          count,
          count,
        ]),
      ).max(MAX_QUOTA_REQUESTS),
    ]),
    result: zod.array(zod.tuple([count, zod.number().min(-1)]))
      .max(MAX_QUOTA_REQUESTS),
  },
  /**
   * Asks for a server for one plain call: service, VM, its availability zone, time that the
   * call may take in ms, servers that it can't be sent to. The result is the server and the
   * number of the call; null if no server is left.
   */
  "servers.pick": {
    params: zod.tuple([
      service,
      vmId,
      name,
      count,
      zod.array(vmId).max(MAX_AVOIDED),
    ]),
    result: zod.union([zod.tuple([vmId, count]), zod.null()]),
  },
  /**
   * An assigned call has ended: its number, and if it was sent its outcome (0 served, 1
   * failed, 2 no answer) and time in ms, and what the server has reported: running and
   * waiting calls, slots or 0, and its pace in percent.
   */
  "servers.done": {
    params: zod.tuple([
      count,
      zod.int().min(0).max(2).optional(),
      count.optional(),
      count.optional(),
      count.optional(),
      count.optional(),
    ]),
    result: zod.null(),
  },
  /**
   * What the sender knows of the server processes that ended under prompts of a service.
   * Reports: process, request, parts under suspicion. Verdicts: id, parts, those exonerated,
   * trials.
   * Last, the parts under which runs have begun after reports.
   */
  "crashes.push": {
    params: zod.tuple([
      service,
      usableItems(zod.tuple([process, requestId, partHashes]), { max: 1000 }),
      usableItems(
        zod.tuple([
          verdictId,
          partHashes,
          partHashes,
          zod.int().min(0).default(0),
        ]),
        { max: 1000 },
      ),
      zod.string().max(5 * MAX_CLEARED_PARTS),
    ]),
    result: zod.null(),
  },
  /**
   * Asks the VM that dispatches a service for a trial of a blocked request: service, parts.
   */
  "crashes.try": {
    params: zod.tuple([service, partHashes]),
    result: zod.boolean(),
  },
  /**
   * Streams of a service that have begun: for each server and its software version, the
   * hashes of their ids.
   */
  "streams.begun": {
    params: zod.tuple([
      service,
      usableItems(
        zod.tuple([vmId, name, zod.string().max(5 * MAX_BEGUN_STREAMS)]),
        { max: MAX_BEGUN_STREAMS },
      ),
    ]),
    result: zod.null(),
  },
  /** Load of the prefill pool and of the decode pool of a service. */
  "dispatch.pressure": {
    params: zod.tuple([service]),
    result: zod.tuple([zod.number(), zod.number()]),
  },
  /** For each (request, attempt) pair, whether the receiver still runs it. */
  "entry.owned": {
    params: zod.tuple([zod.array(zod.tuple([requestId, zod.int()])).max(5000)]),
    result: zod.array(zod.boolean()),
  },
  /** Claims a key: workspace and key, body fingerprint, claim, VM, incarnation. */
  "journal.claim": {
    params: zod.tuple([
      zod.string().max(400),
      zod.string().max(64),
      zod.string().max(80),
      vmId,
      count,
    ]),
    result: claimResult,
  },
  /** Settles a claim: key, claim, result, HTTP status, answer. */
  "journal.settle": {
    params: zod.tuple([
      zod.string().max(400),
      zod.string().max(80),
      zod.enum(["done", "not-run", "unknown"]),
      zod.int(),
      zod.string().max(200_000),
    ]),
    result: zod.boolean(),
  },
  /**
   * State of a claim at the VM that holds it: claim, incarnation of its process. The result
   * is "gone" where that process has been replaced.
   */
  "journal.probe": {
    params: zod.tuple([zod.string().max(80), count]),
    result: zod.enum(["running", "abandoned", "over", "gone"]),
  },
  /** Joins a keyed model request that the receiver runs; the result holds its whole answer. */
  "keyed.join": {
    params: zod.tuple([zod.string().max(400), zod.string().max(64)]),
    result: zod.tuple([
      zod.enum(["answer", "mismatch", "gone"]),
      zod.string().max(4_000_000),
    ]),
  },
  /** Locates a keyed model request: key, fingerprint, asking VM. The result names its VM. */
  "keyed.locate": {
    params: zod.tuple([zod.string().max(400), zod.string().max(64), vmId]),
    result: zod.tuple([
      zod.enum(["yours", "at", "mismatch"]),
      name,
    ]),
  },
  /** A keyed model request has ended without an answer to replay. */
  "keyed.forget": {
    params: zod.tuple([zod.string().max(400), vmId]),
    result: zod.null(),
  },
  /** A VM's status for operators. */
  status: { params: zod.tuple([]), result: zod.unknown() },
  /** Queues of the services that a VM dispatches, for operators. */
  "status.queue": { params: zod.tuple([]), result: zod.unknown() },
  /** Starts a drain. */
  drain: { params: zod.tuple([zod.string().max(100)]), result: zod.boolean() },
  /** Number of free slots and queue delay of a service that the receiver dispatches. */
  "cell.summary": {
    params: zod.tuple([service]),
    result: zod.tuple([zod.number(), zod.number()]),
  },
} as const;

/** Name of a method. */
export type Method = keyof typeof METHODS;
/** A full heartbeat: VM, incarnation, state, records revision. */
export type Heartbeat = zod.infer<typeof beat>;
/** Positional parameters of a method. */
export type Params<M extends Method> = zod.infer<(typeof METHODS)[M]["params"]>;
/** Result of a method. */
export type Result<M extends Method> = zod.infer<(typeof METHODS)[M]["result"]>;

/** Handlers of the methods that a VM serves. */
export type Handlers = {
  readonly [M in Method]: (params: Params<M>) => Result<M> | Promise<Result<M>>;
};
