/**
 * Limits that servers in need have named: the requests a second that each takes from all
 * VMs together. One VM keeps the limits of a service. The others ask it for a permit before
 * each request to a plain server that has named a limit. Those of model servers are reported
 * to it, because it grants these servers as their dispatcher.
 * @module
 */
import { RetryAfterScheduler } from "@bitternfall/dispatch";
import type { EventLog } from "@bitternfall/events";
import type { AnsweringServer } from "./server_notices.ts";
import { type Clock, monotonicNow } from "@bitternfall/types";

/** A request for a permit to send one request to a server. */
export interface PermitRequest {
  readonly service: string;
  readonly serverId: string;
  /** The limit that the server has named. */
  readonly requestsPerSecond: number;
}

/** Options of {@link ServerLimits}. */
export interface ServerLimitsOptions {
  readonly log: EventLog;
  /**
   * Asks the VM that keeps the limits of a service. Returns the time until the server takes
   * a request in milliseconds, 0 if it takes this one. Throws if that VM does not answer.
   */
  readonly requestPermit: (req: PermitRequest) => Promise<number>;
  /**
   * Reports the limit that a server names to the VM that keeps the limits of its service;
   * undefined if the server names none any more.
   */
  readonly report: (
    service: string,
    serverId: string,
    requestsPerSecond: number | undefined,
  ) => void;
  /** The VM that keeps the limits of a service. */
  readonly getKeeper: (service: string) => string | undefined;
  /** Number of VMs that send requests to the servers. */
  readonly getVmCount: () => number;
  readonly now?: Clock;
}

/** A limit that a server has named. */
interface KnownLimit {
  readonly service: string;
  /** Start time of the process that has named it; undefined if unknown. */
  bornAt: number | undefined;
  requestsPerSecond: number;
  /** The server takes no request of this VM until then. */
  blockedUntil: number;
  /** When an answer last named the limit. */
  namedAt: number;
  /** When and to which VM the limit was last reported. */
  reportedAt: number;
  reportedTo: string | undefined;
}

/** Time until the next attempt while the VM that keeps the limits does not answer. */
const UNANSWERED_RETRY_MS = 250;
/** Also spreads VMs that would ask for the same permit. */
const MIN_BLOCK_MS = 10;
/** A limit that answers go on naming is reported again after this time. */
const REPORT_INTERVAL_MS = 1000;
/** A new keeper is told no limit that answers to this VM have not named for this long. */
const MAX_REPORTED_AGE_MS = 10_000;
const MS_PER_S = 1000;

/** The limits of servers, as far as this VM knows. */
export class ServerLimits {
  readonly #options: ServerLimitsOptions;
  readonly #now: Clock;
  readonly #limits = new Map<string, KnownLimit>();
  readonly #returns = new Map<string, RetryAfterScheduler>();

