/**
 * What the gateways of a soak are configured with.
 * @module
 */

/** Bounds that the checks hold the gateways to, in milliseconds unless told. */
export const BOUNDS = {
  timeoutMs: 3000,
  /** Final answers are out this long after a route's timeout. */
  answerSlackMs: 500,
  /** New requests reach a leaving server no later than this after its entry says so. */
  drainMs: 3000,
  configMs: 3000,
  /** Servers are done with what its caller has left after this long. */
  goneMs: 500,
  /** A VM or store is trusted again this long after its last disturbance. */
  stableMs: 4000,
  graceMs: 8000,
  budgetRatio: 0.2,
  budgetSlack: 60,
  budgetWindowMs: 10_000,
  leaseMs: 3000,
  /** Orders of a sender that was held up may come this late. */
  thawMs: 300,
} as const;

/** Events of each stream. */
export const EVENTS = 6;
export const EVENT_MS = 40;
export const ROLE_SWITCH_MS = 300;

const MODEL_SERVICE = "lm";

/** Kinds of request that the callers send. */
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
  /** Leads to either of two services by turns, as the configuration has it. */
  { name: "flip", kind: "safe", maxAttempts: 1, service: "app" },
] as const;

/** Name of a route. */
export type RouteName = (typeof ROUTES)[number]["name"];

/** The service that `flip` leads to in a version. */
export function getFlipService(version: number): string {
  return version % 2 === 0 ? "green" : "blue";
}

/** The configuration of a version. */
export function createConfig(version: number): object {
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
  const engine = {
    slots: 8,
    memoryTokens: 20_000,
    tokensPerEvent: 11,
    handleMs: 1000,
    roleSwitchMs: ROLE_SWITCH_MS,
  };
  return {
    version,
    routes,
    services: [
      { name: "app" },
      { name: "blue" },
      { name: "green" },
      { name: MODEL_SERVICE, engine },
    ],
  };
}

/** Servers of a soak. */
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

/** Settings of one gateway. */
export function createSettings(
  options: {
    id: string;
    availabilityZone: string;
    storePort: number;
    peerPort: number;
    linesPerSecond: number;
  },
): object {
  const { id, availabilityZone, storePort, peerPort, linesPerSecond } = options;
  const loopback = { host: "127.0.0.1", port: 0 };
  return {
    vm: { id, availabilityZone },
    listen: { caller: loopback, ready: loopback, peer: loopback },
    peerAddress: `127.0.0.1:${peerPort}`,
    peerKey: "a-shared-secret-of-the-soak",
    objectApi: { address: `127.0.0.1:${storePort}` },
    retryBudget: { ratio: BOUNDS.budgetRatio, slack: BOUNDS.budgetSlack },
    orders: { leaseMs: BOUNDS.leaseMs },
    shutdown: { balancerLagMs: 500, graceSeconds: BOUNDS.graceMs / 1000 },
    log: { linesPerSecond },
  };
}
