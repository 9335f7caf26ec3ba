/**
 * Prefill servers of one service: predicted queues, prefill rates and KV cache transfers.
 * @module
 */

import { createHealth, isUsable, type ServerHealth } from "./server_health.ts";
import {
  createServerSpeed,
  replaceProcess,
  type ServerProcess,
  type ServerSpeed,
  SpeedEstimator,
} from "./server_speed.ts";

/** State of one prefill server. */
export interface PrefillServer extends ServerHealth, ServerSpeed {
  readonly id: string;
  readonly availabilityZone: string;
  softwareVersion: string | undefined;
  /** When its process started, if known. */
  bornAt: number | undefined;
  /** Predicted end of all prefills granted so far. */
  busyUntil: number;
  /** Predicted end of all KV cache transfers granted so far. */
  linkBusyUntil: number;
  /** Uncached tokens of grants in the prefill phase. */
  pendingTokens: number;
  pendingPrefills: number;
  /** When the last prefill ended. */
  lastEndAt: number;
  /** Exponentially decayed sums; their quotient is the prefill rate. */
  rateTokens: number;
  rateMs: number;
  isLeaving: boolean;
  reported: { running: number; waiting: number } | undefined;
}

const INITIAL_TOKENS_PER_MS = 8;
/** Weight of the initial rate, as time at that rate. */
const INITIAL_RATE_WEIGHT_MS = 200;
/** Fixed time of a prefill beside its tokens. */
const PREFILL_OVERHEAD_MS = 8;
/** Decode servers prefill prompts at half the rate of prefill servers. */
export const PREFILL_ON_DECODE_SLOWDOWN = 2;
/** The time of a shorter prefill says little about its rate, because of its fixed part. */
const MIN_MEASURED_TOKENS = 500;
const RATE_DECAY = 0.9;
const INITIAL_TRANSFER_MS_PER_TOKEN = 0.03;
const TRANSFER_ADJUSTMENT_SHARE = 0.04;
/** Share by which slow estimates recover per sample while nothing is in flight. */
const RECOVERY_SHARE = 0.02;

/** The prefill servers of a service. */
export class PrefillPool {
  readonly servers = new Map<string, PrefillServer>();
  readonly #speeds = new SpeedEstimator();
  #initialRate = INITIAL_TOKENS_PER_MS;
  #initialTransferMsPerToken = INITIAL_TRANSFER_MS_PER_TOKEN;
  #transferMsPerToken = INITIAL_TRANSFER_MS_PER_TOKEN;
  /** Rate estimate of the server that last finished a prefill. */
  #lastTokensPerMs = INITIAL_TOKENS_PER_MS;

