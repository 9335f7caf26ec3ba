/**
 * What the checks of a soak know: what callers sent and received, what servers received, and
 * what disturbed them.
 * @module
 */
import type { ReceivedRequest } from "@bitternfall/stand-ins";
import { SOAK_PROCESS } from "./disturbances.ts";
import type { SoakCall } from "./soak_clients.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakRegistry } from "./soak_registry.ts";
import type { SoakServer } from "./soak_server.ts";

/** A request that a server received. */
export interface Arrival extends ReceivedRequest {
  readonly server: string;
  readonly service: string;
}

/** The part of the fleet that the checks read. */
export interface ObservedFleet extends
  Pick<
    SoakFleet,
    | "disturbances"
    | "exits"
    | "crashingParts"
    | "crashingBodies"
    | "lostLinks"
    | "stops"
    | "starts"
    | "bodyLoads"
    | "memoryPeaksMb"
  > {
  readonly servers: readonly Pick<
    SoakServer,
    | "id"
    | "spec"
    | "requestsByInstance"
    | "receivedRequests"
    | "namedLimits"
    | "orders"
    | "crashes"
  >[];
  readonly registry: Pick<SoakRegistry, "configs" | "drainPeriods">;
}

/** Input of {@link findViolations}. */
export interface Observations {
  readonly fleet: ObservedFleet;
  readonly calls: readonly SoakCall[];
  readonly now: number;
}

/** Observations with the lookups that the checks share, built once per call. */
export interface IndexedObservations extends Observations {
  readonly callsById: ReadonlyMap<string, SoakCall>;
  readonly arrivals: readonly Arrival[];
  readonly runsByRequestId: ReadonlyMap<string, readonly Arrival[]>;
}

/** Builds the lookups of observations. */
export function indexObservations(
  observations: Observations,
): IndexedObservations {
  const arrivals = observations.fleet.servers.flatMap((
    { id, spec, receivedRequests },
  ) =>
    receivedRequests.map((request) => ({
      ...request,
      server: id,
      service: spec.service,
    }))
  );
  const runsByRequestId = new Map<string, Arrival[]>();
  for (const arrival of arrivals) {
    if (!arrival.ran) continue;
    const runs = runsByRequestId.get(arrival.requestId) ?? [];
    runs.push(arrival);
    runsByRequestId.set(arrival.requestId, runs);
  }
  const callsById = new Map(observations.calls.map((call) => [call.id, call]));
  return {
    ...observations,
    callsById,
    arrivals,
    runsByRequestId,
  };
}

/**
 * Whether neither the targets nor the soak process were disturbed in `time` or shortly
 * before it.
 */
export function isUndisturbed(
  { fleet }: IndexedObservations,
  targets: readonly string[],
  time: { from: number; to: number },
): boolean {
  return !fleet.disturbances.hasOverlap([...targets, SOAK_PROCESS], time);
}

/** Describes a call and its end. */
export function describeCall(
  { id, route, vm, status, error }: SoakCall,
): string {
  return `${id} ${route} on ${vm}: ${status ?? "no response"} ${error ?? ""}`;
}

/** Yields a description of each case that breaks one promise. */
export type Check = (index: IndexedObservations) => Iterable<string>;
