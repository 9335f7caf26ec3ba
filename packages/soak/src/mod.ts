/**
 * Randomized fault soak of gateways that run as separate processes.
 * @module
 */
export * from "./soak_plan.ts";
export * from "./soak_run.ts";
