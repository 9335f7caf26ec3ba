/**
 * Lists and lifts the verdicts by which requests are blocked, for operators, in the object
 * API. All VMs follow what is stored there.
 * @module
 */
import type { CrashRecord, CrashVerdict } from "@bitternfall/dispatch";
import { type ObjectApi, StoreError } from "@bitternfall/platform";
import {
  CRASHES,
  formatCrashRecord,
  parseCrashRecord,
} from "./crash_records.ts";
import { SERVICE_RECORD_PREFIX } from "./service_record_store.ts";

/** A verdict in force. */
export interface BlockingVerdict {
  readonly service: string;
  readonly id: string;
  /** Hashes of the parts that a blocked request has, as log lines name them. */
  readonly parts: readonly number[];
  /** Server processes that ended under all of these parts. */
  readonly crashes: number;
  readonly trials: number;
}

const KEY_PREFIX = `${SERVICE_RECORD_PREFIX}${CRASHES}-`;
const MAX_ATTEMPTS = 5;

/** Returns the verdicts in force. Throws {@link StoreError}. */
export async function listVerdicts(api: ObjectApi): Promise<BlockingVerdict[]> {
  const { objects } = await api.list(KEY_PREFIX);
  return objects.flatMap(({ key, value }) => {
    const record = parseCrashRecord(value);
    const service = key.slice(KEY_PREFIX.length);
    return record === undefined ? [] : record.verdicts.flatMap((verdict) => {
      const parts = listBlamed(verdict);
      if (parts.length === 0) return [];
      const { id, trials } = verdict;
      const crashes = countCrashes(record, parts);
      return [{ service, id, parts, crashes, trials }];
    });
  });
}

/**
 * Lifts a verdict for good; false if there is none with this id. Servers that end under its
 * parts again lead to a new one. Throws {@link StoreError}.
 */
export async function liftVerdict(
  api: ObjectApi,
  { service, id }: Pick<BlockingVerdict, "service" | "id">,
): Promise<boolean> {
  const key = KEY_PREFIX + service;
  for (let attempt = 1;; attempt++) {
    const stored = await api.get(key);
    const record = parseCrashRecord(stored?.value);
    const verdict = record?.verdicts.find((known) => known.id === id);
    if (stored === undefined || record === undefined || verdict === undefined) {
      return false;
    }
    const { parts } = verdict;
    const value = formatCrashRecord({
      reports: record.reports.map((report) => ({
        ...report,
        parts: report.parts.filter((part) => !parts.includes(part)),
      })),
      verdicts: record.verdicts.map((known) =>
        known === verdict ? { ...known, exonerated: parts } : known
      ),
      cleared: [...new Set([...record.cleared, ...parts])],
    });
    try {
      await api.put(key, { value, when: { version: stored.version } });
      return true;
    } catch (err) {
      // The service's dispatcher writes the object too.
      const isConflict = err instanceof StoreError &&
        err.detail.tag === "conflict";
      if (!isConflict || attempt === MAX_ATTEMPTS) throw err;
    }
  }
}

function listBlamed({ parts, exonerated }: CrashVerdict): number[] {
  return parts.filter((part) => !exonerated.includes(part));
}

function countCrashes({ reports }: CrashRecord, parts: number[]): number {
  const processes = reports.filter((report) =>
    parts.every((part) => report.parts.includes(part))
  ).map(({ process }) => process);
  return new Set(processes).size;
}
