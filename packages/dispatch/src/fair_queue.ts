/**
 * Queued requests of one service: priority between classes, and fair queueing by deficit
 * round robin across accounts within a class. Requests that have started go first, then
 * lower ranks, and within a rank normal before batch requests. Ranks that are less urgent
 * keep a share of the granted cost, see {@link RankShares}.
 * @module
 */
import { Priority } from "@bitternfall/types";
import { RANK_COUNT, RankShares } from "./rank_shares.ts";

/** Properties by which the queue orders an entry. */
export interface QueueEntry {
  readonly workspace: string;
  /** Whose share the entry is charged to; `workspace` when absent. */
  readonly account?: string | undefined;
  /** From 0, the most urgent, to {@link RANK_COUNT} - 1; 0 when absent. */
  readonly rank?: number | undefined;
  readonly priority: number;
  /** Work of the entry; the unit is that of the quantum. */
  readonly cost: number;
}

/** Entries of one account in one class. */
interface Lane<T> {
  readonly entries: T[];
  deficit: number;
  /** Whether the lane has received its quantum for this round. */
  hasQuantum: boolean;
}

type Lanes<T> = Map<string, Lane<T>>;

/** Classes of one rank: normal and batch. */
const CLASSES_PER_RANK = 2;
/** Classes in order of service: those of started requests, then those of each rank. */
const CLASS_COUNT = RANK_COUNT * (1 + CLASSES_PER_RANK);

