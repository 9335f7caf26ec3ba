/**
 * Orders the requests of a service by urgency: by the priority of the workspace first, then
 * by that of the route.
 * @module
 */
import type { Workspace } from "./workspace.ts";

/** What the ranks depend on of a route. */
export interface RankedRoute {
  readonly priority: number;
  readonly isPublic?: boolean | undefined;
  /** Services that the route's requests go to. */
  readonly services: readonly string[];
}

/** Options of a {@link RankTable}. */
export interface RankTableOptions {
  /** Undefined where requests need no key. */
  readonly workspaces: readonly Workspace[] | undefined;
  readonly routes: readonly RankedRoute[];
}

/** The dispatcher and servers distinguish this many ranks; the least urgent share the last. */
export const MAX_RANKS = 10;

/** Ranks by the workspace's priority and the route's. */
type Ranks = Map<number, Map<number, number>>;

/** Ranks of the requests that one configuration allows. */
export class RankTable {
  /** Only services whose requests have more than one rank. */
  readonly #byService = new Map<string, Ranks>();
  /** Priority of requests without a workspace, and of workspaces without a priority. */
  readonly #leastUrgent: number;

  constructor({ workspaces, routes }: RankTableOptions) {
    let leastUrgent = -Infinity;
    for (const { priority } of workspaces ?? []) {
      leastUrgent = Math.max(leastUrgent, priority ?? -Infinity);
    }
    this.#leastUrgent = leastUrgent === -Infinity ? 0 : leastUrgent;
    const keyed = new Set(
      (workspaces ?? []).map((workspace) => this.#getPriority(workspace)),
    );
    const open = new Set([...keyed, this.#leastUrgent]);
    const pairs = new Map<string, Ranks>();
    for (const route of routes) {
      const needsKey = workspaces !== undefined && route.isPublic !== true;
      for (const service of route.services) {
        const ofService = pairs.get(service) ?? new Map();
        pairs.set(service, ofService);
        for (const priority of needsKey ? keyed : open) {
          const ofPriority = ofService.get(priority) ?? new Map();
          ofService.set(priority, ofPriority.set(route.priority, 0));
        }
      }
    }
    for (const [service, ranks] of pairs) {
      if (assignRanks(ranks) > 1) this.#byService.set(service, ranks);
    }
  }

  /** Returns a request's rank; undefined where all requests of the service have one rank. */
  find(
    service: string,
    req: { workspace: Workspace | undefined; routePriority: number },
  ): number | undefined {
    const priority = this.#getPriority(req.workspace);
    return this.#byService.get(service)?.get(priority)?.get(req.routePriority);
  }

  #getPriority(workspace: Workspace | undefined): number {
    return workspace?.priority ?? this.#leastUrgent;
  }
}

/** Numbers the pairs in the order of their urgency; returns how many there are. */
function assignRanks(ranks: Ranks): number {
  let count = 0;
  for (const workspacePriority of sort(ranks.keys())) {
    const byRoute = ranks.get(workspacePriority)!;
    for (const routePriority of sort(byRoute.keys())) {
      byRoute.set(routePriority, Math.min(count++, MAX_RANKS - 1));
    }
  }
  return count;
}

function sort(numbers: Iterable<number>): number[] {
  return [...numbers].sort((a, b) => a - b);
}
