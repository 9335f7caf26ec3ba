/**
 * Model of an engine's work: chunked prefill at a token rate with a bounded prefix
 * cache, KV held for a short time, transfers that share a link, and continuous
 * batching whose step time grows with batch and context.
 * @module
 */
import { CHARS_PER_TOKEN, hashText } from "./answers.ts";

/** Parameters of one engine. */
export interface EngineParameters {
  /** Prefilled tokens a second. */
  prefillRate: number;
  /** Fixed part of a prefill. */
  prefillBaseMs: number;
  /** Tokens of one prefill chunk. */
  prefillChunk: number;
  /** How long a prefill result is kept for its transfer. */
  kvHoldMs: number;
  kvBytesPerToken: number;
  /** Rate of the link that a prefill server's transfers share. */
  linkBytesPerSecond: number;
  /** Tokens that the prefix cache holds. */
  cacheTokens: number;
  /** Most requests that a decode engine holds. */
  slots: number;
  stepBaseMs: number;
  stepPerRequestMs: number;
  stepPerKiloTokenMs: number;
  /** Lag of load reports and of cache events. */
  reportLagMs: number;
  /** Share of cache events that are lost. */
  cacheEventLoss: number;
  roleChangeMs: number;
  adapterLoadMs: number;
  /** Refuses orders with an old fencing number. */
  checksFencing: boolean;
}

/** Parameters that give targets of 730 ms and 32 ms room at 20 requests a batch. */
export const DEFAULT_ENGINE: EngineParameters = {
  prefillRate: 16_000,
  prefillBaseMs: 8,
  prefillChunk: 512,
  kvHoldMs: 800,
  kvBytesPerToken: 160_000,
  linkBytesPerSecond: 6e9,
  cacheTokens: 400_000,
  slots: 20,
  stepBaseMs: 12,
  stepPerRequestMs: 0.7,
  stepPerKiloTokenMs: 0.08,
  reportLagMs: 400,
  cacheEventLoss: 0.02,
  roleChangeMs: 1500,
  adapterLoadMs: 600,
  checksFencing: true,
};

const BLOCK_TOKENS = 64;
const BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;

/** Prefix cache in blocks of 64 tokens, least recently used evicted first. */
export class PrefixCache {
  /** Blocks by content, with the request that stored them last. */
  readonly #blocks = new Map<string, string>();
  readonly #capacity: number;

  constructor(tokens: number) {
    this.#capacity = Math.floor(tokens / BLOCK_TOKENS);
  }

  /** Tokens of the prompt that are cached. */
  match(prompt: string): number {
    let cached = 0;
    for (const key of listBlocks(prompt)) {
      if (!this.#blocks.has(key)) break;
      cached += BLOCK_TOKENS;
    }
    return cached;
  }

  /** Stores the prompt's blocks; returns the requests that lost blocks to them. */
  store(prompt: string, requestId: string): Set<string> {
    for (const key of listBlocks(prompt)) {
      this.#blocks.delete(key);
      this.#blocks.set(key, requestId);
    }
    const evicted = new Set<string>();
    for (const [key, owner] of this.#blocks) {
      if (this.#blocks.size <= this.#capacity) break;
      this.#blocks.delete(key);
      evicted.add(owner);
    }
    return evicted;
  }

  clear(): void {
    this.#blocks.clear();
  }
}

function* listBlocks(prompt: string): Generator<string> {
  let chain = 0;
  for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
    chain = Math.imul(chain, 31) ^
      hashText(prompt.slice(end - BLOCK_CHARS, end));
    yield `${end}.${chain}`;
  }
}

/** A transfer that is under way on a shared link. */
interface Transfer {
  left: number;
  readonly done: () => void;
}

const LINK_TICK_MS = 4;

/** A link whose rate all transfers share equally. */
export class SharedLink {
  readonly #transfers = new Set<Transfer>();
  readonly #bytesPerSecond: number;
  /** Transfers make no progress while this is set. */
  stalled = false;
  #timer: NodeJS.Timeout | undefined;
  #last = 0;

  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Resolves once `bytes` have gone over the link. */
  send(bytes: number): Promise<void> {
    return new Promise((resolve) => {
      this.#transfers.add({ left: bytes, done: resolve });
      if (this.#timer !== undefined) return;
      this.#last = performance.now();
      this.#timer = setInterval(() => this.#advance(), LINK_TICK_MS);
    });
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #advance(): void {
    const now = performance.now();
    const elapsed = now - this.#last;
    this.#last = now;
    if (this.stalled) return;
    const share = this.#bytesPerSecond * elapsed / 1000 / this.#transfers.size;
    for (const transfer of this.#transfers) {
      transfer.left -= share;
      if (transfer.left > 0) continue;
      this.#transfers.delete(transfer);
      transfer.done();
    }
    if (this.#transfers.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}

/** Time of one decode step. */
export function getStepMs(
  parameters: EngineParameters,
  batch: { size: number; contextTokens: number },
): number {
  const { stepBaseMs, stepPerRequestMs, stepPerKiloTokenMs } = parameters;
  return stepBaseMs + stepPerRequestMs * batch.size +
    stepPerKiloTokenMs * batch.contextTokens / 1000;
}
