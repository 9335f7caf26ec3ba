/**
 * Servers of the plain services in use, with the load reports that they are polled for.
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

const REPORT_MS = 1000;
/** Services without calls for this long are not polled. */
const QUIET_MS = 10_000;

/** Load of plain-service servers as this VM sees it. */
export class ServicePool {
  readonly #upstreams: Upstreams;
  readonly #pool: ServerPool;
  readonly #usedAt = new Map<string, number>();

  constructor(options: ServicePoolOptions) {
    const { upstreams, ...rest } = options;
    this.#upstreams = upstreams;
    this.#pool = new ServerPool({
      ...rest,
      isLeaving: (id) => upstreams.isLeaving(id),
    });
  }

  /** Picks a server; undefined when none is left. */
  pick(service: PlainService, tried: readonly string[]): Upstream | undefined {
    this.#usedAt.set(service.name, monotonicNow());
    return this.#pool.pick(service.servers, tried);
  }

  isLeaving(id: string): boolean {
    return this.#pool.isLeaving(id);
  }

  /** Counts a call; the returned function ends it. */
  begin(id: string): () => void {
    return this.#pool.begin(id);
  }

  /** A server failed: others are preferred for a while. */
  avoid(id: string): void {
    this.#pool.avoid(id);
  }

  /** Reads load reports of the services in use until aborted. */
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
        if (now - (this.#usedAt.get(service.name) ?? -Infinity) > QUIET_MS) {
          continue;
        }
        for (const server of service.servers) polls.push(this.#poll(server.id));
      }
      await Promise.all(polls);
      await sleep(REPORT_MS, signal);
    }
  }

  async #poll(id: string): Promise<void> {
    const report = await this.#upstreams.findService(id)?.getReport();
    this.#pool.setReport(id, {
      running: report?.running ?? 0,
      leaving: report?.leaving ?? false,
    });
  }
}
