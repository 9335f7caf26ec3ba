/**
 * Derives the dispatcher configuration of each model service from the gateway's.
 * @module
 */
import type { ServiceConfig } from "@bitternfall/dispatch";
import type { DispatchedService } from "@bitternfall/dispatch-host";
import type { GatewayConfig, GatewayService } from "./model.ts";
import type { ServerDirectory } from "./server_directory.ts";

/** Transfers between zones take this many times as long; most transfers may be of these. */
const CROSS_ZONE_TRANSFER_FACTOR = 2;

/** Options of {@link listDispatchedServices}. */
export interface DispatchedServicesOptions {
  readonly directory: ServerDirectory;
  /** Whether a server is changing its role and accepts no requests. */
  readonly isSwitching: (id: string) => boolean;
  /** Increases with this VM's orders to servers and with each reload of the settings. */
  readonly localRevision: number;
  readonly prefillTokensPerMs: number;
}

/** Returns a configuration's model services by name. */
export function listDispatchedServices(
  config: GatewayConfig | undefined,
  options: DispatchedServicesOptions,
): Map<string, DispatchedService> {
  const dispatched = new Map<string, DispatchedService>();
  for (const service of config?.services.values() ?? []) {
    const { name, engine } = service;
    if (engine === undefined) continue;
    const version = options.directory.getVersion(name);
    const configId = `${config!.version}/${version}/${options.localRevision}`;
    const serviceConfig = toServiceConfig(config!, service, options);
    dispatched.set(name, { name, config: serviceConfig, configId });
  }
  return dispatched;
}

function toServiceConfig(
  config: GatewayConfig,
  { name, engine }: GatewayService,
  options: DispatchedServicesOptions,
): ServiceConfig {
  const { directory, isSwitching, prefillTokensPerMs } = options;
  const routes = config.routes.filter(({ targets }) =>
    targets.some(({ service }) => service === name)
  );
  return {
    servers: directory.list(name).flatMap((server) => {
      const { id, role, availabilityZone, softwareVersion, bornAt } = server;
      if (role === undefined || isSwitching(id)) return [];
      const address = `${server.host}:${server.port}`;
      return [{ id, role, availabilityZone, address, softwareVersion, bornAt }];
    }),
    firstOutputMs: Math.min(...routes.map(({ targetMs }) => targetMs)),
    betweenOutputsMs: Math.min(...routes.map(({ eventGapMs }) => eventGapMs)),
    decodeSlots: engine?.slots ?? 1,
    memoryTokens: engine?.memoryTokens,
    tokensPerOutput: engine?.tokensPerEvent,
    prefillTokensPerMs,
    transferMsPerToken: engine?.transferMsPerToken &&
      engine.transferMsPerToken * CROSS_ZONE_TRANSFER_FACTOR,
    hasReportedRoles: true,
    canPrefillOnDecode: true,
    perWorkspaceInFlight: Infinity,
    hasRetryBudget: true,
    weights: { goodput: 0, wastedPrefill: 1 },
  };
}
