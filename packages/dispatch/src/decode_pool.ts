/**
 * Decode servers of one service: slots held, predicted releases, and the concurrency
 * at which the target between outputs still holds.
 * @module
 */
import { forecastPeak, type RunForecast } from "./memory_forecast.ts";
import { type GrantState, Phase } from "./model.ts";
import { createHealth, isUsable, type ServerHealth } from "./server_health.ts";

/** State of one decode server. */
export interface DecodeServer extends ServerHealth {
  readonly id: string;
  readonly availabilityZone: string;
  readonly grants: Set<GrantState>;
  /** Tokens of memory set aside for the grants. */
  heldTokens: number;
  /** Requests it may hold; learnt, at most the hard limit. */
  limit: number;
  /** Requests it holds that this dispatcher did not grant. */
  foreign: number;
  leaving: boolean;
  cutAt: number;
  reported: { running: number; waiting: number } | undefined;
  /** Number of grants decoding, by time, to compare with lagging reports. */
  readonly history: { at: number; count: number }[];
}

const HISTORY_MS = 3000;
const INITIAL_OUTPUT_TOKENS = 64;
const INITIAL_INTERVAL_MS = 25;
const LENGTH_GAIN = 0.05;
const INTERVAL_GAIN = 0.1;
const LIMIT_STEP_UP = 0.1;
const LIMIT_CUT = 0.93;
const CUT_PAUSE_MS = 500;
/** Share of the target above which the limit no longer grows. */
const COMFORT = 0.95;
/** Usual time from a grant to the first output of its run. */
const PREFILL_MS = 150;
/** Memory that is left for runs that grow beyond what is expected. */
const MEMORY_RESERVE = 0.02;
/** What a run beyond its estimate is expected to add, relative to what it has made. */
const OUTGROWN_SHARE = 0.3;
/** Workspaces whose output length is remembered. */
const MAX_LENGTHS = 2000;

/** The decode servers of a service. */
export class DecodePool {
  readonly servers = new Map<string, DecodeServer>();
  readonly #lengths = new Map<string, number>();
  #slots = 1;
  #targetMs = Infinity;
  #memoryTokens = Infinity;
  #tokensPerOutput = 1;
  #intervalMs = INITIAL_INTERVAL_MS;
  #meanLength = INITIAL_OUTPUT_TOKENS;
  #holdMs = INITIAL_OUTPUT_TOKENS * INITIAL_INTERVAL_MS;

  /** Sets the hard limits and the target between outputs. */
  configure(
    options: {
      slots: number;
      targetMs: number;
      memoryTokens?: number;
      tokensPerOutput?: number;
    },
  ): void {
    this.#tokensPerOutput = options.tokensPerOutput ?? 1;
    this.#memoryTokens = options.memoryTokens ?? Infinity;
    const grew = options.slots > this.#slots;
    this.#slots = options.slots;
    this.#targetMs = options.targetMs;
    for (const server of this.servers.values()) {
      server.limit = grew
        ? options.slots
        : Math.min(server.limit, options.slots);
    }
  }

  add(server: { id: string; availabilityZone: string }): void {
    this.servers.set(server.id, {
      id: server.id,
      availabilityZone: server.availabilityZone,
      grants: new Set(),
      heldTokens: 0,
      limit: this.#slots,
      foreign: 0,
      ...createHealth(),
      leaving: false,
      cutAt: -Infinity,
      reported: undefined,
      history: [],
    });
  }

  /** Mean time between outputs lately. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Mean time that a request holds its slot, from grant to release. */
  get holdMs(): number {
    return this.#holdMs;
  }

  /** Output tokens expected of a request. */
  getExpectedLength(workspace: string, maxTokens: number): number {
    return Math.min(
      maxTokens,
      this.#lengths.get(workspace) ?? this.#meanLength,
    );
  }

  /** A grant takes its slot and memory. */
  addGrant(grant: GrantState): void {
    const server = this.servers.get(grant.decode);
    if (server === undefined || server.grants.has(grant)) return;
    server.grants.add(grant);
    server.heldTokens += grant.heldTokens;
  }

  /** A grant gives its slot and memory back. */
  removeGrant(server: DecodeServer, grant: GrantState): void {
    if (server.grants.delete(grant)) server.heldTokens -= grant.heldTokens;
  }

