/**
 * Shares the time for handling received bytes among connections. Node.js reads up to 2 MB
 * of a readable socket before it serves another one, and what these bytes cause (a callback
 * for each chunk, interim response or request in them) would hold up everything else.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as net from "node:net";
import process from "node:process";
import type { Readable } from "node:stream";
import * as timers from "node:timers/promises";
import { type Clock, monotonicNow } from "@bitternfall/types";

/** Least time of each event-loop turn for connections that have used up their credit. */
const TURN_MS = 2;
/**
 * The same for those of them with few bytes, as a share of the time that everything else
 * took since their last turn.
 */
const SMALL_SHARE = 0.5;
const SMALL_BYTES = 16_384;
/** Time of a turn in which a connection goes on reading while no other one waits. */
const FREE_TURN_MS = 4;
/** Time without others' bytes after which bytes that are discarded count no more than others. */
const QUIET_MS = 10;
/** Time that a connection may use before it waits behind those with credit. */
const CREDIT_MS = 1;
/** Share of the elapsed time that a connection's credit grows by. */
const CREDIT_GROWTH = 0.01;
/** Most use that is remembered, as a pause of the process may fall into a connection's turn. */
const MAX_USED_MS = 20;
/** Time that handling one slice should take. */
const SLICE_MS = 0.5;
/** Least that counts for reading {@link MAX_SLICE_BYTES} from the kernel, or handing them on. */
const READ_MS = 0.3;
const MIN_SLICE_BYTES = 256;
const FIRST_SLICE_BYTES = 1024;
/** Taken for the cost of bytes that is not measured. */
const MS_PER_BYTE = 0.000_25;
/** What Node.js reads at once. */
const MAX_SLICE_BYTES = 65_536;
/** Peers whose use is remembered at least while it counts. */
const MAX_ACCOUNTS = 1000;
/** Largest ratio of a slice to the one before. */
const SLICE_GROWTH = 8;
/** Least ratio of a slice to the one before, as one may have been interrupted. */
const SLICE_SHRINKAGE = 0.25;

/** Who goes first. */
enum Rank {
  /** Connections that have credit. */
  Light,
  Heavy,
  /** Connections whose bytes are discarded. */
  Discarded,
}

const RANKS = [Rank.Light, Rank.Heavy, Rank.Discarded];

/** What a {@link ReadShares} has done since it was last asked. */
export interface ReadStats {
  /** Time that handling received bytes took. */
  readonly busyMs: number;
  /** Longest time in one turn of the event loop. */
  readonly longestTurnMs: number;
  /** Longest time for one slice, which nothing can interrupt. */
  readonly longestSliceMs: number;
}

/** What the connections of one peer have used, and which of them wait for a turn. */
class Account {
  readonly ready = new Set<MeteredSocket>();
  readonly #now: Clock;
  isDiscarded = false;
  #usedMs = 0;
  #usedAt: number;

  constructor(now: Clock) {
    this.#now = now;
    this.#usedAt = now();
  }

  get hasCredit(): boolean {
    if (this.#usedMs < CREDIT_MS) return true;
    this.#update(this.#now());
    return this.#usedMs < CREDIT_MS;
  }

  get rank(): Rank {
    if (this.isDiscarded) return Rank.Discarded;
    return this.hasCredit ? Rank.Light : Rank.Heavy;
  }

  charge(ms: number, now: number): void {
    this.#update(now);
    this.#usedMs = Math.min(MAX_USED_MS, this.#usedMs + ms);
  }

  /** Takes the credit away for a while. */
  useUp(now: number): void {
    this.#update(now);
    this.#usedMs = Math.max(this.#usedMs, 2 * CREDIT_MS);
  }

  /** Whether it is like a new one. */
  isBalanced(now: number): boolean {
    this.#update(now);
    return this.#usedMs === 0 && this.ready.size === 0;
  }

  #update(now: number): void {
    const growthMs = (now - this.#usedAt) * CREDIT_GROWTH;
    this.#usedMs = Math.max(0, this.#usedMs - growthMs);
    this.#usedAt = now;
  }
}

/** Gives connections their turns. */
export class ReadShares {
  readonly #now: Clock;
  /** Accounts with connections that can go on, in the order of their turns. */
  readonly #waiting = RANKS.map(() => new Set<Account>());
  readonly #accounts = new Map<string, Account>();
  /** What counts of the turn beyond the time that was measured. */
  #addedMs = 0;
  /** Time of the turn for connections without credit, and how many had a part of it. */
  #heavyMs = 0;
  #heavyCount = 0;
  /** Time that everything else took since connections without credit began to wait. */
  #othersMs = 0;
  #turnEndedAt = 0;
  /** Whether connections without credit waited at the end of the last turn. */
  #isAnyHeavy = false;
  #isRunning = false;
  #isTurnBegun = false;
  #turnStartedAt = 0;
  /** When a connection without credit had a turn. */
  #heavyAt = -Infinity;
  #served: MeteredSocket | undefined;
  #servedRank = Rank.Light;
  #servedAt = 0;
  #servedBytes = 0;
  #stats = { busyMs: 0, longestTurnMs: 0, longestSliceMs: 0 };

