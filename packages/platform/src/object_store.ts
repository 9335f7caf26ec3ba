/**
 * Client of the platform's object API: conditional updates, lists and watches.
 * @module
 */
import { ConnectionError, HttpConnection } from "@bitternfall/connection";
import { TaggedError } from "@bitternfall/errors";
import { monotonicNow } from "@bitternfall/types";
import * as zod from "zod";

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

const objectSchema = zod.object({
  key: zod.string(),
  version: zod.int(),
  value: zod.unknown(),
});
const listSchema = zod.object({
  revision: zod.int(),
  objects: zod.array(objectSchema),
});
const watchSchema = zod.object({
  revision: zod.int(),
  events: zod.array(objectSchema),
});
const writeSchema = zod.object({ version: zod.int() });

/** How long a failure is taken to mean that the store is still down. */
const DOWN_MEMORY_MS = 1000;
const FAILURES_THAT_MEAN_DOWN = 2;
const WATCH_GRACE_MS = 1000;

/** Options of an {@link ObjectStore}. */
export interface ObjectStoreOptions {
  /** Base URL. */
  readonly address: string;
  /** Put before every key. */
  readonly prefix?: string;
  readonly timeoutMs?: number;
  readonly now?: () => number;
}

/** Counters of the calls made. */
export interface StoreCalls {
  reads: number;
  writes: number;
  watches: number;
}

/** The object API below one prefix. */
export class ObjectStore {
  readonly calls: StoreCalls = { reads: 0, writes: 0, watches: 0 };
  readonly #connection: HttpConnection;
  readonly #prefix: string;
  readonly #now: () => number;
  #failedAt = -Infinity;
  #failures = 0;

  constructor(options: ObjectStoreOptions) {
    const { address, prefix = "", timeoutMs = 800, now = monotonicNow } =
      options;
    this.#connection = new HttpConnection(address, { timeoutMs });
    this.#prefix = prefix;
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
    const { status, json } = await this.#call({
      path: `/objects/${encodeURIComponent(this.#prefix + key)}`,
    });
    if (status === 404) return undefined;
    return this.#strip(this.#decode(objectSchema, { status, json }));
  }

  /** Lists all objects below `prefix`. */
  async list(prefix: string): Promise<ObjectList> {
    this.calls.reads++;
    const query = new URLSearchParams({ prefix: this.#prefix + prefix });
    const { revision, objects } = this.#decode(
      listSchema,
      await this.#call({ path: `/objects?${query}` }),
    );
    return { revision, objects: objects.map((object) => this.#strip(object)) };
  }

  /** Writes one object and returns its new version. */
  async put(
    key: string,
    options: { value: unknown; when: Precondition; timeoutMs?: number },
  ): Promise<number> {
    this.calls.writes++;
    const { value, when, timeoutMs } = options;
    return await this.#write({
      method: "PUT",
      key,
      json: value,
      when,
      timeoutMs,
    });
  }

  /** Deletes one object at the given version. */
  async delete(key: string, version: number): Promise<void> {
    this.calls.writes++;
    await this.#write({
      method: "DELETE",
      key,
      json: undefined,
      when: { version },
      timeoutMs: undefined,
    });
  }

  /**
   * Waits up to `waitMs` for changes after revision `since` and returns them. A watch
   * that stays silent past that fails as `unavailable`.
   */
  async watch(
    prefix: string,
    options: { since: number; waitMs: number; signal?: AbortSignal },
  ): Promise<ObjectList> {
    this.calls.watches++;
    const { since, waitMs, signal } = options;
    const query = new URLSearchParams({
      prefix: this.#prefix + prefix,
      since: String(since),
      waitMs: String(waitMs),
    });
    const reply = await this.#call({
      path: `/watch?${query}`,
      timeoutMs: waitMs + WATCH_GRACE_MS,
      signal,
    });
    if (reply.status === 410) {
      throw new StoreError(
        { tag: "history_gone" },
        "the watched revision is too old",
      );
    }
    const { revision, events } = this.#decode(watchSchema, reply);
    return { revision, objects: events.map((object) => this.#strip(object)) };
  }

  async close(): Promise<void> {
    await this.#connection.close();
  }

  async #write(
    options: {
      method: "PUT" | "DELETE";
      key: string;
      json: unknown;
      when: Precondition;
      timeoutMs: number | undefined;
    },
  ): Promise<number> {
    const { method, key, json, when, timeoutMs } = options;
    const headers: { [name: string]: string } = "absent" in when
      ? { "if-none-match": "*" }
      : { "if-match": String(when.version) };
    const path = `/objects/${encodeURIComponent(this.#prefix + key)}`;
    const reply = await this.#call({ method, path, headers, json, timeoutMs });
    if (reply.status !== 412) return this.#decode(writeSchema, reply).version;
    const version = (reply.json as { version?: unknown } | undefined)?.version;
    throw new StoreError(
      { tag: "conflict", version: Number(version ?? 0) },
      "precondition failed",
    );
  }

  async #call(
    options: {
      method?: "GET" | "PUT" | "DELETE";
      path: string;
      headers?: { [name: string]: string };
      json?: unknown;
      timeoutMs?: number | undefined;
      signal?: AbortSignal | undefined;
    },
  ): Promise<{ status: number; json: unknown }> {
    const { timeoutMs, ...rest } = options;
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

  #decode<T>(
    schema: zod.ZodType<T>,
    reply: { status: number; json: unknown },
  ): T {
    const parsed = schema.safeParse(reply.json);
    if (reply.status === 200 && parsed.success) return parsed.data;
    throw new StoreError(
      { tag: "malformed" },
      `object API answered ${reply.status} with an unexpected body`,
    );
  }

  #strip(object: StoredObject): StoredObject {
    return { ...object, key: object.key.slice(this.#prefix.length) };
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
