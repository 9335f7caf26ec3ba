/**
 * Writes to the object API against keyed calls, and memory of a journal entry.
 * @module
 */
import { Journal } from "@bitternfall/journal";
import { ObjectStore } from "@bitternfall/platform";
import { PlatformStandIn } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import process from "node:process";
import { getPercentile } from "./experiment_metrics.ts";
import type { ResultLine } from "./report_lines.ts";

const SECONDS = 4;
const ENTRIES = 20_000;

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
  const { platform, store, journal } = await start({ writesPerSecond: 40 });
  const waits: number[] = [];
  const claims: Promise<void>[] = [];
  await claimAndSettle(journal, "warm-up");
  const before = { ...platform.calls };
  const startedAt = performance.now();
  for (let call = 0; call < rate * SECONDS; call++) {
    await sleep(startedAt + call * 1000 / rate - performance.now());
    claims.push(
      claimAndSettle(journal, `key-${call}`).then((ms) => void waits.push(ms)),
    );
  }
  await Promise.all(claims);
  const seconds = (performance.now() - startedAt) / 1000;
  const writes = (platform.calls.writes - before.writes) / seconds;
  waits.sort((a, b) => a - b);
  await store.close();
  await platform.close();
  const p95 = Math.round(getPercentile(waits, 0.95) * 10) / 10;
  return [
    {
      name: `journal: writes a second at ${rate} keyed calls/s`,
      value: Math.round(writes * 10) / 10,
      unit: "1/s",
    },
    {
      name: `journal: wait for a claim at ${rate} keyed calls/s, p95`,
      value: p95,
      unit: "ms",
    },
  ];
}

async function measureMemory(): Promise<number> {
  const { platform, store, journal } = await start({
    writesPerSecond: 100_000,
  });
  // The stand-in keeps every version that it is given; only the journal's own memory counts.
  const before = process.memoryUsage().heapUsed;
  for (let from = 0; from < ENTRIES; from += 200) {
    await Promise.all(
      Array.from(
        { length: 200 },
        (_, index) => claimAndSettle(journal, `key-${from + index}`),
      ),
    );
  }
  await store.close();
  await platform.close();
  globalThis.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  const size = journal.size;
  return used / size;
}

async function start(options: { writesPerSecond: number }) {
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

/** Claims a key and settles it; returns the wait for the claim in milliseconds. */
async function claimAndSettle(journal: Journal, key: string): Promise<number> {
  const startedAt = performance.now();
  const claim = {
    key: `claro/${key}`,
    claimId: `claim-${key}`,
    fingerprint: "f".repeat(43),
    vm: "vm-1",
  };
  const outcome = await journal.claim({ ...claim, incarnation: 1 });
  const ms = performance.now() - startedAt;
  if (outcome.kind !== "claimed") {
    throw new Error(`claim of ${key}: ${outcome.kind}`);
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
  return ms;
}
