/**
 * Client of the platform's object API: conditional writes, lists and watches.
 * @module
 */
import { ConnectionError, HttpClient } from "@bitternfall/connection";
import { TaggedError } from "@bitternfall/errors";
import { monotonicNow } from "@bitternfall/types";
import { parseBoundedJson } from "./bounded_json.ts";
import type {
  ObjectDialect,
  ObjectReply,
  ObjectRequest,
} from "./object_dialect.ts";
import {
  clearDeepValue,
  MAX_READ_LEVELS,
  type ObjectList,
  type ObjectReducer,
  type Precondition,
  selectUsable,
  type StoredObject,
} from "./objects.ts";
import { OwnDialect } from "./own_dialect.ts";

/** Why a call to the object API failed. */
export type StoreFault =
  /** The precondition of a write did not hold; `version` is the stored one, 0 for none. */
  | { readonly tag: "conflict"; readonly version: number }
  /** The call was refused or not sent: a write did not take effect. */
  | { readonly tag: "unavailable" }
  /** No reply was received: a write may have taken effect. */
  | { readonly tag: "unknown_fate" }
  /** The change history no longer reaches back to the watched revision. */
  | { readonly tag: "history_gone" }
  /** The reply had an unexpected status or body. */
  | { readonly tag: "malformed" };

/** A call to the object API failed. */
export class StoreError extends TaggedError<StoreFault> {}

/** How long after its last failure the store is taken to be down. */
const DOWN_PERIOD_MS = 1000;
/** Consecutive failures after which the store is taken to be down. */
const DOWN_FAILURE_COUNT = 2;
/** Time that a watch may take beyond its own wait before it times out. */
const WATCH_GRACE_MS = 1000;

/** Options of an {@link ObjectStore}. */
export interface ObjectStoreOptions {
  /** Base URL. */
  readonly address: string;
  /** Prepended to every key by the default {@link OwnDialect}. */
  readonly prefix?: string;
  /** Format of the API; {@link OwnDialect} by default. */
  readonly dialect?: ObjectDialect;
  readonly timeoutMs?: number;
  readonly now?: () => number;
}

/** Counters of calls to the object API. */
export interface StoreCalls {
  reads: number;
  writes: number;
  watches: number;
}

/** Options of a list. */
export interface ListOptions {
  /** Applied to each object as it is read; keeps them whole by default. */
  readonly reduce?: ObjectReducer | undefined;
}

/** Options of a watch. */
export interface WatchOptions extends ListOptions {
  /** Only changes after this revision are returned. */
  readonly since: number;
  readonly waitMs: number;
  /** Accepts a result that is seconds old, where the API offers one at lower cost. */
  readonly allowStale?: boolean;
  readonly signal?: AbortSignal;
}

/**
 * Operations on keyed objects that the other packages use; each object API is adapted
 * to this interface. All of them throw {@link StoreError}.
 */
export interface ObjectApi {
  readonly calls: StoreCalls;
  /** Whether recent calls failed, so that further calls are likely to fail too. */
  readonly isDown: boolean;
  /** Reads one object; undefined when there is none. */
  get(key: string): Promise<StoredObject | undefined>;
  /** Lists all objects below `prefix`. */
  list(prefix: string, options?: ListOptions): Promise<ObjectList>;
  /** Writes one object and returns its new version. */
  put(
    key: string,
    options: { value: unknown; when: Precondition; timeoutMs?: number },
  ): Promise<number>;
  /** Deletes one object if it still has the given version. */
  delete(key: string, version: number): Promise<void>;
  /** Waits up to `waitMs` for changes after revision `since`. */
  watch(prefix: string, options: WatchOptions): Promise<ObjectList>;
  close(): Promise<void>;
}

/** Object API client over HTTP. */
export class ObjectStore implements ObjectApi {
  readonly calls: StoreCalls = { reads: 0, writes: 0, watches: 0 };
  readonly #client: HttpClient;
  readonly #dialect: ObjectDialect;
  readonly #now: () => number;
  #failedAt = -Infinity;
  #failures = 0;

  constructor(options: ObjectStoreOptions) {
    const { address, prefix = "", timeoutMs = 800, now = monotonicNow } =
      options;
    this.#client = new HttpClient(address, { timeoutMs });
    this.#dialect = options.dialect ?? new OwnDialect({ prefix });
    this.#now = now;
  }

  /** Whether recent calls failed, so that further calls are likely to fail too. */
  get isDown(): boolean {
    return this.#failures >= DOWN_FAILURE_COUNT &&
      this.#now() - this.#failedAt < DOWN_PERIOD_MS;
  }

  /** Reads one object; undefined when there is none. */
  async get(key: string): Promise<StoredObject | undefined> {
    this.calls.reads++;
    const { object: valueDepth } = this.#dialect.valueDepths;
    const reply = await this.#call(this.#dialect.get(key), { valueDepth });
    if (reply.status === 404) return undefined;
    const object = this.#requireBody(reply, this.#dialect.readObject(reply));
    return { ...object, value: clearDeepValue(object.value) };
  }

