import { describe, expect, it } from "vitest";
import { LineBudget } from "./line_budget.ts";

describe("LineBudget", () => {
  it("leaves lines of a flooding kind out, and says how many with the next one", () => {
    let now = 0;
    const budget = new LineBudget({ linesPerSecond: 2, now: () => now });
    expect([budget.take("a"), budget.take("a")]).toEqual([0, 0]);
    expect([budget.take("a"), budget.take("a")]).toEqual([
      undefined,
      undefined,
    ]);
    expect(budget.take("b")).toBe(0);
    now = 1000;
    expect(budget.take("a")).toBe(2);
    expect(budget.take("a")).toBe(0);
  });
});
