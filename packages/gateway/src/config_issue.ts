/**
 * Errors of a configuration with their place in it, as its writer knows it.
 * @module
 */
import type * as zod from "zod";

/** One error of a configuration. Never contains a key. */
export interface ConfigIssue {
  /** Such as `routes[2].host`; empty for the configuration as a whole. */
  readonly place: string;
  readonly reason: string;
}

/** Is called for each error that makes a configuration unusable. */
export type IssueReporter = (issue: ConfigIssue) => void;

/** Writes the path to a value as its place. */
export function formatPlace(path: readonly PropertyKey[]): string {
  let place = "";
  for (const part of path) {
    if (typeof part === "number") place += `[${part}]`;
    else place += place === "" ? String(part) : `.${String(part)}`;
  }
  return place;
}

/** Reports the errors that a schema has found. */
export function reportSchemaIssues(
  { issues }: zod.ZodError,
  report: IssueReporter,
): void {
  for (const { path, message } of issues) {
    report({ place: formatPlace(path), reason: message });
  }
}
