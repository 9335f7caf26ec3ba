/**
 * The chain of segment objects of one shard, appended by conditional update. An append
 * whose reply was lost is settled by reading back, or by a further conditional update
 * after which the lost one can no longer take effect.
 * @module
 */
import { type ObjectStore, StoreError } from "@bitternfall/platform";
import { monotonicNow } from "@bitternfall/types";
import { type Batch, type Segment, segmentSchema } from "./model.ts";

/** What came of an append. */
export enum AppendResult {
  Committed = "committed",
  /** It did not take effect. */
  Refused = "refused",
  /** It is not known whether it took effect; the next append settles it. */
  Doubtful = "doubtful",
  /** Another home has taken the shard over. */
  Lost = "lost",
}

/** A batch with the number of its segment. */
export interface PlacedBatch {
  readonly segment: number;
  readonly batch: Batch;
}

/** Options of a {@link SegmentLog}. */
export interface SegmentLogOptions {
  readonly store: ObjectStore;
  /** Key prefix of the shard's segments, with a trailing slash. */
  readonly prefix: string;
  /** A segment that has reached this size is followed by a new one. */
  readonly segmentBytes: number;
  readonly appendTimeoutMs: number;
}

const NUMBER_DIGITS = 10;

interface Current {
  /** 0 while the segment does not exist. */
  readonly version: number;
  readonly segment: Segment;
}

const EMPTY: Segment = { batches: [], closed: false };

/** The segments of one shard as one home sees them. */
export class SegmentLog {
  readonly #options: SegmentLogOptions;
  /** Ids of batches whose fate is open. */
  readonly #doubtful = new Set<string>();
  #first = 0;
  #number = 0;
  #current: Current = { version: 0, segment: EMPTY };

  constructor(options: SegmentLogOptions) {
    this.#options = options;
  }

  /** Number of the oldest segment. */
  get first(): number {
    return this.#first;
  }

  /** Number of the current segment. */
  get number(): number {
    return this.#number;
  }

  /** Reads all segments. Throws StoreError. */
  async load(): Promise<PlacedBatch[]> {
    const { store, prefix } = this.#options;
    const { objects } = await store.list(prefix);
    const segments = objects
      .map(({ key, version, value }) => ({
        number: Number(key.slice(prefix.length)),
        version,
        value,
      }))
      .sort((a, b) => a.number - b.number);
    const placed: PlacedBatch[] = [];
    this.#doubtful.clear();
    this.#first = segments[0]?.number ?? 0;
    this.#number = 0;
    this.#current = { version: 0, segment: EMPTY };
    for (const { number, version, value } of segments) {
      const segment = decodeSegment(value);
      for (const batch of segment.batches) {
        placed.push({ segment: number, batch });
      }
      this.#number = number;
      this.#current = { version, segment };
    }
    return placed;
  }

  /** Reads one segment again; undefined when it is gone. Throws StoreError. */
  async read(number: number): Promise<readonly Batch[] | undefined> {
    const object = await this.#options.store.get(this.#getKey(number));
    return object === undefined
      ? undefined
      : decodeSegment(object.value).batches;
  }

  /**
   * Appends a batch. Batches that were doubtful before and turn out to stand in the
   * segment are handed to `onFound`.
   */
  async append(
    batch: Batch,
    onFound: (batch: Batch) => void,
  ): Promise<AppendResult> {
    const end = monotonicNow() + this.#options.appendTimeoutMs;
    this.#rollOver();
    let mayStand = false;
    while (monotonicNow() < end) {
      try {
        await this.#put(batch);
        // Whatever was doubtful before has now lost its version and can't take effect.
        this.#doubtful.clear();
        return AppendResult.Committed;
      } catch (err) {
        const tag = err instanceof StoreError ? err.detail.tag : "unknown_fate";
        if (tag === "unavailable" && !mayStand) return AppendResult.Refused;
        if (tag === "unknown_fate" || tag === "malformed") {
          mayStand = true;
          this.#doubtful.add(batch.id);
        }
        if (tag !== "conflict") continue;
      }
      const settled = await this.#settleConflict(batch, onFound);
      if (settled !== undefined) return settled;
    }
    return mayStand ? AppendResult.Doubtful : AppendResult.Refused;
  }

  /** Deletes the oldest segment. Throws StoreError. */
  async deleteFirst(): Promise<void> {
    const object = await this.#options.store.get(this.#getKey(this.#first));
    if (object !== undefined) {
      await this.#options.store.delete(object.key, object.version);
    }
    this.#first++;
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
    const written = await store.put(this.#getKey(this.#number), {
      value: next,
      when,
      timeoutMs,
    });
    this.#current = { version: written, segment: next };
  }

  /** Reads the segment after a conflict; undefined when the append is worth another try. */
  async #settleConflict(
    batch: Batch,
    onFound: (batch: Batch) => void,
  ): Promise<AppendResult | undefined> {
    let object;
    try {
      object = await this.#options.store.get(this.#getKey(this.#number));
    } catch {
      return undefined;
    }
    const segment = decodeSegment(object?.value);
    const known = new Set(this.#current.segment.batches.map((one) => one.id));
    let committed = false;
    for (const one of segment.batches) {
      if (known.has(one.id)) continue;
      if (one.id !== batch.id && !this.#doubtful.has(one.id)) {
        return AppendResult.Lost;
      }
      this.#doubtful.delete(one.id);
      if (one.id === batch.id) committed = true;
      else onFound(one);
    }
    this.#current = { version: object?.version ?? 0, segment };
    if (committed) return AppendResult.Committed;
    this.#rollOver();
    return undefined;
  }

  /**
   * Goes on in the next segment once this one is closed. The closing update is
   * conditional like any other, so two homes never write to different segments.
   */
  #rollOver(): void {
    if (!this.#current.segment.closed) return;
    this.#number++;
    this.#current = { version: 0, segment: EMPTY };
  }

  #getKey(number: number): string {
    return this.#options.prefix + String(number).padStart(NUMBER_DIGITS, "0");
  }
}

function decodeSegment(value: unknown): Segment {
  const parsed = segmentSchema.safeParse(value);
  return parsed.success ? parsed.data : EMPTY;
}
