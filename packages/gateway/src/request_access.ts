/**
 * Checks the keys of callers' requests, and derives what servers are told of a request's
 * workspace and urgency.
 * @module
 */
import {
  type AccessDecision,
  AccessKind,
  decideAccess,
  KeyTable,
  RankTable,
  toHeaderText,
  type Workspace,
} from "@bitternfall/access";
import type { CallerDialect, CallTraits } from "./dialect.ts";
import type {
  GatewayConfig,
  GatewayRequest,
  GatewayService,
  Route,
} from "./model.ts";
import type { ForwardedTraits } from "./peer_http.ts";

/** Urgency at a model server of a request without a stated one. */
const DEFAULT_SERVER_PRIORITY = 5;
const PUBLIC: AccessDecision = { kind: AccessKind.Public };

/** A request whose route is known. */
export interface KeyedRequest {
  readonly rawHeaders: readonly string[];
  readonly route: Route;
  /** Undefined if the caller sent the request to this VM. */
  readonly forwarded: ForwardedTraits | undefined;
}

/** Keys and ranks of one configuration. */
export class RequestAccess {
  /** Undefined where requests need no key. */
  readonly #keys: KeyTable | undefined;
  readonly #ranks: RankTable;

  constructor({ workspaces, unusableKeys, routes }: GatewayConfig) {
    this.#keys = workspaces && new KeyTable(workspaces, { unusableKeys });
    this.#ranks = new RankTable({
      workspaces,
      routes: routes.map(({ priority, isPublic, targets }) => ({
        priority,
        isPublic,
        services: targets.filter(({ weight }) => weight > 0)
          .map(({ service }) => service),
      })),
    });
  }

  /**
   * Whether a request may carry a key, which servers must not get to know. One that another
   * VM has checked does, also before this VM has applied the configuration with the keys.
   */
  hasKey(forwarded: ForwardedTraits | undefined): boolean {
    return this.#keys !== undefined || forwarded?.workspace !== undefined;
  }

  /**
   * Decides by a request's key. The VM that forwards a request has checked its key, and its
   * decision stands while this VM knows the workspace.
   */
  check(
    { rawHeaders, route, forwarded }: KeyedRequest,
    dialect: Pick<CallerDialect, "readKey">,
  ): AccessDecision {
    if (this.#keys === undefined) return PUBLIC;
    const known = forwarded?.workspace === undefined
      ? undefined
      : this.#keys.findByName(forwarded.workspace);
    if (known !== undefined) {
      return { kind: AccessKind.Granted, workspace: known };
    }
    return decideAccess(this.#keys, {
      presented: dialect.readKey(rawHeaders),
      isPublic: route.isPublic ?? false,
    });
  }

  /** Returns a request's rank; undefined where all requests of the service have one rank. */
  findRank(
    { name }: GatewayService,
    req: { workspace: Workspace | undefined; route: Route },
  ): number | undefined {
    const { workspace, route } = req;
    return this.#ranks.find(name, { workspace, routePriority: route.priority });
  }
}

/** What every send of a request tells the server of its workspace and urgency. */
export function describeCaller(
  { workspace, rank, service }: GatewayRequest,
): Pick<CallTraits, "workspace" | "priority"> {
  const hasPriority = rank !== undefined && service.engine !== undefined;
  return {
    workspace: workspace && toHeaderText(workspace.name),
    // Never less urgent than a request without a priority, such as those of before a change.
    priority: hasPriority ? Math.min(rank, DEFAULT_SERVER_PRIORITY) : undefined,
  };
}
