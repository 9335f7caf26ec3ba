/**
 * Log of one shard: a sequence of segment objects, appended by conditional update. When
 * the reply to an append is lost, the append is sent again. If that conflicts, the segment
 * is read back to see whether the first attempt took effect; if it succeeds, the first
 * attempt can no longer take effect.
 * @module
 */
import { type ObjectStore, StoreError } from "@bitternfall/platform";
import { monotonicNow } from "@bitternfall/types";
import { type Batch, type Segment, segmentSchema } from "./model.ts";

/** Result of an append. */
export enum AppendResult {
  Committed = "committed",
  /** It did not take effect. */
  Refused = "refused",
  /** It is not known whether it took effect; the next append finds out. */
  Doubtful = "doubtful",
  /** Another home has taken the shard over. */
  Lost = "lost",
}

/** A stored batch and the number of its segment. */
export interface StoredBatch {
  readonly segment: number;
  readonly batch: Batch;
}

/** Options of a {@link SegmentLog}. */
export interface SegmentLogOptions {
  readonly store: ObjectStore;
  /** Key prefix of the shard's segments, with a trailing slash. */
  readonly prefix: string;
  /** Size from which a segment is closed and a new one is started. */
  readonly segmentBytes: number;
  readonly appendTimeoutMs: number;
}

const SEGMENT_NUMBER_DIGITS = 10;

interface CurrentSegment {
  /** 0 while the segment does not exist. */
  readonly version: number;
  readonly segment: Segment;
}

const EMPTY_SEGMENT: Segment = { batches: [], closed: false };

/** The log of one shard as its home sees it. */
export class SegmentLog {
  readonly #options: SegmentLogOptions;
  /** Ids of batches of which it is not known whether they were stored. */
  readonly #doubtfulIds = new Set<string>();
  #firstNumber = 0;
  #currentNumber = 0;
  #current: CurrentSegment = { version: 0, segment: EMPTY_SEGMENT };

  constructor(options: SegmentLogOptions) {
    this.#options = options;
  }

  /** Number of the oldest segment. */
  get firstNumber(): number {
    return this.#firstNumber;
  }

  /** Number of the current segment. */
  get currentNumber(): number {
    return this.#currentNumber;
  }

  /** Reads all segments. Throws {@link StoreError}. */
  async load(): Promise<StoredBatch[]> {
    const { store, prefix } = this.#options;
    const { objects } = await store.list(prefix);
    const segments = objects
      .map(({ key, version, value }) => ({
        number: Number(key.slice(prefix.length)),
        version,
        value,
      }))
      .sort((a, b) => a.number - b.number);
    const storedBatches: StoredBatch[] = [];
    this.#doubtfulIds.clear();
    this.#firstNumber = segments[0]?.number ?? 0;
    this.#currentNumber = 0;
    this.#current = { version: 0, segment: EMPTY_SEGMENT };
    for (const { number, version, value } of segments) {
      const segment = decodeSegment(value);
      for (const batch of segment.batches) {
        storedBatches.push({ segment: number, batch });
      }
      this.#currentNumber = number;
      this.#current = { version, segment };
    }
    return storedBatches;
  }

  /** Reads one segment; undefined when it has been deleted. Throws {@link StoreError}. */
  async read(segmentNumber: number): Promise<readonly Batch[] | undefined> {
    const object = await this.#options.store.get(this.#getKey(segmentNumber));
    return object === undefined
      ? undefined
      : decodeSegment(object.value).batches;
  }

  /**
   * Appends a batch. Calls `onFound` for each earlier doubtful batch that turns out to be
   * stored in the segment.
   */
  async append(
    batch: Batch,
    onFound: (batch: Batch) => void,
  ): Promise<AppendResult> {
    const deadline = monotonicNow() + this.#options.appendTimeoutMs;
    this.#rollOver();
    let mayBeStored = false;
    while (monotonicNow() < deadline) {
      try {
        await this.#put(batch);
        // This update changed the version that doubtful writes require, so they fail now.
        this.#doubtfulIds.clear();
        return AppendResult.Committed;
      } catch (err) {
        const tag = err instanceof StoreError ? err.detail.tag : "unknown_fate";
        if (tag === "unavailable" && !mayBeStored) return AppendResult.Refused;
        if (tag === "unknown_fate" || tag === "malformed") {
          mayBeStored = true;
          this.#doubtfulIds.add(batch.id);
        }
        if (tag !== "conflict") continue;
      }
      const resolved = await this.#resolveConflict(batch, onFound);
      if (resolved !== undefined) return resolved;
    }
    return mayBeStored ? AppendResult.Doubtful : AppendResult.Refused;
  }

  /** Deletes the oldest segment. Throws {@link StoreError}. */
  async deleteOldest(): Promise<void> {
    const object = await this.#options.store.get(
      this.#getKey(this.#firstNumber),
    );
    if (object !== undefined) {
      await this.#options.store.delete(object.key, object.version);
    }
    this.#firstNumber++;
  }

  async #put(batch: Batch): Promise<void> {
    const { store, appendTimeoutMs, segmentBytes } = this.#options;
    const { version, segment } = this.#current;
    const batches = [...segment.batches, batch];
    const next: Segment = {
      batches,
      closed: JSON.stringify(batches).length >= segmentBytes,
    };
    const when = version === 0 ? { absent: true as const } : { version };
    const timeoutMs = Math.max(50, appendTimeoutMs / 2);
    const written = await store.put(this.#getKey(this.#currentNumber), {
      value: next,
      when,
      timeoutMs,
    });
    this.#current = { version: written, segment: next };
  }

  /** Reads the segment after a conflict; undefined when the append is to be retried. */
  async #resolveConflict(
    batch: Batch,
    onFound: (batch: Batch) => void,
  ): Promise<AppendResult | undefined> {
    let object;
    try {
      object = await this.#options.store.get(this.#getKey(this.#currentNumber));
    } catch {
      return undefined;
    }
    const segment = decodeSegment(object?.value);
    const knownIds = new Set(
      this.#current.segment.batches.map((knownBatch) => knownBatch.id),
    );
    let isCommitted = false;
    for (const storedBatch of segment.batches) {
      if (knownIds.has(storedBatch.id)) continue;
      if (
        storedBatch.id !== batch.id && !this.#doubtfulIds.has(storedBatch.id)
      ) {
        return AppendResult.Lost;
      }
      this.#doubtfulIds.delete(storedBatch.id);
      if (storedBatch.id === batch.id) isCommitted = true;
      else onFound(storedBatch);
    }
    this.#current = { version: object?.version ?? 0, segment };
    if (isCommitted) return AppendResult.Committed;
    this.#rollOver();
    return undefined;
  }

  /**
   * Moves to the next segment once the current one is closed. The update that closes a
   * segment is conditional like any other, so two homes never write to different segments.
   */
  #rollOver(): void {
    if (!this.#current.segment.closed) return;
    this.#currentNumber++;
    this.#current = { version: 0, segment: EMPTY_SEGMENT };
  }

  #getKey(number: number): string {
    return this.#options.prefix +
      String(number).padStart(SEGMENT_NUMBER_DIGITS, "0");
  }
}

function decodeSegment(value: unknown): Segment {
  const parsed = segmentSchema.safeParse(value);
  return parsed.success ? parsed.data : EMPTY_SEGMENT;
}
