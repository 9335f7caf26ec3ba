/**
 * Schemas of the operators' records; docs/CONFIG.md documents each field. Both schema
 * versions of a routing record are accepted; `Routing` normalises them into one shape.
 * @module
 */
import * as zod from "zod";

const name = zod.string().regex(
  /^[a-z0-9][a-z0-9.-]{0,62}$/,
  "expected lower-case letters, digits, dots and hyphens",
);
const upstream = {
  id: name,
  address: zod.url(),
  availabilityZone: zod.string().min(1),
};
const durationMs = zod.int().min(1).max(86_400_000);

const modelServer = {
  ...upstream,
  role: zod.enum(["prefill", "decode"]),
  /** Cell that the server belongs to; derived from the VM list by default. */
  cell: zod.string().min(1).optional(),
};

const modelService = zod.strictObject({
  kind: zod.literal("ModelService"),
  schemaVersion: zod.literal(1),
  name,
  model: zod.string().min(1),
  servers: zod.array(zod.strictObject(modelServer)).max(2000),
  targets: zod.strictObject({
    firstOutputMs: durationMs.default(730),
    betweenOutputsMs: durationMs.default(32),
  }).prefault({}),
  /** Relative value of a request that meets both targets and of a prefilled token not wasted. */
  weights: zod.strictObject({
    goodput: zod.number().min(0).max(100).default(1),
    wastedPrefill: zod.number().min(0).max(100).default(1),
  }).prefault({}),
  limits: zod.strictObject({
    decodeSlots: zod.int().min(1).max(1000).default(20),
    perWorkspaceInFlight: zod.int().min(1).max(100_000).default(200),
    promptTokens: zod.int().min(1).max(1_000_000).default(64_000),
    outputTokens: zod.int().min(1).max(100_000).default(4096),
  }).prefault({}),
  adapters: zod.array(zod.string().min(1)).max(100).default([]),
  checksFencing: zod.boolean().default(false),
  balancePools: zod.boolean().default(false),
});

const plainService = zod.strictObject({
  kind: zod.literal("PlainService"),
  schemaVersion: zod.literal(1),
  name,
  servers: zod.array(zod.strictObject(upstream)).max(2000),
  timeoutMs: durationMs.default(2000),
});

const operationV1 = zod.strictObject({
  service: name,
  method: zod.string().regex(/^[A-Z]+$/),
  path: zod.string().startsWith("/"),
  repeatable: zod.boolean(),
});
const routingV1 = zod.strictObject({
  kind: zod.literal("RoutingRecord"),
  schemaVersion: zod.literal(1),
  name,
  models: zod.record(zod.string().min(1), name).default({}),
  services: zod.array(name).default([]),
  operations: zod.array(operationV1).max(500).default([]),
  priority: zod.int().min(0).max(2).default(1),
});
const routingV2 = zod.strictObject({
  kind: zod.literal("RoutingRecord"),
  schemaVersion: zod.literal(2),
  name,
  models: zod.array(zod.strictObject({
    model: zod.string().min(1),
    service: name,
    priority: zod.int().min(0).max(2).default(1),
  })).max(100).default([]),
  services: zod.array(zod.strictObject({
    service: name,
    operations: zod.array(zod.strictObject({
      methods: zod.array(zod.string().regex(/^[A-Z]+$/)).min(1),
      path: zod.string().startsWith("/"),
      repeatable: zod.boolean(),
      keyRequired: zod.boolean().default(false),
      timeoutMs: durationMs.optional(),
    })).max(500).default([]),
  })).max(100).default([]),
});

const assignment = zod.strictObject({
  kind: zod.literal("Assignment"),
  schemaVersion: zod.literal(1),
  /** The office or member that the keys belong to. */
  name,
  workspace: name,
  routing: name,
  keySha256: zod.array(
    zod.string().regex(
      /^[0-9a-f]{64}$/,
      "expected 64 hexadecimal digits (SHA-256)",
    ),
  ).min(1).max(20),
});

const poolRoles = zod.strictObject({
  kind: zod.literal("PoolRoles"),
  schemaVersion: zod.literal(1),
  name,
  service: name,
  /** Stage by server id; overrides the stage that the model service declares. */
  roles: zod.record(name, zod.enum(["prefill", "decode"])),
});

/** Schema of a record of any kind. */
export const recordSchema = zod.union([
  modelService,
  plainService,
  zod.discriminatedUnion("schemaVersion", [routingV1, routingV2]),
  assignment,
  poolRoles,
]);

const schemasByKind = {
  ModelService: modelService,
  PlainService: plainService,
  RoutingRecord: zod.discriminatedUnion("schemaVersion", [
    routingV1,
    routingV2,
  ]),
  Assignment: assignment,
  PoolRoles: poolRoles,
} as const;

/** The kinds of record. */
export enum RecordKind {
  ModelService = "ModelService",
  PlainService = "PlainService",
  RoutingRecord = "RoutingRecord",
  Assignment = "Assignment",
  /** Written by the steward for a model service with `balancePools`. */
  PoolRoles = "PoolRoles",
}

/** Returns the schema of a kind, or undefined for an unknown one. */
export function findSchema(
  kind: unknown,
): zod.ZodType<OperatorRecord> | undefined {
  return Object.hasOwn(schemasByKind, String(kind))
    ? schemasByKind[kind as RecordKind] as zod.ZodType<OperatorRecord>
    : undefined;
}

/** A validated record. */
export type OperatorRecord = zod.infer<typeof recordSchema>;
/** A model service and its servers. */
export type ModelService = zod.infer<typeof modelService>;
/** A plain service and its servers. */
export type PlainService = zod.infer<typeof plainService>;
/** A routing record of schema version 1. */
export type RoutingV1 = zod.infer<typeof routingV1>;
/** A routing record of schema version 2. */
export type RoutingV2 = zod.infer<typeof routingV2>;
/** Stages that the steward assigned to servers of a model service. */
export type PoolRoles = zod.infer<typeof poolRoles>;
/** Binds an office or member and its keys to a workspace and a routing record. */
export type Assignment = zod.infer<typeof assignment>;
