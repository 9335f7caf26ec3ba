/**
 * Exits with 0 if KNOWN-RED.txt lists every failed test of a vitest JSON report on a line
 * `test: FULL NAME`, and with 1 otherwise. Takes the path of the report.
 * @module
 */
import * as fs from "node:fs";
import process from "node:process";

const report = JSON.parse(fs.readFileSync(process.argv[2], "utf8"));
const knownFailures = new Set(
  fs.readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim()),
);
let unlistedFailures = 0;
for (const { name, status, message, assertionResults } of report.testResults) {
  const failed = assertionResults.filter((test) => test.status === "failed");
  // A file that failed to load has no failed tests; it can't be listed and always counts.
  if (status === "failed" && failed.length === 0) {
    unlistedFailures++;
    process.stderr.write(`failed: ${name}: ${message}\n`);
  }
  for (const { fullName } of failed) {
    const isListed = knownFailures.has(fullName);
    if (!isListed) unlistedFailures++;
    process.stderr.write(`${isListed ? "known red" : "failed"}: ${fullName}\n`);
  }
}
process.exitCode = unlistedFailures === 0 ? 0 : 1;
