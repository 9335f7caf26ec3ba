/**
 * Measures what the check of a request's key and its rank cost, and the memory of a
 * configuration with many keys.
 * @module
 */
import { AccessKind } from "@bitternfall/access";
import {
  type GatewayConfig,
  OWN_HEADERS,
  OwnCallers,
  OwnRegistry,
  RequestAccess,
} from "@bitternfall/gateway";
import { createRandom } from "@bitternfall/stand-ins";
import process from "node:process";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import type { ResultLine } from "./report_lines.ts";

/** Bounds for key, quota and priority together. */
const MAX_CHECK_US = 20;
const MAX_MEMORY_MB = 8;
const WORKSPACES = 800;
const KEYS_PER_WORKSPACE = 25;
const PRIORITIES = 4;
const SERVICES = 4;
/** Configurations of which the memory is measured together. */
const COPIES = 8;
const CHECKS = 200_000;
const WARM_UP_CHECKS = 20_000;
/** Every tenth key is unknown. */
const UNKNOWN_SHARE = 0.1;
const HEADERS = [
  ...["host", "ficu95.example", "content-type", "application/json"],
  ...["user-agent", "caller/1.0", "accept", "*/*", "content-length", "1200"],
];

/** Measures the check of keys, known and unknown, on a configuration with 20,000 of them. */
export function benchAccess(): ResultLine[] {
  const text = createConfigText();
  // The first configuration loads code that stays.
  const { config, access } = activate(text);
  const memoryBefore = measureMemory();
  const startedAt = performance.now();
  const copies = Array.from({ length: COPIES }, () => activate(text));
  const applyMs = (performance.now() - startedAt) / COPIES;
  const memoryMb = (measureMemory() - memoryBefore) / 1e6 / copies.length;
  measureCheckUs(config, { access, checks: WARM_UP_CHECKS });
  const checkUs = measureCheckUs(config, { access, checks: CHECKS });
  const size = `${WORKSPACES} workspaces, ${
    WORKSPACES * KEYS_PER_WORKSPACE
  } keys`;
  return [
    createLine(`access: key and rank of a request, ${size}`, {
      value: checkUs,
      unit: "µs",
      target: MAX_CHECK_US,
    }),
    createLine(`access: memory of a configuration, ${size}`, {
      value: memoryMb,
      unit: "MB",
      target: MAX_MEMORY_MB,
    }),
    {
      name: `access: time to apply a configuration, ${size}`,
      value: Math.round(applyMs),
      unit: "ms",
    },
  ];
}

function createLine(
  name: string,
  result: { value: number; unit: string; target: number },
): ResultLine {
  const { value, unit, target } = result;
  const rounded = Math.round(value * 100) / 100;
  return { name, value: rounded, unit, target, ok: value <= target };
}

function createKey(workspace: number, index: number): string {
  return `key-${workspace}-${index}`.padEnd(20, "x");
}

function createConfigText(): string {
  const services = Array.from({ length: SERVICES }, (_, index) => `s${index}`);
  return JSON.stringify({
    version: 1,
    services: services.map((name) => ({ name })),
    routes: services.map((service, index) => ({
      name: `r-${service}`,
      host: "ficu95.example",
      pathPrefix: `/${service}/`,
      kind: "safe",
      timeoutMs: 2000,
      targetMs: 300,
      priority: index % PRIORITIES,
      targets: services.map((target) => ({ service: target, weight: 1 })),
    })),
    workspaces: Array.from({ length: WORKSPACES }, (_, workspace) => ({
      name: `w${workspace}`,
      priority: workspace % PRIORITIES,
      keys: Array.from(
        { length: KEYS_PER_WORKSPACE },
        (_, index) => createKey(workspace, index),
      ),
    })),
  });
}

/** Reads and applies a configuration as a gateway does. */
function activate(
  text: string,
): { config: GatewayConfig; access: RequestAccess } {
  const config = new OwnRegistry().readConfig(JSON.parse(text))!;
  return { config, access: new RequestAccess(config) };
}

function measureMemory(): number {
  v8.setFlagsFromString("--expose-gc");
  vm.runInNewContext("gc")();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function measureCheckUs(
  { routes, services }: GatewayConfig,
  { access, checks }: { access: RequestAccess; checks: number },
): number {
  const random = createRandom(3);
  const dialect = new OwnCallers();
  const service = services.get("s0")!;
  const requests = Array.from({ length: 5000 }, () => {
    const index = random() < UNKNOWN_SHARE ? KEYS_PER_WORKSPACE : 0;
    const key = createKey(
      Math.floor(random() * WORKSPACES),
      index + Math.floor(random() * KEYS_PER_WORKSPACE),
    );
    return [...HEADERS, OWN_HEADERS.key, key];
  });
  let granted = 0;
  const startedAt = performance.now();
  for (let check = 0; check < checks; check++) {
    const rawHeaders = requests[check % requests.length]!;
    const route = routes[check % routes.length]!;
    const decision = access.check(
      { rawHeaders, route, forwarded: undefined },
      dialect,
    );
    if (decision.kind !== AccessKind.Granted) continue;
    const { workspace } = decision;
    access.findRank(service, { workspace, route });
    granted++;
  }
  const checkUs = (performance.now() - startedAt) * 1000 / checks;
  const share = granted / checks;
  if (Math.abs(share - (1 - UNKNOWN_SHARE)) > 0.02) {
    throw new Error(`${share} of the checks were granted`);
  }
  return checkUs;
}
