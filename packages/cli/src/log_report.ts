/**
 * Reports for on-call engineers from the log lines of a deployment: the events of one
 * request with the state that its VMs knew at that time, or a summary of the failures in
 * a whole run. Times of different VMs are only as comparable as the VMs' clocks.
 * @module
 */

import { type EventName, EVENTS } from "@bitternfall/events/catalogue";

/** A parsed log line. */
export interface LogLine {
  /** Milliseconds since the epoch, by the clock of its VM. */
  readonly time: number;
  readonly vm: string;
  readonly event: number;
  readonly text: string;
  readonly fields: { readonly [name: string]: unknown };
}

/** A log line of a request, or of the state that was known then. */
export interface ReportedLine {
  /** Milliseconds since the request's first line; negative for earlier lines. */
  readonly atMs: number;
  readonly vm: string;
  readonly event: number;
  readonly text: string;
  readonly details: string;
}

/** Report on one request. */
export interface RequestReport {
  /** Lines of the request, by time. */
  readonly life: readonly ReportedLine[];
  /** Latest state that the VMs handling the request had logged by its last line. */
  readonly known: readonly ReportedLine[];
}

/** Number of log lines with the same description. */
export interface EventCount {
  readonly what: string;
  readonly count: number;
  /** Id of the first request with such a line. */
  readonly example: string;
}

/** Summary of all log lines of a run. */
export interface RunReport {
  readonly lines: number;
  readonly seconds: number;
  readonly vms: number;
  readonly requests: readonly EventCount[];
  readonly refusals: readonly EventCount[];
  readonly failures: readonly EventCount[];
  readonly dependencies: readonly EventCount[];
}

/** Events that log a VM's view of its configuration, watches, peers, roles and lease. */
const STATE_EVENTS = getEventIds(
  "peerUp",
  "peerDead",
  "roleTaken",
  "roleHandedOver",
  "stewardElected",
  "stewardLost",
  "configApplied",
  "watchLost",
  "watchRegained",
  "watchStale",
  "objectsPulled",
);
/** Events that log the loss or recovery of a dependency. */
const DEPENDENCY_EVENTS = getEventIds(
  "peerSuspected",
  "peerDead",
  "watchLost",
  "watchRegained",
  "watchStale",
  "stewardElected",
  "stewardLost",
);
const COMMON_FIELDS = new Set([
  "level",
  "time",
  "vm",
  "event",
  "msg",
  "requestId",
]);
const MS_PER_S = 1000;

/** Parses log lines in JSON; lines that are not events of bitternfall are skipped. */
export function parseLog(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const line of text.split("\n")) {
    const fields = parseLine(line);
    if (fields === undefined) continue;
    const { time, vm, event, msg } = fields;
    if (typeof time !== "number" || typeof event !== "number") continue;
    lines.push({ time, vm: String(vm), event, text: String(msg), fields });
  }
  return lines;
}

/** Builds the report on one request; undefined if no line has its id. */
export function buildRequestReport(
  lines: readonly LogLine[],
  requestId: string,
): RequestReport | undefined {
  const requestLines = lines.filter(({ fields }) =>
    fields.requestId === requestId
  )
    .sort((a, b) => a.time - b.time);
  const [first] = requestLines;
  if (first === undefined) return undefined;
  const last = requestLines.at(-1)!;
  const toReported = (line: LogLine): ReportedLine => ({
    atMs: line.time - first.time,
    vm: line.vm,
    event: line.event,
    text: line.text,
    details: formatDetails(line),
  });
  const known = findLatestState(lines, {
    vms: new Set(requestLines.map(({ vm }) => vm)),
    servers: new Set(requestLines.flatMap(listServers)),
    until: last.time,
  });
  return { life: requestLines.map(toReported), known: known.map(toReported) };
}

/** Summarizes the log lines of a run. */
export function buildRunReport(lines: readonly LogLine[]): RunReport {
  let from = Infinity;
  let to = -Infinity;
  for (const { time } of lines) {
    from = Math.min(from, time);
    to = Math.max(to, time);
  }
  const countEvents = (
    events: ReadonlySet<number>,
    getName: (line: LogLine) => string,
  ) => countByName(lines.filter(({ event }) => events.has(event)), getName);
  return {
    lines: lines.length,
    seconds: lines.length === 0 ? 0 : (to - from) / MS_PER_S,
    vms: new Set(lines.map(({ vm }) => vm)).size,
    requests: countEvents(
      getEventIds("requestEnded", "requestRejected"),
      (line) => `${line.fields.status} ${line.fields.reason}`,
    ),
    refusals: countEvents(
      getEventIds("acquireRefused"),
      (line) => `${line.fields.service} ${line.fields.reason}`,
    ),
    failures: countEvents(
      getEventIds("grantFailed", "sendFailed"),
      (line) => `${line.fields.server} ${line.fields.reason}`,
    ),
    dependencies: countEvents(
      DEPENDENCY_EVENTS,
      (line) => `${line.vm} ${line.text} ${line.fields.prefix ?? ""}`.trim(),
    ),
  };
}

function parseLine(line: string): { [name: string]: unknown } | undefined {
  const start = line.indexOf("{");
  if (start < 0) return undefined;
  try {
    return JSON.parse(line.slice(start)) as { [name: string]: unknown };
  } catch {
    // The log may contain lines of other programs.
    return undefined;
  }
}

function formatDetails({ fields }: LogLine): string {
  return Object.entries(fields).filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`).join(" ");
}

function formatValue(value: unknown): string {
  return Array.isArray(value) ? value.join(",") : String(value);
}

function listServers({ fields }: LogLine): string[] {
  const { server, prefill, decode, servers } = fields;
  const named = [server, prefill, decode].filter((id) =>
    typeof id === "string" && id !== ""
  );
  return [...named, ...(Array.isArray(servers) ? servers : [])].map(String);
}

/** Finds the latest line of each kind of state on each VM, up to the time `until`. */
function findLatestState(
  lines: readonly LogLine[],
  options: {
    vms: ReadonlySet<string>;
    servers: ReadonlySet<string>;
    until: number;
  },
): LogLine[] {
  const { vms, servers, until } = options;
  const latest = new Map<string, LogLine>();
  for (const line of lines) {
    if (!vms.has(line.vm) || line.time > until) continue;
    const { prefix = "", service = "", server = "" } = line.fields;
    const isServer = line.event === EVENTS.serverChanged.id &&
      servers.has(String(server));
    if (!isServer && !STATE_EVENTS.has(line.event)) continue;
    const topic = isServer ? `server ${server}` : `${line.event} ${service}`;
    const key = `${line.vm} ${topic} ${prefix}`;
    const prev = latest.get(key);
    if (prev === undefined || prev.time <= line.time) latest.set(key, line);
  }
  return [...latest.values()].sort((a, b) => a.time - b.time);
}

/** Counts lines by name, including those that the log's rate limit suppressed. */
function countByName(
  lines: readonly LogLine[],
  getName: (line: LogLine) => string,
): EventCount[] {
  const counts = new Map<string, { count: number; example: string }>();
  for (const line of lines) {
    const name = getName(line);
    const { suppressed = 0, requestId = "" } = line.fields;
    const tally = counts.get(name) ?? { count: 0, example: String(requestId) };
    tally.count += 1 + Number(suppressed);
    counts.set(name, tally);
  }
  return [...counts].map(([what, tally]) => ({ what, ...tally }))
    .sort((a, b) => b.count - a.count);
}

function getEventIds(...names: EventName[]): ReadonlySet<number> {
  return new Set(names.map((name) => EVENTS[name].id));
}
