/**
 * Servers that have registered themselves, by service. A server that is draining or
 * gone gets no new work.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";

/** By then no VM takes a server for present that has gone. */
const GONE_MS = 60_000;

/** The registered servers as this VM knows them. */
export class ServerDirectory {
  readonly #entries = new Map<string, ServerEntry>();
  /** Services of the servers that are gone, with when they went. */
  readonly #gone = new Map<string, { service: string; at: number }>();
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

  /** Whether a server is draining or gone. */
  isLeaving(id: string): boolean {
    return this.#entries.get(id)?.isDraining ?? this.#gone.has(id);
  }

  /** Ids of a service's servers that are draining or gone. */
  listLeaving(service: string): readonly string[] {
    let ids = this.#leaving.get(service);
    if (ids === undefined) {
      ids = [
        ...this.#listGone(service),
        ...[...this.#entries.values()].filter((entry) =>
          entry.service === service && entry.isDraining
        ).map(({ id }) => id),
      ];
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
    this.#gone.delete(entry.id);
    this.#touch(entry.service);
  }

  /** Removes a server; false when it was not known. */
  remove(id: string): boolean {
    const known = this.#entries.get(id);
    if (known === undefined) return false;
    this.#entries.delete(id);
    this.#gone.set(id, { service: known.service, at: this.#now() });
    this.#changedAt.set(known.service, this.#now());
    this.#touch(known.service);
    return true;
  }

  /** Ids of all servers. */
  get ids(): Iterable<string> {
    return this.#entries.keys();
  }

  #listGone(service: string): string[] {
    const ids: string[] = [];
    for (const [id, gone] of this.#gone) {
      if (this.#now() - gone.at > GONE_MS) this.#gone.delete(id);
      else if (gone.service === service) ids.push(id);
    }
    return ids;
  }

  #touch(service: string): void {
    this.#versions.set(service, this.getVersion(service) + 1);
    this.#cache.delete(service);
    this.#leaving.delete(service);
  }
}
