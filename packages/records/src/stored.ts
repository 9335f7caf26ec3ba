/**
 * A record as it is stored in the object API: the record and its audit trail share one
 * object, so that a change and its audit entry are written atomically.
 * @module
 */
import * as zod from "zod";
import type { OperatorRecord } from "./schema.ts";

/** Audit entries stored with the record; older ones move to archive objects. */
export const MAX_INLINE_AUDIT_ENTRIES = 40;

/**
 * JSON characters of the audit entries stored with a record above which all of them move
 * to an archive object. The record, these entries and the newest entry together have to
 * fit into the one megabyte that the object API allows for a value.
 */
const MAX_INLINE_AUDIT_CHARS = 200_000;

/** One change of a record. */
export interface AuditEntry {
  /** Chosen by the operator's tool; shows whether a change without a reply was applied. */
  readonly changeId: string;
  readonly who: string;
  /** Wall-clock time, ISO 8601. */
  readonly when: string;
  readonly before: OperatorRecord | null;
  readonly after: OperatorRecord | null;
}

/** Value of an object under `records/`. A deleted record is stored as `record: null`. */
export interface StoredRecord {
  readonly record: OperatorRecord | null;
  readonly audit: readonly AuditEntry[];
  /** Number of entries in each archive object, oldest first. */
  readonly archived: readonly number[];
}

const auditEntrySchema = zod.object({
  changeId: zod.string(),
  who: zod.string(),
  when: zod.string(),
  before: zod.unknown(),
  after: zod.unknown(),
});
const storedRecordSchema = zod.object({
  record: zod.unknown(),
  audit: zod.array(auditEntrySchema),
  archived: zod.array(zod.int()),
});

/** Decodes a stored value without validating the record in it; undefined when malformed. */
export function decodeStored(value: unknown): StoredRecord | undefined {
  const parsed = storedRecordSchema.safeParse(value);
  return parsed.success ? parsed.data as StoredRecord : undefined;
}

/** What one change does to a stored record. */
export interface ChangePlan {
  readonly next: StoredRecord;
  /** Entries to write to a new archive object before `next` is written, oldest first. */
  readonly entriesToArchive: readonly AuditEntry[];
}

/** Plans the write of one change to a stored record, and which audit entries to archive. */
export function planChange(
  current: StoredRecord | undefined,
  entry: AuditEntry,
): ChangePlan {
  const inlineEntries = current?.audit ?? [];
  const archived = current?.archived ?? [];
  const record = entry.after;
  const hasTooManyEntries = inlineEntries.length >= MAX_INLINE_AUDIT_ENTRIES;
  const isTooLarge =
    JSON.stringify(inlineEntries).length > MAX_INLINE_AUDIT_CHARS;
  if (!hasTooManyEntries && !isTooLarge) {
    const next = { record, audit: [...inlineEntries, entry], archived };
    return { next, entriesToArchive: [] };
  }
  const keptCount = isTooLarge ? 0 : MAX_INLINE_AUDIT_ENTRIES / 2;
  const entriesToArchive = inlineEntries.slice(
    0,
    inlineEntries.length - keptCount,
  );
  const audit = [...inlineEntries.slice(entriesToArchive.length), entry];
  const next = {
    record,
    audit,
    archived: [...archived, entriesToArchive.length],
  };
  return { next, entriesToArchive };
}