  /** Whether a further run fits into the memory for as long as it lasts. */
  hasRoom(
    server: DecodeServer,
    run: { promptTokens: number; heldTokens: number; now: number },
  ): boolean {
    if (this.#memoryTokens === Infinity) return true;
    const { promptTokens, heldTokens, now } = run;
    if (server.heldTokens + heldTokens <= this.#memoryTokens) return true;
    const runs = [...server.grants].map((grant) =>
      this.#forecastRun(grant, now)
    );
    runs.push({
      tokens: promptTokens,
      remaining: Math.max(0, heldTokens - promptTokens),
      startsInMs: PREFILL_MS,
    });
    const limit = this.#memoryTokens * (1 - MEMORY_RESERVE);
    return forecastPeak(runs, this.#tokensPerMs) <= limit;
  }

  /** Tokens a millisecond that one run adds. */
  get #tokensPerMs(): number {
    return this.#tokensPerOutput / this.#intervalMs;
  }

  #forecastRun(grant: GrantState, now: number): RunForecast {
    const expected = Math.max(0, grant.heldTokens - grant.promptTokens);
    if (grant.phase === Phase.Prefill) {
      const startsInMs = Math.max(0, grant.firstOutputAt - now);
      return { tokens: grant.promptTokens, remaining: expected, startsInMs };
    }
    const made = Math.min(
      grant.maxTokens,
      (now - grant.decodeStartedAt) * this.#tokensPerMs,
    );
    // A run that has outgrown its estimate is expected to add a share of what it has made.
    const remaining = Math.min(
      grant.maxTokens - made,
      Math.max(expected - made, OUTGROWN_SHARE * made),
    );
    return { tokens: grant.promptTokens + made, remaining, startsInMs: 0 };
  }

  /** Share of the memory that would be set aside with a further run of `tokens`. */
  getMemoryShare(server: DecodeServer, tokens: number): number {
    return (server.heldTokens + tokens) / this.#memoryTokens;
  }

  /**
   * Predicted time until memory for `tokens` has been released, on the assumption that
   * what is held is released evenly over the mean hold.
   */
  predictMemoryWait(tokens: number, now: number): number {
    if (this.#memoryTokens === Infinity) return 0;
    const { free, total } = this.#countMemory(now);
    if (total === 0) return Infinity;
    const short = tokens - free;
    return short <= 0 ? 0 : short * this.#holdMs / total;
  }

  /** Tokens of memory that runs release in a millisecond while the memory is full. */
  getMemoryRate(now: number): number {
    if (this.#memoryTokens === Infinity) return 0;
    return this.#countMemory(now).total / this.#holdMs;
  }

  /** Memory of the servers that take work, and what of it is not set aside. */
  #countMemory(now: number): { free: number; total: number } {
    let free = 0;
    let total = 0;
    for (const server of this.servers.values()) {
      if (!isUsable(server, now)) continue;
      total += this.#memoryTokens;
      free += Math.max(0, this.#memoryTokens - server.heldTokens);
    }
    return { free, total };
  }

  /** Slots that are free now. */
  getFree(server: DecodeServer): number {
    return Math.floor(server.limit) - server.grants.size - server.foreign;
  }

  /**
   * Slots expected to be free at `at`: those free now, and a `share` of those that
   * requests which decode now give back by then at their mean pace.
   */
  getFreeAt(
    server: DecodeServer,
    options: { now: number; at: number; share: number },
  ): number {
    const { now, at, share } = options;
    const free = this.getFree(server);
    if (free > 0 || share <= 0) return free;
    let decoding = 0;
    for (const grant of server.grants) {
      if (grant.phase === Phase.Decode) decoding++;
    }
    const decodeMs = this.#meanLength * this.#intervalMs;
    return free + Math.floor(share * decoding * (at - now) / decodeMs);
  }

  /** Slots of all usable servers. */
  getTotalLimit(now: number): number {
    let total = 0;
    for (const server of this.servers.values()) {
      if (isUsable(server, now)) total += Math.floor(server.limit);
    }
    return total;
  }

  /** Notes how many grants decode now. */
  noteCount(server: DecodeServer, now: number): void {
    let count = 0;
    for (const grant of server.grants) {
      if (grant.phase === Phase.Decode) count++;
    }
    server.history.push({ at: now, count });
    while (
      server.history.length > 1 && server.history[1]!.at < now - HISTORY_MS
    ) server.history.shift();
  }

  /**
   * Takes a report in: what it counts beyond the grants that decoded when its figures
   * were taken is held by others.
   */
  setReport(
    server: DecodeServer,
    options: { running: number; waiting: number; ageMs: number; now: number },
  ): void {
    const { running, waiting, ageMs, now } = options;
    server.reported = { running, waiting };
    const at = now - ageMs;
    let count = 0;
    for (const sample of server.history) {
      if (sample.at > at) break;
      count = sample.count;
    }
    const slack = 2;
    server.foreign = Math.max(
      0,
      running - Math.max(count, server.grants.size) - slack,
    );
  }

  /** Learns from a finished decode. */
  learn(
    server: DecodeServer | undefined,
    seen: {
      workspace: string;
      tokens: number;
      intervalMs: number;
      holdMs: number;
      batch: number;
      now: number;
    },
  ): void {
    const { workspace, tokens, intervalMs, holdMs, batch, now } = seen;
    const length = this.#lengths.get(workspace) ?? this.#meanLength;
    this.#lengths.delete(workspace);
    this.#lengths.set(workspace, length + 2 * LENGTH_GAIN * (tokens - length));
    if (this.#lengths.size > MAX_LENGTHS) {
      this.#lengths.delete(this.#lengths.keys().next().value!);
    }
    this.#meanLength += LENGTH_GAIN * (tokens - this.#meanLength);
    this.#holdMs += LENGTH_GAIN * (holdMs - this.#holdMs);
    if (intervalMs <= 0 || server === undefined) return;
    this.#intervalMs += INTERVAL_GAIN * (intervalMs - this.#intervalMs);
    // Where memory bounds a server, a long interval shows a preempted run or a slow
    // server, and fewer runs would make neither faster.
    if (this.#memoryTokens === Infinity) {
      this.#adaptLimit(server, { intervalMs, batch, now });
    }
  }

  #adaptLimit(
    server: DecodeServer,
    seen: { intervalMs: number; batch: number; now: number },
  ): void {
    const { intervalMs, batch, now } = seen;
    if (intervalMs > this.#targetMs) {
      if (now - server.cutAt < CUT_PAUSE_MS) return;
      server.cutAt = now;
      server.limit = Math.max(1, Math.min(server.limit, batch) * LIMIT_CUT);
      return;
    }
    const comfortable = intervalMs < COMFORT * this.#targetMs;
    if (comfortable) {
      server.limit = Math.min(this.#slots, server.limit + LIMIT_STEP_UP);
    }
  }
}
