/**
 * Runs a service as a process: signals, and exit codes after a line in the log.
 * @module
 */
import process from "node:process";
import { setImmediate } from "node:timers/promises";
import type { SignalQueue } from "@bitternfall/types";
import type { EventLog } from "./mod.ts";
import { logUnexpectedError } from "./unhandled_errors.ts";

/** What a process serves. */
export interface Service {
  /** Resolves once it serves; rejects if it never will. */
  start(): Promise<unknown>;
  /** Closes it before it has started. */
  abandon(): Promise<void>;
  /** Ends it in order. */
  stop(signal: string): Promise<void>;
  /** Reads again, once it has started, what may change while it runs. */
  reload(): void;
}

const EXIT_FAILED = 1;

/**
 * Starts a service and runs it until SIGTERM or SIGINT; SIGHUP reloads it, once it has
 * started. The process ends with code 1 if the service can't start, or fails to end.
 */
export async function runService(
  service: Service,
  { log, signals }: { log: EventLog; signals: SignalQueue },
): Promise<void> {
  let isStarted = false;
  let isStopping = false;
  let isReloadDue = false;
  signals.handle((signal) => {
    if (signal === "SIGHUP") {
      if (isStarted) service.reload();
      else isReloadDue = true;
      return;
    }
    isStopping = true;
    const stopped = isStarted ? service.stop(signal) : service.abandon();
    void exitAfter(stopped, { code: 0, log });
  });
  // A turn of the event loop brings the signals that came while the program was loaded.
  await setImmediate();
  if (isStopping) return;
  try {
    await service.start();
  } catch (err) {
    if (isStopping) return;
    log.emit("startAbandoned", { reason: String(err) });
    await exitAfter(service.abandon(), { code: EXIT_FAILED, log });
  }
  isStarted = true;
  if (isReloadDue) service.reload();
}

async function exitAfter(
  closed: Promise<void>,
  { code, log }: { code: number; log: EventLog },
): Promise<never> {
  try {
    await closed;
    await log.close();
  } catch (err) {
    logUnexpectedError(err, log, { isLast: true });
    process.exit(EXIT_FAILED);
  }
  process.exit(code);
}
