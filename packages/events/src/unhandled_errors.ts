/**
 * Errors that nothing handles.
 * @module
 */
import process from "node:process";
import type { EventLog } from "./mod.ts";

const EXIT_FAILED = 1;

/**
 * Logs errors that nothing handles. After a rejection, which concerns one task, the process
 * goes on. After an exception its state is unknown, so it ends with code 1.
 */
export function logUnhandledErrors(log: EventLog): void {
  process.on("unhandledRejection", (err) => logUnexpectedError(err, log));
  process.on("uncaughtException", (err) => {
    try {
      logUnexpectedError(err, log, { isLast: true });
    } finally {
      // Writes the lines that are still buffered.
      process.exit(EXIT_FAILED);
    }
  });
}

/** Logs an error of which no other event tells. */
export function logUnexpectedError(
  err: unknown,
  log: EventLog,
  options: { isLast?: boolean } = {},
): void {
  const { message, stack } = err instanceof Error
    ? err
    : { message: String(err), stack: undefined };
  log.emit("unexpectedError", { reason: message, stack }, options);
}
