/**
 * Client of the platform's object API: conditional updates, lists and watches.
 * @module
 */
import { ConnectionError, HttpClient } from "@bitternfall/connection";
import { TaggedError } from "@bitternfall/errors";
import { monotonicNow } from "@bitternfall/types";
import type {
  ObjectDialect,
  ObjectReply,
  ObjectRequest,
} from "./object_dialect.ts";
import { OwnDialect } from "./own_dialect.ts";

/** Why a call to the object API failed. */
export type StoreFault =
  /** The precondition of a write did not hold; `version` is the stored one, 0 for none. */
  | { readonly tag: "conflict"; readonly version: number }
  /** The call was refused or never sent: a write did not take effect. */
  | { readonly tag: "unavailable" }
  /** No reply: a write may have taken effect. */
  | { readonly tag: "unknown_fate" }
  /** The change history no longer reaches back to the watched revision. */
  | { readonly tag: "history_gone" }
  /** The reply makes no sense. */
  | { readonly tag: "malformed" };

/** A call to the object API failed. */
export class StoreError extends TaggedError<StoreFault> {}

/** An object with its version. A deleted object in a watch has the value `null`. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Objects at a revision of the store. */
export interface ObjectList {
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

/** What a write requires: a version, or that the object does not exist. */
export type Precondition = { readonly version: number } | {
  readonly absent: true;
};

/** How long a failure is taken to mean that the store is still down. */
const DOWN_MEMORY_MS = 1000;
const FAILURES_THAT_MEAN_DOWN = 2;
const WATCH_GRACE_MS = 1000;

/** Options of an {@link ObjectStore}. */
export interface ObjectStoreOptions {
  /** Base URL. */
  readonly address: string;
  /** Put before every key of the product's own format. */
  readonly prefix?: string;
  /** Format of the API; the product's own by default. */
  readonly dialect?: ObjectDialect;
  readonly timeoutMs?: number;
  readonly now?: () => number;
}

/** Counters of the calls made. */
export interface StoreCalls {
  reads: number;
  writes: number;
  watches: number;
}

/** Options of a watch. */
export interface WatchOptions {
  /** Revision after which changes are wanted. */
  readonly since: number;
  readonly waitMs: number;
  /** Whether the answer may be seconds old, where the API offers that at less cost. */
  readonly allowStale?: boolean;
  readonly signal?: AbortSignal;
}

/**
 * Operations on keyed objects that the rest of the product builds on; other object
 * APIs are adapted to it. All throw {@link StoreError}.
 */
export interface ObjectApi {
  readonly calls: StoreCalls;
  /** True while the last calls failed and did so a moment ago. */
  readonly isDown: boolean;
  /** Reads one object; undefined when there is none. */
  get(key: string): Promise<StoredObject | undefined>;
  /** Lists all objects below `prefix`. */
  list(prefix: string): Promise<ObjectList>;
  /** Writes one object and returns its new version. */
  put(
    key: string,
    options: { value: unknown; when: Precondition; timeoutMs?: number },
  ): Promise<number>;
  /** Deletes one object at the given version. */
  delete(key: string, version: number): Promise<void>;
  /** Waits up to `waitMs` for changes after revision `since`. */
  watch(prefix: string, options: WatchOptions): Promise<ObjectList>;
  close(): Promise<void>;
}

/** The object API below one prefix. */
export class ObjectStore implements ObjectApi {
  readonly calls: StoreCalls = { reads: 0, writes: 0, watches: 0 };
  readonly #connection: HttpClient;
  readonly #dialect: ObjectDialect;
  readonly #now: () => number;
  #failedAt = -Infinity;
  #failures = 0;

  constructor(options: ObjectStoreOptions) {
    const { address, prefix = "", timeoutMs = 800, now = monotonicNow } =
      options;
    this.#connection = new HttpClient(address, { timeoutMs });
    this.#dialect = options.dialect ?? new OwnDialect({ prefix });
    this.#now = now;
  }

  /** True while the last calls failed and did so a moment ago. */
  get isDown(): boolean {
    return this.#failures >= FAILURES_THAT_MEAN_DOWN &&
      this.#now() - this.#failedAt < DOWN_MEMORY_MS;
  }

  /** Reads one object; undefined when there is none. */
  async get(key: string): Promise<StoredObject | undefined> {
    this.calls.reads++;
    const reply = await this.#call(this.#dialect.get(key));
    if (reply.status === 404) return undefined;
    return this.#decode(reply, this.#dialect.readObject(reply));
  }

