/**
 * Limits that servers in need have named: the requests a second that each takes from all
 * VMs together.
 * @module
 */
import type { EventLog } from "@bitternfall/events";

/** Options of {@link ServerLimits}. */
export interface ServerLimitsOptions {
  readonly log: EventLog;
}

/** The limits of servers, as far as this VM knows. */
export class ServerLimits {
  readonly #log: EventLog;
  /** Requests a second by server. */
  readonly #limits = new Map<string, number>();

  constructor({ log }: ServerLimitsOptions) {
    this.#log = log;
  }

  /** Takes notice of the limit that an answer names; a server without one has none. */
  onAnswer(
    serverId: string,
    answer: { service: string; requestsPerSecond: number | undefined },
  ): void {
    const { service, requestsPerSecond } = answer;
    const before = this.#limits.get(serverId);
    if (before === requestsPerSecond) return;
    if (requestsPerSecond === undefined) this.#limits.delete(serverId);
    else this.#limits.set(serverId, requestsPerSecond);
    this.#log.emit("serverLimitChanged", {
      server: serverId,
      service,
      before,
      requestsPerSecond,
    });
  }

  /** Forgets the servers that are no longer known. */
  retain(isKnown: (id: string) => boolean): void {
    for (const id of this.#limits.keys()) {
      if (!isKnown(id)) this.#limits.delete(id);
    }
  }
}
