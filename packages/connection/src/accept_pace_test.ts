import { describe, expect, it } from "vitest";
import { AcceptPace, countAccepted } from "./accept_pace.ts";

describe("AcceptPace", () => {
  // Guards against reading that keeps new connections waiting, and against the reverse.
  it("leaves turns while connections are accepted, but not all", () => {
    const pace = new AcceptPace();
    expect(pace.leavesTurn()).toBe(false);
    const turns = Array.from({ length: 64 }, () => {
      countAccepted();
      return pace.leavesTurn();
    });
    expect(turns.filter((isLeft) => !isLeft)).toHaveLength(4);
    expect(turns[0]).toBe(true);
    expect(pace.leavesTurn()).toBe(false);
  });
});
