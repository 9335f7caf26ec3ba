import { describe, expect, it } from "vitest";
import { ObjectCache } from "./object_cache.ts";

const object = (key: string, version: number, value: unknown = {}) => ({
  key,
  version,
  value,
});

describe("ObjectCache.add", () => {
  it("accepts each version once, and no older one after it", () => {
    const cache = new ObjectCache();
    expect(cache.add(object("a", 5))).toBe(true);
    expect(cache.add(object("a", 5))).toBe(false);
    expect(cache.add(object("a", 4))).toBe(false);
    expect(cache.add(object("a", 6))).toBe(true);
    expect(cache.newestVersion).toBe(6);
  });

  it("does not bring a removed object back by an older version", () => {
    const cache = new ObjectCache();
    cache.add(object("a", 5));
    // A removal may carry the version of the last change, or one of its own.
    expect(cache.add(object("a", 5, null))).toBe(true);
    expect(cache.add(object("a", 5))).toBe(false);
    expect(cache.add(object("a", 7))).toBe(true);
    expect(cache.add(object("a", 9, null))).toBe(true);
    expect(cache.add(object("a", 8))).toBe(false);
  });

  it("always accepts an object that could not be parsed", () => {
    const cache = new ObjectCache();
    cache.add(object("a", 5));
    expect(cache.add(object("a", 0))).toBe(true);
    expect(cache.newestVersion).toBe(5);
  });
});

describe("ObjectCache.listSince", () => {
  it("lists changes and removals after a version, oldest first", () => {
    const cache = new ObjectCache();
    cache.replace({ revision: 2, objects: [object("a", 1), object("b", 2)] });
    cache.add(object("b", 4, null));
    cache.add(object("c", 3));
    expect(cache.listSince(2)?.map(({ key }) => key)).toEqual(["c", "b"]);
  });

  it("returns undefined if removals may be missing since the last list", () => {
    const cache = new ObjectCache();
    // The revision is above the newest object, so objects may have been removed since.
    cache.replace({ revision: 4, objects: [object("a", 1)] });
    expect(cache.listSince(3)).toBeUndefined();
    expect(cache.listSince(4)).toEqual([]);
  });
});
