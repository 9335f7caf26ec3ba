/**
 * Clients of the upstreams that the current records declare.
 * @module
 */
import { EngineClient } from "@bitternfall/engine";
import type { Snapshot } from "@bitternfall/records";
import { ServiceClient } from "@bitternfall/service";

/** Clients by server id, replaced when an address changes. */
export class Upstreams {
  readonly #engines = new Map<string, EngineClient>();
  readonly #services = new Map<string, ServiceClient>();
  /** Upstreams that the VM list marks as leaving. */
  readonly #leaving = new Set<string>();

  /**
   * Creates clients for the declared servers. Clients of removed servers are kept for calls
   * in flight.
   */
  setSnapshot(snapshot: Snapshot): void {
    for (const { servers } of snapshot.modelServices.values()) {
      for (const { id, address } of servers) {
        if (this.#engines.get(id)?.address !== address) {
          this.#engines.set(id, new EngineClient(address));
        }
      }
    }
    for (const { servers } of snapshot.plainServices.values()) {
      for (const { id, address } of servers) {
        if (this.#services.get(id)?.address !== address) {
          this.#services.set(id, new ServiceClient(address));
        }
      }
    }
  }

  /** Replaces the set of leaving upstreams. */
  setLeaving(ids: Iterable<string>): void {
    this.#leaving.clear();
    for (const id of ids) this.#leaving.add(id);
  }

  isLeaving(id: string): boolean {
    return this.#leaving.has(id);
  }

  findEngine(id: string): EngineClient | undefined {
    return this.#engines.get(id);
  }

  findService(id: string): ServiceClient | undefined {
    return this.#services.get(id);
  }

  async close(): Promise<void> {
    for (const client of this.#engines.values()) await client.close();
    for (const client of this.#services.values()) await client.close();
  }
}
