/**
 * Schema of a gateway's settings file. docs/CONFIG.md documents each key.
 * @module
 */
import type { RetryBudgetOptions } from "@bitternfall/dispatch";
import { BalancingPolicy } from "@bitternfall/service";
import { MAX_NAME_LENGTH } from "@bitternfall/types";
import * as zod from "zod";

const MS_PER_S = 1000;
const HOST_AND_PORT_HINT = "expected host:port";

const listener = zod.union([
  zod.strictObject({
    host: zod.string().min(1),
    port: zod.int().min(0).max(65_535),
  }),
  /** `host:port` in one string. */
  zod.strictObject({
    address: zod.string().regex(/^[^:]+:\d+$/, HOST_AND_PORT_HINT),
  }).transform(
    ({ address }) => {
      const [host, port] = address.split(":");
      return { host: host!, port: Number(port) };
    },
  ),
], 'expected {"host": text, "port": 0 to 65535} or {"address": "host:port"}');
const ms = (fallback: number) =>
  zod.int().min(1).max(86_400_000).default(fallback);

/** A number, also as text; an empty text stands for no value. */
const numberOrText = (fallback: number, { min }: { min: number }) =>
  zod.union([
    zod.number().min(min),
    zod.literal(""),
    zod.string().regex(/^\d+(\.\d+)?$/).transform(Number)
      .pipe(zod.number().min(min)),
  ], `expected a number of at least ${min}`)
    .transform((value) => value === "" ? fallback : value)
    .default(fallback);

/** Schema of a complete settings file. */
export const gatewaySettingsSchema = zod.strictObject({
  vm: zod.strictObject({
    id: zod.string().min(1).max(MAX_NAME_LENGTH),
    availabilityZone: zod.string().min(1),
    /** Number of CPU cores of this VM; may be a fraction of one. */
    strength: zod.number().positive().default(1),
    /** Memory that the process may use, in megabytes. */
    memoryMb: numberOrText(200, { min: 64 }),
    /** File descriptors that the process may have open. */
    descriptors: numberOrText(4096, { min: 512 }),
  }),
  listen: zod.strictObject({
    /** For callers' requests. */
    caller: listener,
    /** For the balancer's readiness checks. */
    ready: listener,
    /** For other VMs. */
    peer: listener,
    /** For scrapes of the metrics. */
    metrics: listener.optional(),
  }),
  /** `host:port` at which other VMs reach this one, if not the peer listener's address. */
  peerAddress: zod.string().regex(/^[^:]+:\d+$/, HOST_AND_PORT_HINT).optional(),
  /** Secret that all VMs share. */
  peerKey: zod.string().min(16),
  objectApi: zod.strictObject({
    /** `host:port`. */
    address: zod.string().min(1),
    callTimeoutMs: ms(800),
    /**
     * Timeout of a watch of a VM that is not a hub; shorter than the time for which the API
     * keeps its history of changes.
     */
    watchWaitMs: ms(16_000),
    /**
     * Mean timeout of a hub's watch, and so about the longest time until a silent watch is
     * noticed.
     */
    hubWatchWaitMs: ms(2000),
  }),
  membership: zod.strictObject({
    heartbeatMs: ms(500),
    heartbeatTimeoutMs: ms(400),
  }).prefault({}),
  /** Retries that all VMs together may send to a service. */
  retryBudget: zod.strictObject({
    /** Retries per request. */
    ratio: zod.number().min(0).max(1).default(0.1),
    /** Retries beyond those, in each window. */
    slack: zod.number().min(0).default(20),
    windowSeconds: zod.number().min(1).max(600).default(10),
  }).prefault({}),
  /** How far workspaces may exceed their quotas, over all VMs together. */
  quota: zod.strictObject({
    windowSeconds: numberOrText(8, { min: 0.1 }),
    /** Share of what a quota allows in a window. */
    tolerance: numberOrText(0.1, { min: 0 }),
    /** Tokens or requests beyond that share, in each window. */
    slack: numberOrText(0, { min: 0 }),
  }).prefault({}),
  /** Choice among the servers of plain services. */
  balancing: zod.strictObject({
    /** An empty text stands for the default. */
    policy: zod.union([zod.enum(BalancingPolicy), zod.literal("")])
      .transform((policy) => policy || BalancingPolicy.TwoChoices)
      .default(BalancingPolicy.TwoChoices),
  }).prefault({}),
  orders: zod.strictObject({
    /** Whether servers are moved between prefill and decode. */
    enabled: zod.boolean().default(true),
    leaseMs: ms(3000),
    /** Assumed properties of model requests before any has been seen. */
    expected: zod.strictObject({
      promptTokens: zod.number().positive().default(3200),
      /** Events of a request's stream; each engine states how many tokens one carries. */
      outputEvents: zod.number().positive().default(72),
      prefillTokensPerMs: zod.number().positive().default(33),
      prefillBaseMs: zod.number().min(0).default(30),
      /** Time that a request occupies its slot on a decode server. */
      holdMs: ms(3300),
    }).prefault({}),
  }).prefault({}),
  startup: zod.strictObject({
    /** Time for which a start waits for ports that are in use. */
    bindTimeoutMs: ms(90_000),
  }).prefault({}),
  shutdown: zod.strictObject({
    /** Time until the balancer notices that a VM is not ready. */
    balancerLagMs: zod.int().min(0).max(60_000).default(2500),
    /** Time from SIGTERM until the process is killed. */
    graceSeconds: zod.number().positive().default(8),
  }).prefault({}),
  limits: zod.strictObject({
    inFlight: zod.int().min(1).max(100_000).default(1000),
    /** Bytes of request bodies that may be buffered at once. */
    heldBodyBytes: zod.int().min(1).default(32_000_000),
  }).prefault({}),
  log: zod.strictObject({
    level: zod.enum(["debug", "info", "warn", "error"]).default("info"),
    linesPerSecond: zod.int().min(1).default(40),
  }).prefault({}),
});

