/**
 * Implementation of `bitternfall config check`.
 * @module
 */
import * as fs from "node:fs";
import { getMessage } from "@bitternfall/errors";
import * as gateway from "@bitternfall/gateway";
import { CommandError } from "./api.ts";
import type { Output } from "./output.ts";
import { useStore } from "./verdict_commands.ts";

/** Prints what a check of a gateway's configuration finds, and returns it. */
export async function checkConfig(
  output: Output,
  options: { file: string; objectsUrl: string | undefined },
): Promise<gateway.ConfigFinding[]> {
  const { file, objectsUrl } = options;
  const dialect = new gateway.OwnRegistry();
  const text = readText(file);
  const key = dialect.configPrefix + dialect.configName;
  const current = objectsUrl === undefined
    ? undefined
    : await useStore(objectsUrl, async (api) => {
      const stored = await api.get(key);
      return stored === undefined ? null : stored.value;
    });
  const findings = gateway.checkConfig({ dialect, text, current });
  output.printTable(findings, (all) => ({
    columns: ["severity", "place", "reason"],
    rows: all.map(({ severity, place, reason }) => [severity, place, reason]),
  }));
  return findings;
}

function readText(file: string): string {
  try {
    return fs.readFileSync(file === "-" ? 0 : file, "utf8");
  } catch (err) {
    throw new CommandError(
      { tag: "malformed" },
      `${file}: ${getMessage(err)}`,
      { cause: err },
    );
  }
}
