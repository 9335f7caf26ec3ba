/**
 * Operators' command line.
 * @module
 */
export * from "./api.ts";
export * from "./commands.ts";
export * from "./output.ts";
