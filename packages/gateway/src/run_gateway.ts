/**
 * A gateway as a program: settings from a file, signals, log to standard output.
 * @module
 */
import * as fs from "node:fs";
import process from "node:process";
import { getMessage } from "@bitternfall/errors";
import { EventLog } from "@bitternfall/events";
import { type ObjectDialect, ObjectStore } from "@bitternfall/platform";
import { Gateway, type GatewayAdapters } from "./gateway.ts";
import { type GatewaySettings, parseGatewaySettings } from "./settings.ts";

/** The formats that a gateway speaks. */
export interface GatewayFormats extends Omit<GatewayAdapters, "objects"> {
  /** Format of the object API; the product's own when absent. */
  readonly objectDialect?: ObjectDialect;
}

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;
const STDOUT = 1;

/**
 * Runs a gateway until SIGTERM or SIGINT. SIGHUP has the settings read anew. Malformed
 * settings end the process with code 2 and one line that names the field.
 */
export async function runGateway(
  path: string,
  { objectDialect, ...formats }: GatewayFormats,
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
  process.on(
    "unhandledRejection",
    (err) => log.emit("unexpectedError", { reason: getMessage(err) }),
  );
  const objects = new ObjectStore({
    address: `http://${settings.objectApi.address}`,
    timeoutMs: settings.objectApi.callTimeoutMs,
    ...(objectDialect === undefined ? {} : { dialect: objectDialect }),
  });
  const gateway = new Gateway(settings, { objects, ...formats }, log);
  process.on("SIGHUP", () => reload(path, { gateway, log }));
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
      void gateway.stop(signal).then(async () => {
        await log.close();
        process.exit(0);
      });
    });
  }
  try {
    await gateway.start();
  } catch (err) {
    log.emit("unexpectedError", { reason: getMessage(err) });
    process.exitCode = EXIT_FAILED;
  }
}

/** Takes changed settings into force; malformed ones leave the old in force. */
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
