/**
 * Journal of keyed calls: a claim stands in the object API before its call is sent, so
 * that a call that may not be repeated runs at most once. Any VM can be the home of a
 * shard; the conditional update decides between two that believe they are.
 * @module
 */
import type { ObjectStore } from "@bitternfall/platform";
import { monotonicNow, sleep } from "@bitternfall/types";
import xxhash from "xxhash-wasm";
import type { ClaimOutcome, ClaimRequest, SettleEntry } from "./model.ts";
import { SegmentLog } from "./segment_log.ts";
import { Shard, type ShardSurroundings } from "./shard.ts";

export * from "./model.ts";
export * from "./segment_log.ts";
export { Shard, type ShardSurroundings } from "./shard.ts";

const { h32 } = await xxhash();

/** Options of a {@link Journal}. */
export interface JournalOptions {
  readonly store: ObjectStore;
  readonly shards: number;
  /** Bound on this VM's writes to the object API. */
  readonly writesPerSecond: number;
  readonly appendTimeoutMs: number;
  readonly segmentBytes?: number;
  readonly retentionMs: number;
  readonly vm: string;
  readonly isAlive: ShardSurroundings["isAlive"];
  readonly probe: ShardSurroundings["probe"];
  readonly onTakenOver?: (shard: number, keys: number) => void;
  readonly onLost?: (shard: number) => void;
}

const DEFAULT_SEGMENT_BYTES = 16_384;
const ANSWER_MEMORY_BYTES = 8_000_000;

/** The shards that this VM is home of. */
export class Journal {
  readonly #options: JournalOptions;
  readonly #shards = new Map<number, Shard>();
  readonly #bucket: WriteBucket;

  constructor(options: JournalOptions) {
    this.#options = options;
    this.#bucket = new WriteBucket(options.writesPerSecond);
  }

  /** The shard that a key belongs to. */
  getShardNumber(key: string): number {
    return h32(key) % this.#options.shards;
  }

  /** Claims a key at this VM. */
  async claim(req: ClaimRequest): Promise<ClaimOutcome> {
    if (this.#options.store.isDown) return { kind: "unavailable" };
    return await this.#getShard(req.key).claim(req);
  }

  /** Settles a claim at this VM; false when it could not be made durable. */
  async settle(entry: SettleEntry): Promise<boolean> {
    if (this.#options.store.isDown) return false;
    return await this.#getShard(entry.key).settle(entry);
  }

  /** Keys in memory. */
  get size(): number {
    let size = 0;
    for (const shard of this.#shards.values()) size += shard.size;
    return size;
  }

  /** Drops the shards that `keep` does not name. */
  retain(keep: (shard: number) => boolean): void {
    for (const [number, shard] of this.#shards) {
      if (keep(number)) continue;
      shard.forget();
      this.#shards.delete(number);
    }
  }

  #getShard(key: string): Shard {
    const number = this.getShardNumber(key);
    const known = this.#shards.get(number);
    if (known !== undefined) return known;
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
      takeWrite: () => this.#bucket.take(),
      onTakenOver: (keys) => onTakenOver?.(number, keys),
      onLost: () => onLost?.(number),
      retentionMs,
      answerMemoryBytes: ANSWER_MEMORY_BYTES / this.#options.shards,
    });
    this.#shards.set(number, shard);
    return shard;
  }
}

/** Token bucket for writes; the burst is one second's worth. */
class WriteBucket {
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
