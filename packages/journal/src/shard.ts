/**
 * Home of one journal shard: the index of its keys and the group commit of its log.
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

/** What a shard asks of its surroundings. */
export interface ShardSurroundings {
  readonly vm: string;
  /** Whether a claiming process is still alive. */
  readonly isAlive: (vm: string, incarnation: number) => boolean;
  /**
   * Asks the VM of a claim how it stands. A claim that its VM has not yet been told of
   * is abandoned by the question.
   */
  readonly probe: (
    vm: string,
    claimId: string,
  ) => Promise<"running" | "over" | "abandoned" | undefined>;
  /** Waits until another write may be made. */
  readonly takeWrite: () => Promise<void>;
  readonly onTakenOver: (keys: number) => void;
  readonly onLost: () => void;
  readonly retentionMs: number;
  /** Bytes of answers that a shard keeps in memory. */
  readonly answerMemoryBytes: number;
}

interface Pending {
  readonly entry: JournalEntry;
  readonly settle: (result: AppendResult) => void;
}

/** State of a shard's home. */
enum HomeState {
  Absent = "absent",
  Home = "home",
}

const MAX_BATCH_ENTRIES = 200;
const CLEAN_UP_MS = 60_000;

/** A shard as this VM sees it while it is its home. */
export class Shard {
  readonly #log: SegmentLog;
  readonly #env: ShardSurroundings;
  readonly #index = new Map<string, KeyState>();
  readonly #pending: Pending[] = [];
  #state = HomeState.Absent;
  #loading: Promise<boolean> | undefined;
  #writing = false;
  #answerBytes = 0;
  #cleanedAt = monotonicNow();

  constructor(log: SegmentLog, env: ShardSurroundings) {
    this.#log = log;
    this.#env = env;
  }

  /** Keys in the index. */
  get size(): number {
    return this.#index.size;
  }

  /** Claims a key for a call, or tells what is known of it. */
  async claim(req: ClaimRequest): Promise<ClaimOutcome> {
    if (!await this.#becomeHome()) return { kind: "unavailable" };
    for (;;) {
      const known = this.#index.get(req.key);
      if (known === undefined || known.result === "not-run") {
        return await this.#appendClaim(req);
      }
      const outcome = await this.#describe(known, req);
      if (outcome !== undefined) return outcome;
    }
  }

  /** Settles a claim; true once that is durable or no longer needed. */
  async settle(entry: SettleEntry): Promise<boolean> {
    if (!await this.#becomeHome()) return false;
    const known = this.#index.get(entry.key);
    if (
      known === undefined || known.claimId !== entry.claimId ||
      known.result !== "claimed"
    ) return true;
    return await this.#append(entry) === AppendResult.Committed;
  }

  /** Gives the shard up, so that the next use reads it again. */
  forget(): void {
    this.#state = HomeState.Absent;
    this.#index.clear();
    this.#answerBytes = 0;
  }

  async #describe(
    known: KeyState,
    req: ClaimRequest,
  ): Promise<ClaimOutcome | undefined> {
    if (known.fingerprint !== req.fingerprint) return { kind: "mismatch" };
    if (known.result === "done") return await this.#replay(known);
    if (known.result === "unknown") return { kind: "unknown" };
    if (known.claimId === req.claimId) return { kind: "claimed" };
    const { vm, incarnation, claimId } = known;
    if (!this.#env.isAlive(vm, incarnation)) return { kind: "unknown" };
    const state = await this.#env.probe(vm, claimId);
    if (state === "abandoned") {
      return await this.#settleAbandoned(req.key, claimId);
    }
    return { kind: "running", vm, incarnation, claimId };
  }

  /** Makes it durable that an abandoned claim did not run; only then may the key run again. */
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

  async #replay(known: KeyState): Promise<ClaimOutcome> {
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
    const rival = this.#pending.find(({ entry }) =>
      entry.kind === "claim" && entry.key === req.key
    )?.entry;
    if (rival?.kind === "claim" && rival.claimId !== req.claimId) {
      if (rival.fingerprint !== req.fingerprint) return { kind: "mismatch" };
      return {
        kind: "running",
        vm: rival.vm,
        incarnation: rival.incarnation,
        claimId: rival.claimId,
      };
    }
    const result = await this.#append({ kind: "claim", ...req });
    const isOurs = result === AppendResult.Committed &&
      this.#index.get(req.key)?.claimId === req.claimId;
    return isOurs ? { kind: "claimed" } : { kind: "unavailable" };
  }

