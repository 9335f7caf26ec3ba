/**
 * Home of one journal shard: the index of its keys, and group commit to its log.
 * @module
 */
import * as crypto from "node:crypto";
import { monotonicNow } from "@bitternfall/types";
import type {
  Batch,
  ClaimOutcome,
  ClaimRequest,
  JournalEntry,
  KeyState,
  SettleEntry,
} from "./model.ts";
import { AppendResult, type SegmentLog } from "./segment_log.ts";

/** State of a claim at its VM; "gone" where another process runs there now. */
export type ProbeResult = "running" | "over" | "abandoned" | "gone";

/** Options of a {@link Shard}. */
export interface ShardOptions {
  readonly vm: string;
  /** Whether the process that made a claim is still alive. */
  readonly isAlive: (vm: string, incarnation: number) => boolean;
  /**
   * Asks the VM of a claim for the claim's state. If that VM has not yet received the
   * confirmation of the claim, it abandons the claim on being asked. Only the process that
   * made the claim may do so, because its successor does not know what it sent.
   */
  readonly probe: (
    vm: string,
    claim: { claimId: string; incarnation: number },
  ) => Promise<ProbeResult | undefined>;
  /** Waits until the rate limit allows another write. */
  readonly waitForWriteToken: () => Promise<void>;
  readonly onTakenOver: (keys: number) => void;
  readonly onLost: () => void;
  readonly retentionMs: number;
  /** Maximum size of the answers that the shard keeps in memory. */
  readonly answerMemoryBytes: number;
}

interface PendingEntry {
  readonly entry: JournalEntry;
  readonly resolve: (result: AppendResult) => void;
}

/** Whether this VM is the home of the shard. */
enum HomeState {
  Absent = "absent",
  Home = "home",
}

const MAX_BATCH_ENTRIES = 200;
const CLEAN_UP_INTERVAL_MS = 60_000;

/** A journal shard that this VM is, or can become, the home of. */
export class Shard {
  readonly #log: SegmentLog;
  readonly #options: ShardOptions;
  readonly #index = new Map<string, KeyState>();
  readonly #pending: PendingEntry[] = [];
  #state = HomeState.Absent;
  #loading: Promise<boolean> | undefined;
  #isWriting = false;
  #answerBytes = 0;
  #lastCleanUpAt = monotonicNow();

  constructor(log: SegmentLog, options: ShardOptions) {
    this.#log = log;
    this.#options = options;
  }

  /** Number of keys in the index. */
  get size(): number {
    return this.#index.size;
  }

  /** Claims a key for a call, or returns the state of an earlier claim. */
  async claim(req: ClaimRequest): Promise<ClaimOutcome> {
    if (!await this.#ensureHome()) return { kind: "unavailable" };
    for (;;) {
      const known = this.#index.get(req.key);
      if (known === undefined || known.result === "not-run") {
        return await this.#appendClaim(req);
      }
      const outcome = await this.#checkExistingClaim(known, req);
      if (outcome !== undefined) return outcome;
    }
  }

  /** Stores the result of a claim; true once that is durable or no longer needed. */
  async settle(entry: SettleEntry): Promise<boolean> {
    if (!await this.#ensureHome()) return false;
    const known = this.#index.get(entry.key);
    if (
      known === undefined || known.claimId !== entry.claimId ||
      known.result !== "claimed"
    ) return true;
    return await this.#append(entry) === AppendResult.Committed;
  }

  /** Stops being the home of the shard; the next use reads its log again. */
  stepDown(): void {
    this.#state = HomeState.Absent;
    this.#index.clear();
    this.#answerBytes = 0;
  }

  /**
   * Determines the outcome for a key that has been claimed before. Returns undefined once
   * the earlier claim has been settled as abandoned, so that the key can be claimed again.
   */
  async #checkExistingClaim(
    known: KeyState,
    req: ClaimRequest,
  ): Promise<ClaimOutcome | undefined> {
    if (known.fingerprint !== req.fingerprint) return { kind: "mismatch" };
    if (known.result === "done") return await this.#replayAnswer(known);
    if (known.result === "unknown") return { kind: "unknown" };
    if (known.claimId === req.claimId) return { kind: "claimed" };
    const { vm, incarnation, claimId } = known;
    if (!this.#options.isAlive(vm, incarnation)) return { kind: "unknown" };
    const state = await this.#options.probe(vm, { claimId, incarnation });
    if (state === "gone") return { kind: "unknown" };
    if (state === "abandoned") {
      return await this.#settleAbandoned(req.key, claimId);
    }
    return { kind: "running", vm, incarnation, claimId };
  }

  /** Stores that an abandoned claim did not run; only then may the key be claimed again. */
  async #settleAbandoned(
    key: string,
    claimId: string,
  ): Promise<ClaimOutcome | undefined> {
    const entry: SettleEntry = {
      kind: "settle",
      key,
      claimId,
      result: "not-run",
      status: 0,
      answer: "",
    };
    if (await this.#append(entry) !== AppendResult.Committed) {
      return { kind: "unavailable" };
    }
    return undefined;
  }

  async #replayAnswer(known: KeyState): Promise<ClaimOutcome> {
    if (known.answer !== undefined) {
      return { kind: "done", status: known.status, answer: known.answer };
    }
    try {
      for (const { entries } of await this.#log.read(known.segment) ?? []) {
        for (const entry of entries) {
          if (entry.kind !== "settle" || entry.claimId !== known.claimId) {
            continue;
          }
          return { kind: "done", status: entry.status, answer: entry.answer };
        }
      }
    } catch {
      return { kind: "unavailable" };
    }
    return { kind: "unknown" };
  }

