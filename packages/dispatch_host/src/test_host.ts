/**
 * A dispatch host with one service that has no servers, for tests.
 * @module
 */
import { PolicyName, type ServiceConfig } from "@bitternfall/dispatch";
import { EventLog } from "@bitternfall/events";
import type { PeerMesh } from "@bitternfall/peer";
import { DispatchHost, type DispatchHostOptions } from "./dispatch_host.ts";
import { RunningCalls } from "./running_calls.ts";

/** Name of the service. */
export const TEST_SERVICE = "lm";

const TEST_CONFIG: ServiceConfig = {
  servers: [],
  firstOutputMs: 500,
  betweenOutputsMs: 100,
  decodeSlots: 1,
  perWorkspaceInFlight: Infinity,
  hasRetryBudget: true,
  weights: { goodput: 0, wastedPrefill: 1 },
};

/** The services to dispatch, by name. */
export const TEST_SERVICES = new Map([
  [TEST_SERVICE, { name: TEST_SERVICE, config: TEST_CONFIG, configId: 1 }],
]);

/** Creates a host that has the role of every service, and dispatches the test service. */
export function createTestHost(
  options: Partial<DispatchHostOptions> = {},
): DispatchHost {
  const host = new DispatchHost({
    vmId: "vm-1",
    policy: PolicyName.Joint,
    log: new EventLog({ level: "fatal" }),
    mesh: {} as PeerMesh,
    calls: new RunningCalls(),
    pickSpilloverVm: () => undefined,
    isOwner: () => true,
    isLeaving: () => false,
    cancelGrant: () => {},
    onRoleTaken: () => {},
    onRoleHandedOver: () => {},
    ...options,
  });
  host.sync(TEST_SERVICES);
  return host;
}
