/**
 * Messages between entry VMs. Parameters are positional to keep messages small; each
 * method declares the schema that its receiver checks.
 * @module
 */
import { MemberState } from "@bitternfall/types";
import * as zod from "zod";

const vmId = zod.string().min(1).max(63);
const requestId = zod.string().min(1).max(80);
const service = zod.string().min(1).max(63);
const count = zod.number().min(0).max(1e15);

/** Servers that one request asks to avoid. */
export const MAX_AVOIDED = 64;

const storedObject = zod.tuple([zod.string().max(300), count, zod.unknown()]);
const beat = zod.tuple([vmId, count, zod.enum(MemberState), count]);
/** An empty heartbeat repeats the last one of its connection. */
const shortBeat = zod.union([beat, zod.tuple([])]);

/** A running grant: request, attempt, workspace, prefill, decode, phase, tokens, most output, held. */
const runningGrant = zod.tuple([
  requestId,
  zod.int(),
  zod.string().max(63),
  zod.string().max(63),
  vmId,
  zod.int().min(0).max(1),
  count,
  count,
  count,
]);

/** Prefill server or "", decode server, and the addresses of both as far as they are known. */
const grantResult = zod.tuple([
  zod.literal("g"),
  zod.string().max(63),
  vmId,
  zod.string().max(300),
  zod.string().max(300),
]);
/** Reason, time to come back in ms, and a VM of another cell that has room or "". */
const refusalResult = zod.tuple([
  zod.literal("r"),
  zod.string().max(200),
  count,
  zod.string().max(300),
]);

const claimResult = zod.union([
  zod.tuple([zod.literal("claimed")]),
  zod.tuple([zod.literal("done"), zod.int(), zod.string()]),
  zod.tuple([zod.literal("running"), vmId, count, zod.string()]),
  zod.tuple([zod.literal("unknown")]),
  zod.tuple([zod.literal("mismatch")]),
  zod.tuple([zod.literal("unavailable")]),
]);

/** Schemas of parameters and result of every method. */
export const METHODS = {
  /** Heartbeat: VM, incarnation, state, records revision; answered with the receiver's own. */
  beat: { params: shortBeat, result: shortBeat },
  /** Asks a witness whether it has heard from a VM lately. */
  witness: { params: zod.tuple([vmId]), result: zod.boolean() },
  /** Objects newer than a revision. */
  "records.pull": {
    params: zod.tuple([count]),
    result: zod.object({ revision: count, objects: zod.array(storedObject) }),
  },
  /** Objects below prefixes that are newer than a version; null where not all are known. */
  "objects.pull": {
    params: zod.tuple([
      zod.array(zod.tuple([zod.string().max(63), count])).max(16),
    ]),
    result: zod.array(zod.union([zod.array(storedObject), zod.null()])),
  },
  /**
   * New objects: sender, the revision they follow, the revision they lead to, objects.
   * A revision of 0 means that others may be missing in between.
   */
  "records.push": {
    params: zod.tuple([vmId, count, count, zod.array(storedObject)]),
    result: zod.null(),
  },
  /** The VM list as the steward read it. */
  "vms.push": { params: zod.tuple([zod.unknown()]), result: zod.null() },
  /**
   * Asks for servers: service, request, attempt, workspace, owner, priority, prompt
   * tokens, output tokens so far, most output tokens, deadline in ms from now, prefix
   * hashes, servers to avoid, tokens held at the decode server, what the caller had left
   * in ms or 0 where it is not told, its deadline in ms from now if it is late, the
   * server that has prefilled it or "", and the calls that it repeats.
   */
  acquire: {
    params: zod.tuple([
      service,
      requestId,
      zod.int().min(0).max(100),
      zod.string().max(63),
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
      zod.string().max(63),
      zod.int().min(0).max(10),
    ]),
    result: zod.union([grantResult, refusalResult]),
  },
  /** The caller of a queued request has gone: service, request, attempt. */
  withdraw: {
    params: zod.tuple([service, requestId, zod.int()]),
    result: zod.null(),
  },
  /** Prefill over: service, request, attempt. */
  prefilled: {
    params: zod.tuple([service, requestId, zod.int()]),
    result: zod.null(),
  },
  /** First output seen: service, request, attempt, cached tokens, ms since the prefill. */
  started: {
    params: zod.tuple([service, requestId, zod.int(), count, count]),
    result: zod.null(),
  },
  /**
   * Over: service, request, attempt, output tokens, mean ms between, failed server or "",
   * and how it failed.
   */
  release: {
    params: zod.tuple([
      service,
      requestId,
      zod.int(),
      count,
      count,
      zod.string().max(63),
      zod.string().max(20),
    ]),
    result: zod.null(),
  },
  /** Running grants of an entry VM for a new dispatcher. */
  adopt: {
    params: zod.tuple([service, vmId, zod.array(runningGrant).max(5000)]),
    result: zod.null(),
  },
  /** How busy the pools of a service are: prefill, decode. */
  "dispatch.pressure": {
    params: zod.tuple([service]),
    result: zod.tuple([zod.number(), zod.number()]),
  },
  /** Which of these (request, attempt) pairs the receiver still runs. */
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
  /** Settles a claim: key, claim, "done" or "not-run", status, answer. */
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
  /** State of a claim at the VM that holds it. */
  "journal.probe": {
    params: zod.tuple([zod.string().max(80)]),
    result: zod.enum(["running", "abandoned", "over"]),
  },
  /** Joins a keyed model request that the receiver runs; its whole answer. */
  "keyed.join": {
    params: zod.tuple([zod.string().max(400), zod.string().max(64)]),
    result: zod.tuple([
      zod.enum(["answer", "mismatch", "gone"]),
      zod.string().max(4_000_000),
    ]),
  },
  /** Where a keyed model request runs: key, fingerprint, asking VM; answered with the VM. */
  "keyed.locate": {
    params: zod.tuple([zod.string().max(400), zod.string().max(64), vmId]),
    result: zod.tuple([
      zod.enum(["yours", "at", "mismatch"]),
      zod.string().max(63),
    ]),
  },
  /** A keyed model request is over without an answer to replay. */
  "keyed.forget": {
    params: zod.tuple([zod.string().max(400), vmId]),
    result: zod.null(),
  },
  /** A VM's status for operators. */
  status: { params: zod.tuple([]), result: zod.unknown() },
  /** A VM's queues for operators, per service it dispatches. */
  "status.queue": { params: zod.tuple([]), result: zod.unknown() },
  /** Starts a drain. */
  drain: { params: zod.tuple([zod.string().max(100)]), result: zod.boolean() },
  /** Free slots and queue delay of a service that the receiver dispatches. */
  "cell.summary": {
    params: zod.tuple([service]),
    result: zod.tuple([zod.number(), zod.number()]),
  },
} as const;

/** Name of a method between VMs. */
export type Method = keyof typeof METHODS;
/** A heartbeat in full: VM, incarnation, state, records revision. */
export type Beat = zod.infer<typeof beat>;
/** Positional parameters of a method. */
export type Params<M extends Method> = zod.infer<(typeof METHODS)[M]["params"]>;
/** Result of a method. */
export type Result<M extends Method> = zod.infer<(typeof METHODS)[M]["result"]>;

/** Handlers of the methods that a VM serves. */
export type Handlers = {
  readonly [M in Method]: (params: Params<M>) => Result<M> | Promise<Result<M>>;
};
