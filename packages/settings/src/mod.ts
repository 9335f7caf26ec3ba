/**
 * Reads and checks the settings of `bitternfalld`. All faults are reported at once,
 * each with its path, what was found and what is allowed.
 * @module
 */
import * as fs from "node:fs";
import { getMessage, TaggedError } from "@bitternfall/errors";
import * as zod from "zod";
import { type Settings, settingsSchema } from "./schema.ts";

export * from "./schema.ts";

/** One fault of a settings file. */
export interface Fault {
  /** Path of the value, such as `listen.peer.port`; empty for the whole file. */
  readonly path: string;
  readonly message: string;
}

/** Why settings were refused. */
export type SettingsFault =
  | { readonly tag: "unreadable" }
  | { readonly tag: "malformed"; readonly faults: readonly Fault[] };

/** Settings could not be read or are malformed. */
export class SettingsError extends TaggedError<SettingsFault> {}

/** Environment variables that go before the file. */
export interface SettingsEnvironment {
  readonly BITTERNFALL_PEER_KEY?: string | undefined;
}

/** Reads the file at `path`. Throws {@link SettingsError}. */
export function readSettings(
  path: string,
  env: SettingsEnvironment = {},
): Settings {
  let text: string;
  try {
    text = fs.readFileSync(path, "utf8");
  } catch (err) {
    throw new SettingsError(
      { tag: "unreadable" },
      `cannot read settings: ${getMessage(err)}`,
      { cause: err },
    );
  }
  return parseSettings(text, env);
}

/** Checks the text of a settings file. Throws {@link SettingsError}. */
export function parseSettings(
  text: string,
  env: SettingsEnvironment = {},
): Settings {
  const parsed = settingsSchema.safeParse(parseJson(text), {
    reportInput: true,
  });
  const faults = parsed.success ? [] : listFaults(parsed.error);
  const peerKey = env.BITTERNFALL_PEER_KEY ?? parsed.data?.peerKey;
  if (parsed.success && (peerKey === undefined || peerKey.length < 16)) {
    faults.push({
      path: "peerKey",
      message:
        "missing: set it or BITTERNFALL_PEER_KEY, at least 16 characters",
    });
  }
  if (!parsed.success || peerKey === undefined || faults.length > 0) {
    throw malformed(faults);
  }
  return { ...parsed.data, peerKey };
}

/** JSON Schema of the settings file, for editors. */
export function getSettingsJsonSchema(): object {
  return zod.toJSONSchema(settingsSchema, { io: "input" });
}

/** Lists what a zod check found, as path, finding and allowed values. */
export function listFaults(err: zod.ZodError): Fault[] {
  return err.issues.map((issue) => {
    const found =
      "input" in issue && issue.input !== undefined && !("keys" in issue)
        ? `, found ${JSON.stringify(issue.input)?.slice(0, 80)}`
        : "";
    return { path: issue.path.join("."), message: issue.message + found };
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    throw malformed([{ path: "", message: `not JSON: ${getMessage(err)}` }]);
  }
}

function malformed(faults: readonly Fault[]): SettingsError {
  const lines = faults.map((fault) =>
    `  ${fault.path || "(file)"}: ${fault.message}`
  );
  return new SettingsError(
    { tag: "malformed", faults },
    `settings are malformed:\n${lines.join("\n")}`,
  );
}
