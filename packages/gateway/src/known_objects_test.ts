import { describe, expect, it } from "vitest";
import { KnownObjects } from "./known_objects.ts";

const object = (key: string, version: number, value: unknown = {}) => ({
  key,
  version,
  value,
});

describe("objects that come from several sources", () => {
  it("are taken over once, in the order of their versions", () => {
    const known = new KnownObjects();
    expect(known.add(object("a", 5))).toBe(true);
    expect(known.add(object("a", 5))).toBe(false);
    expect(known.add(object("a", 4))).toBe(false);
    expect(known.add(object("a", 6))).toBe(true);
    expect(known.newest).toBe(6);
  });

  it("stay removed whatever an older source tells", () => {
    const known = new KnownObjects();
    known.add(object("a", 5));
    // A removal may bear the version of the last change, or one of its own.
    expect(known.add(object("a", 5, null))).toBe(true);
    expect(known.add(object("a", 5))).toBe(false);
    expect(known.add(object("a", 7))).toBe(true);
    expect(known.add(object("a", 9, null))).toBe(true);
    expect(known.add(object("a", 8))).toBe(false);
  });

  it("are always taken over where they could not be read", () => {
    const known = new KnownObjects();
    known.add(object("a", 5));
    expect(known.add(object("a", 0))).toBe(true);
    expect(known.newest).toBe(5);
  });
});

describe("what changed after a version", () => {
  it("is told with removals, oldest first", () => {
    const known = new KnownObjects();
    known.replace({ revision: 2, objects: [object("a", 1), object("b", 2)] });
    known.add(object("b", 4, null));
    known.add(object("c", 3));
    expect(known.listSince(2)?.map(({ key }) => key)).toEqual(["c", "b"]);
  });

  it("is not told where a list has hidden removals", () => {
    const known = new KnownObjects();
    // Something was removed with version 3 or 4.
    known.replace({ revision: 4, objects: [object("a", 1)] });
    expect(known.listSince(3)).toBeUndefined();
    expect(known.listSince(4)).toEqual([]);
  });
});
