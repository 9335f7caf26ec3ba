/**
 * Decode servers of one service: slots and memory in use, predicted releases, and an
 * adaptive concurrency limit that keeps the time between outputs within its target.
 * @module
 */
import { forecastPeak, type RunForecast } from "./memory_forecast.ts";
import { type GrantState, NO_PREFILL, Phase } from "./model.ts";
import { createHealth, isUsable, type ServerHealth } from "./server_health.ts";

/** State of one decode server. */
export interface DecodeServer extends ServerHealth {
  readonly id: string;
  readonly availabilityZone: string;
  softwareVersion: string | undefined;
  readonly grants: Set<GrantState>;
  /** KV cache memory reserved for the grants, in tokens. */
  heldTokens: number;
  /** Adaptive concurrency limit, at most the hard limit. */
  limit: number;
  /** Requests on the server that this dispatcher did not grant, from load reports. */
  foreignRequests: number;
  isLeaving: boolean;
  /** Grants whose prompts the server prefills itself and has not finished. */
  ownPrefills: number;
  /** When the last of them ended. */
  ownPrefillEndedAt: number;
  /** When `limit` was last reduced. */
  limitReducedAt: number;
  reported: { running: number; waiting: number } | undefined;
  /** Recent numbers of decoding grants, to compare with load reports that lag behind. */
  readonly decodingHistory: { at: number; count: number }[];
}

const DECODING_HISTORY_MS = 3000;
const INITIAL_OUTPUT_TOKENS = 64;
const INITIAL_INTERVAL_MS = 25;
/** Smoothing factors of the moving averages. */
const LENGTH_SMOOTHING = 0.05;
const INTERVAL_SMOOTHING = 0.1;
/** Additive increase and multiplicative decrease of the concurrency limit. */
const LIMIT_INCREASE_STEP = 0.1;
const LIMIT_DECREASE_FACTOR = 0.93;
/** Shortest time between two decreases. */
const LIMIT_DECREASE_COOLDOWN_MS = 500;
/** The limit increases only while the interval is below this share of its target. */
const LIMIT_INCREASE_MAX_SHARE = 0.95;
/** Typical time from a grant to the first output of its run. */
const TYPICAL_FIRST_OUTPUT_MS = 150;
/** Largest share of the target time between outputs that one prefill may use up. */
const MAX_PREFILL_SHARE_OF_TARGET = 0.8;
/** Share of the memory kept free for runs that outgrow their estimate. */
const MEMORY_RESERVE_SHARE = 0.02;
/** Expected further output of a run beyond its estimate, relative to its output so far. */
const OVERRUN_SHARE = 0.3;
/** Workspaces whose mean output length is kept; the least recently updated are evicted. */
const MAX_TRACKED_WORKSPACES = 2000;

/** The decode servers of a service. */
export class DecodePool {
  readonly servers = new Map<string, DecodeServer>();
  readonly #meanLengthByWorkspace = new Map<string, number>();
  #slots = 1;
  #targetMs = Infinity;
  #memoryTokens = Infinity;
  #tokensPerOutput = 1;
  #intervalMs = INITIAL_INTERVAL_MS;
  #meanLength = INITIAL_OUTPUT_TOKENS;
  #meanHoldMs = INITIAL_OUTPUT_TOKENS * INITIAL_INTERVAL_MS;

