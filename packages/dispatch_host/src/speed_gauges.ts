/**
 * Shows the speed of each model server, as measured by the service's dispatcher.
 * @module
 */
import type { Dispatcher } from "@bitternfall/dispatch";
import type { EventLog } from "@bitternfall/events";

/**
 * Sets the gauge of each server's relative speed; to 0 once the VM no longer dispatches the
 * service, because its last values would look like those of the new dispatcher.
 */
export function gaugeSpeeds(
  log: EventLog,
  { dispatcher, isHosted }: { dispatcher: Dispatcher; isHosted: boolean },
): void {
  const { service, servers } = dispatcher.summarize();
  for (const { id, role, speed } of servers) {
    const value = isHosted ? Math.round(speed * 100) / 100 : 0;
    log.gauge("server_speed", value, { service, server: id, role });
  }
}
