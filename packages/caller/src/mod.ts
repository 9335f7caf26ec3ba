/**
 * HTTP server for callers, with server-sent events.
 * @module
 */
export * from "./body.ts";
export * from "./memory_pool.ts";
export * from "./model_request.ts";
export * from "./response.ts";
export * from "./server.ts";
