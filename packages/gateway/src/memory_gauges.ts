/**
 * Shows how much memory the process takes, and what it holds for callers.
 * @module
 */
import process from "node:process";
import type { EventLog } from "@bitternfall/events";
import { sleep } from "@bitternfall/types";

const INTERVAL_MS = 1000;

/** Sets the gauges of memory once a second. */
export async function runMemoryGauges(
  options: {
    log: EventLog;
    getHeldBytes: () => { heads: number; bodies: number };
    signal: AbortSignal;
  },
): Promise<void> {
  const { log, getHeldBytes, signal } = options;
  while (!signal.aborted) {
    log.gauge("resident_memory_bytes", process.memoryUsage.rss());
    for (const [use, bytes] of Object.entries(getHeldBytes())) {
      log.gauge("held_memory_bytes", bytes, { use });
    }
    await sleep(INTERVAL_MS, signal);
  }
}
