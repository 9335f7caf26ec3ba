import { describe, expect, it } from "vitest";
import { estimateHeldTokens, hashParts } from "./prompt_estimate.ts";

const ENGINE = {
  slots: 16,
  memoryTokens: 20_000,
  tokensPerEvent: 11,
  handleMs: 500,
  roleSwitchMs: 6000,
};
const PROMPT = { promptTokens: 3000, maxOutputTokens: 1000, parts: [] };

describe("estimateHeldTokens", () => {
  const estimate = (expected: number | undefined, outputTokens = 0) =>
    estimateHeldTokens(
      { ...PROMPT, expectedOutputTokens: expected },
      { engine: ENGINE, outputTokens },
    );

  it("uses the caller's estimate, limited to the maximum output", () => {
    expect(estimate(400)).toBe(3600);
    expect(estimate(5000)).toBe(4000);
    expect(estimate(undefined)).toBe(3500);
  });

  it("counts the output that a resumed run has already generated", () => {
    expect(estimate(100, 900)).toBe(3900);
  });

  it("never exceeds the memory of a server", () => {
    const prompt = { ...PROMPT, promptTokens: 90_000 };
    expect(estimateHeldTokens(prompt, { engine: ENGINE, outputTokens: 0 }))
      .toBeLessThan(ENGINE.memoryTokens);
  });
});

describe("hashParts", () => {
  const shared = { id: "a", tokens: 200 };

  it("returns the same hashes up to where the parts differ", () => {
    const first = hashParts([shared, { id: "b", tokens: 3000 }]);
    const second = hashParts([shared, { id: "c", tokens: 3000 }]);
    const common = first.filter((hash, index) => hash === second[index]);
    // Positions 64, 96, 128 and 192 lie in the shared part.
    expect(common).toEqual(first.slice(0, 4));
    expect(first.length).toBeGreaterThan(8);
  });
});
