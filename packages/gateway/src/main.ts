#!/usr/bin/env node
/**
 * Runs a gateway with Bitternfall's own wire formats.
 * @module
 */
import { earlySignals as signals } from "@bitternfall/types/early-signals";
import process from "node:process";
import { cac } from "cac";
import { OwnCallers, OwnRegistry, OwnServers } from "./own_dialect.ts";
import { runGateway } from "./run_gateway.ts";

const EXIT_BAD_USAGE = 2;

const cli = cac("bitternfall-gateway");
cli.option("--config <file>", "Settings file");
cli.help();
const { options } = cli.parse();
const path = (options as { config?: string }).config;
if (path !== undefined) {
  await runGateway(path, {
    signals,
    callers: new OwnCallers(),
    servers: new OwnServers(),
    registry: new OwnRegistry(),
  });
} else if (!options.help) {
  process.stderr.write("bitternfall-gateway: --config FILE is needed\n");
  process.exitCode = EXIT_BAD_USAGE;
}
