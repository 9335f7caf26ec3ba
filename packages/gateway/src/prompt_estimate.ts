/**
 * Estimates the memory that a model request needs, and hashes its prompt's prefixes.
 * @module
 */
import { getPrefixLength, hashText, toPromptPart } from "@bitternfall/dispatch";
import type { EngineTraits, PromptTraits } from "./model.ts";

/**
 * Expected output relative to the caller's estimate. The estimate is a median, and a run
 * that exceeds its expected output is preempted. docs/MEASUREMENTS.md compares factors
 * from 1 to 1.75.
 */
const OUTPUT_MARGIN_FACTOR = 1.5;
/** Expected share of the maximum output if the caller gives no estimate. */
const DEFAULT_OUTPUT_SHARE = 0.5;
/** Upper bound of the expected memory, as a share of a server's; a run must fit into one. */
const MAX_MEMORY_SHARE = 0.9;

/** Estimates the KV cache memory, in tokens, that a run holds at its end. */
export function estimateHeldTokens(
  prompt: PromptTraits,
  options: { engine: EngineTraits; outputTokens: number },
): number {
  const { engine, outputTokens } = options;
  const { promptTokens, maxOutputTokens, expectedOutputTokens } = prompt;
  const expected = expectedOutputTokens === undefined
    ? DEFAULT_OUTPUT_SHARE * maxOutputTokens
    : OUTPUT_MARGIN_FACTOR * expectedOutputTokens;
  const output = Math.max(outputTokens, Math.min(maxOutputTokens, expected));
  return Math.ceil(
    Math.min(promptTokens + output, MAX_MEMORY_SHARE * engine.memoryTokens),
  );
}

/**
 * Hashes a prompt's prefixes at the positions of the dispatcher's prefix index. Each hash
 * covers all parts up to its position, so prompts that share these parts share the hash.
 */
export function hashParts(parts: PromptTraits["parts"]): number[] {
  const hashes: number[] = [];
  let chain = "";
  let coveredTokens = 0;
  for (const { id, tokens } of parts) {
    chain += `/${id}`;
    coveredTokens += tokens;
    while (getPrefixLength(hashes.length) <= coveredTokens) {
      hashes.push(hashText(`${chain}@${hashes.length}`));
    }
  }
  return hashes;
}

/** Hashes the parts that a prompt may share with others: all but the last, each by itself. */
export function hashSharedParts(parts: PromptTraits["parts"]): number[] {
  return parts.slice(0, -1).map(({ id }) => toPromptPart(hashText(id)));
}
