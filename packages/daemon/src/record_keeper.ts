/**
 * Records in force on this VM: read from the object API or from peers, applied by
 * object version and never a lower one.
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

/** An object as it goes between VMs: key, version, value. */
export type WireObject = [string, number, unknown];

interface KeptObject extends StoredObject {
  /** The last well-formed record at or below this version; `null` when deleted. */
  readonly record: OperatorRecord | null;
}

/** Options of a {@link RecordKeeper}. */
export interface RecordKeeperOptions {
  readonly log: EventLog;
  /** A new snapshot is in force. */
  readonly onChange: (snapshot: Snapshot) => void;
}

/** Prefix of records in the object API. */
export const RECORDS_PREFIX = "records/";

/** Keeps the records in force. */
export class RecordKeeper {
  readonly #options: RecordKeeperOptions;
  readonly #objects = new Map<string, KeptObject>();
  #snapshot = new Snapshot();
  #revision = 0;
  #loaded = false;

  constructor(options: RecordKeeperOptions) {
    this.#options = options;
  }

  get snapshot(): Snapshot {
    return this.#snapshot;
  }

  /** Highest object version up to which this VM has every record. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether the records have been read at least once. */
  get isLoaded(): boolean {
    return this.#loaded;
  }

  /** Takes objects in, after which this VM has every record up to `revision`. */
  applyComplete(objects: readonly StoredObject[], revision: number): void {
    const first = !this.#loaded;
    this.#loaded = true;
    this.#revision = Math.max(this.#revision, revision);
    const changed = this.#apply(objects);
    if (changed.length > 0 || first) this.#publish(changed);
  }

  /** Takes objects in without a claim to have every record up to their versions. */
  applySome(objects: readonly StoredObject[]): void {
    const changed = this.#apply(objects);
    if (changed.length > 0) this.#publish(changed);
  }

  /** Objects with a version above `since`, in the form that goes to peers. */
  listAfter(since: number): WireObject[] {
    const found: WireObject[] = [];
    for (const { key, version, value } of this.#objects.values()) {
      if (version > since) found.push([key, version, value]);
    }
    return found;
  }

  /** The stored record with its version, as this VM knows it. */
  find(
    key: string,
  ): { version: number; stored: StoredRecord | undefined } | undefined {
    const object = this.#objects.get(key);
    return object === undefined
      ? undefined
      : { version: object.version, stored: decodeStored(object.value) };
  }

  /** All records in force with their versions. */
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
      const known = this.#objects.get(object.key);
      if (known !== undefined && known.version >= object.version) continue;
      this.#objects.set(object.key, {
        ...object,
        record: this.#readRecord(object, known),
      });
      changed.push(object.key);
    }
    return changed;
  }

  #readRecord(
    object: StoredObject,
    known: KeptObject | undefined,
  ): OperatorRecord | null {
    const stored = decodeStored(object.value);
    if (stored?.record === null) return null;
    try {
      return parseRecord(stored?.record);
    } catch (err) {
      // The record that was in force stays so; a malformed one must not take a service down.
      this.#options.log.emit("recordIgnored", {
        key: object.key,
        version: object.version,
        reason: String(err),
      });
      return known?.record ?? null;
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

/** Highest version among objects. */
export function getHighestVersion(objects: readonly StoredObject[]): number {
  let highest = 0;
  for (const { version } of objects) highest = Math.max(highest, version);
  return highest;
}

/** Turns objects from a peer into stored objects. */
export function fromWire(objects: readonly WireObject[]): StoredObject[] {
  return objects.map(([key, version, value]) => ({ key, version, value }));
}
