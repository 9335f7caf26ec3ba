/**
 * Caches the newest version of each object, whether it came from a list, a watch or a peer,
 * and keeps recent removals as tombstones.
 * @module
 */
import type { ObjectList, StoredObject } from "@bitternfall/platform";

/** Most tombstones kept; a release of the largest services removes fewer objects. */
const MAX_TOMBSTONES = 2000;

/** Newest known version of each object, by key. */
export class ObjectCache {
  readonly #objects = new Map<string, StoredObject>();
  #tombstones: StoredObject[] = [];
  #newestVersion = 0;
  /** Tombstones up to this version may be missing. */
  #compactedVersion = 0;

  /** Newest version among the objects that were added. */
  get newestVersion(): number {
    return this.#newestVersion;
  }

  /** Stores an object; false if the same or a newer version is known. */
  add(object: StoredObject): boolean {
    const { key, version, value } = object;
    const known = this.#objects.get(key);
    // An object that could not be parsed has version 0, so it cannot be compared.
    if (version > 0 && known !== undefined && !isNewer(object, known)) {
      return false;
    }
    this.#objects.set(key, object);
    this.#newestVersion = Math.max(this.#newestVersion, version);
    if (value === null) this.#addTombstone(object);
    return true;
  }

  /** Replaces the content by a list, which does not contain removals up to its revision. */
  replace({ objects, revision }: ObjectList): void {
    this.#objects.clear();
    this.#tombstones = [];
    this.#compactedVersion = revision;
    for (const object of objects) this.add(object);
  }

  /** Changes after a version, oldest first; undefined if removals may be missing. */
  listSince(version: number): StoredObject[] | undefined {
    if (version < this.#compactedVersion) return undefined;
    return [...this.#objects.values()].filter((object) =>
      object.version > version
    ).sort((a, b) => a.version - b.version);
  }

  #addTombstone(object: StoredObject): void {
    this.#tombstones.push(object);
    if (this.#tombstones.length <= MAX_TOMBSTONES) return;
    const oldest = this.#tombstones.shift()!;
    this.#compactedVersion = Math.max(this.#compactedVersion, oldest.version);
    if (this.#objects.get(oldest.key) === oldest) {
      this.#objects.delete(oldest.key);
    }
  }
}

function isNewer(object: StoredObject, known: StoredObject): boolean {
  if (object.version !== known.version) return object.version > known.version;
  // A removal may carry the same version as the last change before it.
  return object.value === null && known.value !== null;
}
