/**
 * Draws a run's faults from its seed.
 * @module
 */
import { createRandom } from "@bitternfall/stand-ins";
import type { FaultKind, FaultScenario } from "./fault_scenario.ts";

/** One fault of a plan. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Start and end in milliseconds since the run began. */
  readonly at: number;
  readonly until: number;
  /** Picks the target among those that fit; in [0, 1). */
  readonly pick: number;
}

/** Time without faults at the start and the end of a run. */
const QUIET_START_MS = 1000;
const QUIET_END_MS = 1500;

/** The faults of one run, in order of their start. */
export function planFaults(
  scenario: FaultScenario,
  options: { seed: number; seconds: number },
): PlannedFault[] {
  const random = createRandom(options.seed);
  const { rate, kinds, lastMs: [shortest, longest] } = scenario.faults;
  const end = options.seconds * 1000 - QUIET_END_MS;
  const faults: PlannedFault[] = [];
  for (let at = QUIET_START_MS; rate > 0;) {
    at += -Math.log(1 - random()) / rate * 1000;
    if (at >= end) break;
    const kind = kinds[Math.floor(random() * kinds.length)]!;
    const until = Math.min(
      end,
      at + shortest + random() * (longest - shortest),
    );
    faults.push({ kind, at, until, pick: random() });
  }
  return faults;
}
