/**
 * Runs a gateway as a program: settings file, signals, and a log on standard output.
 * @module
 */
import * as fs from "node:fs";
import process from "node:process";
import { getMessage } from "@bitternfall/errors";
import { EventLog, logUnhandledErrors, runService } from "@bitternfall/events";
import { type ObjectDialect, ObjectStore } from "@bitternfall/platform";
import { SignalQueue } from "@bitternfall/types";
import { Gateway, type GatewayAdapters } from "./gateway.ts";
import { type GatewaySettings, parseGatewaySettings } from "./settings.ts";

/** The wire formats of a gateway, and the signals of its process. */
export interface GatewayOptions extends Omit<GatewayAdapters, "objects"> {
  /** Format of the object API; Bitternfall's own format by default. */
  readonly objectDialect?: ObjectDialect;
  /** Signals that may have come already. */
  readonly signals?: SignalQueue;
}

const EXIT_BAD_SETTINGS = 2;
const STDOUT = 1;

/**
 * Runs a gateway until SIGTERM or SIGINT; SIGHUP reloads the settings. If the settings are
 * malformed at start, the process exits with code 2 after one line that names the field; if
 * the gateway can't start, with code 1 after event 1013.
 */
export async function runGateway(
  path: string,
  { objectDialect, signals = new SignalQueue(), ...formats }: GatewayOptions,
): Promise<void> {
  let settings: GatewaySettings;
  try {
    settings = parseGatewaySettings(fs.readFileSync(path, "utf8"));
  } catch (err) {
    process.stderr.write(`bitternfall: ${path}: ${getMessage(err)}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const log = new EventLog({
    ...settings.log,
    descriptor: STDOUT,
    base: { vm: settings.vm.id },
  });
  logUnhandledErrors(log);
  const objects = new ObjectStore({
    address: `http://${settings.objectApi.address}`,
    timeoutMs: settings.objectApi.callTimeoutMs,
    ...(objectDialect === undefined ? {} : { dialect: objectDialect }),
  });
  const gateway = new Gateway(settings, { objects, ...formats }, log);
  await runService({
    start: () => gateway.start(),
    abandon: () => gateway.close(),
    stop: (signal) => gateway.stop(signal),
    reload: () => reload(path, { gateway, log }),
  }, { log, signals });
}

/** Applies changed settings; if they are malformed, the current ones stay. */
function reload(
  path: string,
  { gateway, log }: { gateway: Gateway; log: EventLog },
): void {
  try {
    const settings = parseGatewaySettings(fs.readFileSync(path, "utf8"));
    log.configure(settings.log);
    const needsRestart = gateway.reload(settings);
    log.emit("settingsReloaded", { path, needsRestart });
  } catch (err) {
    log.emit("settingsRejected", { path, reason: getMessage(err) });
  }
}
