/**
 * Passes where every failed test of a vitest JSON report is listed in KNOWN-RED.txt, on
 * a line `test: FULL NAME`.
 * @module
 */
import * as fs from "node:fs";
import process from "node:process";

const report = JSON.parse(fs.readFileSync(process.argv[2], "utf8"));
const known = new Set(
  fs.readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim()),
);
let unknown = 0;
for (const { name, status, message, assertionResults } of report.testResults) {
  const failed = assertionResults.filter((test) => test.status === "failed");
  // A file that could not be run has no failed test to be listed.
  if (status === "failed" && failed.length === 0) {
    unknown++;
    process.stderr.write(`failed: ${name}: ${message}\n`);
  }
  for (const { fullName } of failed) {
    const isKnown = known.has(fullName);
    if (!isKnown) unknown++;
    process.stderr.write(`${isKnown ? "known red" : "failed"}: ${fullName}\n`);
  }
}
process.exitCode = unknown === 0 ? 0 : 1;
