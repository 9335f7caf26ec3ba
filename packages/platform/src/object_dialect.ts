/**
 * Formats of object APIs: how an operation is encoded as a request and how its reply is
 * decoded. {@link ObjectStore} works with any of them.
 * @module
 */
import type { ObjectList, Precondition, StoredObject } from "./objects.ts";

/** A request to an object API. */
export interface ObjectRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path and query. */
  readonly path: string;
  readonly headers?: { readonly [name: string]: string };
  readonly json?: unknown;
}

/** Nesting of an object's value in each kind of reply, 1 for the root. */
export interface ValueDepths {
  readonly object: number;
  readonly page: number;
  readonly changes: number;
}

/** A reply of an object API; `json` is undefined when the body was not JSON. */
export interface ObjectReply {
  readonly status: number;
  readonly json: unknown;
}

/** One page of a list. */
export interface ObjectPage extends ObjectList {
  /** Cursor of the next page; undefined on the last page. */
  readonly next?: string | undefined;
}

/** One format. The `read` methods return undefined for a malformed reply. */
export interface ObjectDialect {
  /** HTTP status of a write whose precondition does not hold. */
  readonly conflictStatus: number;
  readonly valueDepths: ValueDepths;
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
  /** Version that a write produced or, in a conflict, the stored version. */
  readVersion(reply: ObjectReply): number | undefined;
}
