/** What every case shares: its record, its end, and the configuration of the operator. */
import * as fs from "node:fs";
import * as path from "node:path";
import { sleep } from "./store.js";

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const MAX_MS = 115_000;

/**
 * Runs a case. `play(record)` resolves with the list of what broke the rule, empty if it held.
 * Exits with 1 if it was broken, 0 if it held and 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const startedAt = Date.now();
  const file = path.join(folder, "record.txt");
  fs.writeFileSync(file, "");
  const record = (line) => {
    const at = ((Date.now() - startedAt) / 1000).toFixed(3).padStart(8);
    fs.appendFileSync(file, `${at} ${line}\n`);
  };
  record(`case ${path.basename(folder)}, ${HAS_TROUBLE ? "with" : "without"} the disruption`);
  const cleanups = [];
  let code = 2;
  for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => process.exit(2));
  try {
    const broken = await Promise.race([
      play({ record, onEnd: (cleanup) => cleanups.unshift(cleanup) }),
      sleep(MAX_MS).then(() => {
        throw new Error("the case takes too long");
      }),
    ]);
    code = broken.length === 0 ? 0 : 1;
    for (const line of broken) record(`broken: ${line}`);
    record(code === 0 ? "the rule held" : "the rule was broken");
    console.log(code === 0 ? "held" : `broken: ${broken[0]} (${broken.length} in all)`);
  } catch (err) {
    record(`the case could not run: ${err.stack}`);
    console.log(`could not run: ${err.message}`);
  }
  for (const cleanup of cleanups) await cleanup();
  process.exit(code);
}

/** A configuration, as the operator writes it to `config/main`. */
export function createConfig(version, { routes, services, limits = {} }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: "ficu95.example",
      kind: "unsafe",
      timeout_ms: 4000,
      target_latency_ms: 400,
      priority: 1,
      max_attempts: 1,
      ...route,
    })),
    services: services.map((service) => ({
      health_path: "/healthz",
      max_connections: 170,
      protocol: "h1",
      tls: false,
      ...service,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
      ...limits,
    },
  };
}

/** What the configuration says of a model service. */
export const ENGINE = {
  slots: 16,
  kv_capacity_tokens: 29_250,
  kv_token_bytes: 18_432,
  link_mbps: 140_000,
  moves: true,
  backups: true,
  stride: 11,
  most: 12,
  handle_ttl_s: 0.5,
  stage_switch_s: 6,
  pin_ms: 4000,
  hold_ms: 2000,
  models: [{ name: "m" }],
};
