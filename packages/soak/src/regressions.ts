/**
 * Seeds that once broke a promise. `soak_test.ts` runs them on every change.
 * @module
 */

/** Seeds, each with the cause of the failure. */
export const REGRESSIONS: readonly {
  readonly seed: number;
  readonly cause: string;
  /** Time in which faults begin, where the failure needs longer than CI gives a seed. */
  readonly durationMs?: number;
  readonly vms?: number;
}[] = [
  {
    seed: 91058,
    cause:
      "A silent link to the dispatcher: acquire was repeated past the route's timeout.",
  },
  {
    seed: 91311,
    cause:
      "Peers ignored restarted VMs whose clocks were set back, so VMs disagreed on the dispatcher.",
    durationMs: 30_000,
    vms: 6,
  },
];
