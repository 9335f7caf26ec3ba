/**
 * Conditional changes of records. Each change is committed at most once, in one write with
 * its audit entry, even if responses of the object API are lost and writes are retried.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import { OperatorError, type RecordChange } from "@bitternfall/operator";
import {
  type ObjectStore,
  type Precondition,
  type StoredObject,
  StoreError,
} from "@bitternfall/platform";
import {
  type AuditEntry,
  type ChangePlan,
  decodeStored,
  getRecordKey,
  planChange,
  type StoredRecord,
} from "@bitternfall/records";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { RecordSync } from "./record_sync.ts";

/** Options of a {@link RecordWriter}. */
export interface RecordWriterOptions {
  readonly log: EventLog;
  readonly store: ObjectStore;
  readonly sync: RecordSync;
}

const CHANGE_TIMEOUT_MS = 4000;
const CHANGE_RETRY_DELAY_MS = 150;

/** Writes records to the object API and distributes them to the peers. */
export class RecordWriter {
  readonly #options: RecordWriterOptions;

  constructor(options: RecordWriterOptions) {
    this.#options = options;
  }

  /** Commits one change. Throws {@link OperatorError}. */
  async change(
    change: RecordChange,
  ): Promise<{ version: number; changeId: string }> {
    const { log, sync } = this.#options;
    const key = getRecordKey(change);
    const object = await this.#commitChange(key, change);
    sync.publishWritten(object);
    const { changeId, who } = change;
    log.emit("recordChanged", { key, version: object.version, changeId, who });
    return { version: object.version, changeId };
  }

  /** Commits a change at most once; retries until the deadline if the object API fails. */
  async #commitChange(
    key: string,
    change: RecordChange,
  ): Promise<StoredObject> {
    const { store } = this.#options;
    const deadline = monotonicNow() + CHANGE_TIMEOUT_MS;
    const when = new Date().toISOString();
    let mayHaveCommitted = false;
    while (monotonicNow() < deadline) {
      try {
        const object = await store.get(key);
        const stored = decodeStored(object?.value);
        if (
          object !== undefined && stored !== undefined &&
          await this.#hasCommitted(change, stored)
        ) return object;
        this.#checkVersion({ change, version: object?.version ?? 0, stored });
        const entry = {
          ...change,
          when,
          before: stored?.record ?? null,
          after: change.record,
        };
        const plan = planChange(stored, toAuditEntry(entry));
        await this.#archive(change, plan);
        const condition: Precondition = object === undefined
          ? { absent: true }
          : { version: object.version };
        const version = await store.put(key, {
          value: plan.next,
          when: condition,
        });
        return { key, version, value: plan.next };
      } catch (err) {
        if (err instanceof OperatorError) throw err;
        // On a conflict, the next read shows whether this change or another was committed.
        const tag = err instanceof StoreError ? err.detail.tag : "unknown_fate";
        if (tag === "unknown_fate") mayHaveCommitted = true;
        if (tag !== "conflict") await sleep(CHANGE_RETRY_DELAY_MS);
      }
    }
    const tag = mayHaveCommitted ? "unknown" : "unavailable";
    throw new OperatorError(
      { tag },
      "the object API does not answer; look at the history before trying again",
    );
  }

  /** Whether an earlier attempt committed the change although its response was lost. */
  async #hasCommitted(
    change: RecordChange,
    stored: StoredRecord,
  ): Promise<boolean> {
    const isThisChange = (entry: AuditEntry) =>
      entry.changeId === change.changeId;
    if (stored.audit.some(isThisChange)) return true;
    if (stored.archived.length === 0) return false;
    const key = getArchiveKey(change, stored.archived.length - 1);
    const archive = await this.#options.store.get(key);
    const entries = (archive?.value as { entries?: AuditEntry[] })?.entries;
    return entries?.some(isThisChange) ?? false;
  }

  #checkVersion(
    options: {
      change: RecordChange;
      version: number;
      stored: StoredRecord | undefined;
    },
  ): void {
    const { change, version, stored } = options;
    if (version === change.version) return;
    const current = stored?.record ?? null;
    throw new OperatorError(
      { tag: "conflict", version, current },
      `the record is at version ${version} by now`,
    );
  }

  async #archive(
    target: { kind: string; name: string },
    plan: ChangePlan,
  ): Promise<void> {
    if (plan.entriesToArchive.length === 0) return;
    const key = getArchiveKey(target, plan.next.archived.length - 1);
    try {
      await this.#options.store.put(key, {
        value: { entries: plan.entriesToArchive },
        when: { absent: true },
      });
    } catch (err) {
      // An earlier change archived the same entries and then failed to commit.
      if (!(err instanceof StoreError && err.detail.tag === "conflict")) {
        throw err;
      }
    }
  }
}

/** Returns the key of the object that holds archived audit entries of a record. */
export function getArchiveKey(
  target: { kind: string; name: string },
  index: number,
): string {
  return `audit/${target.kind}/${target.name}/${
    String(index).padStart(6, "0")
  }`;
}

function toAuditEntry(entry: AuditEntry): AuditEntry {
  const { changeId, who, when, before, after } = entry;
  return { changeId, who, when, before, after };
}
