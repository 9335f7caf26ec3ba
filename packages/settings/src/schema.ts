/**
 * Schema of the settings file of `bitternfalld`. docs/CONFIG.md documents each key.
 * @module
 */
import * as zod from "zod";

const port = zod.int().min(0).max(65535);
const listener = zod.strictObject({
  host: zod.string().min(1).default("127.0.0.1"),
  port: port.default(0),
});
const tls = zod.strictObject({
  certFile: zod.string().min(1),
  keyFile: zod.string().min(1),
  caFile: zod.string().min(1).optional(),
});
const sha256 = zod.string().regex(
  /^[0-9a-f]{64}$/,
  "expected 64 hexadecimal digits (SHA-256)",
);
const durationMs = (defaultMs: number) =>
  zod.int().min(1).max(86_400_000).default(defaultMs);

/** A person or program that may call the operators' API. */
export const operatorSchema = zod.strictObject({
  name: zod.string().min(1),
  tokenSha256: sha256,
  scopes: zod.array(zod.enum(["read", "write"])).min(1),
});

/** Schema of the settings file. */
export const settingsSchema = zod.strictObject({
  $schema: zod.string().optional(),
  vm: zod.strictObject({
    id: zod.string().regex(
      /^[a-z0-9][a-z0-9-]{0,62}$/,
      "expected lower-case letters, digits and hyphens",
    ),
    availabilityZone: zod.string().min(1),
    cell: zod.string().min(1).default("cell-1"),
  }),
  listen: zod.strictObject({
    caller: listener.prefault({}),
    peer: listener.prefault({}),
    operator: listener.prefault({}),
  }).prefault({}),
  tls: zod.strictObject({
    caller: tls.optional(),
    peer: tls.optional(),
    operator: tls.optional(),
  }).prefault({}),
  platform: zod.strictObject({
    objectApi: zod.url(),
    vmList: zod.url(),
    weightStore: zod.url().optional(),
    /** Prefix of all keys of this deployment in the object API. */
    prefix: zod.string().regex(/^[a-z0-9/-]*$/).default("bitternfall/"),
    callTimeoutMs: durationMs(800),
    watchWaitMs: durationMs(3000),
  }),
  /** Shared secret of the entry VMs; BITTERNFALL_PEER_KEY takes precedence. */
  peerKey: zod.string().min(16).optional(),
  operators: zod.array(operatorSchema).default([]),
  limits: zod.strictObject({
    headerBytes: zod.int().min(1024).max(65_536).default(16_384),
    bodyBytes: zod.int().min(1024).max(64_000_000).default(4_000_000),
    requestReadMs: durationMs(10_000),
    jsonDepth: zod.int().min(4).max(1000).default(64),
    inFlight: zod.int().min(1).max(100_000).default(4000),
    perWorkspaceInFlight: zod.int().min(1).max(100_000).default(400),
    heldBytes: zod.int().min(1_000_000).max(16_000_000_000)
      .default(256_000_000),
  }).prefault({}),
  membership: zod.strictObject({
    heartbeatMs: durationMs(1000),
    heartbeatTimeoutMs: durationMs(600),
    vmListPollMs: durationMs(1000),
  }).prefault({}),
  steward: zod.strictObject({
    leaseMs: durationMs(6000),
    longestOrderMs: durationMs(1500),
  })
    .prefault({}),
  dispatch: zod.strictObject({
    policy: zod.enum([
      "joint",
      "random",
      "round-robin",
      "least-loaded-by-report",
    ]).default("joint"),
  }).prefault({}),
  journal: zod.strictObject({
    shards: zod.int().min(1).max(1024).default(16),
    writesPerSecond: zod.number().min(0.1).max(300).default(40),
    appendTimeoutMs: durationMs(600),
    retentionMs: durationMs(86_400_000),
    answerBytes: zod.int().min(0).max(65_536).default(8192),
  }).prefault({}),
  startup: zod.strictObject({
    /** Time for which a start waits for ports in use, and for TLS files it can't read. */
    bindTimeoutMs: durationMs(90_000),
  }).prefault({}),
  shutdown: zod.strictObject({
    balancerLagMs: zod.int().min(0).max(600_000).default(3000),
    graceMs: durationMs(60_000),
  })
    .prefault({}),
  log: zod.strictObject({
    level: zod.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
  metrics: zod.strictObject({ host: zod.string().min(1), port }).optional(),
});

/** Validated settings with all defaults filled in. */
export type Settings = zod.infer<typeof settingsSchema> & {
  readonly peerKey: string;
};
