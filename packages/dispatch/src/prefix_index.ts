/**
 * Estimates which prefill servers have cached which prompt prefixes. Bounded in size,
 * built from the router's own grants; servers that went down are removed.
 * @module
 */
import { getPrefixLength } from "./prefix_hash.ts";

/** Index from prefix hash to servers; evicts the least recently stored prefixes. */
export class PrefixIndex {
  readonly #servers = new Map<number, Set<string>>();
  readonly #capacity: number;

  constructor(options: { capacity?: number } = {}) {
    this.#capacity = options.capacity ?? 20_000;
  }

  /** Tokens of a prompt that each server has probably cached; absent means none. */
  match(hashes: readonly number[]): Map<string, number> {
    const cached = new Map<string, number>();
    for (let index = hashes.length - 1; index >= 0; index--) {
      const servers = this.#servers.get(hashes[index]!);
      if (servers === undefined) continue;
      for (const server of servers) {
        if (!cached.has(server)) cached.set(server, getPrefixLength(index));
      }
    }
    return cached;
  }

  /** Records that a server prefills a prompt with these prefixes. */
  store(server: string, hashes: readonly number[]): void {
    for (const hash of hashes) {
      const servers = this.#servers.get(hash) ?? new Set();
      servers.add(server);
      this.#servers.delete(hash);
      this.#servers.set(hash, servers);
    }
    for (const hash of this.#servers.keys()) {
      if (this.#servers.size <= this.#capacity) break;
      this.#servers.delete(hash);
    }
  }

  /** Removes a server whose cache was lost. */
  forget(server: string): void {
    for (const servers of this.#servers.values()) servers.delete(server);
  }

  get size(): number {
    return this.#servers.size;
  }
}
