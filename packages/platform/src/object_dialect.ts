/**
 * Formats of object APIs: which request stands for an operation, and what its reply
 * says. The client of {@link ObjectStore} is the same for all of them.
 * @module
 */
import type { ObjectList, Precondition, StoredObject } from "./object_store.ts";

/** A request to an object API. */
export interface ObjectRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path and query. */
  readonly path: string;
  readonly headers?: { readonly [name: string]: string };
  readonly json?: unknown;
}

/** A reply of an object API; `json` is undefined where the body was none. */
export interface ObjectReply {
  readonly status: number;
  readonly json: unknown;
}

/** One page of a list. */
export interface ObjectPage extends ObjectList {
  /** Where the next page goes on, if there is one. */
  readonly next?: string | undefined;
}

/** One format. The readers return undefined where a reply makes no sense. */
export interface ObjectDialect {
  /** Status by which a precondition that does not hold is told. */
  readonly conflictStatus: number;
  get(key: string): ObjectRequest;
  list(prefix: string, after?: string): ObjectRequest;
  watch(
    prefix: string,
    options: { since: number; waitMs: number; allowStale: boolean },
  ): ObjectRequest;
  put(key: string, value: unknown, when: Precondition): ObjectRequest;
  delete(key: string, version: number): ObjectRequest;
  readObject(reply: ObjectReply): StoredObject | undefined;
  readPage(prefix: string, reply: ObjectReply): ObjectPage | undefined;
  readChanges(prefix: string, reply: ObjectReply): ObjectList | undefined;
  /** Version that a write led to. */
  readVersion(reply: ObjectReply): number | undefined;
}
