/**
 * Callers whose requests take long while their gateway is stopped, which may be short of
 * processor time meanwhile.
 * @module
 */
import { createRandom } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import type { SoakClients } from "./soak_clients.ts";
import { BOUNDS } from "./soak_config.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { PlannedFault } from "./soak_plan.ts";
import type { SoakVm } from "./soak_processes.ts";

const MIN_CALLERS = 10;
const MAX_CALLERS = 60;
/** Requests are sent from this long before SIGTERM on. */
const BEFORE_STOP_MS = 1500;
const MAX_WORK_MS = 11_500;
const THROTTLED_SHARE = 0.6;
const MIN_TIME_SHARE = 0.03;
const MAX_TIME_SHARE = 0.3;
const LONG_ROUTES = ["safe", "unsafe", "chat", "once"] as const;

/** Stops a gateway under requests that last up to and beyond the grace time. */
export async function stopUnderLongWork(
  vm: SoakVm,
  { pick }: PlannedFault,
  { fleet, clients }: { fleet: SoakFleet; clients: SoakClients },
): Promise<void> {
  const random = createRandom(Math.floor(pick * 2 ** 30));
  await vm.lastOperation;
  const isThrottled = random() < THROTTLED_SHARE;
  const timeShare = MIN_TIME_SHARE +
    random() * (MAX_TIME_SHARE - MIN_TIME_SHARE);
  const runCaller = async () => {
    await sleep(random() * (BEFORE_STOP_MS + BOUNDS.stopTakeMs));
    const route = LONG_ROUTES[Math.floor(random() * LONG_ROUTES.length)]!;
    const workMs = Math.floor(1 + random() * MAX_WORK_MS);
    if (vm.isReady) await clients.send(vm, { route, workMs });
  };
  const count = MIN_CALLERS +
    Math.floor(random() * (MAX_CALLERS - MIN_CALLERS));
  const callers = Array.from({ length: count }, runCaller);
  await sleep(BEFORE_STOP_MS);
  if (isThrottled) await fleet.restartThrottled(vm, timeShare);
  else await fleet.restart(vm);
  await Promise.all(callers);
}
