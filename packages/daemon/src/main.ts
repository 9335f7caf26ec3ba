#!/usr/bin/env node
/**
 * Command-line entry point of `bitternfalld`.
 * @module
 */
import { earlySignals as signals } from "@bitternfall/types/early-signals";
import process from "node:process";
import { getMessage } from "@bitternfall/errors";
import { EventLog, logUnhandledErrors, runService } from "@bitternfall/events";
import {
  getSettingsJsonSchema,
  readSettings,
  type Settings,
  SettingsError,
} from "@bitternfall/settings";
import { cac } from "cac";
import { Daemon } from "./daemon.ts";

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;
const VERSION = "0.1.0";

interface Flags {
  readonly config?: string;
  readonly check?: boolean;
  readonly schema?: boolean;
}

async function run(flags: Flags): Promise<void> {
  if (flags.schema) {
    return void process.stdout.write(
      JSON.stringify(getSettingsJsonSchema(), null, 2) + "\n",
    );
  }
  if (flags.config === undefined) {
    return fail(EXIT_BAD_SETTINGS, "--config FILE is needed; see --help");
  }
  const settings = loadSettings(flags.config);
  if (settings === undefined) return;
  if (flags.check) {
    return void process.stdout.write(
      `${flags.config}: settings are well-formed\n`,
    );
  }
  await serve(settings);
}

function loadSettings(path: string): Settings | undefined {
  try {
    return readSettings(path, process.env);
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    fail(EXIT_BAD_SETTINGS, `${path}: ${err.message}`);
    return undefined;
  }
}

async function serve(settings: Settings): Promise<void> {
  const log = new EventLog({
    level: settings.log.level,
    statsd: settings.metrics,
    base: { vm: settings.vm.id },
  });
  logUnhandledErrors(log);
  const daemon = new Daemon(settings, log);
  await runService({
    start: async () => {
      const ports = await daemon.start();
      process.stdout.write(JSON.stringify({ listening: ports }) + "\n");
    },
    abandon: () => daemon.close(),
    stop: (signal) => daemon.drain(signal),
    reload: () => {},
  }, { log, signals });
}

function fail(code: number, message: string): void {
  process.stderr.write(`bitternfalld: ${message}\n`);
  process.exitCode = code;
}

const cli = cac("bitternfalld");
cli.option("--config <file>", "Settings file (JSON)");
cli.option("--check", "Check the settings and exit");
cli.option("--schema", "Print the JSON Schema of the settings and exit");
cli.help();
cli.version(VERSION);
try {
  const { options } = cli.parse();
  if (!options.help && !options.version) await run(options as Flags);
} catch (err) {
  fail(EXIT_FAILED, getMessage(err));
}
