/**
 * Reports where a run lost requests: by route, outcome and reason, and by time window.
 * Built from the log lines that end requests.
 * @module
 */
import { EVENTS } from "@bitternfall/events/catalogue";
import type { LogLine } from "./log_report.ts";

/** How a request ended, as its caller sees it. */
export enum Ending {
  OnTime = "on time",
  Late = "late",
  /** Not run; the caller may come back. */
  Refused = "refused",
  Failed = "failed",
  /** The caller disconnected first. */
  Left = "left",
}

/** Requests of one route that ended in the same way for the same reason. */
export interface Loss {
  readonly route: string;
  readonly ending: Ending;
  readonly reason: string;
  readonly count: number;
  /** Seconds into the run at which the first and the last of them ended. */
  readonly fromSecond: number;
  readonly toSecond: number;
  /** Id of the first of them. */
  readonly example: string;
}

/** Requests that ended in one time window. */
export interface LossWindow {
  readonly second: number;
  readonly counts: Readonly<Record<Ending, number>>;
  /** Most frequent loss of the window. */
  readonly mainLoss: string;
}

/** Losses of a run. */
export interface LossReport {
  readonly losses: readonly Loss[];
  readonly windows: readonly LossWindow[];
}

const WINDOW_S = 2;
const MS_PER_S = 1000;
/** Statuses that state that the request has not run. */
const REFUSAL_STATUSES = new Set([408, 421, 429, 503]);
/** Logged status of a request whose caller disconnected. */
const CALLER_LEFT_STATUS = 499;

/** Builds the report; requests that the log's rate limit suppressed are not counted. */
export function buildLossReport(lines: readonly LogLine[]): LossReport {
  const ended = lines.filter(({ event }) => event === EVENTS.requestEnded.id);
  let startedAt = Infinity;
  for (const { time } of lines) startedAt = Math.min(startedAt, time);
  const losses = new Map<string, { -readonly [K in keyof Loss]: Loss[K] }>();
  const windows = new Map<number, WindowTally>();
  for (const line of ended.sort((a, b) => a.time - b.time)) {
    const { route, requestId } = line.fields;
    const second = (line.time - startedAt) / MS_PER_S;
    const windowStart = Math.floor(second / WINDOW_S) * WINDOW_S;
    const ending = getEnding(line);
    const window = windows.get(windowStart) ?? createWindowTally();
    windows.set(windowStart, window);
    window.counts[ending]++;
    if (ending === Ending.OnTime) continue;
    const reason = getReason(line);
    const key = `${route} ${ending} ${reason}`;
    window.losses.set(key, (window.losses.get(key) ?? 0) + 1);
    const loss = losses.get(key) ?? {
      route: String(route),
      ending,
      reason,
      count: 0,
      fromSecond: second,
      toSecond: second,
      example: String(requestId),
    };
    losses.set(key, loss);
    loss.count++;
    loss.toSecond = second;
  }
  return {
    losses: [...losses.values()].sort((a, b) => b.count - a.count),
    windows: [...windows].map(([second, { counts, losses }]) => ({
      second,
      counts,
      mainLoss: findMostFrequent(losses),
    })),
  };
}

interface WindowTally {
  readonly counts: Record<Ending, number>;
  readonly losses: Map<string, number>;
}

function createWindowTally(): WindowTally {
  const counts = Object.fromEntries(
    Object.values(Ending).map((ending) => [ending, 0]),
  ) as Record<Ending, number>;
  return { counts, losses: new Map() };
}

function getEnding({ fields }: LogLine): Ending {
  const { status, ms, firstEventMs, targetMs } = fields;
  if (REFUSAL_STATUSES.has(Number(status))) return Ending.Refused;
  if (status === CALLER_LEFT_STATUS) return Ending.Left;
  if (Number(status) < 200 || Number(status) >= 500) return Ending.Failed;
  const answeredMs = Number(firstEventMs ?? ms);
  return answeredMs > Number(targetMs ?? Infinity)
    ? Ending.Late
    : Ending.OnTime;
}

/** The logged reason, with the stage that the request had reached. */
function getReason({ fields }: LogLine): string {
  const { reason, prefillMs, firstEventMs, servers } = fields;
  if (firstEventMs !== undefined) return `${reason}, after its first event`;
  if (prefillMs !== undefined) return `${reason}, after its prefill`;
  const wasSent = Array.isArray(servers) && servers.length > 0;
  return wasSent ? String(reason) : `${reason}, not sent`;
}

function findMostFrequent(counts: ReadonlyMap<string, number>): string {
  let best = "";
  for (const [key, count] of counts) {
    if (count > (counts.get(best) ?? 0)) best = key;
  }
  return best;
}
