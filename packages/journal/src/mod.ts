/**
 * Journal of calls with an idempotency key. A claim of the key is stored in the object
 * API before the call is sent, so that a call that must not be repeated runs at most once.
 * Any VM can be the home of a shard; when two VMs both act as home, conditional updates
 * let only one of them write.
 * @module
 */
import type { ObjectStore } from "@bitternfall/platform";
import { monotonicNow, sleep } from "@bitternfall/types";
import xxhash from "xxhash-wasm";
import type { ClaimOutcome, ClaimRequest, SettleEntry } from "./model.ts";
import { SegmentLog } from "./segment_log.ts";
import { Shard, type ShardOptions } from "./shard.ts";

export * from "./model.ts";
export * from "./segment_log.ts";
export { type ProbeResult, Shard, type ShardOptions } from "./shard.ts";

const { h32 } = await xxhash();

/** Options of a {@link Journal}. */
export interface JournalOptions {
  readonly store: ObjectStore;
  readonly shards: number;
  /** Maximum rate of this VM's journal writes to the object API. */
  readonly writesPerSecond: number;
  readonly appendTimeoutMs: number;
  readonly segmentBytes?: number;
  readonly retentionMs: number;
  readonly vm: string;
  readonly isAlive: ShardOptions["isAlive"];
  readonly probe: ShardOptions["probe"];
  /** Called when this VM has become the home of a shard, with its number of keys. */
  readonly onTakenOver?: (shard: number, keys: number) => void;
  /** Called when another VM has taken over a shard of this VM. */
  readonly onLost?: (shard: number) => void;
}

const DEFAULT_SEGMENT_BYTES = 16_384;
/** Maximum size of the answers that all shards together keep in memory. */
const ANSWER_MEMORY_BYTES = 8_000_000;

/** Claims and settles keys in the shards that this VM is the home of. */
export class Journal {
  readonly #options: JournalOptions;
  readonly #shards = new Map<number, Shard>();
  readonly #writeLimiter: WriteRateLimiter;

  constructor(options: JournalOptions) {
    this.#options = options;
    this.#writeLimiter = new WriteRateLimiter(options.writesPerSecond);
  }

  /** Number of the shard that a key belongs to. */
  getShardNumber(key: string): number {
    return h32(key) % this.#options.shards;
  }

  /** Claims a key; this VM becomes the home of its shard if it is not yet. */
  async claim(req: ClaimRequest): Promise<ClaimOutcome> {
    if (this.#options.store.isDown) return { kind: "unavailable" };
    return await this.#getShard(req.key).claim(req);
  }

  /** Stores the result of a claim; false when it could not be made durable. */
  async settle(entry: SettleEntry): Promise<boolean> {
    if (this.#options.store.isDown) return false;
    return await this.#getShard(entry.key).settle(entry);
  }

  /** Number of keys in memory. */
  get size(): number {
    let size = 0;
    for (const shard of this.#shards.values()) size += shard.size;
    return size;
  }

  /** Drops the shards for which `keep` returns false. */
  retain(keep: (shard: number) => boolean): void {
    for (const [number, shard] of this.#shards) {
      if (keep(number)) continue;
      shard.stepDown();
      this.#shards.delete(number);
    }
  }

  #getShard(key: string): Shard {
    const number = this.getShardNumber(key);
    const existing = this.#shards.get(number);
    if (existing !== undefined) return existing;
    const {
      store,
      appendTimeoutMs,
      segmentBytes = DEFAULT_SEGMENT_BYTES,
      retentionMs,
    } = this.#options;
    const { vm, isAlive, probe, onTakenOver, onLost } = this.#options;
    const log = new SegmentLog({
      store,
      prefix: `journal/${number}/`,
      segmentBytes,
      appendTimeoutMs,
    });
    const shard = new Shard(log, {
      vm,
      isAlive,
      probe,
      waitForWriteToken: () => this.#writeLimiter.take(),
      onTakenOver: (keys) => onTakenOver?.(number, keys),
      onLost: () => onLost?.(number),
      retentionMs,
      answerMemoryBytes: ANSWER_MEMORY_BYTES / this.#options.shards,
    });
    this.#shards.set(number, shard);
    return shard;
  }
}

/** Token bucket that limits the write rate; bursts are one second's worth of writes. */
class WriteRateLimiter {
  readonly #perSecond: number;
  #tokens: number;
  #filledAt = monotonicNow();

  constructor(perSecond: number) {
    this.#perSecond = perSecond;
    this.#tokens = Math.max(1, perSecond);
  }

  async take(): Promise<void> {
    const now = monotonicNow();
    const burst = Math.max(1, this.#perSecond);
    this.#tokens = Math.min(
      burst,
      this.#tokens + (now - this.#filledAt) / 1000 * this.#perSecond,
    );
    this.#filledAt = now;
    this.#tokens--;
    if (this.#tokens < 0) await sleep(-this.#tokens / this.#perSecond * 1000);
  }
}
