/**
 * Implementation of `bitternfall report`, which summarizes log files for on-call
 * engineers.
 * @module
 */
import * as fs from "node:fs";
import { CommandError } from "./api.ts";
import {
  buildRequestReport,
  buildRunReport,
  type EventCount,
  parseLog,
  type ReportedLine,
} from "./log_report.ts";
import { buildLossReport, Ending, type LossReport } from "./loss_report.ts";
import { formatTable, type Output } from "./output.ts";

/** Limit on the rows of a printed table; the rest are only counted. */
const MAX_TABLE_ROWS = 15;
const STDIN_FD = 0;

/** Options of {@link showReport}. */
export interface ReportOptions {
  readonly files: readonly string[];
  /** Reports on this request only. */
  readonly requestId?: string | undefined;
  /** Reports on lost requests only. */
  readonly showsLosses?: boolean;
}

/** Reports on one request, on lost requests, or on all requests in the files. */
export function showReport(output: Output, options: ReportOptions): void {
  const { files, requestId, showsLosses = false } = options;
  const lines = files.flatMap((file) =>
    parseLog(fs.readFileSync(file === "-" ? STDIN_FD : file, "utf8"))
  );
  if (requestId === undefined && showsLosses) {
    const report = buildLossReport(lines);
    return output.print(report, formatLosses(report));
  }
  if (requestId === undefined) {
    const report = buildRunReport(lines);
    const { lines: count, seconds, vms } = report;
    const sections = [
      `${count} lines from ${vms} VMs over ${seconds.toFixed(1)} s`,
      formatCounts("requests", report.requests),
      formatCounts("dispatcher refusals", report.refusals),
      formatCounts("server failures", report.failures),
      formatCounts("dependencies", report.dependencies),
    ];
    return output.print(report, sections.join("\n\n"));
  }
  const report = buildRequestReport(lines, requestId);
  if (report === undefined) {
    const message = `no log line has the request id ${requestId}`;
    throw new CommandError({ tag: "not_found" }, message);
  }
  const text = `${formatLines("request events", report.life)}\n\n` +
    formatLines("known state", report.known);
  output.print(report, text);
}

function formatLosses({ losses, windows }: LossReport): string {
  const lossRows = losses.slice(0, MAX_TABLE_ROWS).map((loss) => [
    loss.count,
    loss.route,
    loss.ending,
    loss.reason,
    `${loss.fromSecond.toFixed(1)} to ${loss.toSecond.toFixed(1)}`,
    loss.example,
  ]);
  const endings = Object.values(Ending);
  const windowRows = windows.map(({ second, counts, mainLoss }) => [
    second,
    ...endings.map((ending) => counts[ending]),
    mainLoss,
  ]);
  const lossHead = ["count", "route", "ending", "reason", "seconds", "first"];
  return `${formatTable(lossHead, lossRows)}\n\n` +
    formatTable(["second", ...endings, "main loss"], windowRows);
}

function formatCounts(title: string, counts: readonly EventCount[]): string {
  const rows = counts.slice(0, MAX_TABLE_ROWS).map((
    { what, count, example },
  ) => [
    count,
    what,
    example,
  ]);
  const hidden = counts.length - rows.length;
  const hiddenNote = hidden > 0 ? `\n… ${hidden} more` : "";
  return formatTable(["count", title, "first request"], rows) + hiddenNote;
}

function formatLines(title: string, lines: readonly ReportedLine[]): string {
  return formatTable(
    ["ms", "vm", "event", title, "details"],
    lines.map(({ atMs, vm, event, text, details }) => [
      atMs,
      vm,
      event,
      text,
      details,
    ]),
  );
}
