/**
 * Reads a configuration part by part. A field that can't be used is replaced where another
 * value is safe, and otherwise costs the part that it belongs to; all else takes effect.
 * @module
 */
import {
  selectUsableWorkspaces,
  type UsableWorkspaces,
  type Workspace,
  type WorkspaceField,
} from "@bitternfall/access";
import * as zod from "zod";
import { formatPlace, type IssueReporter } from "./config_issue.ts";
import { type Route, RouteKind } from "./model.ts";

/** Path to a value in a configuration. */
export type ConfigPath = readonly PropertyKey[];

/** Longest time that a setting may have; timers of Node.js end at once beyond 24.8 days. */
const MAX_MS = 86_400_000;
/** Messages between VMs carry amounts up to a thousand times as large. */
const MAX_AMOUNT = 1e12;
/** A lower rate would leave nothing to issue leases from. */
const MIN_RATE = 1e-6;
/** Messages between VMs number the attempts of a request. */
const MAX_ATTEMPTS = 100;
/** For a route whose timeout can't be used; callers' deadlines apply as well. */
const SUBSTITUTE_TIMEOUT_MS = 30_000;
const SUBSTITUTE_CONNECTIONS = 100;
/** Begins with a slash, which a prefix that can't be used may lack at its end. */
const PATH_PATTERN = /^\//;

/** Schemas of numbers, which limit them to what timers and messages between VMs can carry. */
export const duration = zod.number().positive()
  .transform((ms) => Math.min(ms, MAX_MS));
export const amount = zod.number().min(0)
  .transform((value) => Math.min(value, MAX_AMOUNT));
export const rate = zod.number().positive()
  .transform((value) => Math.min(Math.max(value, MIN_RATE), MAX_AMOUNT));
export const wholeNumber = zod.number().min(1)
  .transform((value) => Math.floor(Math.min(value, MAX_AMOUNT)));
export const attempts = zod.number().min(1)
  .transform((count) => Math.floor(Math.min(count, MAX_ATTEMPTS)));

/** Values for fields that can't be used, by the names of the configuration's own format. */
export type Substitutes = { readonly [field: string]: unknown };

/** Substitutes for a route's fields other than its host and path, by their common names. */
export const ROUTE_SUBSTITUTES = {
  name: "",
  timeoutMs: SUBSTITUTE_TIMEOUT_MS,
  targetMs: SUBSTITUTE_TIMEOUT_MS,
  /** As for a route that names none. */
  eventGapMs: undefined,
  /** Less urgent than any that operators write. */
  priority: Number.MAX_SAFE_INTEGER,
  maxAttempts: 1,
  /** Needs a key. */
  isPublic: false,
  isResumable: false,
} as const;

/** The most restrictive kind stands for one that is unknown. */
export const SUBSTITUTE_KIND = RouteKind.Unsafe;

export const SERVICE_SUBSTITUTES = {
  maxConnections: SUBSTITUTE_CONNECTIONS,
  /** Results of prefills are not used again. */
  handleMs: 0,
  roleSwitchMs: SUBSTITUTE_TIMEOUT_MS,
} as const;

/** Limits where none are stated, or can't be used. */
export const DEFAULT_LIMITS = {
  headerBytes: 16_384,
  bodyBytes: 4_000_000,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
} as const;

/** Reads the parts of one configuration. */
export class ConfigReader {
  readonly #report: IssueReporter;
  readonly #reported = new Set<string>();

  constructor(report: IssueReporter = () => {}) {
    this.#report = report;
  }

  /** Reports what can't be used, with the first reason for each place. */
  report(path: ConfigPath, reason: string): void {
    const place = formatPlace(path);
    if (this.#reported.has(place)) return;
    this.#reported.add(place);
    this.#report({ place, reason });
  }

  /**
   * Reads one part. Fields that are not valid take their substitutes; undefined if one has
   * none, or if the value is no object.
   */
  readPart<S extends zod.ZodType>(
    value: unknown,
    options: { schema: S; path: ConfigPath; substitutes?: Substitutes },
  ): zod.infer<S> | undefined {
    const { schema, path, substitutes = {} } = options;
    const parsed = schema.safeParse(value);
    if (parsed.success) return parsed.data;
    for (const issue of parsed.error.issues) {
      this.report([...path, ...issue.path], issue.message);
    }
    if (!isObject(value)) return undefined;
    const repaired = { ...value };
    for (const { path: [field] } of parsed.error.issues) {
      if (typeof field !== "string" || !(field in substitutes)) {
        return undefined;
      }
      repaired[field] = substitutes[field];
    }
    return schema.safeParse(repaired).data;
  }

  /** Reads the entries of a list one by one, and leaves out those that can't be used. */
  readList<T>(
    value: unknown,
    path: ConfigPath,
    readEntry: (entry: unknown, path: ConfigPath) => T | undefined,
  ): T[] {
    if (!Array.isArray(value)) {
      this.report(path, "expected a list");
      return [];
    }
    return value.map((entry, index) => readEntry(entry, [...path, index]))
      .filter((entry) => entry !== undefined);
  }

  /** Reads a list of keys; a key that is no text is left out. */
  readKeys(value: unknown, path: ConfigPath): string[] {
    if (!Array.isArray(value)) {
      this.report(path, "expected a list");
      return [];
    }
    return value.filter((key, index): key is string => {
      const isText = typeof key === "string";
      if (!isText) this.report([...path, index], "expected a text");
      return isText;
    });
  }

  /**
   * Returns a route that serves nothing where the path prefix of a route can't be used, so
   * that a shorter prefix does not take its requests; undefined if it can't tell which.
   */
  blockRoute(
    { host, pathPrefix }: { host: unknown; pathPrefix: unknown },
  ): Route | undefined {
    const isPath = typeof pathPrefix === "string" &&
      PATH_PATTERN.test(pathPrefix);
    if (typeof host !== "string" || host === "" || !isPath) return undefined;
    const { eventGapMs: _, ...fields } = ROUTE_SUBSTITUTES;
    return {
      ...fields,
      host,
      pathPrefix: pathPrefix.endsWith("/") ? pathPrefix : `${pathPrefix}/`,
      kind: SUBSTITUTE_KIND,
      eventGapMs: SUBSTITUTE_TIMEOUT_MS,
      targets: [],
    };
  }

  /**
   * Selects the workspaces and keys that can be used; `fields` names the fields in the
   * configuration's own format.
   */
  selectWorkspaces(
    candidates: readonly { index: number; workspace: Workspace }[],
    options: {
      path: ConfigPath;
      fields: { readonly [F in WorkspaceField]: string };
    },
  ): Omit<UsableWorkspaces, "issues"> {
    const { issues, ...usable } = selectUsableWorkspaces(
      candidates.map(({ workspace }) => workspace),
    );
    for (const { workspace, field, at, reason } of issues) {
      const { index } = candidates[workspace]!;
      const path = [...options.path, index, options.fields[field]];
      this.report(at === undefined ? path : [...path, at], reason);
    }
    return usable;
  }
}

function isObject(value: unknown): value is { [field: string]: unknown } {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
