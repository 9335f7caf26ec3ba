/**
 * Shows how much memory the process takes, and what it holds for callers.
 * @module
 */
import process from "node:process";
import type { EventLog } from "@bitternfall/events";
import { sleep } from "@bitternfall/types";
import type { MemoryBudget } from "./memory_budget.ts";

const INTERVAL_MS = 1000;

/** Sets the gauges of memory once a second. */
export async function runMemoryGauges(
  options: { log: EventLog; memory: MemoryBudget; signal: AbortSignal },
): Promise<void> {
  const { log, memory, signal } = options;
  while (!signal.aborted) {
    log.gauge("resident_memory_bytes", process.memoryUsage.rss());
    for (const [use, pool] of Object.entries(memory.pools)) {
      log.gauge("held_memory_bytes", pool.heldBytes, { use });
    }
    await sleep(INTERVAL_MS, signal);
  }
}