  /** Lists all objects below `prefix`. */
  async list(
    prefix: string,
    { reduce }: ListOptions = {},
  ): Promise<ObjectList> {
    const { page: valueDepth } = this.#dialect.valueDepths;
    const objects: StoredObject[] = [];
    let revision: number | undefined;
    let after: string | undefined;
    do {
      this.calls.reads++;
      const req = this.#dialect.list(prefix, after);
      const reply = await this.#call(req, { valueDepth });
      const read = this.#dialect.readPage(prefix, reply);
      const page = this.#requireBody(reply, read);
      objects.push(...selectUsable(page.objects, reduce));
      // Later pages may be newer; a watch from the first page's revision repeats their
      // changes and misses none.
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

  /** Deletes one object if it still has the given version. */
  async delete(key: string, version: number): Promise<void> {
    const req = this.#dialect.delete(key, version);
    this.calls.writes++;
    const reply = await this.#call(req);
    this.#throwConflict(reply);
    if (reply.status !== 200 && reply.status !== 404) {
      this.#requireBody(reply, undefined);
    }
  }

  /**
   * Waits up to `waitMs` for changes after revision `since` and returns them. Fails as
   * `unknown_fate` when no reply has arrived {@link WATCH_GRACE_MS} after that.
   */
  async watch(prefix: string, options: WatchOptions): Promise<ObjectList> {
    this.calls.watches++;
    const { since, waitMs, allowStale = false, signal, reduce } = options;
    const { changes: valueDepth } = this.#dialect.valueDepths;
    const reply = await this.#call(
      this.#dialect.watch(prefix, { since, waitMs, allowStale }),
      { timeoutMs: waitMs + WATCH_GRACE_MS, signal, valueDepth },
    );
    if (reply.status === 410) {
      throw new StoreError(
        { tag: "history_gone" },
        "the watched revision is too old",
      );
    }
    const { revision, objects } = this.#requireBody(
      reply,
      this.#dialect.readChanges(prefix, reply),
    );
    return { revision, objects: selectUsable(objects, reduce) };
  }

  async close(): Promise<void> {
    await this.#client.close();
  }

  async #write(req: ObjectRequest, timeoutMs?: number): Promise<number> {
    this.calls.writes++;
    const reply = await this.#call(req, { timeoutMs });
    this.#throwConflict(reply);
    return this.#requireBody(reply, this.#dialect.readVersion(reply));
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
      valueDepth?: number;
    } = {},
  ): Promise<ObjectReply> {
    const { timeoutMs, signal, valueDepth = this.#dialect.valueDepths.object } =
      options;
    const { json, ...callOptions } = req;
    try {
      const reply = await this.#client.call({
        ...callOptions,
        ...(json === undefined ? {} : encodeJson(json, req.headers)),
        ...(timeoutMs === undefined ? {} : { timeoutMs }),
        signal,
      });
      if (reply.status === 429 || reply.status >= 500) {
        throw new StoreError(
          { tag: "unavailable" },
          `object API answered ${reply.status}`,
        );
      }
      this.#failures = 0;
      const bounds = { valueDepth, maxValueLevels: MAX_READ_LEVELS };
      return {
        status: reply.status,
        json: parseBoundedJson(reply.body, bounds),
      };
    } catch (err) {
      this.#recordFailure(err);
      throw toStoreError(err);
    }
  }

  #recordFailure(err: unknown): void {
    // An aborted call, such as a watch at shutdown, says nothing about the store.
    if (err instanceof ConnectionError && err.detail.tag === "aborted") return;
    this.#failedAt = this.#now();
    // No reply counts as a single failure: a watch may be silent while other calls work.
    const isRefused = err instanceof StoreError &&
      err.detail.tag === "unavailable";
    this.#failures += isRefused ? DOWN_FAILURE_COUNT : 1;
  }

  #requireBody<T>(reply: ObjectReply, read: T | undefined): T {
    const isOk = reply.status === 200 || reply.status === 201;
    if (isOk && read !== undefined) return read;
    throw new StoreError(
      { tag: "malformed" },
      `object API answered ${reply.status} with an unexpected body`,
    );
  }
}

function encodeJson(json: unknown, headers: ObjectRequest["headers"]) {
  return {
    headers: { ...headers, "content-type": "application/json" },
    body: JSON.stringify(json),
  };
}

function toStoreError(err: unknown): StoreError {
  if (err instanceof StoreError) return err;
  const isUnsent = err instanceof ConnectionError &&
    err.detail.tag === "not_sent";
  const tag = isUnsent ? "unavailable" : "unknown_fate";
  return new StoreError({ tag }, `object API: ${(err as Error).message}`, {
    cause: err,
  });
}
