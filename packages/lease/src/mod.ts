/**
 * Leases in the object API.
 * @module
 */
export * from "./lease.ts";
