/**
 * Reads and validates scenario files.
 * @module
 */
import * as fs from "node:fs";
import type * as zod from "zod";

/** Reads a JSON file and validates it. Throws an error that lists every invalid field. */
export function readScenarioFile<T>(file: string, schema: zod.ZodType<T>): T {
  const parsed = schema.safeParse(JSON.parse(fs.readFileSync(file, "utf8")));
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map((issue) =>
    `  ${issue.path.join(".")}: ${issue.message}`
  );
  throw new Error(`${file} is malformed:\n${faults.join("\n")}`);
}