  async #appendClaim(req: ClaimRequest): Promise<ClaimOutcome> {
    const pending = this.#pending.find(({ entry }) =>
      entry.kind === "claim" && entry.key === req.key
    )?.entry;
    if (pending?.kind === "claim" && pending.claimId !== req.claimId) {
      if (pending.fingerprint !== req.fingerprint) return { kind: "mismatch" };
      return {
        kind: "running",
        vm: pending.vm,
        incarnation: pending.incarnation,
        claimId: pending.claimId,
      };
    }
    const result = await this.#append({ kind: "claim", ...req });
    const isClaimed = result === AppendResult.Committed &&
      this.#index.get(req.key)?.claimId === req.claimId;
    return isClaimed ? { kind: "claimed" } : { kind: "unavailable" };
  }

  #append(entry: JournalEntry): Promise<AppendResult> {
    return new Promise((resolve) => {
      this.#pending.push({ entry, resolve });
      if (!this.#isWriting) void this.#writePending();
    });
  }

  /** Commits pending entries, one batch per write, until none are left. */
  async #writePending(): Promise<void> {
    this.#isWriting = true;
    while (this.#pending.length > 0) {
      await this.#options.waitForWriteToken();
      const taken = this.#pending.slice(0, MAX_BATCH_ENTRIES);
      const batch: Batch = {
        id: crypto.randomUUID(),
        at: Date.now(),
        entries: taken.map(({ entry }) => entry),
      };
      let result = AppendResult.Lost;
      if (this.#state === HomeState.Home) {
        result = await this.#log.append(
          batch,
          (found) => this.#applyLateBatch(found),
        );
      }
      if (result === AppendResult.Committed) {
        this.#apply(batch, this.#log.currentNumber);
      }
      if (result === AppendResult.Lost) this.#handleLostShard();
      this.#pending.splice(0, taken.length);
      for (const { resolve } of taken) resolve(result);
    }
    this.#isWriting = false;
    void this.#cleanUp();
  }

  /** Applies a batch that was reported as unavailable but turned out to be in the log. */
  #applyLateBatch(batch: Batch): void {
    this.#apply(batch, this.#log.currentNumber);
  }

  #handleLostShard(): void {
    if (this.#state !== HomeState.Home) return;
    this.stepDown();
    this.#options.onLost();
  }

  #ensureHome(): Promise<boolean> {
    if (this.#state === HomeState.Home) return Promise.resolve(true);
    this.#loading ??= this.#takeOver().finally(() => this.#loading = undefined);
    return this.#loading;
  }

  /** Reads the log and appends a takeover entry, so that updates of an earlier home fail. */
  async #takeOver(): Promise<boolean> {
    try {
      const loaded = await this.#log.load();
      this.#index.clear();
      this.#answerBytes = 0;
      for (const { segment, batch } of loaded) this.#apply(batch, segment);
    } catch {
      return false;
    }
    const entries: JournalEntry[] = [{
      kind: "takeover",
      vm: this.#options.vm,
    }];
    await this.#options.waitForWriteToken();
    const result = await this.#log.append({
      id: crypto.randomUUID(),
      at: Date.now(),
      entries,
    }, () => {});
    if (result !== AppendResult.Committed) return false;
    this.#state = HomeState.Home;
    this.#options.onTakenOver(this.#index.size);
    return true;
  }

  #apply(batch: Batch, segment: number): void {
    for (const entry of batch.entries) {
      if (entry.kind === "claim") {
        this.#applyClaim(entry, { segment, at: batch.at });
      } else if (entry.kind === "settle") {
        this.#applySettle(entry, { segment, at: batch.at });
      }
    }
  }

  #applyClaim(
    entry: ClaimRequest,
    location: { segment: number; at: number },
  ): void {
    const known = this.#index.get(entry.key);
    if (known !== undefined && known.result !== "not-run") return;
    const { fingerprint, claimId, vm, incarnation } = entry;
    const state: KeyState = {
      fingerprint,
      claimId,
      vm,
      incarnation,
      result: "claimed",
      status: 0,
      answer: undefined,
      ...location,
    };
    this.#index.set(entry.key, state);
  }

  #applySettle(
    entry: SettleEntry,
    location: { segment: number; at: number },
  ): void {
    const known = this.#index.get(entry.key);
    if (
      known === undefined || known.claimId !== entry.claimId ||
      known.result !== "claimed"
    ) return;
    const fitsInMemory = this.#answerBytes + entry.answer.length <=
      this.#options.answerMemoryBytes;
    if (fitsInMemory) this.#answerBytes += entry.answer.length;
    this.#index.set(entry.key, {
      ...known,
      result: entry.result,
      status: entry.status,
      answer: fitsInMemory ? entry.answer : undefined,
      ...location,
    });
  }

  /** Drops keys past their retention and deletes the oldest segments that hold no others. */
  async #cleanUp(): Promise<void> {
    const intervalMs = Math.min(
      CLEAN_UP_INTERVAL_MS,
      this.#options.retentionMs,
    );
    if (monotonicNow() - this.#lastCleanUpAt < intervalMs) return;
    this.#lastCleanUpAt = monotonicNow();
    const retainedSince = Date.now() - this.#options.retentionMs;
    let firstKeptSegment = this.#log.currentNumber;
    for (const [key, state] of this.#index) {
      if (state.at >= retainedSince) {
        firstKeptSegment = Math.min(firstKeptSegment, state.segment);
        continue;
      }
      this.#index.delete(key);
      this.#answerBytes -= state.answer?.length ?? 0;
    }
    try {
      while (
        this.#log.firstNumber < firstKeptSegment &&
        this.#state === HomeState.Home
      ) {
        await this.#options.waitForWriteToken();
        await this.#log.deleteOldest();
      }
    } catch {
      // The next clean-up retries.
    }
  }
}
