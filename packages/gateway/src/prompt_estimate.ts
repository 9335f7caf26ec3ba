/**
 * What a model request will need, from what it says of its prompt.
 * @module
 */
import { getPrefixLength, hashText } from "@bitternfall/dispatch";
import type { EngineTraits, PromptTraits } from "./model.ts";

/**
 * The output that is foreseen, relative to the caller's estimate, which is a median: a
 * run that outgrows it is preempted. docs/MEASUREMENTS.md compares 1 to 1.75.
 */
const LENGTH_FACTOR = 1.5;
/** Expected share of the most output where the caller gives no estimate. */
const DEFAULT_SHARE = 0.5;
/** A run is never expected to need all of a server's memory. */
const LARGEST_SHARE = 0.9;

/** Tokens of memory that a run is expected to hold at its end. */
export function estimateHeldTokens(
  prompt: PromptTraits,
  options: { engine: EngineTraits; outputTokens: number },
): number {
  const { engine, outputTokens } = options;
  const { promptTokens, maxOutputTokens, expectedOutputTokens } = prompt;
  const expected = expectedOutputTokens === undefined
    ? DEFAULT_SHARE * maxOutputTokens
    : LENGTH_FACTOR * expectedOutputTokens;
  const output = Math.max(outputTokens, Math.min(maxOutputTokens, expected));
  return Math.ceil(
    Math.min(promptTokens + output, LARGEST_SHARE * engine.memoryTokens),
  );
}

/**
 * Hashes of a prompt's prefixes at the positions of the dispatcher's index, from the
 * chain of its parts: two prompts with the same parts up to a position have the same hash.
 */
export function hashParts(parts: PromptTraits["parts"]): number[] {
  const hashes: number[] = [];
  let chain = "";
  let covered = 0;
  for (const { id, tokens } of parts) {
    chain += `/${id}`;
    covered += tokens;
    while (getPrefixLength(hashes.length) <= covered) {
      hashes.push(hashText(`${chain}@${hashes.length}`));
    }
  }
  return hashes;
}