  /** Sets the assumed rates of servers and links that have not been measured yet. */
  configure(options: {
    tokensPerMs?: number | undefined;
    transferMsPerToken?: number | undefined;
  }): void {
    this.#initialRate = options.tokensPerMs ?? INITIAL_TOKENS_PER_MS;
    const transferMsPerToken = options.transferMsPerToken ??
      INITIAL_TRANSFER_MS_PER_TOKEN;
    if (transferMsPerToken === this.#initialTransferMsPerToken) return;
    this.#initialTransferMsPerToken = transferMsPerToken;
    this.#transferMsPerToken = transferMsPerToken;
  }

  add(
    server: {
      id: string;
      availabilityZone: string;
      softwareVersion?: string | undefined;
      bornAt?: number | undefined;
    },
  ): void {
    this.servers.set(server.id, {
      id: server.id,
      availabilityZone: server.availabilityZone,
      softwareVersion: server.softwareVersion,
      bornAt: server.bornAt,
      busyUntil: 0,
      linkBusyUntil: 0,
      pendingTokens: 0,
      pendingPrefills: 0,
      lastEndAt: 0,
      ...this.#createRate(),
      ...createHealth(),
      isLeaving: false,
      reported: undefined,
    });
  }

  /** Notes the process that a server's id stands for; a new one has no measured rate. */
  setProcess(server: PrefillServer, process: ServerProcess): void {
    if (!replaceProcess(server, process)) return;
    Object.assign(server, this.#createRate());
  }

  #createRate() {
    return {
      rateTokens: this.#initialRate * INITIAL_RATE_WEIGHT_MS,
      rateMs: INITIAL_RATE_WEIGHT_MS,
      ...createServerSpeed(),
    };
  }

  /** Predicted time of one prefill, without queueing. */
  getPrefillMs(server: PrefillServer, tokens: number): number {
    return PREFILL_OVERHEAD_MS + tokens * server.rateMs / server.rateTokens;
  }

  /**
   * Predicted time in which a decode server of relative speed `speed` prefills a prompt
   * beside its runs.
   */
  getPrefillOnDecodeMs(tokens: number, speed = 1): number {
    // One prefill server's rate tells little about a decode server where they differ.
    const rate = speed === 1
      ? this.prefillOnDecodeRate
      : speed * this.meanTokensPerMs / PREFILL_ON_DECODE_SLOWDOWN;
    return PREFILL_OVERHEAD_MS + tokens / rate;
  }

  /** Rate at which a decode server prefills prompts, in tokens per millisecond. */
  get prefillOnDecodeRate(): number {
    return this.#lastTokensPerMs / PREFILL_ON_DECODE_SLOWDOWN;
  }

  /** Predicted time of one KV cache transfer on an idle link. */
  getTransferMs(tokens: number): number {
    return tokens * this.#transferMsPerToken;
  }

  /**
   * Moves slow estimates back towards their initial values while nothing is in flight.
   * Otherwise they would get all requests refused, and no request could show that the
   * servers are fast again.
   */
  recoverEstimates(): void {
    let pending = 0;
    for (const server of this.servers.values()) {
      pending += server.pendingPrefills;
      const rate = server.rateTokens / server.rateMs;
      if (server.pendingPrefills > 0 || rate >= this.#initialRate) continue;
      server.rateMs *= 1 - RECOVERY_SHARE;
    }
    if (pending > 0) return;
    if (this.#transferMsPerToken <= this.#initialTransferMsPerToken) return;
    this.#transferMsPerToken *= 1 - RECOVERY_SHARE;
  }

  /** Mean rate of a server, in tokens per millisecond. */
  get meanTokensPerMs(): number {
    let tokens = 0;
    let ms = 0;
    for (const server of this.servers.values()) {
      tokens += server.rateTokens;
      ms += server.rateMs;
    }
    return ms === 0 ? this.#lastTokensPerMs : tokens / ms;
  }

  /** Total rate of all servers that take work, in tokens per millisecond. */
  getTotalRate(now: number): number {
    let rate = 0;
    for (const server of this.servers.values()) {
      if (isUsable(server, now)) rate += server.rateTokens / server.rateMs;
    }
    return rate;
  }

  /** Queues a granted prefill. */
  reservePrefill(
    server: PrefillServer,
    work: { tokens: number; now: number },
  ): void {
    const { tokens, now } = work;
    server.pendingPrefills++;
    server.pendingTokens += tokens;
    server.busyUntil = Math.max(now, server.busyUntil) +
      this.getPrefillMs(server, tokens);
  }

  /** Queues a KV cache transfer that can start at `readyAt`; returns its predicted end. */
  reserveTransfer(
    server: PrefillServer,
    work: { tokens: number; readyAt: number },
  ): number {
    server.linkBusyUntil = Math.max(work.readyAt, server.linkBusyUntil) +
      this.getTransferMs(work.tokens);
    return server.linkBusyUntil;
  }

  /**
   * Ends a prefill at `endAt`; it succeeded if `processed` is defined. The next pending
   * prefill starts at that time, so the backlog is counted from then on.
   */
  finishPrefill(
    server: PrefillServer,
    work: {
      reserved: number;
      processed: number | undefined;
      grantedAt: number;
      endAt: number;
    },
  ): void {
    const { reserved, processed, grantedAt, endAt } = work;
    server.pendingPrefills = Math.max(0, server.pendingPrefills - 1);
    server.pendingTokens = Math.max(0, server.pendingTokens - reserved);
    if (processed !== undefined) {
      const startedAt = Math.max(grantedAt, server.lastEndAt);
      const serviceMs = Math.max(1, endAt - startedAt - PREFILL_OVERHEAD_MS);
      server.lastEndAt = endAt;
      server.rateTokens = server.rateTokens * RATE_DECAY + processed;
      server.rateMs = server.rateMs * RATE_DECAY + serviceMs;
      this.#lastTokensPerMs = server.rateTokens / server.rateMs;
      if (processed >= MIN_MEASURED_TOKENS) {
        this.#speeds.record(
          server,
          { unitMs: serviceMs / processed, durationMs: serviceMs, now: endAt },
          this.servers,
        );
      }
    }
    const backlogMs = server.pendingPrefills * PREFILL_OVERHEAD_MS +
      server.pendingTokens * server.rateMs / server.rateTokens;
    server.busyUntil = endAt + backlogMs;
  }

  /** Updates the transfer rate: `tokens` took `ms` with `concurrentTransfers` on the link. */
  recordTransfer(
    work: { tokens: number; ms: number; concurrentTransfers: number },
  ): void {
    if (work.tokens <= 0) return;
    const msPerToken = work.ms / work.tokens /
      Math.max(1, work.concurrentTransfers);
    // Fixed relative steps track the median, which ignores outliers: runs that wait for
    // memory or are preempted before their first output say nothing about the link.
    this.#transferMsPerToken *= msPerToken > this.#transferMsPerToken
      ? 1 + TRANSFER_ADJUSTMENT_SHARE
      : 1 - TRANSFER_ADJUSTMENT_SHARE;
  }
}
