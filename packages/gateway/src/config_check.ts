/**
 * Checks a configuration before it is stored: errors, entries that take no effect, limits
 * that contradict each other, and differences from the configuration in force. No finding
 * contains a key.
 * @module
 */
import { QuotaUnit, type Workspace } from "@bitternfall/access";
import type { ConfigIssue, IssueReporter } from "./config_issue.ts";
import type { GatewayConfig } from "./model.ts";
import type { RegistryDialect } from "./registry.ts";

/** How serious a finding is. */
export enum Severity {
  /** Gateways can't use a part of the configuration, or all of it. */
  Error = "error",
  /** Gateways apply the configuration, but a part of it can't work as written. */
  Warning = "warning",
  /** Differs from the configuration in force. */
  Difference = "difference",
}

/** One result of a check. Never contains a key. */
export interface ConfigFinding extends ConfigIssue {
  readonly severity: Severity;
}

/** What is checked, and against what. */
export interface ConfigCheckOptions {
  readonly dialect: Pick<RegistryDialect, "readConfig">;
  /** Text of the configuration. */
  readonly text: string;
  /** The stored configuration to compare with, or null if none is stored. */
  readonly current?: unknown;
}

/** Checks a configuration; errors come first, then warnings, then differences. */
export function checkConfig(
  { dialect, text, current }: ConfigCheckOptions,
): ConfigFinding[] {
  const errors: ConfigIssue[] = [];
  const warnings: ConfigIssue[] = [];
  const differences: ConfigIssue[] = [];
  const read = readText(text, dialect, (issue) => errors.push(issue));
  // Where parts are missing, the places of others would be wrong.
  const config = errors.length === 0 ? read : undefined;
  if (config !== undefined) {
    findDeadEntries(config, (issue) => warnings.push(issue));
    findContradictions(config, (issue) => warnings.push(issue));
  } else if (errors.length === 0) {
    errors.push({ place: "", reason: "malformed" });
  }
  const before = readWhole(current, dialect);
  if (config !== undefined && before !== undefined) {
    findDifferences(before, config, (issue) => differences.push(issue));
    const { version } = before;
    const isNewer = version === undefined || config.version === undefined ||
      config.version > version;
    if (differences.length > 0 && !isNewer) {
      const reason = `not above ${version}, the version in force`;
      errors.push({ place: "version", reason });
    }
  } else if (current === null) {
    differences.push({ place: "version", reason: "none is stored" });
  } else if (current !== undefined && before === undefined) {
    const reason = "the stored configuration is malformed; not compared";
    warnings.push({ place: "version", reason });
  }
  return [
    ...errors.map((issue) => ({ severity: Severity.Error, ...issue })),
    ...warnings.map((issue) => ({ severity: Severity.Warning, ...issue })),
    ...differences.map((issue) => ({
      severity: Severity.Difference,
      ...issue,
    })),
  ];
}

/** Reads a stored configuration; undefined if there is an error in it. */
function readWhole(
  value: unknown,
  dialect: ConfigCheckOptions["dialect"],
): GatewayConfig | undefined {
  let hasIssue = false;
  const config = dialect.readConfig(value, () => hasIssue = true);
  return hasIssue ? undefined : config;
}

function readText(
  text: string,
  dialect: ConfigCheckOptions["dialect"],
  report: IssueReporter,
): GatewayConfig | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    // The message may quote a key.
    const place = findSyntaxError(text, String(err));
    report({ place, reason: "not valid JSON" });
    return undefined;
  }
  return dialect.readConfig(value, report);
}

/**
 * Returns the line of a syntax error, as far as the message tells: it has the position or
 * quotes the text around it, from ten characters before the error.
 */
function findSyntaxError(text: string, message: string): string {
  const position = /at position (\d+)/.exec(message)?.[1];
  const quoted = /\.{3}"([^]*)(?:"\.{3}|") is not valid/.exec(message)?.[1];
  let end: number;
  if (position !== undefined) end = Number(position);
  else if (quoted !== undefined) end = text.indexOf(quoted) + 10;
  else if (message.includes("Unexpected end")) end = text.length;
  else return "";
  return `line ${text.slice(0, end).split("\n").length}`;
}

/** Reports routes, targets and workspaces that no request can use. */
function findDeadEntries(config: GatewayConfig, report: IssueReporter): void {
  const owners = new Map<string, number>();
  for (
    const [index, { host, pathPrefix, targets }] of config.routes.entries()
  ) {
    const place = `routes[${index}]`;
    // Of routes with equal prefixes the first wins; a longer prefix goes before a shorter.
    const pattern = host.toLowerCase() + pathPrefix;
    const owner = owners.get(pattern);
    if (owner !== undefined) {
      const reason =
        `never matches: routes[${owner}] has the same host and path prefix`;
      report({ place, reason });
    } else owners.set(pattern, index);
    // The port is cut off from a request's host, but not from a route's.
    if (/:\d+$/.test(host)) {
      const reason = "never matches: a port is not part of the host";
      report({ place: `${place}.host`, reason });
    }
    for (const [at, { service, weight }] of targets.entries()) {
      if (weight === 0 || config.services.has(service)) continue;
      const reason = `no service is named ${service}`;
      report({ place: `${place}.targets[${at}].service`, reason });
    }
    if (targets.every(({ weight }) => weight === 0)) {
      const reason = "no target has a weight above 0";
      report({ place: `${place}.targets`, reason });
    }
  }
  for (const [index, { keys }] of (config.workspaces ?? []).entries()) {
    if (keys.length > 0) continue;
    report({ place: `workspaces[${index}].keys`, reason: "no keys" });
  }
  if (config.workspaces?.length === 0) {
    const reason = "none: only public routes can be used";
    report({ place: "workspaces", reason });
  }
}

