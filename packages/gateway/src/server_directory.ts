/**
 * Servers that have registered themselves, by service. A server that is draining or has
 * been removed gets no new requests.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";

/** Time after which no VM still considers a removed server as present. */
const REMOVED_RETENTION_MS = 60_000;

/** Processes that are remembered to leave, the last ones that said it. */
const MAX_SAID_LEAVING = 1000;

/** The registered servers that this VM knows. */
export class ServerDirectory {
  readonly #entries = new Map<string, ServerEntry>();
  /** Recently removed servers, by id. */
  readonly #removed = new Map<
    string,
    { service: string; process: string; removedAt: number }
  >();
  /** Processes that have said themselves that they leave, as id and start time. */
  readonly #saidLeaving = new Set<string>();
  readonly #versions = new Map<string, number>();
  /** Time of the last registration or removal of a server, by service. */
  readonly #changedAt = new Map<string, number>();
  readonly #now: Clock;
  readonly #listCache = new Map<string, readonly ServerEntry[]>();
  readonly #leavingCache = new Map<string, readonly string[]>();

  constructor(options: { now?: Clock } = {}) {
    this.#now = options.now ?? monotonicNow;
  }

  /** Servers of a service that accept requests. */
  list(service: string): readonly ServerEntry[] {
    let servers = this.#listCache.get(service);
    if (servers === undefined) {
      servers = [...this.#entries.values()].filter((entry) =>
        entry.service === service && !entry.isDraining
      );
      this.#listCache.set(service, servers);
    }
    return servers;
  }

  /** Whether a server is draining or was removed recently. */
  isLeaving(id: string): boolean {
    return this.#entries.get(id)?.isDraining ?? this.#removed.has(id);
  }

  /** Ids of a service's servers that are draining or were removed recently. */
  listLeaving(service: string): readonly string[] {
    let ids = this.#leavingCache.get(service);
    if (ids === undefined) {
      ids = [
        ...this.#listRemoved(service),
        ...[...this.#entries.values()].filter((entry) =>
          entry.service === service && entry.isDraining
        ).map(({ id }) => id),
      ];
      this.#leavingCache.set(service, ids);
    }
    return ids;
  }

  find(id: string): ServerEntry | undefined {
    return this.#entries.get(id);
  }

  /** Version of a service's servers; increases whenever one changes. */
  getVersion(service: string): number {
    return this.#versions.get(service) ?? 0;
  }

  /** Time since a server of the service was last registered or removed. */
  getUnchangedMs(service: string): number {
    return this.#now() - (this.#changedAt.get(service) ?? this.#now());
  }

  get size(): number {
    return this.#entries.size;
  }

  /**
   * Counts a server as draining from now on, whatever the entry of its process says; without
   * a start time, the process that is known.
   */
  markLeaving(id: string, bornAt?: number): void {
    const known = this.#entries.get(id);
    // The word of a process that has been replaced says nothing of its successor.
    if (known !== undefined && known.bornAt !== (bornAt ?? known.bornAt)) {
      return;
    }
    const process = known === undefined
      ? this.#removed.get(id)?.process
      : getProcess(known);
    if (process === undefined || known?.isDraining) return;
    this.#saidLeaving.add(process);
    const [oldest] = this.#saidLeaving;
    if (this.#saidLeaving.size > MAX_SAID_LEAVING) {
      this.#saidLeaving.delete(oldest!);
    }
    if (known !== undefined) this.set(known);
  }

  /** Adds or replaces a server. */
  set(stated: ServerEntry): void {
    const entry = this.#saidLeaving.has(getProcess(stated))
      ? { ...stated, isDraining: true }
      : stated;
    const known = this.#entries.get(entry.id);
    if (known?.bornAt !== entry.bornAt || known.service !== entry.service) {
      this.#changedAt.set(entry.service, this.#now());
    }
    if (known !== undefined && known.service !== entry.service) {
      this.#recordChange(known.service);
    }
    this.#entries.set(entry.id, entry);
    this.#removed.delete(entry.id);
    this.#recordChange(entry.service);
  }

  /** Removes a server; returns false if it was not known. */
  remove(id: string): boolean {
    const known = this.#entries.get(id);
    if (known === undefined) return false;
    this.#entries.delete(id);
    this.#removed.set(id, {
      service: known.service,
      process: getProcess(known),
      removedAt: this.#now(),
    });
    this.#changedAt.set(known.service, this.#now());
    this.#recordChange(known.service);
    return true;
  }

  /** All servers, also those that are draining. */
  get entries(): Iterable<ServerEntry> {
    return this.#entries.values();
  }

  /** Ids of all servers. */
  get ids(): Iterable<string> {
    return this.#entries.keys();
  }

  #listRemoved(service: string): string[] {
    const ids: string[] = [];
    for (const [id, removed] of this.#removed) {
      if (this.#now() - removed.removedAt > REMOVED_RETENTION_MS) {
        this.#removed.delete(id);
      } else if (removed.service === service) ids.push(id);
    }
    return ids;
  }

  #recordChange(service: string): void {
    this.#versions.set(service, this.getVersion(service) + 1);
    this.#listCache.delete(service);
    this.#leavingCache.delete(service);
  }
}

function getProcess({ id, bornAt }: ServerEntry): string {
  return `${id}@${bornAt}`;
}
