/**
 * Deployments of real processes, callers, and what is measured on them.
 * @module
 */
export * from "./client.ts";
export * from "./deployment.ts";
export * from "./records.ts";
