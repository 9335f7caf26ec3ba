/**
 * Picks the few VMs that all others keep a connection to. Hubs own the roles that need
 * every VM's heartbeats, so that the heartbeats per VM do not grow with the deployment.
 * @module
 */
import { rankVms } from "@bitternfall/membership";
import type { VmListEntry } from "@bitternfall/types";

/** Hubs that should be alive; enough to lose two at once while a third one restarts. */
export const HUB_COUNT = 5;

/**
 * Picks the first VMs of the ranking, and one more for each of them that is dead. Dead ones
 * stay in the list, so that they are dialled until they are back.
 */
export function pickHubs(
  vms: readonly VmListEntry[],
  isDead: (id: string) => boolean,
): VmListEntry[] {
  const hubs: VmListEntry[] = [];
  let alive = 0;
  for (const vm of rankVms(vms)) {
    if (alive >= HUB_COUNT) break;
    hubs.push(vm);
    if (!isDead(vm.id)) alive++;
  }
  return hubs;
}