/** A queue with priority classes that is fair to accounts by cost. */
export class FairQueue<T extends QueueEntry> {
  readonly #classes: Lanes<T>[] = Array.from(
    { length: CLASS_COUNT },
    () => new Map(),
  );
  readonly #shares = new RankShares();
  readonly #quantum: number;
  #size = 0;
  #hasAccounts = false;

  constructor(options: { quantum: number }) {
    this.#quantum = options.quantum;
  }

  get size(): number {
    return this.#size;
  }

  push(entry: T): void {
    this.#hasAccounts ||= entry.account !== undefined;
    const lanes = this.#classes[getClass(entry)]!;
    const account = getAccount(entry);
    const lane = lanes.get(account);
    if (lane === undefined) {
      lanes.set(account, { entries: [entry], deficit: 0, hasQuantum: false });
    } else lane.entries.push(entry);
    this.#size++;
  }

  /** The next entry; it stays in the queue until {@link take} or {@link remove}. */
  peek(): T | undefined {
    if (this.#size === 0) return undefined;
    for (let index = 0; index < RANK_COUNT; index++) {
      const lanes = this.#classes[index]!;
      if (lanes.size > 0) return this.#peekClass(lanes);
    }
    let rank = this.#findWaiting(0)!;
    for (;;) {
      const lower = this.#findWaiting(rank + 1);
      if (lower === undefined || !this.#shares.isLowerDue(rank)) break;
      rank = lower;
    }
    const [normal, batch] = this.#getClasses(rank);
    return this.#peekClass(normal.size > 0 ? normal : batch);
  }

  /** Removes an entry and charges its cost to its account. */
  take(entry: T): void {
    const lane = this.#classes[getClass(entry)]!.get(getAccount(entry));
    if (lane !== undefined) lane.deficit -= entry.cost;
    this.remove(entry);
    if (entry.priority === Priority.Interactive) return;
    const { rank = 0, cost } = entry;
    const isLowerWaiting = this.#findWaiting(rank + 1) !== undefined;
    this.#shares.record({ rank, cost }, isLowerWaiting);
  }

  /** Removes an entry without charging for it; false when it is not queued. */
  remove(entry: T): boolean {
    const lanes = this.#classes[getClass(entry)]!;
    const account = getAccount(entry);
    const lane = lanes.get(account);
    const index = lane?.entries.indexOf(entry) ?? -1;
    if (lane === undefined || index < 0) return false;
    lane.entries.splice(index, 1);
    if (lane.entries.length === 0) lanes.delete(account);
    this.#size--;
    return true;
  }

  /**
   * Estimates which entries are served before a new one of this account and class: as many
   * of each other account as its own, and its own. More urgent ranks count as far as the
   * share of the lower ones lets them go first.
   */
  *listAhead(
    entry: Omit<QueueEntry, "cost"> & { cost?: number },
  ): Generator<T> {
    const { rank = 0, cost = 0 } = entry;
    const index = getClass(entry);
    let ownCost = cost;
    for (const other of this.#listAheadInRank(index, getAccount(entry))) {
      ownCost += other.cost;
      yield other;
    }
    if (index < RANK_COUNT) {
      for (let other = 0; other < index; other++) {
        yield* this.#listClass(other);
      }
      return;
    }
    for (let other = 0; other < RANK_COUNT; other++) {
      yield* this.#listClass(other);
    }
    yield* this.#listMoreUrgent(rank, ownCost);
  }

  /** Entries of more urgent ranks that are served before entries that cost `ownCost`. */
  *#listMoreUrgent(rank: number, ownCost: number): Generator<T> {
    if (rank === 0) return;
    let maxCost = this.#shares.getMaxCostAhead(rank, ownCost);
    for (let other = RANK_COUNT; other < getFirstClass(rank); other++) {
      for (const entry of this.#listClass(other)) {
        if (maxCost <= 0) return;
        maxCost -= entry.cost;
        yield entry;
      }
    }
  }

  *#listAheadInRank(index: number, account: string): Generator<T> {
    const isBatch = index >= RANK_COUNT &&
      (index - RANK_COUNT) % CLASSES_PER_RANK > 0;
    if (isBatch) yield* this.#listClass(index - 1);
    const lanes = this.#classes[index]!;
    const ownCount = lanes.get(account)?.entries.length ?? 0;
    for (const [name, lane] of lanes) {
      const count = name === account
        ? ownCount
        : Math.min(lane.entries.length, ownCount + 1);
      for (let other = 0; other < count; other++) yield lane.entries[other]!;
    }
  }

  /** All entries, class by class; where there are accounts, these take turns in a class. */
  *[Symbol.iterator](): Generator<T> {
    for (let index = 0; index < CLASS_COUNT; index++) {
      if (this.#hasAccounts) yield* this.#listInTurns(index);
      else yield* this.#listClass(index);
    }
  }

  *#listClass(index: number): Generator<T> {
    for (const lane of this.#classes[index]!.values()) yield* lane.entries;
  }

  *#listInTurns(index: number): Generator<T> {
    const lanes = [...this.#classes[index]!.values()];
    for (let turn = 0, hasMore = lanes.length > 0; hasMore; turn++) {
      hasMore = false;
      for (const { entries } of lanes) {
        if (turn >= entries.length) continue;
        hasMore = true;
        yield entries[turn]!;
      }
    }
  }

  #getClasses(rank: number): [normal: Lanes<T>, batch: Lanes<T>] {
    const first = getFirstClass(rank);
    return [this.#classes[first]!, this.#classes[first + 1]!];
  }

  /** The most urgent rank from `rank` on that has entries which have not started. */
  #findWaiting(rank: number): number | undefined {
    if (this.#size === 0) return undefined;
    for (let other = rank; other < RANK_COUNT; other++) {
      const [normal, batch] = this.#getClasses(other);
      if (normal.size > 0 || batch.size > 0) return other;
    }
    return undefined;
  }

  #peekClass(lanes: Lanes<T>): T {
    for (;;) {
      for (const [account, lane] of lanes) {
        const entry = lane.entries[0]!;
        if (!lane.hasQuantum) {
          this.#skipRounds(lanes);
          lane.deficit += this.#quantum;
          lane.hasQuantum = true;
        }
        if (lane.deficit >= entry.cost) return entry;
        // The deficit doesn't cover the entry yet: it is kept, and the lane goes to the end.
        lane.hasQuantum = false;
        lanes.delete(account);
        lanes.set(account, lane);
        break;
      }
    }
  }

  /**
   * Adds the quanta of the rounds in which no lane could serve its first entry. Going through
   * them one by one would take hundreds of rounds where entries cost far more than a quantum.
   */
  #skipRounds(lanes: Lanes<T>): void {
    let rounds = Infinity;
    for (const { entries, deficit } of lanes.values()) {
      const missing = entries[0]!.cost - deficit;
      rounds = Math.min(rounds, Math.ceil(missing / this.#quantum) - 1);
      if (rounds <= 0) return;
    }
    for (const lane of lanes.values()) lane.deficit += rounds * this.#quantum;
  }
}

function getAccount({ account, workspace }: Omit<QueueEntry, "cost">): string {
  return account ?? workspace;
}

/** Index of an entry's class in the order of service. */
function getClass({ rank = 0, priority }: Omit<QueueEntry, "cost">): number {
  if (priority === Priority.Interactive) return rank;
  return getFirstClass(rank) + priority - Priority.Normal;
}

/** Index of the first class of a rank's entries that have not started. */
function getFirstClass(rank: number): number {
  return RANK_COUNT + CLASSES_PER_RANK * rank;
}
