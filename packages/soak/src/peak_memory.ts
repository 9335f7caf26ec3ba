/**
 * Reads the peak resident memory of another process.
 * @module
 */
import * as fs from "node:fs";
import { getCode } from "@bitternfall/errors";

const BYTES_PER_KB = 1024;
const BYTES_PER_MB = 1_000_000;

/** Returns the peak in MB; undefined if the process has ended, or the system does not tell. */
export function readPeakMemoryMb(pid: number | undefined): number | undefined {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
    const kb = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
    if (kb === undefined) return undefined;
    return Number(kb) * BYTES_PER_KB / BYTES_PER_MB;
  } catch (err) {
    const code = getCode(err);
    if (code !== "ENOENT" && code !== "ESRCH") throw err;
    return undefined;
  }
}
