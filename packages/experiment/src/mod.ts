/**
 * Deployments made of child processes, test clients for them, and result output.
 * @module
 */
export * from "./client.ts";
export * from "./deployment.ts";
export * from "./logged_process.ts";
export * from "./process_group.ts";
export * from "./records.ts";
export * from "./report_lines.ts";
