/**
 * One entry VM of bitternfall.
 * @module
 */
export { type BoundPorts, Daemon } from "./daemon.ts";
