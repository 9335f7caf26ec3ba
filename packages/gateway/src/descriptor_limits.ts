/**
 * Divides the descriptors of the process among its listeners and its own connections.
 * @module
 */

/** Descriptors for files, and those that the platform keeps back. */
const RESERVED_DESCRIPTORS = 200;
/** Connections to the object API and to other VMs, and those that other VMs open. */
const OWN_CONNECTIONS = 150;
/** Connections to servers for each request in flight, with retries and prefills. */
const CONNECTIONS_PER_REQUEST = 1.25;
/** Share of callers' connections; the rest is for requests that other VMs forward. */
const CALLER_SHARE = 0.75;
/** What is divided at least, where few descriptors are given. */
const MIN_USABLE_DESCRIPTORS = 50;
/** Connections that the listeners for readiness and for metrics accept. */
export const MAX_PROBE_CONNECTIONS = 32;

/** What a process of `descriptors` may have open at once. */
export interface DescriptorLimits {
  readonly callerConnections: number;
  readonly inFlight: number;
}

/** Divides the descriptors so that each request in flight can reach a server. */
export function divideDescriptors(
  options: { descriptors: number; inFlight: number },
): DescriptorLimits {
  const { descriptors, inFlight } = options;
  const usable = Math.max(
    MIN_USABLE_DESCRIPTORS,
    descriptors - RESERVED_DESCRIPTORS - OWN_CONNECTIONS -
      2 * MAX_PROBE_CONNECTIONS,
  );
  const forServers = Math.min(inFlight * CONNECTIONS_PER_REQUEST, usable / 2);
  return {
    callerConnections: Math.floor((usable - forServers) * CALLER_SHARE),
    inFlight: Math.floor(forServers / CONNECTIONS_PER_REQUEST),
  };
}
