/**
 * A record as it is stored in the object API: the record with its audit trail in one
 * object, so that a change and its audit entry commit together.
 * @module
 */
import * as zod from "zod";
import type { OperatorRecord } from "./schema.ts";

/** Audit entries kept beside the record; older ones move to archive objects. */
export const MAX_INLINE_AUDIT = 40;

/**
 * Bytes of audit entries beside the record above which they all move. Record, entries
 * and the newest entry have to fit into a value of one megabyte.
 */
const MAX_INLINE_BYTES = 200_000;

/** One change of a record. */
export interface AuditEntry {
  /** Chosen by the operator's tool; settles replies that were lost. */
  readonly changeId: string;
  readonly who: string;
  /** Wall-clock time, ISO 8601. */
  readonly when: string;
  readonly before: OperatorRecord | null;
  readonly after: OperatorRecord | null;
}

/** Value of an object under `records/`. A deleted record stays as `record: null`. */
export interface StoredRecord {
  readonly record: OperatorRecord | null;
  readonly audit: readonly AuditEntry[];
  /** Number of entries in each archive object, oldest first. */
  readonly archived: readonly number[];
}

const auditEntry = zod.object({
  changeId: zod.string(),
  who: zod.string(),
  when: zod.string(),
  before: zod.unknown(),
  after: zod.unknown(),
});
const stored = zod.object({
  record: zod.unknown(),
  audit: zod.array(auditEntry),
  archived: zod.array(zod.int()),
});

/** Decodes a stored value, leaving the record itself unchecked; undefined when malformed. */
export function decodeStored(value: unknown): StoredRecord | undefined {
  const parsed = stored.safeParse(value);
  return parsed.success ? parsed.data as StoredRecord : undefined;
}

/** What one change does to a stored record. */
export interface ChangePlan {
  readonly next: StoredRecord;
  /** Entries that move to a new archive object before the write, oldest first. */
  readonly toArchive: readonly AuditEntry[];
}

/** Plans the write of one change on top of what is stored. */
export function planChange(
  current: StoredRecord | undefined,
  entry: AuditEntry,
): ChangePlan {
  const earlier = current?.audit ?? [];
  const archived = current?.archived ?? [];
  const record = entry.after;
  const isLong = earlier.length >= MAX_INLINE_AUDIT;
  const isLarge = JSON.stringify(earlier).length > MAX_INLINE_BYTES;
  if (!isLong && !isLarge) {
    const next = { record, audit: [...earlier, entry], archived };
    return { next, toArchive: [] };
  }
  const kept = isLarge ? 0 : MAX_INLINE_AUDIT / 2;
  const toArchive = earlier.slice(0, earlier.length - kept);
  const audit = [...earlier.slice(toArchive.length), entry];
  const next = { record, audit, archived: [...archived, toArchive.length] };
  return { next, toArchive };
}
