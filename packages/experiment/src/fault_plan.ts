/**
 * Plans the faults of a run: kinds, times and targets are drawn from its seed.
 * @module
 */
import { createRandom } from "@bitternfall/stand-ins";
import type { FaultKind, FaultScenario } from "./fault_scenario.ts";

/** One planned fault. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Start and end, relative to the start of the run. */
  readonly startMs: number;
  readonly endMs: number;
  /**
   * Random draw in [0, 1). It selects the target among the candidates at the time of the
   * fault, and the direction in which a connection is silenced.
   */
  readonly targetDraw: number;
}

/** Fault-free time at the start and the end of a run. */
const QUIET_START_MS = 1000;
const QUIET_END_MS = 1500;

/** Returns the faults of one run, ordered by start time. */
export function planFaults(
  scenario: FaultScenario,
  options: { seed: number; seconds: number },
): PlannedFault[] {
  const random = createRandom(options.seed);
  const {
    rate: faultsPerSecond,
    kinds,
    lastMs: [minDurationMs, maxDurationMs],
  } = scenario.faults;
  const latestEndMs = options.seconds * 1000 - QUIET_END_MS;
  const faults: PlannedFault[] = [];
  for (let startMs = QUIET_START_MS; faultsPerSecond > 0;) {
    startMs += -Math.log(1 - random()) / faultsPerSecond * 1000;
    if (startMs >= latestEndMs) break;
    const kind = kinds[Math.floor(random() * kinds.length)]!;
    const endMs = Math.min(
      latestEndMs,
      startMs + minDurationMs + random() * (maxDurationMs - minDurationMs),
    );
    faults.push({ kind, startMs, endMs, targetDraw: random() });
  }
  return faults;
}
