/**
 * The newest version of each object that was read, from whichever source it came first,
 * and of those that were removed lately.
 * @module
 */
import type { ObjectList, StoredObject } from "@bitternfall/platform";

/** Removed objects that are remembered; a release of the largest services removes fewer. */
const MAX_REMOVED = 2000;

/** Objects by key. */
export class KnownObjects {
  readonly #objects = new Map<string, StoredObject>();
  #removed: StoredObject[] = [];
  #newest = 0;
  /** Removals up to this version are no longer known. */
  #forgotten = 0;

  /** Newest version that was read. */
  get newest(): number {
    return this.#newest;
  }

  /** Takes an object over; false where a version as new is known. */
  add(object: StoredObject): boolean {
    const { key, version, value } = object;
    const known = this.#objects.get(key);
    // What could not be read has no version: it tells nothing of what is newer.
    if (version > 0 && known !== undefined && !isNewer(object, known)) {
      return false;
    }
    this.#objects.set(key, object);
    this.#newest = Math.max(this.#newest, version);
    if (value === null) this.#remember(object);
    return true;
  }

  /** Takes a whole list over; what was removed up to its revision does not stand in it. */
  replace({ objects, revision }: ObjectList): void {
    this.#objects.clear();
    this.#removed = [];
    this.#forgotten = revision;
    for (const object of objects) this.add(object);
  }

  /** What changed after a version, oldest first; undefined where removals may be missing. */
  listSince(version: number): StoredObject[] | undefined {
    if (version < this.#forgotten) return undefined;
    return [...this.#objects.values()].filter((object) =>
      object.version > version
    ).sort((a, b) => a.version - b.version);
  }

  #remember(object: StoredObject): void {
    this.#removed.push(object);
    if (this.#removed.length <= MAX_REMOVED) return;
    const oldest = this.#removed.shift()!;
    this.#forgotten = Math.max(this.#forgotten, oldest.version);
    if (this.#objects.get(oldest.key) === oldest) {
      this.#objects.delete(oldest.key);
    }
  }
}

function isNewer(object: StoredObject, known: StoredObject): boolean {
  if (object.version !== known.version) return object.version > known.version;
  // A removal may bear the version of the last change before it.
  return object.value === null && known.value !== null;
}
