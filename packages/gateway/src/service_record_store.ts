/**
 * Keeps what all VMs together know of a service in the object API, so that it outlives them.
 * There is one object for each service and kind of record; the VM that dispatches the
 * service writes it.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import {
  type ObjectApi,
  type StoredObject,
  StoreError,
} from "@bitternfall/platform";
import { sleep } from "@bitternfall/types";

/** Key prefix of all kinds of records. */
export const SERVICE_RECORD_PREFIX = "bitternfall-services/";

/** One kind of record: what this VM knows, and how it is merged with what is stored. */
export interface ServiceRecordKind {
  /** Begins the names of the objects; without a dash. */
  readonly name: string;
  /** Names of the services of which this VM knows something. */
  listServices(): Iterable<string>;
  /** The value to store. */
  export(service: string): unknown;
  /** Whether a stored value, undefined if there is none, lacks what this VM knows. */
  isMissingFrom(service: string, stored: unknown): boolean;
  /** Returns the fields of a stored value that are read; undefined if it is malformed. */
  reduce(stored: unknown): unknown;
  /** Adds a stored value; false if it is malformed. */
  merge(service: string, stored: unknown): boolean;
  /** The object was removed. */
  forget(service: string): void;
}

/** Options of a {@link ServiceRecordStore}. */
export interface ServiceRecordStoreOptions {
  readonly api: ObjectApi;
  readonly kinds: readonly ServiceRecordKind[];
  readonly log: EventLog;
  /** Whether this VM writes the records of a service. */
  readonly isOwner: (service: string) => boolean;
  readonly signal: AbortSignal;
}

/** Collects changes that come together into one write. */
const WRITE_DELAY_MS = 100;
const WRITE_RETRY_MS = 500;

/** Reads the stored records and writes what is missing there. */
export class ServiceRecordStore {
  readonly #options: ServiceRecordStoreOptions;
  /** The newest object that was read or written, by its key. */
  readonly #stored = new Map<string, { version: number; value: unknown }>();
  readonly #writing = new Set<string>();

  constructor(options: ServiceRecordStoreOptions) {
    this.#options = options;
  }

  /** Reduces a record's object to the fields that are read. */
  reduce(object: StoredObject): StoredObject {
    if (object.value === null) return object;
    const { kind } = this.#parseKey(object.key);
    return { ...object, value: kind?.reduce(object.value) ?? {} };
  }

  onList(objects: readonly StoredObject[]): void {
    this.#stored.clear();
    for (const object of objects) this.onObject(object);
    this.writeMissing();
  }

  onObject({ key, version, value }: StoredObject): void {
    const { kind, service } = this.#parseKey(key);
    if (value === null) {
      this.#stored.delete(key);
      return kind?.forget(service);
    }
    this.#stored.set(key, { version, value });
    if (kind?.merge(service, value) === true) return;
    this.#options.log.emit("objectIgnored", {
      key,
      reason: "malformed",
      version,
    });
  }

  /** Writes the records of the services that this VM owns, if the objects lack something. */
  writeMissing(): void {
    for (const kind of this.#options.kinds) {
      for (const service of kind.listServices()) {
        if (this.#isMissing(kind, service)) void this.#write(kind, service);
      }
    }
  }

  /** Returns the kind of a record, undefined if it is unknown, and its service. */
  #parseKey(key: string) {
    const name = key.slice(SERVICE_RECORD_PREFIX.length);
    const dash = name.indexOf("-");
    const kind = this.#options.kinds.find((candidate) =>
      candidate.name === name.slice(0, dash)
    );
    return { kind, service: name.slice(dash + 1) };
  }

  #isMissing(kind: ServiceRecordKind, service: string): boolean {
    const stored = this.#stored.get(getKey(kind, service))?.value;
    return this.#options.isOwner(service) &&
      kind.isMissingFrom(service, stored);
  }

  async #write(kind: ServiceRecordKind, service: string): Promise<void> {
    const { signal, log } = this.#options;
    const key = getKey(kind, service);
    if (this.#writing.has(key)) return;
    this.#writing.add(key);
    try {
      await sleep(WRITE_DELAY_MS, signal);
      while (!signal.aborted && this.#isMissing(kind, service)) {
        try {
          await this.#put(key, kind.export(service));
        } catch (err) {
          if (!(err instanceof StoreError)) throw err;
          log.emit("recordWriteFailed", { key, reason: getMessage(err) });
          await sleep(WRITE_RETRY_MS * (0.5 + Math.random()), signal);
          await this.#read(key);
        }
      }
    } finally {
      this.#writing.delete(key);
    }
  }

  async #put(key: string, value: unknown): Promise<void> {
    const known = this.#stored.get(key);
    const version = await this.#options.api.put(key, {
      value,
      when: known === undefined ? { absent: true } : { version: known.version },
    });
    this.#stored.set(key, { version, value });
  }

  /** Reads what another VM may have written, or this one in a write without a reply. */
  async #read(key: string): Promise<void> {
    try {
      const object = await this.#options.api.get(key);
      if (object === undefined) this.#stored.delete(key);
      else this.onObject({ ...object, key });
    } catch (err) {
      // The next attempt to write reports the failure.
      if (!(err instanceof StoreError)) throw err;
    }
  }
}

function getKey({ name }: ServiceRecordKind, service: string): string {
  return `${SERVICE_RECORD_PREFIX}${name}-${service}`;
}
