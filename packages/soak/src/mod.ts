/**
 * Randomized fault soak of gateways as real processes.
 * @module
 */
export * from "./soak_plan.ts";
export * from "./soak_run.ts";
