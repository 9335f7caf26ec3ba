/**
 * Completions that the engine stand-in generates. They depend only on the prompt and the
 * token limit, so that a test can compute the expected text of each request.
 * @module
 */

/** Characters that count as one token. */
export const CHARS_PER_TOKEN = 4;

const MIN_DEFAULT_TOKENS = 20;
const DEFAULT_TOKENS_RANGE = 100;

/** Number of tokens in a text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}

/** 32-bit FNV-1a hash of a text. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash >>> 0;
}

/**
 * Number of output tokens for a prompt: the number in `len=NUMBER` near the end of the
 * prompt, otherwise derived from the prompt's hash.
 */
export function getCompletionLength(prompt: string, maxTokens: number): number {
  const requested = /len=(\d+)/.exec(prompt.slice(-400))?.[1];
  const length = requested === undefined
    ? MIN_DEFAULT_TOKENS + hashText(prompt) % DEFAULT_TOKENS_RANGE
    : Number(requested);
  return Math.max(1, Math.min(length, maxTokens));
}

/** Text of output token `offset`. */
export function getCompletionToken(promptHash: number, offset: number): string {
  return `w${
    (Math.imul(promptHash ^ offset, 0x9e3779b1) >>> 16).toString(36)
  }.${offset} `;
}

/** The complete output text for a prompt. */
export function getCompletionText(prompt: string, maxTokens: number): string {
  const hash = hashText(prompt);
  const length = getCompletionLength(prompt, maxTokens);
  let text = "";
  for (let offset = 0; offset < length; offset++) {
    text += getCompletionToken(hash, offset);
  }
  return text;
}
