/**
 * Configuration and settings of the gateways of a soak, and the bounds of the checks.
 * @module
 */
import { FLOODED_MODEL, FLOODED_SERVICE } from "./soak_floods.ts";
import type { GatewayPorts } from "./soak_starts.ts";

/** Bounds that the checks apply to the gateways. */
export const BOUNDS = {
  timeoutMs: 3000,
  /** Of the routes of large answers. */
  largeTimeoutMs: 6000,
  /** Of the routes of long work; more than the grace time of a stop. */
  longTimeoutMs: 12_000,
  /** A response ends at most this long after its route's timeout. */
  responseSlackMs: 500,
  /** A server gets no new requests once its entry has said for this long that it drains. */
  drainNoticeMs: 3000,
  /** A request sent this long after a configuration's write was acknowledged follows it. */
  configApplyMs: 3000,
  /** A server stops running a request at most this long after its caller disconnects. */
  cancellationMs: 500,
  /** Checks count a VM, server or store again this long after a disturbance ends. */
  recoveryMs: 4000,
  /** A gateway exits at most this long after SIGTERM. */
  graceMs: 8000,
  /** Time after SIGTERM in which gateways take all requests, in soaks of stops. */
  balancerLagMs: 2500,
  /** Requests sent this long after SIGTERM may be cut at the end of the grace time. */
  stopTakeMs: 3000,
  /** Part of the grace time, at its end, in which servers at work may be cut off. */
  stopCutShare: 1 / 6,
  /** Retries per window: at most this share of the requests, plus the slack. */
  retryBudgetRatio: 0.1,
  retryBudgetSlack: 10,
  retryBudgetWindowMs: 10_000,
  leaseMs: 3000,
  /**
   * An order may reach a server this long after the disturbance that delayed its holder,
   * beyond `recoveryMs`.
   */
  lateOrderMs: 300,
  /** A gateway serves this long after nothing hinders its start any more. */
  startMs: 5000,
  /** Memory of each VM in soaks of large bodies, and the share that a gateway may take. */
  memoryMb: 250,
  memoryShare: 0.9,
  /** A workspace uses at most its quota, the share beyond it and the slack in each window. */
  quotaWindowMs: 4000,
  quotaTolerance: 0.1,
  quotaSlack: 10,
} as const;

/** Number of events in each stream. */
export const EVENTS_PER_STREAM = 6;
/** Time between two events of a stream. */
export const EVENT_INTERVAL_MS = 40;
export const ROLE_SWITCH_MS = 300;

const MODEL_SERVICE = "lm";
const DEFAULT_BALANCER_LAG_MS = 500;

/** Routes that the callers use, one for each kind of request. */
export const ROUTES = [
  { name: "safe", kind: "safe", maxAttempts: 2, service: "app" },
  { name: "unsafe", kind: "unsafe", maxAttempts: 1, service: "app" },
  {
    name: "chat",
    kind: "stream",
    maxAttempts: 2,
    isResumable: true,
    service: MODEL_SERVICE,
  },
  { name: "once", kind: "stream", maxAttempts: 1, service: MODEL_SERVICE },
  /** Its service alternates with the configuration version; see {@link getFlipService}. */
  { name: "flip", kind: "safe", maxAttempts: 1, service: "app" },
] as const;

/** Routes of plain requests that callers repeat where they end servers. */
export const REPEATED_ROUTES: ReadonlySet<string> = new Set(["safe", "unsafe"]);

/** Body of the repeated requests that end servers, one for each crashing part. */
export function getRepeatedPayload(part: string): string {
  return `payload of ${part}`;
}

/** Name of one of the {@link ROUTES}. */
export type RouteName = (typeof ROUTES)[number]["name"];

/** Returns the service of route `flip` under a configuration version. */
export function getFlipService(version: number): string {
  return version % 2 === 0 ? "green" : "blue";
}

/** Path of large answers below a route's; it has a longer timeout. */
export const LARGE_PATH = "large/";

/** Path of long work below a route's; it has a timeout beyond the grace time. */
export const LONG_PATH = "long/";

/** Timeout of the route of a call. */
export function getTimeoutMs(
  call: { readsSlowly: boolean; workMs: number },
): number {
  if (call.workMs > 0) return BOUNDS.longTimeoutMs;
  return call.readsSlowly ? BOUNDS.largeTimeoutMs : BOUNDS.timeoutMs;
}

