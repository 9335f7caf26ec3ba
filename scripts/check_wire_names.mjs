/**
 * Fails if code outside `platform/` and `deploy/` contains a name of the protocol of the
 * users' platform: a header, path, setting or field that only the adapter may know.
 * `scripts/` is exempt because this file lists the names.
 * @module
 */
import { execFileSync } from "node:child_process";
import * as fs from "node:fs";
import process from "node:process";

const PLATFORM_NAMES = [
  /x-(request-id|deadline-ms|prompt-prefix|token-counts|length-hint)/i,
  /x-(response-seal|expect-instance|server-load|not-executed|instance-id)/i,
  /server-limit/i,
  /x-(serving-stage|kv-source|kv-hold|kv-backup|pin-ms|request-priority)/i,
  /kv-(handle|pin|move|events|list|fetch)|hold-(take|drop)/i,
  /BITTERNFALL_NODE_FILE|path_prefix|traffic_split|kv_capacity_tokens/,
  /x-tenant|\b(plain_tokens|api_keys|rate_per_s)\b/i,
  /stage_switch_s|handle_ttl_s|current_rev|has_more|cold_remaining_ms/,
];
const EXEMPT_FOLDERS = /^(platform|deploy|scripts)\//;

const files = execFileSync("git", ["ls-files", "-co", "--exclude-standard"], {
  encoding: "utf8",
}).split("\n").filter((file) =>
  /\.(ts|mjs|json)$/.test(file) && !EXEMPT_FOLDERS.test(file) &&
  !/^(journal\/|package-lock)/.test(file) && fs.existsSync(file)
);
let matchedLines = 0;
for (const file of files) {
  const lines = fs.readFileSync(file, "utf8").split("\n");
  for (const [index, line] of lines.entries()) {
    const name = PLATFORM_NAMES.find((pattern) => pattern.test(line));
    if (name === undefined) continue;
    matchedLines++;
    process.stderr.write(`${file}:${index + 1}: ${line.trim()}\n`);
  }
}
if (matchedLines > 0) {
  process.stderr.write(
    `${matchedLines} lines outside platform/ contain names of the platform's protocol\n`,
  );
  process.exitCode = 1;
}
