/**
 * HTTP and server-sent events towards callers.
 * @module
 */
export * from "./body.ts";
export * from "./model_request.ts";
export * from "./reply.ts";
export * from "./server.ts";
