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
  /** What the entry needs of the servers, for {@link FairQueue.sumAhead}; 0 when absent. */
  readonly promptTokens?: number;
  readonly heldTokens?: number;
}

/** Entries in one class of one account, or of all accounts that share a lane. */
interface Lane<T> {
  readonly entries: T[];
  /** Queued work by account; the lane gets one quantum a round for each. */
  readonly accounts: Map<string, QueuedWork>;
  readonly work: QueuedWork;
  deficit: number;
  /** Whether the lane has received its quantum for this round. */
  hasQuantum: boolean;
}

type Lanes<T> = Map<string, Lane<T>>;

/** Entries of one class. */
interface PriorityClass<T> {
  readonly lanes: Lanes<T>;
  readonly work: QueuedWork;
}

/** Work of several entries. */
export interface QueuedWork {
  requests: number;
  cost: number;
  promptTokens: number;
  heldTokens: number;
}

/** Classes of one rank: normal and batch. */
const CLASSES_PER_RANK = 2;
/** Classes in order of service: those of started requests, then those of each rank. */
const CLASS_COUNT = RANK_COUNT * (1 + CLASSES_PER_RANK);
/**
 * Queued cost, relative to the mean of the other accounts, above which an account gets a lane
 * of its own. The queued cost of accounts with equal demand differs by chance, and serving
 * them by turns makes those late that were promised to be on time when they arrived.
 */
const MAX_COST_IN_SHARED_LANE = 3;
/**
 * Queued requests below which an account stays in the shared lane, where so few delay others
 * by little.
 */
const MIN_REQUESTS_IN_OWN_LANE = 8;
/** Lane of the accounts that queue no more than others, in order of arrival. */
const SHARED_LANE = "";

