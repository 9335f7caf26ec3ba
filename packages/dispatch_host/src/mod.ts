/**
 * Runs the dispatchers of this VM and calls those of its peers.
 * @module
 */
export * from "./crash_registry.ts";
export * from "./dispatch_client.ts";
export * from "./dispatch_handlers.ts";
export * from "./dispatch_host.ts";
export * from "./running_calls.ts";
export * from "./stream_registry.ts";
