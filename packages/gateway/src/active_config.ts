/**
 * The configuration that is in force, with what is derived from it once.
 * @module
 */
import type { GatewayConfig } from "./model.ts";
import { RequestAccess } from "./request_access.ts";
import { RouteTable } from "./route_table.ts";

/** The active configuration, its route table and its keys. */
export interface ActiveConfig {
  readonly config: GatewayConfig;
  readonly table: RouteTable;
  readonly access: RequestAccess;
  /** When this VM applied it, on the gateway's clock. */
  readonly appliedAt: number;
}

/** Derives what requests need of a configuration. */
export function activateConfig(
  config: GatewayConfig,
  appliedAt: number,
): ActiveConfig {
  return {
    config,
    table: new RouteTable(config),
    access: new RequestAccess(config),
    appliedAt,
  };
}