/** Validated settings with all defaults filled in. */
export type GatewaySettings = zod.infer<typeof gatewaySettingsSchema>;

/** Malformed settings; the message names the field. */
export class GatewaySettingsError extends Error {}

/** Parses and validates a settings file. Throws {@link GatewaySettingsError}. */
export function parseGatewaySettings(text: string): GatewaySettings {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (err) {
    throw new GatewaySettingsError(
      `settings are not JSON: ${(err as Error).message}`,
    );
  }
  const parsed = gatewaySettingsSchema.safeParse(raw, { reportInput: true });
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const path = issue?.path.join(".") || "settings";
  const found = describeFound(path, issue?.input);
  throw new GatewaySettingsError(`${path}: ${issue?.message}${found}`);
}

/** Names a scalar value; an object would be long, and the peer key is a secret. */
function describeFound(path: string, value: unknown): string {
  const isScalar = typeof value === "string" || typeof value === "number" ||
    typeof value === "boolean";
  if (!isScalar || path === "peerKey") return "";
  return `, found ${JSON.stringify(value).slice(0, 80)}`;
}

const RELOADABLE = ["log", "limits", "retryBudget", "shutdown"] as const;
type ReloadableSettings = Pick<GatewaySettings, (typeof RELOADABLE)[number]>;

/** Returns the retry budget of the settings. */
export function toRetryBudget(
  { retryBudget }: Pick<GatewaySettings, "retryBudget">,
): RetryBudgetOptions {
  const { ratio, slack, windowSeconds } = retryBudget;
  return { ratio, slack, windowMs: windowSeconds * MS_PER_S };
}

/** Returns the sections that can be applied while a gateway runs. */
export function pickReloadable(settings: GatewaySettings): ReloadableSettings {
  const { log, limits, retryBudget, shutdown } = settings;
  return { log, limits, retryBudget, shutdown };
}

/** Returns the names of the sections that differ and need a restart. */
export function listSectionsNeedingRestart(
  before: GatewaySettings,
  after: GatewaySettings,
): string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].filter((name) => {
    if (RELOADABLE.some((reloadable) => reloadable === name)) return false;
    const key = name as keyof GatewaySettings;
    return JSON.stringify(before[key]) !== JSON.stringify(after[key]);
  });
}