  /** Sets the hard limits and the target time between outputs. */
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
    const hasMoreSlots = options.slots > this.#slots;
    this.#slots = options.slots;
    this.#targetMs = options.targetMs;
    for (const server of this.servers.values()) {
      server.limit = hasMoreSlots
        ? options.slots
        : Math.min(server.limit, options.slots);
    }
  }

  add(
    server: {
      id: string;
      availabilityZone: string;
      softwareVersion?: string | undefined;
    },
  ): void {
    this.servers.set(server.id, {
      id: server.id,
      availabilityZone: server.availabilityZone,
      softwareVersion: server.softwareVersion,
      grants: new Set(),
      heldTokens: 0,
      limit: this.#slots,
      foreignRequests: 0,
      ...createHealth(),
      isLeaving: false,
      ownPrefills: 0,
      ownPrefillEndedAt: -Infinity,
      limitReducedAt: -Infinity,
      reported: undefined,
      decodingHistory: [],
    });
  }

  /** Tokens that one output carries. */
  get tokensPerOutput(): number {
    return this.#tokensPerOutput;
  }

  /** Moving average of the time between outputs. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Moving average of the time from grant to release. */
  get meanHoldMs(): number {
    return this.#meanHoldMs;
  }

  /** Expected output tokens of a request. */
  getExpectedLength(workspace: string, maxTokens: number): number {
    return Math.min(
      maxTokens,
      this.#meanLengthByWorkspace.get(workspace) ?? this.#meanLength,
    );
  }

  /** Reserves the slot and memory of a grant. */
  addGrant(grant: GrantState): void {
    const server = this.servers.get(grant.decode);
    if (server === undefined || server.grants.has(grant)) return;
    server.grants.add(grant);
    if (isOwnPrefill(grant)) server.ownPrefills++;
    server.heldTokens += grant.heldTokens;
  }

  /** Frees the slot and memory of a grant. */
  removeGrant(server: DecodeServer, grant: GrantState, now: number): void {
    if (!server.grants.delete(grant)) return;
    server.heldTokens -= grant.heldTokens;
    if (isOwnPrefill(grant)) endOwnPrefill(server, now);
  }

  /** Records the first output of a grant. */
  startDecoding(grant: GrantState, now: number): void {
    const server = this.servers.get(grant.decode);
    if (server?.grants.has(grant) && isOwnPrefill(grant)) {
      endOwnPrefill(server, now);
    }
    grant.phase = Phase.Decode;
  }

  /** Whether another run fits into the server's memory until it ends. */
  canHold(
    server: DecodeServer,
    run: {
      promptTokens: number;
      heldTokens: number;
      now: number;
      /** Whether it may use the memory that is kept free for runs that grow. */
      mayUseReserve?: boolean;
    },
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
      startsInMs: TYPICAL_FIRST_OUTPUT_MS,
    });
    const reserveShare = run.mayUseReserve ? 0 : MEMORY_RESERVE_SHARE;
    const limit = this.#memoryTokens * (1 - reserveShare);
    // The peak is at least what the runs hold now, which takes less time to sum up.
    const heldNow = runs.reduce((sum, { tokens }) => sum + tokens, 0);
    if (heldNow > limit) return false;
    return forecastPeak(runs, this.#tokensPerMs) <= limit;
  }

  /** Output rate of one run, in tokens per millisecond. */
  get #tokensPerMs(): number {
    return this.#tokensPerOutput / this.#intervalMs;
  }

  #forecastRun(grant: GrantState, now: number): RunForecast {
    const expected = Math.max(0, grant.heldTokens - grant.promptTokens);
    if (grant.phase === Phase.Prefill) {
      const startsInMs = Math.max(0, grant.firstOutputAt - now);
      return { tokens: grant.promptTokens, remaining: expected, startsInMs };
    }
    const generated = Math.min(
      grant.maxTokens,
      (now - grant.decodeStartedAt) * this.#tokensPerMs,
    );
    // A run beyond its estimate is expected to add a share of its output so far.
    const remaining = Math.min(
      grant.maxTokens - generated,
      Math.max(expected - generated, OVERRUN_SHARE * generated),
    );
    return { tokens: grant.promptTokens + generated, remaining, startsInMs: 0 };
  }

  /** Share of the memory that would be reserved with another run of `tokens`. */
  getMemoryShare(server: DecodeServer, tokens: number): number {
    return (server.heldTokens + tokens) / this.#memoryTokens;
  }

  /**
   * Predicted time until `tokens` of memory are free, assuming that reserved memory is
   * released evenly over the mean hold time.
   */
  predictMemoryWait(tokens: number, now: number): number {
    if (this.#memoryTokens === Infinity) return 0;
    const { free, total } = this.#sumMemory(now);
    if (total === 0) return Infinity;
    const missingTokens = tokens - free;
    return missingTokens <= 0 ? 0 : missingTokens * this.#meanHoldMs / total;
  }

  /** Rate at which full memory is released, in tokens per millisecond. */
  getMemoryReleaseRate(now: number): number {
    if (this.#memoryTokens === Infinity) return 0;
    return this.#sumMemory(now).total / this.#meanHoldMs;
  }

  /** Total and unreserved memory of the servers that take work. */
  #sumMemory(now: number): { free: number; total: number } {
    let free = 0;
    let total = 0;
    for (const server of this.servers.values()) {
      if (!isUsable(server, now)) continue;
      total += this.#memoryTokens;
      free += Math.max(0, this.#memoryTokens - server.heldTokens);
    }
    return { free, total };
  }

  /** Free slots of a server; negative when over its limit. */
  getFreeSlots(server: DecodeServer): number {
    return Math.floor(server.limit) - server.grants.size -
      server.foreignRequests;
  }

  /**
   * Slots expected to be free at `at`: those free now, plus a `share` of the releases
   * expected by then at the mean rate.
   */
  predictFreeSlots(
    server: DecodeServer,
    options: { now: number; at: number; share: number },
  ): number {
    const { now, at, share } = options;
    const free = this.getFreeSlots(server);
    if (free > 0 || share <= 0) return free;
    let decoding = 0;
    for (const grant of server.grants) {
      if (grant.phase === Phase.Decode) decoding++;
    }
    const decodeMs = this.#meanLength * this.#intervalMs;
    return free + Math.floor(share * decoding * (at - now) / decodeMs);
  }

  /**
   * Whether a server can start to prefill a prompt itself now. The outputs of its runs wait
   * meanwhile, so each output may wait for one prompt only.
   */
  canPrefill(server: DecodeServer, now: number): boolean {
    return isUsable(server, now) && server.ownPrefills === 0 &&
      now >= server.ownPrefillEndedAt + this.#intervalMs &&
      this.getFreeSlots(server) > 0;
  }

  /** Whether runs stay within the target between outputs beside a prefill of `prefillMs`. */
  isWithinTargetBeside(prefillMs: number): boolean {
    return prefillMs + this.#intervalMs <=
      MAX_PREFILL_SHARE_OF_TARGET * this.#targetMs;
  }

  /** Number of servers that can start to prefill a prompt themselves now. */
  countAbleToPrefill(now: number): number {
    let count = 0;
    for (const server of this.servers.values()) {
      if (this.canPrefill(server, now)) count++;
    }
    return count;
  }

  /** Sum of the limits of all usable servers. */
  getTotalLimit(now: number): number {
    let total = 0;
    for (const server of this.servers.values()) {
      if (isUsable(server, now)) total += Math.floor(server.limit);
    }
    return total;
  }

  /** Records how many grants are decoding now. */
  recordDecodingCount(server: DecodeServer, now: number): void {
    let count = 0;
    for (const grant of server.grants) {
      if (grant.phase === Phase.Decode) count++;
    }
    server.decodingHistory.push({ at: now, count });
    while (
      server.decodingHistory.length > 1 &&
      server.decodingHistory[1]!.at < now - DECODING_HISTORY_MS
    ) server.decodingHistory.shift();
  }

  /**
   * Applies a load report. Running requests count as foreign beyond a small tolerance and
   * the number of grants, either those that were decoding when the figures were taken or
   * those held now, whichever are more.
   */
  setReport(
    server: DecodeServer,
    options: { running: number; waiting: number; ageMs: number; now: number },
  ): void {
    const { running, waiting, ageMs, now } = options;
    server.reported = { running, waiting };
    const at = now - ageMs;
    let count = 0;
    for (const sample of server.decodingHistory) {
      if (sample.at > at) break;
      count = sample.count;
    }
    const reportTolerance = 2;
    server.foreignRequests = Math.max(
      0,
      running - Math.max(count, server.grants.size) - reportTolerance,
    );
  }

  /** Updates the estimates and the concurrency limit from a finished run. */
  recordRun(
    server: DecodeServer | undefined,
    run: {
      workspace: string;
      tokens: number;
      intervalMs: number;
      /** Time from grant to release, where the grant was seen. */
      holdMs: number | undefined;
      batch: number;
      now: number;
    },
  ): void {
    const { workspace, tokens, intervalMs, holdMs, batch, now } = run;
    const length = this.#meanLengthByWorkspace.get(workspace) ??
      this.#meanLength;
    this.#meanLengthByWorkspace.delete(workspace);
    this.#meanLengthByWorkspace.set(
      workspace,
      length + 2 * LENGTH_SMOOTHING * (tokens - length),
    );
    if (this.#meanLengthByWorkspace.size > MAX_TRACKED_WORKSPACES) {
      this.#meanLengthByWorkspace.delete(
        this.#meanLengthByWorkspace.keys().next().value!,
      );
    }
    this.#meanLength += LENGTH_SMOOTHING * (tokens - this.#meanLength);
    if (holdMs !== undefined) {
      this.#meanHoldMs += LENGTH_SMOOTHING * (holdMs - this.#meanHoldMs);
    }
    if (intervalMs <= 0 || server === undefined) return;
    this.#intervalMs += INTERVAL_SMOOTHING * (intervalMs - this.#intervalMs);
    // On a memory-bound server, a long interval means a preempted run or a slow server;
    // a lower concurrency limit would help neither.
    if (this.#memoryTokens === Infinity) {
      this.#adaptLimit(server, { intervalMs, batch, now });
    }
  }

  #adaptLimit(
    server: DecodeServer,
    run: { intervalMs: number; batch: number; now: number },
  ): void {
    const { intervalMs, batch, now } = run;
    if (intervalMs > this.#targetMs) {
      if (now - server.limitReducedAt < LIMIT_DECREASE_COOLDOWN_MS) return;
      server.limitReducedAt = now;
      server.limit = Math.max(
        1,
        Math.min(server.limit, batch) * LIMIT_DECREASE_FACTOR,
      );
      return;
    }
    const hasHeadroom = intervalMs < LIMIT_INCREASE_MAX_SHARE * this.#targetMs;
    if (hasHeadroom) {
      server.limit = Math.min(this.#slots, server.limit + LIMIT_INCREASE_STEP);
    }
  }
}

function endOwnPrefill(server: DecodeServer, now: number): void {
  server.ownPrefills--;
  server.ownPrefillEndedAt = now;
}

/** Whether a grant's decode server still prefills its prompt. */
function isOwnPrefill({ prefill, phase }: GrantState): boolean {
  return prefill === NO_PREFILL && phase === Phase.Prefill;
}
