/**
 * `bitternfall report`: log files as a page for on-call engineers.
 * @module
 */
import * as fs from "node:fs";
import { CommandError } from "./api.ts";
import {
  type Count,
  parseLog,
  type ReportedLine,
  reportRequest,
  reportRun,
} from "./log_report.ts";
import { formatTable, type Output } from "./output.ts";

/** Rows of a table that a person reads through. */
const MOST_ROWS = 15;
const STDIN = 0;

/** Reports on one request, or on all that the files hold. */
export function showReport(
  output: Output,
  options: { files: readonly string[]; requestId?: string | undefined },
): void {
  const { files, requestId } = options;
  const lines = files.flatMap((file) =>
    parseLog(fs.readFileSync(file === "-" ? STDIN : file, "utf8"))
  );
  if (requestId === undefined) {
    const report = reportRun(lines);
    const { lines: count, seconds, vms } = report;
    const sections = [
      `${count} lines of ${vms} VMs in ${seconds.toFixed(1)} s`,
      formatCounts("requests", report.requests),
      formatCounts("refused by dispatchers", report.refusals),
      formatCounts("failures of servers", report.failures),
      formatCounts("dependencies", report.dependencies),
    ];
    return output.say(report, sections.join("\n\n"));
  }
  const report = reportRequest(lines, requestId);
  if (report === undefined) {
    const message = `no line names the request ${requestId}`;
    throw new CommandError({ tag: "not_found" }, message);
  }
  const text = `${formatLines("life", report.life)}\n\n` +
    formatLines("known by then", report.known);
  output.say(report, text);
}

function formatCounts(title: string, counts: readonly Count[]): string {
  const rows = counts.slice(0, MOST_ROWS).map(({ what, count, example }) => [
    count,
    what,
    example,
  ]);
  const hidden = counts.length - rows.length;
  const more = hidden > 0 ? `\n… ${hidden} more` : "";
  return formatTable(["count", title, "first request"], rows) + more;
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
