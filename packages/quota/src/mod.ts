/**
 * Quotas of workspaces over all VMs of a deployment.
 * @module
 */
export * from "./account.ts";
export * from "./client.ts";
export * from "./issuer.ts";
export * from "./messages.ts";
export * from "./terms.ts";
