/**
 * Servers that have registered themselves, by service. A server that is draining or
 * gone gets no new work.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";

/** The registered servers as this VM knows them. */
export class ServerDirectory {
  readonly #entries = new Map<string, ServerEntry>();
  readonly #versions = new Map<string, number>();
  /** When a server last came or went, by service. */
  readonly #changedAt = new Map<string, number>();
  readonly #now: Clock;
  readonly #cache = new Map<string, readonly ServerEntry[]>();
  readonly #leaving = new Map<string, readonly string[]>();

  constructor(options: { now?: Clock } = {}) {
    this.#now = options.now ?? monotonicNow;
  }

  /** Servers of a service that take work. */
  list(service: string): readonly ServerEntry[] {
    let servers = this.#cache.get(service);
    if (servers === undefined) {
      servers = [...this.#entries.values()].filter((entry) =>
        entry.service === service && !entry.isDraining
      );
      this.#cache.set(service, servers);
    }
    return servers;
  }

  /** Ids of a service's servers that are draining. */
  listLeaving(service: string): readonly string[] {
    let ids = this.#leaving.get(service);
    if (ids === undefined) {
      ids = [...this.#entries.values()].filter((entry) =>
        entry.service === service && entry.isDraining
      ).map(({ id }) => id);
      this.#leaving.set(service, ids);
    }
    return ids;
  }

  find(id: string): ServerEntry | undefined {
    return this.#entries.get(id);
  }

  /** Grows whenever the servers of a service change. */
  getVersion(service: string): number {
    return this.#versions.get(service) ?? 0;
  }

  /** How long no server of a service has come or gone. */
  getSettledMs(service: string): number {
    return this.#now() - (this.#changedAt.get(service) ?? this.#now());
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Adds or replaces a server. */
  set(entry: ServerEntry): void {
    const known = this.#entries.get(entry.id);
    if (known?.bornAt !== entry.bornAt || known.service !== entry.service) {
      this.#changedAt.set(entry.service, this.#now());
    }
    if (known !== undefined && known.service !== entry.service) {
      this.#touch(known.service);
    }
    this.#entries.set(entry.id, entry);
    this.#touch(entry.service);
  }

  /** Removes a server; false when it was not known. */
  remove(id: string): boolean {
    const known = this.#entries.get(id);
    if (known === undefined) return false;
    this.#entries.delete(id);
    this.#changedAt.set(known.service, this.#now());
    this.#touch(known.service);
    return true;
  }

  /** Ids of all servers. */
  get ids(): Iterable<string> {
    return this.#entries.keys();
  }

  #touch(service: string): void {
    this.#versions.set(service, this.getVersion(service) + 1);
    this.#cache.delete(service);
    this.#leaving.delete(service);
  }
}