  /** Lists all objects below `prefix`. */
  async list(prefix: string): Promise<ObjectList> {
    const objects: StoredObject[] = [];
    let revision: number | undefined;
    let after: string | undefined;
    do {
      this.calls.reads++;
      const reply = await this.#call(this.#dialect.list(prefix, after));
      const read = this.#dialect.readPage(prefix, reply);
      const page = this.#decode(reply, read);
      objects.push(...page.objects);
      // A watch from the first page's revision misses nothing that later pages hold.
      revision ??= page.revision;
      after = page.next;
    } while (after !== undefined);
    return { revision, objects };
  }

  /** Writes one object and returns its new version. */
  async put(
    key: string,
    options: { value: unknown; when: Precondition; timeoutMs?: number },
  ): Promise<number> {
    const { value, when, timeoutMs } = options;
    const req = this.#dialect.put(key, value, when);
    return await this.#write(req, timeoutMs);
  }

  /** Deletes one object at the given version. */
  async delete(key: string, version: number): Promise<void> {
    const req = this.#dialect.delete(key, version);
    this.calls.writes++;
    const reply = await this.#call(req);
    this.#throwConflict(reply);
    if (reply.status !== 200 && reply.status !== 404) {
      this.#decode(reply, undefined);
    }
  }

  /**
   * Waits up to `waitMs` for changes after revision `since` and returns them. A watch
   * that stays silent past that fails as `unavailable`.
   */
  async watch(prefix: string, options: WatchOptions): Promise<ObjectList> {
    this.calls.watches++;
    const { since, waitMs, allowStale = false, signal } = options;
    const reply = await this.#call(
      this.#dialect.watch(prefix, { since, waitMs, allowStale }),
      { timeoutMs: waitMs + WATCH_GRACE_MS, signal },
    );
    if (reply.status === 410) {
      throw new StoreError(
        { tag: "history_gone" },
        "the watched revision is too old",
      );
    }
    return this.#decode(reply, this.#dialect.readChanges(prefix, reply));
  }

  async close(): Promise<void> {
    await this.#connection.close();
  }

  async #write(req: ObjectRequest, timeoutMs?: number): Promise<number> {
    this.calls.writes++;
    const reply = await this.#call(req, { timeoutMs });
    this.#throwConflict(reply);
    return this.#decode(reply, this.#dialect.readVersion(reply));
  }

  #throwConflict(reply: ObjectReply): void {
    if (reply.status !== this.#dialect.conflictStatus) return;
    throw new StoreError(
      { tag: "conflict", version: this.#dialect.readVersion(reply) ?? 0 },
      "precondition failed",
    );
  }

  async #call(
    req: ObjectRequest,
    options: {
      timeoutMs?: number | undefined;
      signal?: AbortSignal | undefined;
    } = {},
  ): Promise<ObjectReply> {
    const { timeoutMs, signal } = options;
    const rest = { ...req, signal };
    try {
      const reply = await this.#connection.callJson(
        timeoutMs === undefined ? rest : { ...rest, timeoutMs },
      );
      if (reply.status === 429 || reply.status >= 500) {
        throw new StoreError(
          { tag: "unavailable" },
          `object API answered ${reply.status}`,
        );
      }
      this.#failures = 0;
      return reply;
    } catch (err) {
      this.#noteFailure(err);
      throw toStoreError(err);
    }
  }

  #noteFailure(err: unknown): void {
    // A watch is aborted at shutdown, and may be silent while other calls work.
    if (err instanceof ConnectionError && err.detail.tag === "aborted") return;
    this.#failedAt = this.#now();
    const refused = err instanceof StoreError &&
      err.detail.tag === "unavailable";
    this.#failures += refused ? FAILURES_THAT_MEAN_DOWN : 1;
  }

  #decode<T>(reply: ObjectReply, read: T | undefined): T {
    const isOk = reply.status === 200 || reply.status === 201;
    if (isOk && read !== undefined) return read;
    throw new StoreError(
      { tag: "malformed" },
      `object API answered ${reply.status} with an unexpected body`,
    );
  }
}

function toStoreError(err: unknown): StoreError {
  if (err instanceof StoreError) return err;
  const unsent = err instanceof ConnectionError &&
    err.detail.tag === "not_sent";
  const tag = unsent ? "unavailable" : "unknown_fate";
  return new StoreError({ tag }, `object API: ${(err as Error).message}`, {
    cause: err,
  });
}
