/**
 * Turns the log lines of a deployment into what an on-call engineer asks first: what
 * became of one request and what was known when it was decided, or what went wrong in
 * a whole run. Times of different VMs compare only as well as their clocks do.
 * @module
 */

import { type EventName, EVENTS } from "@bitternfall/events/catalogue";

/** One line of a log. */
export interface LogLine {
  /** Milliseconds since the epoch, by the clock of its VM. */
  readonly time: number;
  readonly vm: string;
  readonly event: number;
  readonly text: string;
  readonly fields: { readonly [name: string]: unknown };
}

/** A line of a request's life, or of what was known then. */
export interface ReportedLine {
  /** Milliseconds after the request's first line; before it where negative. */
  readonly atMs: number;
  readonly vm: string;
  readonly event: number;
  readonly text: string;
  readonly details: string;
}

/** One request. */
export interface RequestReport {
  readonly life: readonly ReportedLine[];
  /** What the VMs that decided had last heard, each line with its age. */
  readonly known: readonly ReportedLine[];
}

/** How often something was logged. */
export interface Count {
  readonly what: string;
  readonly count: number;
  /** Id of the first request of which it was logged. */
  readonly example: string;
}

/** A whole run. */
export interface RunReport {
  readonly lines: number;
  readonly seconds: number;
  readonly vms: number;
  readonly requests: readonly Count[];
  readonly refusals: readonly Count[];
  readonly failures: readonly Count[];
  readonly dependencies: readonly Count[];
}

/** What a VM believes: configuration, its watches, peers, roles and lease. */
const BELIEFS = listIds(
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
/** Lost and regained dependencies. */
const DEPENDENCIES = listIds(
  "peerSuspected",
  "peerDead",
  "watchLost",
  "watchRegained",
  "watchStale",
  "stewardElected",
  "stewardLost",
);
const COMMON = new Set(["level", "time", "vm", "event", "msg", "requestId"]);
const MS_PER_S = 1000;

/** Reads JSON lines; what is none is left out. */
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

/** The life of one request; undefined where no line names it. */
export function reportRequest(
  lines: readonly LogLine[],
  requestId: string,
): RequestReport | undefined {
  const own = lines.filter(({ fields }) => fields.requestId === requestId)
    .sort((a, b) => a.time - b.time);
  const [first] = own;
  if (first === undefined) return undefined;
  const last = own.at(-1)!;
  const toReported = (line: LogLine): ReportedLine => ({
    atMs: line.time - first.time,
    vm: line.vm,
    event: line.event,
    text: line.text,
    details: describe(line),
  });
  const known = findKnown(lines, {
    vms: new Set(own.map(({ vm }) => vm)),
    servers: new Set(own.flatMap(listServers)),
    before: last.time,
  });
  return { life: own.map(toReported), known: known.map(toReported) };
}

/** What a run's lines add up to. */
export function reportRun(lines: readonly LogLine[]): RunReport {
  let from = Infinity;
  let to = -Infinity;
  for (const { time } of lines) {
    from = Math.min(from, time);
    to = Math.max(to, time);
  }
  const pick = (events: ReadonlySet<number>, name: (of: LogLine) => string) =>
    count(lines.filter(({ event }) => events.has(event)), name);
  return {
    lines: lines.length,
    seconds: lines.length === 0 ? 0 : (to - from) / MS_PER_S,
    vms: new Set(lines.map(({ vm }) => vm)).size,
    requests: pick(
      listIds("requestEnded", "requestRejected"),
      (line) => `${line.fields.status} ${line.fields.reason}`,
    ),
    refusals: pick(
      listIds("acquireRefused"),
      (line) => `${line.fields.service} ${line.fields.reason}`,
    ),
    failures: pick(
      listIds("grantFailed", "sendFailed"),
      (line) => `${line.fields.server} ${line.fields.reason}`,
    ),
    dependencies: pick(
      DEPENDENCIES,
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
    // Lines of other programs stand between ours.
    return undefined;
  }
}

function describe({ fields }: LogLine): string {
  return Object.entries(fields).filter(([name]) => !COMMON.has(name))
    .map(([name, value]) => `${name}=${format(value)}`).join(" ");
}

function format(value: unknown): string {
  return Array.isArray(value) ? value.join(",") : String(value);
}

function listServers({ fields }: LogLine): string[] {
  const { server, prefill, decode, servers } = fields;
  const named = [server, prefill, decode].filter((id) =>
    typeof id === "string" && id !== ""
  );
  return [...named, ...(Array.isArray(servers) ? servers : [])].map(String);
}

/** The newest line of each belief, by VM, up to the time of the decision. */
function findKnown(
  lines: readonly LogLine[],
  options: {
    vms: ReadonlySet<string>;
    servers: ReadonlySet<string>;
    before: number;
  },
): LogLine[] {
  const { vms, servers, before } = options;
  const newest = new Map<string, LogLine>();
  for (const line of lines) {
    if (!vms.has(line.vm) || line.time > before) continue;
    const { prefix = "", service = "", server = "" } = line.fields;
    const isServer = line.event === EVENTS.serverChanged.id &&
      servers.has(String(server));
    if (!isServer && !BELIEFS.has(line.event)) continue;
    const topic = isServer ? `server ${server}` : `${line.event} ${service}`;
    const key = `${line.vm} ${topic} ${prefix}`;
    const known = newest.get(key);
    if (known === undefined || known.time <= line.time) newest.set(key, line);
  }
  return [...newest.values()].sort((a, b) => a.time - b.time);
}

function count(
  lines: readonly LogLine[],
  getName: (line: LogLine) => string,
): Count[] {
  const counts = new Map<string, { count: number; example: string }>();
  for (const line of lines) {
    const name = getName(line);
    const { suppressed = 0, requestId = "" } = line.fields;
    const known = counts.get(name) ?? { count: 0, example: String(requestId) };
    known.count += 1 + Number(suppressed);
    counts.set(name, known);
  }
  return [...counts].map(([what, rest]) => ({ what, ...rest }))
    .sort((a, b) => b.count - a.count);
}

function listIds(...names: EventName[]): ReadonlySet<number> {
  return new Set(names.map((name) => EVENTS[name].id));
}