  constructor({ now = monotonicNow }: { now?: Clock } = {}) {
    this.#now = now;
  }

  /**
   * Has a socket wait for its turns, before it has read anything. Connections to the same
   * peer share what one connection gets.
   */
  meter(socket: net.Socket, peer?: string): MeteredSocket {
    const known = meters.get(socket);
    if (known !== undefined) return known;
    const meter = new MeteredSocket(socket, {
      account: this.#openAccount(peer),
      now: this.#now,
      enqueue: (waiting) => this.#enqueue(waiting),
      isFree: () => this.#isFree(),
      countBytes: (bytes, ms) => this.#countBytes(bytes, ms),
    });
    meters.set(socket, meter);
    return meter;
  }

  /** What was done since the last call. */
  takeStats(): ReadStats {
    const stats = this.#stats;
    this.#stats = { busyMs: 0, longestTurnMs: 0, longestSliceMs: 0 };
    return stats;
  }

  #openAccount(peer: string | undefined): Account {
    if (peer === undefined) return new Account(this.#now);
    let account = this.#accounts.get(peer);
    if (account !== undefined) return account;
    if (this.#accounts.size >= MAX_ACCOUNTS) this.#dropBalanced();
    account = new Account(this.#now);
    this.#accounts.set(peer, account);
    return account;
  }

  #dropBalanced(): void {
    const now = this.#now();
    for (const [peer, account] of this.#accounts) {
      if (account.isBalanced(now)) this.#accounts.delete(peer);
    }
  }

  #enqueue(meter: MeteredSocket): void {
    const { account } = meter;
    account.ready.add(meter);
    this.#place(account);
    this.#start();
  }

  /** Has an account wait with those of its rank; it keeps its place if it is there. */
  #place(account: Account): void {
    for (const rank of RANKS) {
      if (rank === account.rank) this.#waiting[rank]!.add(account);
      else this.#waiting[rank]!.delete(account);
    }
  }