/** A queue with priority classes that is fair to accounts by cost. */
export class FairQueue<T extends QueueEntry> {
  readonly #classes: PriorityClass<T>[] = Array.from(
    { length: CLASS_COUNT },
    () => ({ lanes: new Map(), work: createWork() }),
  );
  readonly #shares = new RankShares();
  readonly #quantum: number;
  readonly #laneNames = new Map<T, string>();
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
    const { lanes, work } = this.#classes[getClass(entry)]!;
    const name = findLane(lanes, entry);
    let lane = lanes.get(name);
    if (lane === undefined) {
      lane = {
        entries: [],
        accounts: new Map(),
        work: createWork(),
        deficit: 0,
        hasQuantum: false,
      };
      lanes.set(name, lane);
    }
    lane.entries.push(entry);
    this.#laneNames.set(entry, name);
    addToAccount(lane, entry, 1);
    addWork(lane.work, toWork(entry));
    addWork(work, toWork(entry));
    this.#size++;
  }

  /** The next entry; it stays in the queue until {@link take} or {@link remove}. */
  peek(): T | undefined {
    if (this.#size === 0) return undefined;
    for (let index = 0; index < RANK_COUNT; index++) {
      const { lanes } = this.#classes[index]!;
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
    const { lanes } = this.#classes[getClass(entry)]!;
    const lane = lanes.get(this.#laneNames.get(entry) ?? SHARED_LANE);
    if (lane !== undefined) lane.deficit -= entry.cost;
    this.remove(entry);
    if (entry.priority === Priority.Interactive) return;
    const { rank = 0, cost } = entry;
    const isLowerWaiting = this.#findWaiting(rank + 1) !== undefined;
    this.#shares.record({ rank, cost }, isLowerWaiting);
  }

  /** Removes an entry without charging for it; false when it is not queued. */
  remove(entry: T): boolean {
    const { lanes, work } = this.#classes[getClass(entry)]!;
    const name = this.#laneNames.get(entry) ?? SHARED_LANE;
    const lane = lanes.get(name);
    const index = lane?.entries.indexOf(entry) ?? -1;
    if (lane === undefined || index < 0) return false;
    lane.entries.splice(index, 1);
    this.#laneNames.delete(entry);
    addToAccount(lane, entry, -1);
    addWork(lane.work, toWork(entry), -1);
    addWork(work, toWork(entry), -1);
    if (lane.entries.length === 0) lanes.delete(name);
    // Rounding errors of fractional work don't outlast the entries.
    if (lanes.size === 0) Object.assign(work, createWork());
    this.#size--;
    return true;
  }

  /**
   * Estimates the work that is served before a new entry of this account and class: the
   * entries of its lane, and as many of each account in other lanes. More urgent ranks count as far
   * as the share of the lower ones lets them go first.
   */
  sumAhead(
    entry: Omit<QueueEntry, "cost"> & { cost?: number },
    { ignoresMoreUrgent = false } = {},
  ): QueuedWork {
    const { rank = 0, cost = 0 } = entry;
    const index = getClass(entry);
    const sum = this.#sumAheadInRank(index, entry);
    const moreUrgent = ignoresMoreUrgent || index < RANK_COUNT
      ? createWork()
      : this.sumMoreUrgent(rank, sum.cost + cost);
    const started = index < RANK_COUNT ? index : RANK_COUNT;
    for (let other = 0; other < started; other++) {
      addWork(sum, this.#classes[other]!.work);
    }
    addWork(sum, moreUrgent);
    return sum;
  }

  /**
   * Work of more urgent ranks that is served before entries of `rank` that cost `ownCost`,
   * without requests that have started.
   */
  sumMoreUrgent(rank: number, ownCost: number): QueuedWork {
    const sum = createWork();
    for (let other = RANK_COUNT; other < getFirstClass(rank); other++) {
      addWork(sum, this.#classes[other]!.work);
    }
    if (sum.requests === 0) return sum;
    const maxCost = this.#shares.getMaxCostAhead(rank, ownCost);
    if (sum.cost <= maxCost) return sum;
    const bounded = createWork();
    addWork(bounded, sum, maxCost / sum.cost);
    return bounded;
  }

  #sumAheadInRank(
    index: number,
    entry: Omit<QueueEntry, "cost">,
  ): QueuedWork {
    const sum = createWork();
    const isBatch = index >= RANK_COUNT &&
      (index - RANK_COUNT) % CLASSES_PER_RANK > 0;
    if (isBatch) addWork(sum, this.#classes[index - 1]!.work);
    const { lanes } = this.#classes[index]!;
    const ownName = findLane(lanes, entry);
    const own = lanes.get(ownName);
    const turns = 1 + (own?.entries.length ?? 0) / (own?.accounts.size ?? 1);
    for (const [name, lane] of lanes) {
      const count = Math.ceil(turns * lane.accounts.size);
      if (name === ownName || lane.entries.length <= count) {
        addWork(sum, lane.work);
        continue;
      }
      for (let other = 0; other < count; other++) {
        addWork(sum, toWork(lane.entries[other]!));
      }
    }
    return sum;
  }

  /** Entries of one rank that have not started, about in the order of service. */
  *listRank(rank: number): Generator<T> {
    const first = getFirstClass(rank);
    for (let index = first; index < first + CLASSES_PER_RANK; index++) {
      yield* this.#listInTurns(index);
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
    for (const lane of this.#classes[index]!.lanes.values()) {
      yield* lane.entries;
    }
  }

  *#listInTurns(index: number): Generator<T> {
    const lanes = [...this.#classes[index]!.lanes.values()];
    for (let turn = 0, hasMore = lanes.length > 0; hasMore; turn++) {
      hasMore = false;
      for (const { entries, accounts } of lanes) {
        const first = turn * accounts.size;
        if (first >= entries.length) continue;
        hasMore = true;
        yield* entries.slice(first, first + accounts.size);
      }
    }
  }

  #getClasses(rank: number): [normal: Lanes<T>, batch: Lanes<T>] {
    const first = getFirstClass(rank);
    return [this.#classes[first]!.lanes, this.#classes[first + 1]!.lanes];
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
      for (const [name, lane] of lanes) {
        const entry = lane.entries[0]!;
        if (!lane.hasQuantum) {
          this.#skipRounds(lanes);
          lane.deficit += this.#quantum * lane.accounts.size;
          lane.hasQuantum = true;
        }
        if (lane.deficit >= entry.cost) return entry;
        // The deficit doesn't cover the entry yet: it is kept, and the lane goes to the end.
        lane.hasQuantum = false;
        lanes.delete(name);
        lanes.set(name, lane);
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
    for (const { entries, deficit, accounts } of lanes.values()) {
      const missing = entries[0]!.cost - deficit;
      const quantum = this.#quantum * accounts.size;
      rounds = Math.min(rounds, Math.ceil(missing / quantum) - 1);
      if (rounds <= 0) return;
    }
    for (const lane of lanes.values()) {
      lane.deficit += rounds * this.#quantum * lane.accounts.size;
    }
  }
}

/** Work of no entry. */
export function createWork(): QueuedWork {
  return { requests: 0, cost: 0, promptTokens: 0, heldTokens: 0 };
}

/** Adds `factor` times `work` to `sum`. */
export function addWork(sum: QueuedWork, work: QueuedWork, factor = 1): void {
  sum.requests += factor * work.requests;
  sum.cost += factor * work.cost;
  sum.promptTokens += factor * work.promptTokens;
  sum.heldTokens += factor * work.heldTokens;
}

/** Work of one entry. */
export function toWork(
  { cost, promptTokens = 0, heldTokens = 0 }: QueueEntry,
): QueuedWork {
  return { requests: 1, cost, promptTokens, heldTokens };
}

/** Lane of a new entry: shared by accounts that queue no more than others, or its own. */
function findLane<T>(
  lanes: Lanes<T>,
  { account, workspace }: Omit<QueueEntry, "cost">,
): string {
  if (account === undefined) return `w ${workspace}`;
  const own = `a ${account}`;
  if (lanes.has(own)) return own;
  const shared = lanes.get(SHARED_LANE);
  const queued = shared?.accounts.get(account);
  if (shared === undefined || queued === undefined) return SHARED_LANE;
  if (queued.requests < MIN_REQUESTS_IN_OWN_LANE) return SHARED_LANE;
  const others = Math.max(1, shared.accounts.size - 1);
  const meanCost = (shared.work.cost - queued.cost) / others;
  return queued.cost > MAX_COST_IN_SHARED_LANE * meanCost ? own : SHARED_LANE;
}

/** Adds an entry to the work of its account, or subtracts it. */
function addToAccount<T>(
  { accounts }: Lane<T>,
  entry: QueueEntry,
  sign: 1 | -1,
): void {
  const account = entry.account ?? entry.workspace;
  const work = accounts.get(account) ?? createWork();
  addWork(work, toWork(entry), sign);
  if (work.requests === 0) accounts.delete(account);
  else accounts.set(account, work);
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
