/**
 * Shows how much memory the process takes, what it holds for callers, and what time it spends
 * on received bytes.
 * @module
 */
import process from "node:process";
import { takeReadStats } from "@bitternfall/connection";
import type { EventLog } from "@bitternfall/events";
import { sleep } from "@bitternfall/types";
import type { MemoryBudget } from "./memory_budget.ts";

const INTERVAL_MS = 1000;

/** Sets the gauges of memory and of reading once a second. */
export async function runMemoryGauges(
  options: { log: EventLog; memory: MemoryBudget; signal: AbortSignal },
): Promise<void> {
  const { log, memory, signal } = options;
  while (!signal.aborted) {
    log.gauge("resident_memory_bytes", process.memoryUsage.rss());
    for (const [use, pool] of Object.entries(memory.pools)) {
      log.gauge("held_memory_bytes", pool.heldBytes, { use });
    }
    const { busyMs, longestTurnMs, longestSliceMs } = takeReadStats();
    log.gauge("read_busy_ms", busyMs);
    log.gauge("read_longest_turn_ms", longestTurnMs);
    log.gauge("read_longest_slice_ms", longestSliceMs);
    await sleep(INTERVAL_MS, signal);
  }
}
