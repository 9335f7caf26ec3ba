/**
 * JSON-RPC 2.0 over WebSocket between entry VMs.
 * @module
 */
export * from "./error.ts";
export * from "./link.ts";
export * from "./mesh.ts";
export * from "./messages.ts";
export * from "./server.ts";
