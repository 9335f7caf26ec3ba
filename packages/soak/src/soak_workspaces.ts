/**
 * Workspaces of a soak: their keys, which configurations add and take away, and surges of the
 * callers of one of them.
 * @module
 */
import { QuotaUnit, type Workspace } from "@bitternfall/access";
import { createRandom } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import type { SoakClients } from "./soak_clients.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { PlannedFault } from "./soak_plan.ts";
import type { SoakVm } from "./soak_processes.ts";

/** Part of each key; servers must never see it. */
export const KEY_MARK = "soakkey";
/** Tokens that a stream of the callers costs; see their header. */
export const STREAM_TOKENS = 1100;

const SURGING = "surging";
/** Quotas are several times what callers use when there is no surge. */
const WORKSPACES: readonly Pick<Workspace, "name" | "quota">[] = [
  { name: "steady", quota: createQuota(QuotaUnit.Requests, 40) },
  { name: SURGING, quota: createQuota(QuotaUnit.Requests, 20) },
  { name: "tokens", quota: createQuota(QuotaUnit.Tokens, 20_000) },
  { name: "free-a" },
  { name: "free-b" },
];
/** A key that all configurations hold. */
export const SOUND_KEY = getLastingKey("free-a");
const MOVING_KEY = `${KEY_MARK}-moving`;
/** Versions that hold a key which is added and taken away. */
const KEY_VERSIONS = 2;
const UNKNOWN_SHARE = 0.05;
const MOVING_SHARE = 0.1;
/** The others are added and taken away, and some of them are gone. */
const LASTING_SHARE = 0.55;
/** Versions back from the newest one from which callers take such keys. */
const MAX_VERSIONS_BACK = 4;
const SURGE_CALLERS = 20;
const MEAN_SURGE_PAUSE_MS = 40;
const SURGE_ROUTES = ["safe", "unsafe"] as const;

function createQuota(unit: QuotaUnit, perSecond: number) {
  return { unit, perSecond, burst: perSecond, plainTokens: 200 };
}

/** Returns the key of a workspace that no configuration takes away. */
function getLastingKey(workspace: string): string {
  return `${KEY_MARK}-${workspace}`;
}

function getPassingKey(workspace: string, version: number): string {
  return `${getLastingKey(workspace)}-${version}`;
}

/** The workspaces of a configuration version. */
export function createWorkspaces(version: number): readonly Workspace[] {
  const movesTo = version % 2 === 0 ? "free-a" : "free-b";
  return WORKSPACES.map((workspace) => ({
    ...workspace,
    keys: [
      getLastingKey(workspace.name),
      ...Array.from(
        { length: KEY_VERSIONS },
        (_, index) => getPassingKey(workspace.name, version - index),
      ),
      ...(workspace.name === movesTo ? [MOVING_KEY] : []),
    ],
  }));
}

/** Draws the key of a caller's next request while a configuration version is the newest. */
export function drawKey(random: () => number, version: number): string {
  const pick = random();
  const { name } = WORKSPACES[Math.floor(random() * WORKSPACES.length)]!;
  const back = Math.floor(random() * MAX_VERSIONS_BACK);
  if (pick < UNKNOWN_SHARE) return `${KEY_MARK}-unknown`;
  if (pick < UNKNOWN_SHARE + MOVING_SHARE) return MOVING_KEY;
  if (pick > 1 - LASTING_SHARE) return getLastingKey(name);
  return getPassingKey(name, version - back);
}

/** Has more callers of one workspace send requests, to one gateway or to all. */
export async function surge(
  vm: SoakVm,
  { durationMs, pick }: PlannedFault,
  { fleet, clients }: { fleet: SoakFleet; clients: SoakClients },
): Promise<void> {
  const random = createRandom(Math.floor(pick * 2 ** 30));
  const endAt = performance.now() + durationMs;
  const vms = random() < 0.5 ? [vm] : fleet.vms;
  const runCaller = async () => {
    while (performance.now() < endAt) {
      const target = vms[Math.floor(random() * vms.length)]!;
      const route = SURGE_ROUTES[Math.floor(random() * SURGE_ROUTES.length)]!;
      if (target.isReady) {
        await clients.send(target, { route, key: getLastingKey(SURGING) });
      }
      await sleep(-Math.log(1 - random()) * MEAN_SURGE_PAUSE_MS);
    }
  };
  await Promise.all(Array.from({ length: SURGE_CALLERS }, runCaller));
}
