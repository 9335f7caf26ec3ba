/**
 * Workspaces of a deployment and the keys that callers present.
 * @module
 */
export * from "./access_decision.ts";
export * from "./header_text.ts";
export * from "./key_table.ts";
export * from "./rank_table.ts";
export * from "./usable_workspaces.ts";
export * from "./workspace.ts";
