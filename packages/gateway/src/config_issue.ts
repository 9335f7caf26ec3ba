/**
 * Errors of a configuration with their place in it, as its writer knows it.
 * @module
 */
/** One error of a configuration. Never contains a key. */
export interface ConfigIssue {
  /** Such as `routes[2].host`; empty for the configuration as a whole. */
  readonly place: string;
  readonly reason: string;
}

/** Is called for each part of a configuration that can't be used. */
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
