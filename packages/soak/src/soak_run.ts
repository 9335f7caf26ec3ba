/**
 * One seeded soak: gateways under load, overlapping series of faults, and the promises
 * checked all the while and once more when everything has settled.
 * @module
 */
import { setMaxListeners } from "node:events";
import { createRandom } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { OBSERVER } from "./disturbances.ts";
import { findViolations, type Violation } from "./promises.ts";
import { SoakClients } from "./soak_clients.ts";
import { ROUTES } from "./soak_config.ts";
import { SoakFaults } from "./soak_faults.ts";
import { SoakFleet } from "./soak_fleet.ts";
import { planSoak } from "./soak_plan.ts";

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Gateway processes. */
  readonly vms?: number;
  /** Where the logs of a soak with broken promises are kept. */
  readonly keepLogsIn?: string | undefined;
}

/** Result of a soak. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly faults: readonly string[];
  /** Requests by status; `none` where there was no answer. */
  readonly answers: ReadonlyMap<string, number>;
  /** How often the soak's own process was held up, so that timings do not count. */
  readonly heldUp: number;
}

const DEFAULT_VMS = 6;
const CLIENTS_PER_VM = 3;
const CHECK_EVERY_MS = 1000;
/** After the last fault, for watches and heartbeats to notice what is still silent. */
const SETTLE_MS = 7000;
const TICK_MS = 50;
/** A tick that is this late shows that the soak's own process was held up. */
const HELD_UP_MS = 100;
/** Seeds of what is drawn besides the plan. */
const FLEET_SEED = 7919;
const CLIENT_SEED = 104_729;

/** Runs one soak. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs, vms = DEFAULT_VMS, keepLogsIn } = options;
  const fleet = new SoakFleet({ vms, random: createRandom(seed + FLEET_SEED) });
  const clients = new SoakClients(fleet, createRandom(seed + CLIENT_SEED));
  const stopLoad = new AbortController();
  const stopAll = new AbortController();
  // Every caller and every wait listens to them.
  setMaxListeners(0, stopLoad.signal, stopAll.signal);
  const found = new Map<string, Violation>();
  let isDone = false;
  const check = () => {
    const now = performance.now();
    const evidence = { fleet, calls: clients.calls, now };
    for (const violation of findViolations(evidence)) {
      if (!found.has(violation.promise)) {
        found.set(violation.promise, violation);
      }
    }
  };
  try {
    await fleet.start();
    const watching = watchObserver(fleet, stopAll.signal);
    const checking = repeat(check, stopAll.signal);
    const loading = clients.run(vms * CLIENTS_PER_VM, stopLoad.signal);
    const faults = new SoakFaults(fleet, stopAll.signal);
    await Promise.all(
      planSoak({ seed, durationMs }).map(async (fault) => {
        await sleep(fault.at);
        await faults.run(fault);
      }),
    );
    await sleep(SETTLE_MS);
    stopLoad.abort();
    await loading;
    for (const violation of await findUnserved(fleet, clients)) {
      found.set(violation.promise, violation);
    }
    stopAll.abort();
    const heldUp = await watching;
    await checking;
    check();
    isDone = true;
    return {
      violations: [...found.values()],
      faults: faults.lines,
      answers: countAnswers(clients),
      heldUp,
    };
  } finally {
    stopLoad.abort();
    stopAll.abort();
    await fleet.close(found.size > 0 || !isDone ? { keepLogsIn } : {});
  }
}

/** With every fault taken back, each gateway serves each kind of request. */
async function findUnserved(
  fleet: SoakFleet,
  clients: SoakClients,
): Promise<Violation[]> {
  await fleet.waitUntilReady();
  for (const vm of fleet.vms) {
    for (const { name } of ROUTES) {
      const call = await clients.send(vm, { route: name });
      if (call.status === 200 && call.isComplete) continue;
      const detail = `${call.id} ${name} on ${vm.id}: ${call.status} ` +
        (call.error ?? call.body);
      return [{ promise: "everything is served again", detail }];
    }
  }
  return [];
}

async function repeat(run: () => void, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    run();
    await sleep(CHECK_EVERY_MS, signal);
  }
}

/** Notes when this process was held up, and counts how often. */
async function watchObserver(
  fleet: SoakFleet,
  signal: AbortSignal,
): Promise<number> {
  let count = 0;
  while (!signal.aborted) {
    const from = performance.now();
    await sleep(TICK_MS, signal);
    const to = performance.now();
    if (to - from < TICK_MS + HELD_UP_MS) continue;
    count++;
    fleet.disturbances.note(OBSERVER, { from, to });
  }
  return count;
}

function countAnswers({ calls }: SoakClients): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { status } of calls) {
    const name = String(status ?? "none");
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}
