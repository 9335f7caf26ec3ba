/**
 * The answers that the engine stand-in gives: a function of the prompt alone, so that
 * a test can tell each caller's whole answer.
 * @module
 */

/** Characters that count as one token. */
export const CHARS_PER_TOKEN = 4;

const DEFAULT_SHORTEST = 20;
const DEFAULT_SPREAD = 100;

/** Number of tokens of a text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}

/** FNV-1a of a text, 32 bits. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash >>> 0;
}

/**
 * Number of output tokens for a prompt. A prompt may ask for it by `len=NUMBER`;
 * otherwise it follows from the prompt's hash.
 */
export function getAnswerLength(prompt: string, maxTokens: number): number {
  const asked = /len=(\d+)/.exec(prompt.slice(-400))?.[1];
  const wanted = asked === undefined
    ? DEFAULT_SHORTEST + hashText(prompt) % DEFAULT_SPREAD
    : Number(asked);
  return Math.max(1, Math.min(wanted, maxTokens));
}

/** Text of output token `offset`. */
export function getAnswerToken(promptHash: number, offset: number): string {
  return `w${
    (Math.imul(promptHash ^ offset, 0x9e3779b1) >>> 16).toString(36)
  }.${offset} `;
}

/** The whole answer to a prompt. */
export function getAnswer(prompt: string, maxTokens: number): string {
  const hash = hashText(prompt);
  const length = getAnswerLength(prompt, maxTokens);
  let answer = "";
  for (let offset = 0; offset < length; offset++) {
    answer += getAnswerToken(hash, offset);
  }
  return answer;
}
