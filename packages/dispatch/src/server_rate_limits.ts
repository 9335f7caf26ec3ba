/**
 * Limits that servers have named on the requests a second that they take from all VMs
 * together. One VM keeps those of a service for all others.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";

/** Limit of one server as a token bucket. */
interface ServerLimit {
  perMs: number;
  /** Requests that the server takes now. */
  credit: number;
  creditAt: number;
  namedAt: number;
}

/** A server that got fewer requests than it takes may get those of this time at once. */
const BURST_MS = 500;
/** A lower limit counts as this one, since only answers show that a limit has ended. */
const MIN_PER_SECOND = 0.25;
/** A limit that no VM has named for this long is forgotten. */
const RETENTION_MS = 30_000;
const MS_PER_S = 1000;

/** Keeps the limits of servers. */
export class ServerRateLimits {
  readonly #limits = new Map<string, ServerLimit>();
  readonly #now: Clock;

  constructor({ now = monotonicNow }: { now?: Clock } = {}) {
    this.#now = now;
  }

  /**
   * Sets the requests a second that a server takes, or that it has no limit. A new limit
   * begins without credit, because another VM may have kept it until now.
   */
  set(serverId: string, requestsPerSecond: number | undefined): void {
    if (requestsPerSecond === undefined) {
      this.#limits.delete(serverId);
      return;
    }
    const now = this.#now();
    this.#dropForgotten(now);
    const perMs = Math.max(MIN_PER_SECOND, requestsPerSecond) / MS_PER_S;
    const known = this.#limits.get(serverId);
    if (known === undefined) {
      this.#limits.set(serverId, {
        perMs,
        credit: 0,
        creditAt: now,
        namedAt: now,
      });
      return;
    }
    accrue(known, now);
    known.perMs = perMs;
    known.namedAt = now;
  }

  /** Time until a server takes another request; 0 if it takes one now. */
  getWaitMs(serverId: string): number {
    const limit = this.#limits.get(serverId);
    if (limit === undefined) return 0;
    accrue(limit, this.#now());
    return limit.credit >= 1 ? 0 : (1 - limit.credit) / limit.perMs;
  }

  /** Counts a request to a server. */
  take(serverId: string): void {
    const limit = this.#limits.get(serverId);
    if (limit === undefined) return;
    accrue(limit, this.#now());
    limit.credit -= 1;
  }

  #dropForgotten(now: number): void {
    for (const [id, { namedAt }] of this.#limits) {
      if (now - namedAt > RETENTION_MS) this.#limits.delete(id);
    }
  }
}

function accrue(limit: ServerLimit, now: number): void {
  const { perMs, credit, creditAt } = limit;
  const maxCredit = 1 + BURST_MS * perMs;
  limit.credit = Math.min(maxCredit, credit + (now - creditAt) * perMs);
  limit.creditAt = now;
}
