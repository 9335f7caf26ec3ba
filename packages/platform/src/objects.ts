/**
 * Objects of the platform's object API.
 * @module
 */

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
