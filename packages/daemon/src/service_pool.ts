/**
 * Picks servers of plain services by load, and polls the load reports of the services in
 * use.
 * @module
 */
import type { PlainService } from "@bitternfall/records";
import { ServerPool } from "@bitternfall/service";
import { monotonicNow, sleep, type Upstream } from "@bitternfall/types";
import type { Upstreams } from "./upstreams.ts";

/** Options of a {@link ServicePool}. */
export interface ServicePoolOptions {
  readonly availabilityZone: string;
  readonly upstreams: Upstreams;
  readonly random?: () => number;
}

const REPORT_POLL_INTERVAL_MS = 1000;
/** Services without calls for this long are not polled. */
const IDLE_AFTER_MS = 10_000;

/** Balances calls among the servers of plain services. */
export class ServicePool {
  readonly #upstreams: Upstreams;
  readonly #pool: ServerPool;
  readonly #lastUsedAt = new Map<string, number>();

  constructor(options: ServicePoolOptions) {
    const { upstreams, ...poolOptions } = options;
    this.#upstreams = upstreams;
    this.#pool = new ServerPool({
      ...poolOptions,
      isLeaving: (id) => upstreams.isLeaving(id),
    });
  }

  /** Picks a server that is not in `tried`; undefined if none is left. */
  pick(service: PlainService, tried: readonly string[]): Upstream | undefined {
    this.#lastUsedAt.set(service.name, monotonicNow());
    return this.#pool.pick(service.servers, tried);
  }

  isLeaving(id: string): boolean {
    return this.#pool.isLeaving(id);
  }

  /** Counts a call as outstanding until the returned function is called. */
  begin(id: string): () => void {
    return this.#pool.begin({ id });
  }

  /** Prefers other servers for a short time after this one failed. */
  avoid(id: string): void {
    this.#pool.avoid({ id });
  }

  /** Polls the load reports of the services in use until aborted. */
  async run(
    options: {
      listServices: () => Iterable<PlainService>;
      signal: AbortSignal;
    },
  ): Promise<void> {
    const { listServices, signal } = options;
    while (!signal.aborted) {
      const now = monotonicNow();
      const polls: Promise<void>[] = [];
      for (const service of listServices()) {
        if (
          now - (this.#lastUsedAt.get(service.name) ?? -Infinity) >
            IDLE_AFTER_MS
        ) {
          continue;
        }
        for (const server of service.servers) polls.push(this.#poll(server.id));
      }
      await Promise.all(polls);
      await sleep(REPORT_POLL_INTERVAL_MS, signal);
    }
  }

  async #poll(id: string): Promise<void> {
    const report = await this.#upstreams.findService(id)?.getReport();
    this.#pool.setReport({ id }, {
      running: report?.running ?? 0,
      leaving: report?.leaving ?? false,
    });
  }
}
