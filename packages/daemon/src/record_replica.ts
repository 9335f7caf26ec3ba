/**
 * This VM's replica of the records, fed from the object API and from peers. An object is
 * replaced only by a higher version.
 * @module
 */
import { type EventLog } from "@bitternfall/events";
import type { StoredObject } from "@bitternfall/platform";
import {
  decodeStored,
  type OperatorRecord,
  parseRecord,
  Snapshot,
  type StoredRecord,
} from "@bitternfall/records";

/** An object in peer messages: key, version, value. */
export type WireObject = [string, number, unknown];

interface ReplicatedObject extends StoredObject {
  /** The last well-formed record up to this version; `null` when deleted. */
  readonly record: OperatorRecord | null;
}

/** Options of a {@link RecordReplica}. */
export interface RecordReplicaOptions {
  readonly log: EventLog;
  /** Called whenever a new snapshot takes effect. */
  readonly onChange: (snapshot: Snapshot) => void;
}

/** Prefix of records in the object API. */
export const RECORDS_PREFIX = "records/";

/** Holds the current records of this VM and derives the snapshot from them. */
export class RecordReplica {
  readonly #options: RecordReplicaOptions;
  readonly #objects = new Map<string, ReplicatedObject>();
  #snapshot = new Snapshot();
  #revision = 0;
  #hasLoaded = false;

  constructor(options: RecordReplicaOptions) {
    this.#options = options;
  }

  get snapshot(): Snapshot {
    return this.#snapshot;
  }

  /** The object version up to which this VM has every record. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether the records have been read at least once. */
  get isLoaded(): boolean {
    return this.#hasLoaded;
  }

  /** Applies objects that complete the replica up to `revision`. */
  applyComplete(objects: readonly StoredObject[], revision: number): void {
    const isFirstLoad = !this.#hasLoaded;
    this.#hasLoaded = true;
    this.#revision = Math.max(this.#revision, revision);
    const changed = this.#apply(objects);
    if (changed.length > 0 || isFirstLoad) this.#publish(changed);
  }

  /** Applies objects without advancing `revision`: records between them may be missing. */
  applyPartial(objects: readonly StoredObject[]): void {
    const changed = this.#apply(objects);
    if (changed.length > 0) this.#publish(changed);
  }

  /** Lists the objects with a version above `since`, encoded for peer messages. */
  listAfter(since: number): WireObject[] {
    const found: WireObject[] = [];
    for (const { key, version, value } of this.#objects.values()) {
      if (version > since) found.push([key, version, value]);
    }
    return found;
  }

  /** Finds a stored record and its object version in the replica. */
  find(
    key: string,
  ): { version: number; stored: StoredRecord | undefined } | undefined {
    const object = this.#objects.get(key);
    return object === undefined
      ? undefined
      : { version: object.version, stored: decodeStored(object.value) };
  }

  /** Lists the current records, without deleted ones, with their versions. */
  list(): { version: number; record: OperatorRecord }[] {
    const found = [];
    for (const { version, record } of this.#objects.values()) {
      if (record !== null) found.push({ version, record });
    }
    return found;
  }

  #apply(objects: readonly StoredObject[]): string[] {
    const changed: string[] = [];
    for (const object of objects) {
      const current = this.#objects.get(object.key);
      if (current !== undefined && current.version >= object.version) {
        continue;
      }
      this.#objects.set(object.key, {
        ...object,
        record: this.#readRecord(object, current),
      });
      changed.push(object.key);
    }
    return changed;
  }

  #readRecord(
    object: StoredObject,
    current: ReplicatedObject | undefined,
  ): OperatorRecord | null {
    const stored = decodeStored(object.value);
    if (stored?.record === null) return null;
    try {
      return parseRecord(stored?.record);
    } catch (err) {
      // The previous record stays in effect: a malformed one must not take a service down.
      this.#options.log.emit("recordIgnored", {
        key: object.key,
        version: object.version,
        reason: String(err),
      });
      return current?.record ?? null;
    }
  }

  #publish(changed: readonly string[]): void {
    this.#snapshot = new Snapshot(this.list().map(({ record }) => record));
    this.#options.log.emit("recordsApplied", {
      revision: this.#revision,
      keys: changed,
    });
    this.#options.onChange(this.#snapshot);
  }
}

/** Returns the highest version among objects, 0 if there are none. */
export function getHighestVersion(objects: readonly StoredObject[]): number {
  let highest = 0;
  for (const { version } of objects) highest = Math.max(highest, version);
  return highest;
}

/** Decodes the objects of a peer message. */
export function decodeObjects(objects: readonly WireObject[]): StoredObject[] {
  return objects.map(([key, version, value]) => ({ key, version, value }));
}
