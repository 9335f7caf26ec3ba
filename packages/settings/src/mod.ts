/**
 * Reads and validates the settings of `bitternfalld`. All faults are reported at once,
 * each with its path, the value found and what is allowed.
 * @module
 */
import * as fs from "node:fs";
import {
  getMessage,
  TaggedError,
  type ValidationFault,
} from "@bitternfall/errors";
import * as zod from "zod";
import { type Settings, settingsSchema } from "./schema.ts";

export * from "./schema.ts";

/** Why settings were refused. */
export type SettingsFault =
  | { readonly tag: "unreadable" }
  | { readonly tag: "malformed"; readonly faults: readonly ValidationFault[] };

/** Settings could not be read or are malformed. */
export class SettingsError extends TaggedError<SettingsFault> {}

/** Environment variables that take precedence over the settings file. */
export interface SettingsEnvironment {
  readonly BITTERNFALL_PEER_KEY?: string | undefined;
}

/** Reads and validates the settings file at `path`. Throws {@link SettingsError}. */
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

/** Parses and validates the text of a settings file. Throws {@link SettingsError}. */
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
        "missing or too short; set at least 16 characters here or in BITTERNFALL_PEER_KEY",
    });
  }
  if (!parsed.success || peerKey === undefined || faults.length > 0) {
    throw createMalformedError(faults);
  }
  return { ...parsed.data, peerKey };
}

/** Returns the JSON Schema of the settings file, for editors. */
export function getSettingsJsonSchema(): object {
  return zod.toJSONSchema(settingsSchema, { io: "input" });
}

/** Lists the issues of a zod error, each with its path, what is allowed and the value found. */
export function listFaults(err: zod.ZodError): ValidationFault[] {
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
    throw createMalformedError([{
      path: "",
      message: `not JSON: ${getMessage(err)}`,
    }]);
  }
}

function createMalformedError(
  faults: readonly ValidationFault[],
): SettingsError {
  const lines = faults.map((fault) =>
    `  ${fault.path || "(file)"}: ${fault.message}`
  );
  return new SettingsError(
    { tag: "malformed", faults },
    `settings are malformed:\n${lines.join("\n")}`,
  );
}
