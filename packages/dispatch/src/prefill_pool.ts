/**
 * Prefill servers of one service: predicted queues, measured rates and link times.
 * @module
 */

import { createHealth, isUsable, type ServerHealth } from "./server_health.ts";

/** State of one prefill server. */
export interface PrefillServer extends ServerHealth {
  readonly id: string;
  readonly availabilityZone: string;
  /** Time at which the work granted so far is predicted to be done. */
  busyUntil: number;
  /** Time at which the transfers granted so far are predicted to be done. */
  linkBusyUntil: number;
  /** Uncached tokens of grants in the prefill phase. */
  pendingTokens: number;
  pending: number;
  /** End of the last prefill. */
  lastEndAt: number;
  /** Decayed sums that give the rate. */
  rateTokens: number;
  rateMs: number;
  leaving: boolean;
  reported: { running: number; waiting: number } | undefined;
}

const INITIAL_TOKENS_PER_MS = 8;
const INITIAL_WEIGHT_MS = 200;
const BASE_MS = 8;
/** Decode servers read prompts at half the rate of prefill servers. */
const UNREAD_FACTOR = 2;
const DECAY = 0.9;
const INITIAL_TRANSFER_MS_PER_TOKEN = 0.03;
const TRANSFER_STEP = 0.04;
/** Share by which slow estimates recover at each look while nothing is under way. */
const RECOVERY = 0.02;

/** The prefill servers of a service. */
export class PrefillPool {
  readonly servers = new Map<string, PrefillServer>();
  #initialRate = INITIAL_TOKENS_PER_MS;
  #transferMsPerToken = INITIAL_TRANSFER_MS_PER_TOKEN;
  /** Rate of the last prefill that ended. */
  #lastTokensPerMs = INITIAL_TOKENS_PER_MS;

  /** Sets the rate that a server is taken to have before it has shown another. */
  configure(options: { tokensPerMs?: number | undefined }): void {
    this.#initialRate = options.tokensPerMs ?? INITIAL_TOKENS_PER_MS;
  }

  add(server: { id: string; availabilityZone: string }): void {
    this.servers.set(server.id, {
      id: server.id,
      availabilityZone: server.availabilityZone,
      busyUntil: 0,
      linkBusyUntil: 0,
      pendingTokens: 0,
      pending: 0,
      lastEndAt: 0,
      rateTokens: this.#initialRate * INITIAL_WEIGHT_MS,
      rateMs: INITIAL_WEIGHT_MS,
      ...createHealth(),
      leaving: false,
      reported: undefined,
    });
  }

  /** Predicted time of one prefill without its queue. */
  getPrefillMs(server: PrefillServer, tokens: number): number {
    return BASE_MS + tokens * server.rateMs / server.rateTokens;
  }

  /** Predicted time in which a decode server reads a prompt beside its runs. */
  getUnreadMs(tokens: number): number {
    return BASE_MS + UNREAD_FACTOR * tokens / this.#lastTokensPerMs;
  }

  /** Predicted time of one transfer on a free link. */
  getTransferMs(tokens: number): number {
    return tokens * this.#transferMsPerToken;
  }

  /**
   * Lets estimates that became slow recover while nothing is under way; else requests
   * refused for them would never show that the servers are well again.
   */
  recover(): void {
    let pending = 0;
    for (const server of this.servers.values()) {
      pending += server.pending;
      const rate = server.rateTokens / server.rateMs;
      if (server.pending > 0 || rate >= this.#initialRate) continue;
      server.rateMs *= 1 - RECOVERY;
    }
    if (pending > 0) return;
    if (this.#transferMsPerToken <= INITIAL_TRANSFER_MS_PER_TOKEN) return;
    this.#transferMsPerToken *= 1 - RECOVERY;
  }

  /** Tokens a millisecond of all servers that take work. */
  getTotalRate(now: number): number {
    let rate = 0;
    for (const server of this.servers.values()) {
      if (isUsable(server, now)) rate += server.rateTokens / server.rateMs;
    }
    return rate;
  }

  /** A prefill was granted. */
  reserve(server: PrefillServer, work: { tokens: number; now: number }): void {
    const { tokens, now } = work;
    server.pending++;
    server.pendingTokens += tokens;
    server.busyUntil = Math.max(now, server.busyUntil) +
      this.getPrefillMs(server, tokens);
  }

  /** A transfer of a result that is ready at `readyAt` was granted; returns its predicted end. */
  reserveTransfer(
    server: PrefillServer,
    work: { tokens: number; readyAt: number },
  ): number {
    server.linkBusyUntil = Math.max(work.readyAt, server.linkBusyUntil) +
      this.getTransferMs(work.tokens);
    return server.linkBusyUntil;
  }

  /**
   * A granted prefill ended at `endAt`, successfully when `processed` tokens are known.
   * Work granted after it has begun by then, though its end is not yet known.
   */
  finish(
    server: PrefillServer,
    work: {
      reserved: number;
      processed: number | undefined;
      grantedAt: number;
      endAt: number;
    },
  ): void {
    const { reserved, processed, grantedAt, endAt } = work;
    server.pending = Math.max(0, server.pending - 1);
    server.pendingTokens = Math.max(0, server.pendingTokens - reserved);
    if (processed !== undefined) {
      const begunAt = Math.max(grantedAt, server.lastEndAt);
      const serviceMs = Math.max(1, endAt - begunAt - BASE_MS);
      server.lastEndAt = endAt;
      server.rateTokens = server.rateTokens * DECAY + processed;
      server.rateMs = server.rateMs * DECAY + serviceMs;
      this.#lastTokensPerMs = server.rateTokens / server.rateMs;
    }
    const backlogMs = server.pending * BASE_MS +
      server.pendingTokens * server.rateMs / server.rateTokens;
    server.busyUntil = endAt + backlogMs;
  }

  /** A transfer of `tokens` took `ms` while `sharers` shared the link. */
  learnTransfer(work: { tokens: number; ms: number; sharers: number }): void {
    if (work.tokens <= 0) return;
    const seen = work.ms / work.tokens / Math.max(1, work.sharers);
    // Steps of a fixed share follow the median: runs that wait for memory or are
    // preempted before their first output say nothing of the link.
    this.#transferMsPerToken *= seen > this.#transferMsPerToken
      ? 1 + TRANSFER_STEP
      : 1 - TRANSFER_STEP;
  }
}