  #start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    setImmediate(this.#beginTurn);
  }

  readonly #beginTurn = () => {
    const now = this.#now();
    if (!this.#isTurnBegun) this.#resetTurn(now);
    if (this.#isAnyHeavy) this.#othersMs = now - this.#turnEndedAt;
    for (const account of this.#waiting[Rank.Heavy]!) {
      if (account.hasCredit) this.#place(account);
    }
    this.#serveNext(now);
  };

  #resetTurn(now: number): void {
    this.#isTurnBegun = true;
    this.#turnStartedAt = now;
    this.#addedMs = 0;
    this.#heavyMs = 0;
    this.#heavyCount = 0;
    this.#othersMs = 0;
  }

  /** Whether nothing waits, and time of this turn is left. */
  #isFree(): boolean {
    if (this.#waiting.some(({ size }) => size > 0)) return false;
    const now = this.#now();
    if (!this.#isTurnBegun) {
      this.#resetTurn(now);
      this.#start();
    }
    return now - this.#turnStartedAt < FREE_TURN_MS;
  }

  /** Counts bytes that were handed on at least as what they cost as a rule. */
  #countBytes(bytes: number, ms: number): void {
    const leastMs = bytes / MAX_SLICE_BYTES * READ_MS;
    this.#addedMs += Math.max(0, leastMs - ms);
  }

  #serveNext(now: number): void {
    this.#served = this.#takeNext(now);
    if (this.#served === undefined) return this.#endTurn(now);
    this.#servedAt = now;
    if (this.#served.needsRead) this.#addedMs += READ_MS;
    try {
      this.#servedBytes = this.#served.handOn();
    } finally {
      // After the ticks and promise jobs that the bytes caused, whose time counts too.
      queueMicrotask(this.#awaitTicks);
    }
  }

  readonly #awaitTicks = () => process.nextTick(this.#onServed);

  readonly #onServed = () => {
    const now = this.#now();
    const ms = now - this.#servedAt;
    const meter = this.#served!;
    this.#stats.longestSliceMs = Math.max(this.#stats.longestSliceMs, ms);
    if (this.#servedRank === Rank.Light) this.#othersMs += ms;
    else this.#heavyMs += ms;
    this.#countBytes(this.#servedBytes, ms);
    meter.charge({ ms, bytes: this.#servedBytes, now });
    if (meter.isReady) this.#enqueue(meter);
    this.#serveNext(now);
  };

  #endTurn(now: number): void {
    const turnMs = now - this.#turnStartedAt;
    this.#stats.busyMs += turnMs;
    this.#stats.longestTurnMs = Math.max(this.#stats.longestTurnMs, turnMs);
    this.#isRunning = false;
    this.#isTurnBegun = false;
    this.#turnEndedAt = now;
    this.#isAnyHeavy = this.#waiting[Rank.Heavy]!.size > 0;
    if (this.#waiting.some(({ size }) => size > 0)) this.#start();
  }

  #takeNext(now: number): MeteredSocket | undefined {
    for (const rank of RANKS) {
      const isQuiet = rank === Rank.Discarded &&
        now - this.#heavyAt > QUIET_MS;
      const usedMs = isQuiet ? this.#heavyMs : this.#heavyMs + this.#addedMs;
      const isTimeLeft = rank === Rank.Light || usedMs < TURN_MS ||
        this.#heavyCount === 0;
      const isTimeForSmall = rank === Rank.Heavy &&
        usedMs < this.#othersMs * SMALL_SHARE;
      if (!isTimeLeft && !isTimeForSmall) return undefined;
      for (const account of this.#waiting[rank]!) {
        const isAllowed = (meter: MeteredSocket) => isTimeLeft || meter.isSmall;
        const meter = takeReady(account, isAllowed);
        if (meter === undefined && account.ready.size > 0) continue;
        this.#waiting[rank]!.delete(account);
        if (account.ready.size > 0) this.#place(account);
        if (meter === undefined) continue;
        this.#servedRank = rank;
        if (rank !== Rank.Light) this.#heavyCount++;
        if (rank === Rank.Heavy) this.#heavyAt = now;
        return meter;
      }
    }
    return undefined;
  }
}

function takeReady(
  { ready }: Account,
  isAllowed: (meter: MeteredSocket) => boolean,
): MeteredSocket | undefined {
  for (const meter of ready) {
    if (meter.isReady && !isAllowed(meter)) continue;
    ready.delete(meter);
    if (meter.isReady) return meter;
  }
  return undefined;
}

const meters = new WeakMap<net.Socket, MeteredSocket>();

/** What a {@link MeteredSocket} is a part of. */
interface MeterOptions {
  readonly account: Account;
  readonly now: Clock;
  readonly enqueue: (meter: MeteredSocket) => void;
  readonly isFree: () => boolean;
  readonly countBytes: (bytes: number, ms: number) => void;
}

/** Holds what a socket has read until its turn comes. */
export class MeteredSocket {
  readonly account: Account;
  readonly #socket: net.Socket;
  readonly #options: MeterOptions;
  readonly #push: net.Socket["push"];
  readonly #read: net.Socket["_read"];
  readonly #destroy: net.Socket["destroy"];
  #queue: Buffer[] = [];
  #queuedBytes = 0;
  #isEnded = false;
  /** Set when writing has failed while received bytes wait. */
  #failure: Error | undefined;
  /** Whether the stream has room for more. */
  #isWanted = true;
  /** Whether the socket's handle goes on reading. */
  #isReading = false;
  /** Whether its socket is to be read again. */
  #isReadDue = false;
  #isDropping = false;
  #sliceBytes = FIRST_SLICE_BYTES;
  #message: Readable | undefined;
  #onHandedOn: (() => void) | undefined;
  #inspect: ((bytes: Buffer) => void) | undefined;
  #onWriteFailure: (() => void) | undefined;
  #stopsAfterReads = false;

  constructor(
    socket: net.Socket,
    options: MeterOptions,
  ) {
    this.#options = options;
    this.account = options.account;
    this.#socket = socket;
    this.#push = socket.push.bind(socket);
    this.#read = socket._read.bind(socket);
    this.#destroy = socket.destroy.bind(socket);
    socket.push = (chunk: Buffer | null) => this.#onRead(chunk);
    socket._read = (size) => this.#onWanted(size);
    socket.destroy = (err) => this.#onDestroy(err);
    socket.on("resume", () => this.#wake());
  }

  /** Bytes that have been read and not handed on. */
  get queuedBytes(): number {
    return this.#queuedBytes;
  }

  /** Bytes that have been handed on. */
  get handedOnBytes(): number {
    return this.#socket.bytesRead - this.#queuedBytes;
  }

  /** Reads and hands on nothing while a message that is read from the socket is paused. */
  follow(message: Readable): void {
    this.#message = message;
    message.on("resume", () => this.#wake());
  }

  /**
   * Calls a function with each slice before it is handed on; nothing is, if the function
   * destroys the socket.
   */
  inspect(callback: (bytes: Buffer) => void): void {
    this.#inspect = callback;
  }

  /**
   * Calls a function as soon as writing fails. The socket reports it only once all received
   * bytes have been handed on, and the end of the connection with them.
   */
  onWriteFailure(callback: () => void): void {
    this.#onWriteFailure = callback;
  }

  /** Calls a function after each slice that has been handed on. */
  onHandedOn(callback: () => void): void {
    this.#onHandedOn = callback;
  }

  /**
   * Reads nothing before what was read has been handed on, or no longer so. libuv reports a
   * reset that arrives together with data as a normal end of the connection, unless reading
   * was stopped in between.
   */
  setStopsAfterReads(stopsAfterReads: boolean): void {
    this.#stopsAfterReads = stopsAfterReads;
  }

  /** Drops all further bytes; the end of the connection is still told. */
  dropRest(): void {
    this.#isDropping = true;
    this.#queue = [];
    this.#queuedBytes = 0;
  }

  /** Hands the following bytes on only while nothing else waits, or no longer so. */
  setDiscarded(isDiscarded: boolean): void {
    this.account.isDiscarded = isDiscarded;
    this.#wake();
  }

  /** Whether there is something that can be handed on, or read. */
  get isReady(): boolean {
    const isWaiting = this.#queuedBytes > 0 || this.#isEnded ||
      this.#isReadDue;
    return isWaiting && this.#isWanted && !this.#isPaused &&
      !this.#socket.destroyed;
  }

  /** Whether it has few bytes to hand on, and all that were there. */
  get isSmall(): boolean {
    return !this.needsRead && this.#queuedBytes <= SMALL_BYTES;
  }

  /** Whether its turn is used for reading from the kernel. */
  get needsRead(): boolean {
    return this.#isReadDue && this.#queuedBytes === 0 && !this.#isEnded;
  }

  get #isPaused(): boolean {
    const socket = this.#socket;
    // A socket that is read by `readable` events counts as paused.
    const isSocketPaused = socket.isPaused() &&
      socket.listenerCount("readable") === 0;
    return isSocketPaused || this.#message?.isPaused() === true;
  }

  /** Hands one slice on, or the end, or reads; returns the length of the slice. */
  handOn(): number {
    if (this.needsRead) {
      this.#isReadDue = false;
      this.#startReading(MAX_SLICE_BYTES);
      return 0;
    }
    if (this.#queuedBytes === 0) {
      this.#isEnded = false;
      this.#push(null);
      this.#socket.read(0);
      return 0;
    }
    const first = this.#queue[0]!;
    const slice = first.subarray(0, this.#sliceBytes);
    if (slice.length === first.length) this.#queue.shift();
    else this.#queue[0] = first.subarray(slice.length);
    this.#queuedBytes -= slice.length;
    this.#isWanted = false;
    this.#inspect?.(slice);
    if (this.#socket.destroyed) return slice.length;
    this.#push(slice);
    this.#onHandedOn?.();
    return slice.length;
  }

  /** Counts the time that handling a slice took. */
  charge(
    { ms, bytes, now }: { ms: number; bytes: number; now: number },
  ): void {
    this.account.charge(ms, now);
    if (bytes > 0) this.#adaptSlice(ms, bytes);
    if (this.#failure !== undefined && !this.isReady) {
      this.#destroy(this.#failure);
    }
  }

  #adaptSlice(ms: number, bytes: number): void {
    const aimedBytes = bytes * SLICE_MS / Math.max(ms, Number.EPSILON);
    const maxBytes = Math.min(
      MAX_SLICE_BYTES,
      this.#sliceBytes * SLICE_GROWTH,
    );
    const minBytes = Math.max(
      MIN_SLICE_BYTES,
      this.#sliceBytes * SLICE_SHRINKAGE,
    );
    this.#sliceBytes = Math.ceil(
      Math.max(minBytes, Math.min(maxBytes, aimedBytes)),
    );
  }

  /** Returns whether to read on before these bytes have been handed on. */
  #onRead(chunk: Buffer | null): boolean {
    this.#isReading = this.#take(chunk);
    return this.#isReading;
  }

  #take(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.#isEnded = true;
    } else if (this.#isDropping) {
      return true;
    } else {
      // More than is read at once may wait in the kernel.
      if (chunk.length >= MAX_SLICE_BYTES) {
        this.account.useUp(this.#options.now());
      }
      if (this.#passesAtOnce(chunk)) return this.#pass(chunk);
      this.#queue.push(chunk);
      this.#queuedBytes += chunk.length;
    }
    this.#wake();
    return !this.#stopsAfterReads && chunk !== null &&
      this.#queuedBytes < SMALL_BYTES && this.#isWanted &&
      this.account.rank === Rank.Light;
  }

  /** Whether bytes need not wait: they are few or cheap, and there is credit or time. */
  #passesAtOnce(chunk: Buffer): boolean {
    if (
      chunk.length > this.#sliceBytes || this.#queuedBytes > 0 ||
      !this.#isWanted || this.#stopsAfterReads || this.#isPaused
    ) return false;
    const { rank } = this.account;
    if (rank === Rank.Light && chunk.length <= FIRST_SLICE_BYTES) return true;
    return rank !== Rank.Discarded && this.#options.isFree();
  }

  /** Hands a whole chunk on, and returns whether the stream has room for more. */
  #pass(chunk: Buffer): boolean {
    const startedAt = this.#options.now();
    this.#isWanted = false;
    this.#inspect?.(chunk);
    if (this.#socket.destroyed) return false;
    const hasRoom = this.#push(chunk);
    this.#isWanted ||= hasRoom;
    const now = this.#options.now();
    // What it has caused may run later.
    const unmeasuredMs = Math.min(chunk.length, FIRST_SLICE_BYTES) *
      MS_PER_BYTE;
    const ms = Math.max(now - startedAt, unmeasuredMs);
    this.account.charge(ms, now);
    this.#options.countBytes(chunk.length, now - startedAt);
    if (ms > SLICE_MS) this.#adaptSlice(ms, chunk.length);
    this.#onHandedOn?.();
    return hasRoom;
  }

  #onWanted(size: number): void {
    this.#isWanted = true;
    if (this.#queuedBytes > 0 || this.#isEnded) return this.#wake();
    if (this.#failure !== undefined || this.#isReading) return;
    // Called again once the socket is connected.
    if (this.#socket.connecting) return this.#read(size);
    const isPaused = this.#message?.isPaused() === true;
    if (this.account.rank === Rank.Light && !isPaused) {
      return this.#startReading(size);
    }
    this.#isReadDue = true;
    this.#wake();
  }

  #startReading(size: number): void {
    this.#isReading = true;
    this.#isReadDue = false;
    this.#read(size);
  }

  #wake(): void {
    if (this.isReady) this.#options.enqueue(this);
  }

  #onDestroy(err: NodeJS.ErrnoException | undefined): net.Socket {
    const socket = this.#socket;
    if (err?.syscall === "write") this.#onWriteFailure?.();
    // A peer may answer, and close the connection, before it has read the request.
    if (err?.syscall === "write" && this.isReady) {
      this.#failure ??= err;
      return socket;
    }
    this.#queue = [];
    this.#queuedBytes = 0;
    this.#isEnded = false;
    return this.#destroy(err);
  }
}

const shares = new ReadShares();

/**
 * Has a socket of this process wait for its turns, before it has read anything. Connections
 * to the same peer share what one connection gets.
 */
export function meterSocket(socket: net.Socket, peer?: string): MeteredSocket {
  return shares.meter(socket, peer);
}

/** The meter of a socket, if it has one. */
export function findMeter(socket: net.Socket): MeteredSocket | undefined {
  return meters.get(socket);
}

/** What reading took in this process since the last call. */
export function takeReadStats(): ReadStats {
  return shares.takeStats();
}

/**
 * Resolves once what had been read of a socket has been handed on, or after `timeoutMs`. Some
 * of it may be a request.
 */
export async function whenHandedOn(
  socket: net.Socket,
  { timeoutMs }: { timeoutMs: number },
): Promise<void> {
  const meter = meters.get(socket);
  const endsAt = monotonicNow() + timeoutMs;
  do await timers.setImmediate(); while (
    meter !== undefined && meter.queuedBytes > 0 && !socket.destroyed &&
    monotonicNow() < endsAt
  );
}