/** Creates the configuration of a version, with services of faulty servers if there are any. */
export function createConfig(
  version: number,
  { hasFlooded = false } = {},
): object {
  const routes = ROUTES.map(({ service, ...route }) => ({
    host: "soak",
    pathPrefix: `/${route.name}/`,
    timeoutMs: BOUNDS.timeoutMs,
    targetMs: 600,
    ...route,
    targets: [{
      service: route.name === "flip" ? getFlipService(version) : service,
      weight: 1,
    }],
  }));
  const largeRoutes = routes.filter(({ name }) =>
    name === "safe" || name === "unsafe"
  )
    .map((route) => ({
      ...route,
      name: `${route.name}-large`,
      pathPrefix: `${route.pathPrefix}${LARGE_PATH}`,
      timeoutMs: BOUNDS.largeTimeoutMs,
    }));
  const longRoutes = routes.map((route) => ({
    ...route,
    name: `${route.name}-long`,
    pathPrefix: `${route.pathPrefix}${LONG_PATH}`,
    timeoutMs: BOUNDS.longTimeoutMs,
  }));
  const flooded = hasFlooded ? [FLOODED_SERVICE, FLOODED_MODEL] : [];
  const floodedRoutes = flooded.map((service) => ({
    name: service,
    host: "soak",
    pathPrefix: `/${service}/`,
    kind: service === FLOODED_MODEL ? "stream" : "unsafe",
    timeoutMs: BOUNDS.timeoutMs,
    targetMs: 600,
    targets: [{ service, weight: 1 }],
  }));
  const engine = {
    slots: 8,
    memoryTokens: 20_000,
    tokensPerEvent: 11,
    handleMs: 1000,
    roleSwitchMs: ROLE_SWITCH_MS,
  };
  return {
    version,
    routes: [...routes, ...largeRoutes, ...longRoutes, ...floodedRoutes],
    services: [
      { name: "app" },
      { name: "blue" },
      { name: "green" },
      { name: MODEL_SERVICE, engine },
      ...flooded.map((name) => ({
        name,
        ...(name === FLOODED_MODEL && { engine }),
      })),
    ],
  };
}

/** Servers of a soak; `lm` has a prefill and a decode pool. */
export const SERVERS: readonly {
  readonly id: string;
  readonly service: string;
  readonly role?: "prefill" | "decode";
}[] = [
  ...["app-1", "app-2", "app-3"].map((id) => ({ id, service: "app" })),
  { id: "blue-1", service: "blue" },
  { id: "green-1", service: "green" },
  ...["lm-1", "lm-2", "lm-3", "lm-4", "lm-5", "lm-6"].map((id, index) => ({
    id,
    service: MODEL_SERVICE,
    role: index < 2 ? "prefill" as const : "decode" as const,
  })),
];

/** Creates the settings of one gateway. */
export function createSettings(
  options: {
    id: string;
    availabilityZone: string;
    storePort: number;
    peerPort: number;
    linesPerSecond: number;
    logLevel: string;
    /** Memory of the VM; that of the settings by default. */
    memoryMb?: number | undefined;
    /** Free ones by default, without a listener for metrics. */
    ports: GatewayPorts | undefined;
    /** Time after SIGTERM in which all requests are taken; short by default. */
    balancerLagMs?: number | undefined;
  },
): object {
  const { id, availabilityZone, storePort, peerPort, ports } = options;
  const { linesPerSecond, logLevel, memoryMb } = options;
  const { balancerLagMs = DEFAULT_BALANCER_LAG_MS } = options;
  const listen = (port = 0) => ({ host: "127.0.0.1", port });
  return {
    vm: { id, availabilityZone, ...(memoryMb !== undefined && { memoryMb }) },
    listen: {
      caller: listen(ports?.caller),
      ready: listen(ports?.ready),
      peer: listen(ports?.peer),
      ...(ports && { metrics: listen(ports.metrics) }),
    },
    peerAddress: `127.0.0.1:${peerPort}`,
    peerKey: "a-shared-secret-of-the-soak",
    objectApi: { address: `127.0.0.1:${storePort}` },
    retryBudget: {
      ratio: BOUNDS.retryBudgetRatio,
      slack: BOUNDS.retryBudgetSlack,
    },
    quota: {
      windowSeconds: BOUNDS.quotaWindowMs / 1000,
      tolerance: BOUNDS.quotaTolerance,
      slack: BOUNDS.quotaSlack,
    },
    orders: { leaseMs: BOUNDS.leaseMs },
    shutdown: { balancerLagMs, graceSeconds: BOUNDS.graceMs / 1000 },
    log: { linesPerSecond, level: logLevel },
  };
}
