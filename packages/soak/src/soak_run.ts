/**
 * Runs one seeded soak: gateways under load with overlapping series of faults. The promises
 * are checked every second and once more after the faults have ended.
 * @module
 */
import { setMaxListeners } from "node:events";
import { createRandom } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { SOAK_PROCESS } from "./disturbances.ts";
import { findViolations, type Violation } from "./promises.ts";
import { SoakClients } from "./soak_clients.ts";
import { BOUNDS, ROUTES } from "./soak_config.ts";
import { SoakFaultInjector } from "./soak_faults.ts";
import { SoakFleet } from "./soak_fleet.ts";
import {
  BODY_FAULTS,
  FLOOD_FAULTS,
  planSoak,
  type SoakFault,
  START_FAULTS,
  STOP_FAULTS,
  WORKSPACE_FAULTS,
} from "./soak_plan.ts";

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Faults start within this time; recovery and the final checks come on top. */
  readonly durationMs: number;
  /** Number of gateway processes. */
  readonly vms?: number;
  /** Kinds of faults to draw from; all by default. */
  readonly kinds?: readonly SoakFault[] | undefined;
  /** Directory for the logs of a soak that breaks a promise or fails. */
  readonly keepLogsIn?: string | undefined;
  /** Ends the soak at once, as a failed one. */
  readonly signal?: AbortSignal | undefined;
}

/** The promises that a soak broke, and a summary of the run. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  /** One line for each injected fault. */
  readonly faults: readonly string[];
  /** Number of requests by response status; `none` for no response. */
  readonly responsesByStatus: ReadonlyMap<string, number>;
  /** How often the soak's own process stalled; checks ignore timings around a stall. */
  readonly stallCount: number;
  /** Largest resident memory of a gateway; 0 where none was observed. */
  readonly peakMemoryMb: number;
}

const DEFAULT_VMS = 6;
const CLIENTS_PER_VM = 3;
const CHECK_INTERVAL_MS = 1000;
/**
 * Load goes on this long after the last fault, until watches and heartbeats time out on
 * connections that are still silenced.
 */
const RECOVERY_WAIT_MS = 7000;
const STALL_CHECK_MS = 50;
/** A timer that fires this late counts as a stall of the soak's own process. */
const STALL_THRESHOLD_MS = 100;
/** Added to the soak's seed for the random numbers of the fleet and of the callers. */
const FLEET_SEED_OFFSET = 7919;
const CLIENT_SEED_OFFSET = 104_729;
/** Of the random numbers of keys, so that those of the callers stay the same. */
const KEY_SEED_OFFSET = 179_424_673;

/** Runs one soak and returns the promises that it broke. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs, vms = DEFAULT_VMS, kinds, keepLogsIn } = options;
  const hasAny = (faults: readonly SoakFault[]) =>
    kinds?.some((kind) => faults.includes(kind)) ?? false;
  const hasWorkspaces = hasAny(WORKSPACE_FAULTS);
  const fleet = new SoakFleet({
    vms,
    random: createRandom(seed + FLEET_SEED_OFFSET),
    ...(hasAny([...BODY_FAULTS, ...FLOOD_FAULTS]) && {
      memoryMb: BOUNDS.memoryMb,
    }),
    ...(hasAny(STOP_FAULTS) && { balancerLagMs: BOUNDS.balancerLagMs }),
    isBundled: hasAny([...START_FAULTS, ...BODY_FAULTS, ...FLOOD_FAULTS]),
    hasFloods: hasAny(FLOOD_FAULTS),
    hasWorkspaces,
  });
  const clients = new SoakClients(
    fleet,
    createRandom(seed + CLIENT_SEED_OFFSET),
    hasWorkspaces ? createRandom(seed + KEY_SEED_OFFSET) : undefined,
  );
  const stopLoad = new AbortController();
  const stopAll = new AbortController();
  // Each caller and each sleep adds a listener to these signals.
  setMaxListeners(0, stopLoad.signal, stopAll.signal);
  const violations = new Map<string, Violation>();
  let isDone = false;
  const check = () => {
    const now = performance.now();
    const observations = { fleet, calls: clients.calls, now };
    for (const violation of findViolations(observations)) {
      if (!violations.has(violation.promise)) {
        violations.set(violation.promise, violation);
      }
    }
  };
  const run = async (): Promise<SoakResult> => {
    await fleet.start();
    const watching = watchForStalls(fleet, stopAll.signal);
    const checking = checkRepeatedly(check, stopAll.signal);
    const loading = clients.run(vms * CLIENTS_PER_VM, stopLoad.signal);
    const injector = new SoakFaultInjector(fleet, {
      clients,
      signal: stopAll.signal,
    });
    await Promise.all(
      planSoak({ seed, durationMs, ...(kinds && { kinds }) }).map(
        async (fault) => {
          await sleep(fault.atMs);
          await injector.inject(fault);
        },
      ),
    );
    await sleep(RECOVERY_WAIT_MS);
    stopLoad.abort();
    await loading;
    for (const violation of await findUnservedRoutes(fleet, clients)) {
      violations.set(violation.promise, violation);
    }
    const unanswered = fleet.findUnanswered();
    if (unanswered !== undefined) {
      const promise = "no gateway ends a request that nothing answered";
      violations.set(promise, { promise, detail: unanswered });
    }
    stopAll.abort();
    const stallCount = await watching;
    await checking;
    check();
    isDone = true;
    return {
      violations: [...violations.values()],
      faults: injector.lines,
      responsesByStatus: countResponses(clients),
      stallCount,
      peakMemoryMb: Math.max(0, ...fleet.memoryPeaksMb.values()),
    };
  };
  try {
    return await Promise.race([run(), rejectOnAbort(options.signal)]);
  } finally {
    stopLoad.abort();
    stopAll.abort();
    await fleet.close(violations.size > 0 || !isDone ? { keepLogsIn } : {});
  }
}

function rejectOnAbort(signal: AbortSignal | undefined): Promise<never> {
  return new Promise((_resolve, reject) => {
    signal?.addEventListener(
      "abort",
      () => reject(new Error("stopped by a signal")),
    );
  });
}

/** After all faults have ended, checks that each gateway serves each route. */
async function findUnservedRoutes(
  fleet: SoakFleet,
  clients: SoakClients,
): Promise<Violation[]> {
  const promise = "everything is served again";
  const unready = await fleet.waitUntilReady();
  if (unready.length > 0) {
    return [{ promise, detail: `not ready: ${unready.join(", ")}` }];
  }
  for (const vm of fleet.vms) {
    for (const { name } of ROUTES) {
      const call = await clients.send(vm, { route: name });
      if (call.status === 200 && call.isComplete) continue;
      const detail = `${call.id} ${name} on ${vm.id}: ${call.status} ` +
        (call.error ?? call.body);
      return [{ promise, detail }];
    }
  }
  return [];
}

async function checkRepeatedly(
  run: () => void,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    run();
    await sleep(CHECK_INTERVAL_MS, signal);
  }
}

/** Records stalls of this process as disturbances, and returns their number. */
async function watchForStalls(
  fleet: SoakFleet,
  signal: AbortSignal,
): Promise<number> {
  let count = 0;
  while (!signal.aborted) {
    const from = performance.now();
    await sleep(STALL_CHECK_MS, signal);
    const to = performance.now();
    if (to - from < STALL_CHECK_MS + STALL_THRESHOLD_MS) continue;
    count++;
    fleet.disturbances.record(SOAK_PROCESS, { from, to });
  }
  return count;
}

function countResponses({ calls }: SoakClients): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { status } of calls) {
    const name = String(status ?? "none");
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}
