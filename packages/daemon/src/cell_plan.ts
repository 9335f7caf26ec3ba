/**
 * Which cells there are, which servers each has, and where keys are at home, worked
 * out from the VM list alone, so that all VMs come to the same plan.
 * @module
 */
import { pickOwner } from "@bitternfall/membership";
import type { VmListEntry } from "@bitternfall/types";

/** A server that a cell may have. */
export interface PlannedServer {
  readonly id: string;
  readonly availabilityZone: string;
  /** The cell that its record names, if any. */
  readonly cell?: string | undefined;
}

/** The cells as the VM list shows them. */
export class CellPlan {
  readonly ownCell: string;
  /** Live entry VMs of each cell. */
  #vms = new Map<string, VmListEntry[]>();
  #zones = new Map<string, Set<string>>();

  constructor(ownCell: string) {
    this.ownCell = ownCell;
  }

  /** Takes the VM list over; true when the cells changed. */
  setVms(vms: readonly VmListEntry[]): boolean {
    const before = this.#describe();
    this.#vms = new Map([[this.ownCell, []]]);
    this.#zones = new Map();
    for (const vm of vms) {
      if (vm.kind !== "entry" || vm.state !== "live") continue;
      const cell = vm.cell ?? this.ownCell;
      this.#vms.set(cell, [...this.#vms.get(cell) ?? [], vm]);
      this.#zones.set(
        vm.availabilityZone,
        (this.#zones.get(vm.availabilityZone) ?? new Set()).add(cell),
      );
    }
    return this.#describe() !== before;
  }

  /** Whether a server belongs to this VM's cell. */
  owns(server: PlannedServer): boolean {
    if (server.cell !== undefined && this.#vms.has(server.cell)) {
      return server.cell === this.ownCell;
    }
    const near = this.#zones.get(server.availabilityZone);
    const candidates = near !== undefined && near.size > 0
      ? near
      : this.#vms.keys();
    return (pickOwner(`server/${server.id}`, candidates) ?? this.ownCell) ===
      this.ownCell;
  }

  /** The cell whose journal has a key. */
  getHomeCell(key: string): string {
    return pickOwner(`key/${key}`, this.#vms.keys()) ?? this.ownCell;
  }

  /** Other cells, a bounded number that differs from cell to cell. */
  listNeighbours(count: number): string[] {
    const others = [...this.#vms.keys()].filter((cell) =>
      cell !== this.ownCell
    );
    const neighbours: string[] = [];
    while (neighbours.length < count && others.length > 0) {
      const next = pickOwner(`neighbour/${this.ownCell}`, others)!;
      others.splice(others.indexOf(next), 1);
      neighbours.push(next);
    }
    return neighbours;
  }

  /** Live entry VMs of a cell. */
  listVms(cell: string): readonly VmListEntry[] {
    return this.#vms.get(cell) ?? [];
  }

  #describe(): string {
    return JSON.stringify([
      [...this.#vms.keys()].sort(),
      [...this.#zones].map(([zone, cells]) => [zone, [...cells]]),
    ]);
  }
}
