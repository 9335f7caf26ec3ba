/**
 * Measures the journal: writes to the object API by rate of keyed calls, and memory per
 * entry.
 * @module
 */
import { Journal } from "@bitternfall/journal";
import { ObjectStore } from "@bitternfall/platform";
import { PlatformStandIn } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import process from "node:process";
import { getQuantile } from "./experiment_metrics.ts";
import type { ResultLine } from "./report_lines.ts";

const RATE_WINDOW_SECONDS = 4;
const MEMORY_ENTRIES = 20_000;

/** Measures the journal at several rates of keyed calls. */
export async function benchJournal(): Promise<ResultLine[]> {
  const lines: ResultLine[] = [];
  for (const rate of [10, 100, 500]) lines.push(...await measureRate(rate));
  lines.push({
    name: "journal: memory of an entry",
    value: Math.round(await measureMemory()),
    unit: "B",
  });
  return lines;
}

async function measureRate(rate: number): Promise<ResultLine[]> {
  const { platform, store, journal } = await startJournal({
    writesPerSecond: 40,
  });
  const claimWaitsMs: number[] = [];
  const claims: Promise<void>[] = [];
  await claimAndSettle(journal, "warm-up");
  const callsBefore = { ...platform.calls };
  const startedAt = performance.now();
  for (let call = 0; call < rate * RATE_WINDOW_SECONDS; call++) {
    await sleep(startedAt + call * 1000 / rate - performance.now());
    claims.push(
      claimAndSettle(journal, `key-${call}`).then((ms) =>
        void claimWaitsMs.push(ms)
      ),
    );
  }
  await Promise.all(claims);
  const seconds = (performance.now() - startedAt) / 1000;
  const writesPerSecond = (platform.calls.writes - callsBefore.writes) /
    seconds;
  claimWaitsMs.sort((a, b) => a - b);
  await store.close();
  await platform.close();
  const claimWaitP95Ms = Math.round(getQuantile(claimWaitsMs, 0.95) * 10) / 10;
  return [
    {
      name: `journal: writes a second at ${rate} keyed calls/s`,
      value: Math.round(writesPerSecond * 10) / 10,
      unit: "1/s",
    },
    {
      name: `journal: wait for a claim at ${rate} keyed calls/s, p95`,
      value: claimWaitP95Ms,
      unit: "ms",
    },
  ];
}

async function measureMemory(): Promise<number> {
  const { platform, store, journal } = await startJournal({
    writesPerSecond: 100_000,
  });
  // The platform stand-in keeps every object version that it stores. It is closed and out of
  // use before the second reading, so that garbage collection can free it and only the memory
  // of the journal counts.
  const heapBefore = process.memoryUsage().heapUsed;
  for (let firstEntry = 0; firstEntry < MEMORY_ENTRIES; firstEntry += 200) {
    await Promise.all(
      Array.from(
        { length: 200 },
        (_, index) => claimAndSettle(journal, `key-${firstEntry + index}`),
      ),
    );
  }
  await store.close();
  await platform.close();
  globalThis.gc?.();
  const heapGrowthBytes = process.memoryUsage().heapUsed - heapBefore;
  const entryCount = journal.size;
  return heapGrowthBytes / entryCount;
}

async function startJournal(options: { writesPerSecond: number }) {
  const platform = new PlatformStandIn({ random: () => 0.5 });
  platform.faults.writesPerSecond = Math.max(300, options.writesPerSecond);
  await platform.listen();
  const store = new ObjectStore({ address: platform.address });
  const journal = new Journal({
    store,
    shards: 1,
    writesPerSecond: options.writesPerSecond,
    appendTimeoutMs: 2000,
    retentionMs: 86_400_000,
    vm: "vm-1",
    isAlive: () => true,
    probe: () => Promise.resolve("running"),
  });
  return { platform, store, journal };
}

/** Claims a key and settles the claim; returns how long the claim took, in milliseconds. */
async function claimAndSettle(journal: Journal, key: string): Promise<number> {
  const startedAt = performance.now();
  const claim = {
    key: `claro/${key}`,
    claimId: `claim-${key}`,
    fingerprint: "f".repeat(43),
    vm: "vm-1",
  };
  const outcome = await journal.claim({ ...claim, incarnation: 1 });
  const claimWaitMs = performance.now() - startedAt;
  if (outcome.kind !== "claimed") {
    throw new Error(
      `claim of ${key}: expected "claimed", got "${outcome.kind}"`,
    );
  }
  const answer = JSON.stringify({
    headers: { "content-type": "application/json" },
    body: "eyJvayI6dHJ1ZX0=",
  });
  await journal.settle({
    kind: "settle",
    ...claim,
    result: "done",
    status: 200,
    answer,
  });
  return claimWaitMs;
}
