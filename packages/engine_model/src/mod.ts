/**
 * Simulates model servers and callers in virtual time.
 * @module
 */
export * from "./contention.ts";
export * from "./day.ts";
export * from "./drawn_deployments.ts";
export * from "./load.ts";
export * from "./servers.ts";
export * from "./virtual_scenario.ts";
export * from "./virtual_time.ts";
