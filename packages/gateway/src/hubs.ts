/**
 * The few VMs that all others keep a connection to: they take the roles that hear from
 * everyone, so that the heartbeats of a VM do not grow with the deployment.
 * @module
 */
import { rankVms } from "@bitternfall/membership";
import type { VmListEntry } from "@bitternfall/types";

/** Hubs that should be alive at any time; two may be lost at once and one be restarted. */
export const HUB_COUNT = 5;

/**
 * VMs to be connected to: the first of the ranking, and as many more as of them are
 * known to be dead. The dead ones stay, so that they are found again.
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
