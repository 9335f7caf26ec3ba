/**
 * The daemon of one bitternfall entry VM.
 * @module
 */
export { type BoundPorts, Daemon } from "./daemon.ts";
