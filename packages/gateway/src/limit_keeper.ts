/**
 * Keeps the limits of plain services' servers for all VMs.
 * @module
 */
import { ServerRateLimits } from "@bitternfall/dispatch";
import { type Clock, monotonicNow } from "@bitternfall/types";
import type { PermitRequest } from "./server_limits.ts";

/** Options of a {@link LimitKeeper}. */
export interface LimitKeeperOptions {
  /** Whether this VM keeps the limits of a service's servers. */
  readonly isOwner: (service: string) => boolean;
  readonly now?: Clock;
}

/** Time until a VM asks again that has asked the wrong one. */
const WRONG_OWNER_WAIT_MS = 250;

/** The limits of the services that this VM keeps. */
export class LimitKeeper {
  readonly #isOwner: (service: string) => boolean;
  readonly #now: Clock;
  readonly #limits = new Map<string, ServerRateLimits>();

  constructor({ isOwner, now = monotonicNow }: LimitKeeperOptions) {
    this.#isOwner = isOwner;
    this.#now = now;
  }

  /** Counts a request to a server if it takes one; returns the time until it does. */
  take({ service, serverId, requestsPerSecond }: PermitRequest): number {
    this.sync();
    // Two VMs that both keep a limit would let twice as much pass.
    if (!this.#isOwner(service)) return WRONG_OWNER_WAIT_MS;
    let limits = this.#limits.get(service);
    if (limits === undefined) {
      limits = new ServerRateLimits({ now: this.#now });
      this.#limits.set(service, limits);
    }
    limits.set(serverId, requestsPerSecond);
    const waitMs = limits.getWaitMs(serverId);
    if (waitMs === 0) limits.take(serverId);
    return waitMs;
  }

  /**
   * Forgets the limits of services that another VM keeps now; call when owners may have
   * changed. If this VM keeps them again later, it begins without credit.
   */
  sync(): void {
    for (const service of this.#limits.keys()) {
      if (!this.#isOwner(service)) this.#limits.delete(service);
    }
  }
}
