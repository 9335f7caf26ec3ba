/**
 * Quotas of workspaces over all VMs of a deployment.
 * @module
 */
export {};
