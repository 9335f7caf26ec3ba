/**
 * Performance model of an engine: chunked prefill at a fixed token rate, a bounded prefix
 * cache, prefill results kept for a short time, transfers that share the bandwidth of one
 * link, and continuous batching whose step time grows with batch size and context length.
 * @module
 */
import { CHARS_PER_TOKEN, hashText } from "./completions.ts";

/** Parameters of one engine. */
export interface EngineParameters {
  /** Prefilled tokens per second. */
  prefillRate: number;
  /** Fixed cost of each prefill. */
  prefillBaseMs: number;
  /** Largest number of tokens in a prefill chunk. */
  prefillChunk: number;
  /** How long a prefill result is kept if its transfer does not begin. */
  kvHoldMs: number;
  kvBytesPerToken: number;
  /** Bandwidth of the link that all transfers of a prefill server share. */
  linkBytesPerSecond: number;
  /** Capacity of the prefix cache. */
  cacheTokens: number;
  /** Maximum number of requests that a decode engine runs at once. */
  slots: number;
  stepBaseMs: number;
  stepPerRequestMs: number;
  stepPerKiloTokenMs: number;
  /** Delay until load reports and cache events become visible. */
  reportLagMs: number;
  /** Probability that a cache event is lost. */
  cacheEventLoss: number;
  roleChangeMs: number;
  adapterLoadMs: number;
  /** Whether orders with an old fencing number are refused. */
  checksFencing: boolean;
}

/**
 * Default parameters. With 20 requests in a batch, they leave headroom below the default
 * targets of 730 ms to the first output and 32 ms between outputs.
 */
export const DEFAULT_ENGINE_PARAMETERS: EngineParameters = {
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

/** Prefix cache of 64-token blocks with least-recently-used eviction. */
export class PrefixCache {
  /** Maps the key of each block to the request that last stored it, oldest first. */
  readonly #blocks = new Map<string, string>();
  readonly #capacity: number;

  constructor(tokens: number) {
    this.#capacity = Math.floor(tokens / BLOCK_TOKENS);
  }

  /** Length in tokens of the longest cached prefix of the prompt. */
  match(prompt: string): number {
    let cached = 0;
    for (const key of listBlocks(prompt)) {
      if (!this.#blocks.has(key)) break;
      cached += BLOCK_TOKENS;
    }
    return cached;
  }

  /** Stores the prompt's blocks; returns the requests whose blocks were evicted. */
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

/** Keys of the prompt's complete blocks; each covers the content up to its end. */
function* listBlocks(prompt: string): Generator<string> {
  let chainHash = 0;
  for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
    chainHash = Math.imul(chainHash, 31) ^
      hashText(prompt.slice(end - BLOCK_CHARS, end));
    yield `${end}.${chainHash}`;
  }
}

/** A transfer in progress on a shared link. */
interface Transfer {
  remainingBytes: number;
  readonly onDone: () => void;
}

const LINK_TICK_MS = 4;

/** A link whose bandwidth is shared equally by the transfers in progress. */
export class SharedLink {
  readonly #transfers = new Set<Transfer>();
  readonly #bytesPerSecond: number;
  /** Whether transfers make no progress. */
  stalled = false;
  #timer: NodeJS.Timeout | undefined;
  #lastAdvanceAt = 0;

  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Resolves once `bytes` have been transferred. */
  send(bytes: number): Promise<void> {
    return new Promise((resolve) => {
      this.#transfers.add({ remainingBytes: bytes, onDone: resolve });
      if (this.#timer !== undefined) return;
      this.#lastAdvanceAt = performance.now();
      this.#timer = setInterval(() => this.#advance(), LINK_TICK_MS);
    });
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #advance(): void {
    const now = performance.now();
    const elapsed = now - this.#lastAdvanceAt;
    this.#lastAdvanceAt = now;
    if (this.stalled) return;
    const bytesPerTransfer = this.#bytesPerSecond * elapsed / 1000 /
      this.#transfers.size;
    for (const transfer of this.#transfers) {
      transfer.remainingBytes -= bytesPerTransfer;
      if (transfer.remainingBytes > 0) continue;
      this.#transfers.delete(transfer);
      transfer.onDone();
    }
    if (this.#transfers.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}

/** Duration of one decode step. */
export function getStepMs(
  parameters: EngineParameters,
  batch: { size: number; contextTokens: number },
): number {
  const { stepBaseMs, stepPerRequestMs, stepPerKiloTokenMs } = parameters;
  return stepBaseMs + stepPerRequestMs * batch.size +
    stepPerKiloTokenMs * batch.contextTokens / 1000;
}
