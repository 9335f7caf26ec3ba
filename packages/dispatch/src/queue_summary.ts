/**
 * Summary of a dispatcher's state for operators.
 * @module
 */
import { ServerRole } from "@bitternfall/types";
import type { DecodePool } from "./decode_pool.ts";
import type { PrefillPool } from "./prefill_pool.ts";

/** Utilization of the two pools of a service, from 0 to 1. */
export interface PoolPressure {
  readonly prefill: number;
  readonly decode: number;
}

/** State of a service's queue, for operators. */
export interface QueueSummary {
  readonly service: string;
  readonly queued: number;
  readonly granted: number;
  readonly freeSlots: number;
  /** Predicted queueing delay of a new request; -1 if no server takes work. */
  readonly queueDelayMs: number;
  readonly pressure: PoolPressure;
  readonly workspaces: readonly {
    workspace: string;
    queued: number;
    granted: number;
  }[];
  readonly servers: readonly ServerSummary[];
}

/** State of a server, for operators. */
export interface ServerSummary {
  readonly id: string;
  readonly role: ServerRole;
  readonly granted: number;
  readonly limit: number;
  readonly leaving: boolean;
  readonly avoided: boolean;
  /** Speed relative to the mean of its role; 1 unless it is known to differ. */
  readonly speed: number;
}

/** Summarizes the servers of both pools. */
export function summarizeServers(
  prefills: PrefillPool,
  decodes: DecodePool,
  now: number,
): ServerSummary[] {
  const servers: ServerSummary[] = [];
  for (
    const { id, pendingPrefills, isLeaving, avoidUntil, speed } of prefills
      .servers
      .values()
  ) {
    servers.push({
      id,
      role: ServerRole.Prefill,
      granted: pendingPrefills,
      limit: 0,
      leaving: isLeaving,
      avoided: avoidUntil > now,
      speed,
    });
  }
  for (const server of decodes.servers.values()) {
    servers.push({
      id: server.id,
      role: ServerRole.Decode,
      granted: server.grants.size,
      limit: Math.floor(server.limit),
      leaving: server.isLeaving,
      avoided: server.avoidUntil > now,
      speed: server.speed,
    });
  }
  return servers;
}
