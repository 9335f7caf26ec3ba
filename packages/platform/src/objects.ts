/**
 * Objects of the platform's object API.
 * @module
 */

import { MAX_KEY_LENGTH } from "@bitternfall/types";

/** An object with its version. A watch reports a deleted object with the value `null`. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Objects as of a revision of the store. */
export interface ObjectList {
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

/** Condition of a write: the object has this version, or does not exist. */
export type Precondition = { readonly version: number } | {
  readonly absent: true;
};

/**
 * Reduces an object to what its reader needs, so that no more of it is kept and passed on.
 * A value that no reader can use becomes an empty one.
 */
export type ObjectReducer = (object: StoredObject) => StoredObject;

/** Deepest nesting of a value; far deeper ones can't be encoded as JSON again. */
const MAX_DEPTH = 64;

/** Levels of a value by which it can be told whether it is nested too deeply. */
export const MAX_READ_LEVELS = MAX_DEPTH + 2;

/**
 * Leaves out objects whose key is too long. Those whose value is nested too deeply get an
 * empty value, which their readers reject like any other that is malformed.
 */
export function selectUsable(
  objects: readonly StoredObject[],
  reduce: ObjectReducer = (object) => object,
): readonly StoredObject[] {
  return objects.filter(({ key }) => key.length <= MAX_KEY_LENGTH)
    .map((object) =>
      reduce({ ...object, value: clearDeepValue(object.value) })
    );
}

/** Returns a value, or an empty one if it is nested too deeply. */
export function clearDeepValue(value: unknown): unknown {
  let level: unknown[] = [value];
  for (let depth = 0; depth <= MAX_DEPTH; depth++) {
    level = level.flatMap((item) =>
      typeof item === "object" && item !== null ? Object.values(item) : []
    );
    if (level.length === 0) return value;
  }
  return {};
}
