import { describe, expect, it } from "vitest";
import { MemoryPool } from "@bitternfall/caller";
import { UnreadAnswers } from "./unread_answers.ts";

const LIMIT_BYTES = 100;

describe("UnreadAnswers", () => {
  // Guards against answers that together take more memory than there is.
  it("drops those that have waited longest, and no more than it must", () => {
    const pool = new MemoryPool(LIMIT_BYTES);
    const unread = new UnreadAnswers(pool);
    const dropped: string[] = [];
    const hold = (name: string, bytes: number) =>
      unread.hold(bytes, () => dropped.push(name));
    const releaseFirst = hold("first", 40);
    hold("second", 40);
    const releaseThird = hold("third", 20);
    releaseFirst();
    hold("fourth", 40);
    expect([dropped, pool.heldBytes]).toEqual([[], 100]);
    hold("fifth", 30);
    expect([dropped, pool.heldBytes]).toEqual([["second"], 90]);
    releaseThird();
    releaseThird();
    expect(pool.heldBytes).toBe(70);
  });

  it("holds an answer that never fits, and counts nothing for it", () => {
    const pool = new MemoryPool(LIMIT_BYTES);
    const dropped: string[] = [];
    const unread = new UnreadAnswers(pool);
    unread.hold(101, () => dropped.push("large"))();
    expect([dropped, pool.heldBytes]).toEqual([[], 0]);
  });
});
