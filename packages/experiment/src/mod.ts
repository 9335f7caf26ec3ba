/**
 * Deployments of real processes, callers, and what is measured on them.
 * @module
 */
export * from "./client.ts";
export * from "./deployment.ts";
export * from "./process_group.ts";
export * from "./records.ts";
export * from "./report_lines.ts";
