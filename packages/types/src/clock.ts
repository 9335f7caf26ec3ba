/**
 * Clocks.
 * @module
 */

/** A clock in milliseconds; monotonic unless stated otherwise. */
export type Clock = () => number;

/** Monotonic clock of this process, unaffected by changes of the system time. */
export const monotonicNow: Clock = () => performance.now();