  #append(entry: JournalEntry): Promise<AppendResult> {
    return new Promise((settle) => {
      this.#pending.push({ entry, settle });
      if (!this.#writing) void this.#writeAll();
    });
  }

  /** Commits what is pending, as one batch a write. */
  async #writeAll(): Promise<void> {
    this.#writing = true;
    while (this.#pending.length > 0) {
      await this.#env.takeWrite();
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
          (found) => this.#applyFound(found),
        );
      }
      if (result === AppendResult.Committed) {
        this.#apply(batch, this.#log.number);
      }
      if (result === AppendResult.Lost) this.#lose();
      this.#pending.splice(0, taken.length);
      for (const { settle } of taken) settle(result);
    }
    this.#writing = false;
    void this.#cleanUp();
  }

  /** A batch that was reported as unavailable does stand in the log. */
  #applyFound(batch: Batch): void {
    this.#apply(batch, this.#log.number);
  }

  #lose(): void {
    if (this.#state !== HomeState.Home) return;
    this.forget();
    this.#env.onLost();
  }

  #becomeHome(): Promise<boolean> {
    if (this.#state === HomeState.Home) return Promise.resolve(true);
    this.#loading ??= this.#takeOver().finally(() => this.#loading = undefined);
    return this.#loading;
  }

  /** Reads the log and marks it, so that the update of an earlier home fails. */
  async #takeOver(): Promise<boolean> {
    try {
      const placed = await this.#log.load();
      this.#index.clear();
      this.#answerBytes = 0;
      for (const { segment, batch } of placed) this.#apply(batch, segment);
    } catch {
      return false;
    }
    const entries: JournalEntry[] = [{ kind: "takeover", vm: this.#env.vm }];
    await this.#env.takeWrite();
    const result = await this.#log.append({
      id: crypto.randomUUID(),
      at: Date.now(),
      entries,
    }, () => {});
    if (result !== AppendResult.Committed) return false;
    this.#state = HomeState.Home;
    this.#env.onTakenOver(this.#index.size);
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
    place: { segment: number; at: number },
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
      ...place,
    };
    this.#index.set(entry.key, state);
  }

  #applySettle(
    entry: SettleEntry,
    place: { segment: number; at: number },
  ): void {
    const known = this.#index.get(entry.key);
    if (
      known === undefined || known.claimId !== entry.claimId ||
      known.result !== "claimed"
    ) return;
    const keep =
      this.#answerBytes + entry.answer.length <= this.#env.answerMemoryBytes;
    if (keep) this.#answerBytes += entry.answer.length;
    this.#index.set(entry.key, {
      ...known,
      result: entry.result,
      status: entry.status,
      answer: keep ? entry.answer : undefined,
      ...place,
    });
  }

  /** Drops keys past their retention and deletes segments that hold no other. */
  async #cleanUp(): Promise<void> {
    const everyMs = Math.min(CLEAN_UP_MS, this.#env.retentionMs);
    if (monotonicNow() - this.#cleanedAt < everyMs) return;
    this.#cleanedAt = monotonicNow();
    const oldest = Date.now() - this.#env.retentionMs;
    let firstKept = this.#log.number;
    for (const [key, state] of this.#index) {
      if (state.at >= oldest) {
        firstKept = Math.min(firstKept, state.segment);
        continue;
      }
      this.#index.delete(key);
      this.#answerBytes -= state.answer?.length ?? 0;
    }
    try {
      while (this.#log.first < firstKept && this.#state === HomeState.Home) {
        await this.#env.takeWrite();
        await this.#log.deleteFirst();
      }
    } catch {
      // The next clean-up tries again.
    }
  }
}