  constructor(options: ServerLimitsOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** Takes notice of the limit that an answer names; a server without one has none. */
  onAnswer(
    { id: serverId, bornAt }: AnsweringServer,
    answer: { service: string; requestsPerSecond: number | undefined },
  ): void {
    const { service, requestsPerSecond } = answer;
    const known = this.#limits.get(serverId);
    const before = known?.requestsPerSecond;
    if (before === undefined && requestsPerSecond === undefined) return;
    if (before !== requestsPerSecond) {
      this.#options.log.emit("serverLimitChanged", {
        server: serverId,
        service,
        before,
        requestsPerSecond,
      });
    }
    if (requestsPerSecond === undefined) {
      this.#limits.delete(serverId);
      return this.#options.report(service, serverId, undefined);
    }
    const limit = known ?? {
      service,
      bornAt,
      requestsPerSecond,
      blockedUntil: 0,
      namedAt: 0,
      reportedAt: -Infinity,
      reportedTo: undefined,
    };
    limit.bornAt = bornAt ?? limit.bornAt;
    limit.requestsPerSecond = requestsPerSecond;
    limit.namedAt = this.#now();
    this.#limits.set(serverId, limit);
    if (before !== requestsPerSecond || this.#isReportDue(limit)) {
      this.#report(serverId, limit);
    }
  }

  /**
   * Reports the limits that answers have named lately to VMs that keep them since; call when
   * keepers may have changed.
   */
  reportToNewKeepers(): void {
    const namedSince = this.#now() - MAX_REPORTED_AGE_MS;
    for (const [serverId, limit] of this.#limits) {
      if (limit.namedAt >= namedSince && this.#hasNewKeeper(limit)) {
        this.#report(serverId, limit);
      }
    }
  }

  /** Reports again to a VM that a new connection leads to; earlier reports may be lost. */
  onConnected(vmId: string): void {
    for (const limit of this.#limits.values()) {
      if (limit.reportedTo === vmId) limit.reportedTo = undefined;
    }
    this.reportToNewKeepers();
  }

  /** Whether the keeper may not know of a limit, or may forget it. */
  #isReportDue(limit: KnownLimit): boolean {
    return this.#now() - limit.reportedAt >= REPORT_INTERVAL_MS ||
      this.#hasNewKeeper(limit);
  }

  #hasNewKeeper({ service, reportedTo }: KnownLimit): boolean {
    return reportedTo !== this.#options.getKeeper(service);
  }

  #report(serverId: string, limit: KnownLimit): void {
    const { report, getKeeper } = this.#options;
    limit.reportedAt = this.#now();
    limit.reportedTo = getKeeper(limit.service);
    report(limit.service, serverId, limit.requestsPerSecond);
  }

  /** Whether a server is known to take no request of this VM now. */
  isBlocked(serverId: string): boolean {
    return (this.#limits.get(serverId)?.blockedUntil ?? 0) > this.#now();
  }

  /** Whether one request may be sent to a server; asks for a permit if it has a limit. */
  async acquirePermit(serverId: string): Promise<boolean> {
    const limit = this.#limits.get(serverId);
    if (limit === undefined) return true;
    const { service, requestsPerSecond } = limit;
    let waitMs: number;
    try {
      waitMs = await this.#options.requestPermit({
        service,
        serverId,
        requestsPerSecond,
      });
    } catch {
      // Whoever keeps the limits next begins without credit, so no request may pass before.
      waitMs = UNANSWERED_RETRY_MS;
    }
    if (waitMs <= 0) return true;
    limit.blockedUntil = this.#now() + Math.max(MIN_BLOCK_MS, waitMs);
    return false;
  }

  /**
   * Returns when a caller should return whose request the limits of a service kept from all
   * of its servers; undefined if no server is blocked. Spreads the callers of this VM by
   * its part of what the servers take.
   */
  scheduleReturn(service: string): number | undefined {
    const now = this.#now();
    let perSecond = 0;
    let blockedUntil = Infinity;
    for (const limit of this.#limits.values()) {
      if (limit.service !== service || limit.blockedUntil <= now) continue;
      perSecond += limit.requestsPerSecond;
      blockedUntil = Math.min(blockedUntil, limit.blockedUntil);
    }
    if (blockedUntil === Infinity) return undefined;
    const capacity = perSecond / MS_PER_S / this.#options.getVmCount();
    return this.#getReturns(service).schedule(
      { waitMs: blockedUntil - now, work: 1 },
      { now, capacity },
    );
  }

  /** Forgets the servers that are no longer known, and processes that have been replaced. */
  retain(find: (id: string) => { bornAt: number } | undefined): void {
    for (const [id, { service, bornAt }] of this.#limits) {
      const server = find(id);
      const isReplaced = server !== undefined && bornAt !== undefined &&
        server.bornAt !== bornAt;
      if (server !== undefined && !isReplaced) continue;
      this.#limits.delete(id);
      // The VM that keeps the limits can't tell the processes apart.
      if (isReplaced) this.#options.report(service, id, undefined);
    }
  }

  #getReturns(service: string): RetryAfterScheduler {
    let returns = this.#returns.get(service);
    if (returns === undefined) {
      returns = new RetryAfterScheduler();
      this.#returns.set(service, returns);
    }
    return returns;
  }
}
