/**
 * Assigns servers and idempotency keys to cells. The assignment depends only on the VM list
 * and on the cell that a server's record names, so that all VMs reach the same result.
 * @module
 */
import { pickOwner } from "@bitternfall/membership";
import type { VmListEntry } from "@bitternfall/types";

/** A server to be assigned to a cell. */
export interface PlannedServer {
  readonly id: string;
  readonly availabilityZone: string;
  /** The cell that the server's record names, if any. */
  readonly cell?: string | undefined;
}

/** Assignment to cells, seen from one cell. */
export class CellPlan {
  readonly ownCell: string;
  /** Live entry VMs of each cell; this VM's own cell is always present. */
  #vmsByCell = new Map<string, VmListEntry[]>();
  /** Cells with live entry VMs in each availability zone. */
  #cellsByZone = new Map<string, Set<string>>();

  constructor(ownCell: string) {
    this.ownCell = ownCell;
  }

  /** Replaces the VM list. Returns whether the cells or their zones changed. */
  setVmList(vms: readonly VmListEntry[]): boolean {
    const before = this.#serialize();
    this.#vmsByCell = new Map([[this.ownCell, []]]);
    this.#cellsByZone = new Map();
    for (const vm of vms) {
      if (vm.kind !== "entry" || vm.state !== "live") continue;
      const cell = vm.cell ?? this.ownCell;
      this.#vmsByCell.set(cell, [...this.#vmsByCell.get(cell) ?? [], vm]);
      this.#cellsByZone.set(
        vm.availabilityZone,
        (this.#cellsByZone.get(vm.availabilityZone) ?? new Set()).add(cell),
      );
    }
    return this.#serialize() !== before;
  }

  /**
   * Whether a server is assigned to this VM's cell: to the cell that its record names, if
   * that exists; otherwise by hash to a cell of its zone, or to any cell if the zone has none.
   */
  owns(server: PlannedServer): boolean {
    if (server.cell !== undefined && this.#vmsByCell.has(server.cell)) {
      return server.cell === this.ownCell;
    }
    const zoneCells = this.#cellsByZone.get(server.availabilityZone);
    const candidates = zoneCells !== undefined && zoneCells.size > 0
      ? zoneCells
      : this.#vmsByCell.keys();
    return (pickOwner(`server/${server.id}`, candidates) ?? this.ownCell) ===
      this.ownCell;
  }

  /** Returns the cell whose journal holds an idempotency key. */
  getHomeCell(key: string): string {
    return pickOwner(`key/${key}`, this.#vmsByCell.keys()) ?? this.ownCell;
  }

  /** Lists up to `count` other cells. The selection differs from cell to cell, to spread polls. */
  listNeighbours(count: number): string[] {
    const others = [...this.#vmsByCell.keys()].filter((cell) =>
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

  /** Lists the live entry VMs of a cell. */
  listVms(cell: string): readonly VmListEntry[] {
    return this.#vmsByCell.get(cell) ?? [];
  }

  #serialize(): string {
    return JSON.stringify([
      [...this.#vmsByCell.keys()].sort(),
      [...this.#cellsByZone].map(([zone, cells]) => [zone, [...cells]]),
    ]);
  }
}
