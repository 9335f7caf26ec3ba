/**
 * Workspaces of a deployment and the keys that callers present.
 * @module
 */
export * from "./workspace.ts";
