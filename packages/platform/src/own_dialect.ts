/**
 * Bitternfall's own format of the object API, which the platform stand-in implements.
 * @module
 */
import * as zod from "zod";
import type {
  ObjectDialect,
  ObjectPage,
  ObjectReply,
  ObjectRequest,
} from "./object_dialect.ts";
import type { ObjectList, Precondition, StoredObject } from "./objects.ts";

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

/** Own format, limited to the objects below one key prefix. */
export class OwnDialect implements ObjectDialect {
  readonly conflictStatus = 412;
  readonly valueDepths = { object: 2, page: 4, changes: 4 };
  readonly #prefix: string;

  constructor(options: { prefix: string }) {
    this.#prefix = options.prefix;
  }

  get(key: string): ObjectRequest {
    return { method: "GET", path: this.#getPath(key) };
  }

  list(prefix: string): ObjectRequest {
    const query = new URLSearchParams({ prefix: this.#prefix + prefix });
    return { method: "GET", path: `/objects?${query}` };
  }

  watch(
    prefix: string,
    options: { since: number; waitMs: number },
  ): ObjectRequest {
    const query = new URLSearchParams({
      prefix: this.#prefix + prefix,
      since: String(options.since),
      waitMs: String(options.waitMs),
    });
    return { method: "GET", path: `/watch?${query}` };
  }

  put(key: string, value: unknown, when: Precondition): ObjectRequest {
    const headers: { [name: string]: string } = "absent" in when
      ? { "if-none-match": "*" }
      : { "if-match": String(when.version) };
    return { method: "PUT", path: this.#getPath(key), headers, json: value };
  }

  delete(key: string, version: number): ObjectRequest {
    const headers = { "if-match": String(version) };
    return { method: "DELETE", path: this.#getPath(key), headers };
  }

  readObject({ json }: ObjectReply): StoredObject | undefined {
    const parsed = objectSchema.safeParse(json);
    return parsed.success ? this.#stripPrefix(parsed.data) : undefined;
  }

  readPage(_prefix: string, { json }: ObjectReply): ObjectPage | undefined {
    const parsed = listSchema.safeParse(json);
    if (!parsed.success) return undefined;
    const { revision, objects } = parsed.data;
    return {
      revision,
      objects: objects.map((object) => this.#stripPrefix(object)),
    };
  }

  readChanges(_prefix: string, { json }: ObjectReply): ObjectList | undefined {
    const parsed = watchSchema.safeParse(json);
    if (!parsed.success) return undefined;
    const { revision, events } = parsed.data;
    return {
      revision,
      objects: events.map((object) => this.#stripPrefix(object)),
    };
  }

  readVersion({ json }: ObjectReply): number | undefined {
    const parsed = writeSchema.safeParse(json);
    return parsed.success ? parsed.data.version : undefined;
  }

  #getPath(key: string): string {
    return `/objects/${encodeURIComponent(this.#prefix + key)}`;
  }

  #stripPrefix(object: StoredObject): StoredObject {
    return { ...object, key: object.key.slice(this.#prefix.length) };
  }
}