/**
 * Reports limits that contradict each other. Whether servers can provide a workspace's quota
 * isn't checked: a configuration has neither their number nor their speed.
 */
function findContradictions(
  config: GatewayConfig,
  report: IssueReporter,
): void {
  for (const [index, { timeoutMs, targetMs }] of config.routes.entries()) {
    if (timeoutMs >= targetMs) continue;
    const reason = `${timeoutMs} is below targetMs ${targetMs}`;
    report({ place: `routes[${index}].timeoutMs`, reason });
  }
  const promptTokens = getUsualPromptTokens(config);
  for (const [index, { quota }] of (config.workspaces ?? []).entries()) {
    if (quota?.unit !== QuotaUnit.Tokens) continue;
    const place = `workspaces[${index}].quota`;
    const { perSecond, burst, plainTokens } = quota;
    if (burst + perSecond < promptTokens) {
      const reason = `burst ${burst} and perSecond ${perSecond} are together ` +
        `below a usual prompt (${promptTokens})`;
      report({ place, reason });
    }
    // Without a burst, requests are limited by the rate alone.
    const [limit, most] = burst === 0
      ? ["perSecond", perSecond]
      : ["burst", burst];
    if (plainTokens > most) {
      const reason = `${plainTokens} is above ${limit} ${most}`;
      report({ place: `${place}.plainTokens`, reason });
    }
  }
}

/**
 * The share of a server's memory for each of its slots: requests of this size fill both at
 * once. The smallest of all services, so that a limit below it is too low for each of them;
 * 0 without model services.
 */
function getUsualPromptTokens({ services }: GatewayConfig): number {
  const shares: number[] = [];
  for (const { engine } of services.values()) {
    if (engine === undefined) continue;
    shares.push(Math.floor(engine.memoryTokens / engine.slots));
  }
  return shares.length === 0 ? 0 : Math.min(...shares);
}

/** Reports what differs between two configurations; keys only as counts. */
function findDifferences(
  before: GatewayConfig,
  after: GatewayConfig,
  report: IssueReporter,
): void {
  compareEntries("routes", [before.routes, after.routes], report);
  const [oldServices, services] = [before.services, after.services];
  compareEntries("services", [
    [...oldServices.values()],
    [...services.values()],
  ], report);
  compareFields("limits", [before.limits, after.limits], report);
  const needsKeys = after.workspaces !== undefined;
  if (needsKeys !== (before.workspaces !== undefined)) {
    const reason = needsKeys ? "requests need a key" : "requests need no key";
    report({ place: "workspaces", reason });
  }
  const [old = [], current = []] = [before.workspaces, after.workspaces];
  compareEntries(
    "workspaces",
    [old.map(omitKeys), current.map(omitKeys)],
    report,
  );
  for (const name of new Set([...old, ...current].map(({ name }) => name))) {
    const oldKeys = new Set(old.find((one) => one.name === name)?.keys);
    const keys = new Set(current.find((one) => one.name === name)?.keys);
    const added = [...keys].filter((key) => !oldKeys.has(key)).length;
    const removed = [...oldKeys].filter((key) => !keys.has(key)).length;
    if (added + removed === 0) continue;
    const reason = `${added} added, ${removed} removed`;
    report({ place: `workspaces.${name}.keys`, reason });
  }
}

function omitKeys(workspace: Workspace): Omit<Workspace, "keys"> {
  const { keys: _, ...shown } = workspace;
  return shown;
}

function compareEntries<T extends { readonly name: string }>(
  list: string,
  [before, after]: readonly [readonly T[], readonly T[]],
  report: IssueReporter,
): void {
  const [old, current] = [groupByName(before), groupByName(after)];
  for (const name of new Set([...old.keys(), ...current.keys()])) {
    const place = `${list}.${name}`;
    const [a, b] = [old.get(name), current.get(name)];
    if (a === undefined) report({ place, reason: "added" });
    else if (b === undefined) report({ place, reason: "removed" });
    else compareFields(place, [a, b], report);
  }
}

/** Routes may have equal names; further ones get a number. */
function groupByName<T extends { readonly name: string }>(
  entries: readonly T[],
): Map<string, T> {
  const byName = new Map<string, T>();
  for (const entry of entries) {
    let name = entry.name;
    for (let i = 2; byName.has(name); i++) name = `${entry.name}#${i}`;
    byName.set(name, entry);
  }
  return byName;
}

function compareFields(
  place: string,
  [before, after]: readonly [object, object],
  report: IssueReporter,
): void {
  const old = new Map<string, unknown>(Object.entries(before));
  const current = new Map<string, unknown>(Object.entries(after));
  for (const field of new Set([...old.keys(), ...current.keys()])) {
    const a = JSON.stringify(old.get(field)) ?? "none";
    const b = JSON.stringify(current.get(field)) ?? "none";
    if (a !== b) report({ place: `${place}.${field}`, reason: `${a} -> ${b}` });
  }
}
