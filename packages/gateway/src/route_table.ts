/**
 * Finds the route of a request and picks one of the route's target services.
 * @module
 */
import type { GatewayConfig, Route, RouteTarget } from "./model.ts";

/** Routes of one configuration by host, with the longest path prefix first. */
export class RouteTable {
  readonly #byHost = new Map<string, Route[]>();

  constructor(config: GatewayConfig) {
    for (const route of config.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#byHost.get(host) ?? [];
      routes.push(route);
      this.#byHost.set(host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** Returns the route with the longest prefix of the path. */
  find(host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, "").toLowerCase();
    for (const route of this.#byHost.get(name) ?? []) {
      if (path.startsWith(route.pathPrefix)) return route;
    }
    return undefined;
  }
}

/**
 * Picks one of a route's targets by weight. `point` is from 0 to 1 and stays the same for
 * a request, so that its retries go to the same target.
 */
export function pickTarget(
  targets: readonly RouteTarget[],
  point: number,
): RouteTarget | undefined {
  let total = 0;
  for (const { weight } of targets) total += weight;
  let remainingWeight = point * total;
  for (const target of targets) {
    remainingWeight -= target.weight;
    if (remainingWeight < 0) return target;
  }
  return targets.findLast(({ weight }) => weight > 0);
}
