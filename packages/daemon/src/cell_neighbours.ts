/**
 * Polls a few other cells for load summaries (free slots and queue delays), so that requests
 * that a full cell can't admit spill over to a cell with free capacity.
 * @module
 */
import { HttpClient } from "@bitternfall/connection";
import type { Membership } from "@bitternfall/membership";
import type { PeerMesh } from "@bitternfall/peer";
import { monotonicNow, sleep } from "@bitternfall/types";
import * as zod from "zod";
import type { CellPlan } from "./cell_plan.ts";
import { getDispatcherRole } from "@bitternfall/dispatch-host";
import type { DispatchHost } from "@bitternfall/dispatch-host";

/** Load of one service in one cell. */
export interface CellSummary {
  readonly freeSlots: number;
  readonly queueDelayMs: number;
}

/** Options of {@link CellNeighbours}. */
export interface CellNeighboursOptions {
  readonly vmId: string;
  readonly plan: CellPlan;
  readonly host: DispatchHost;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly getClient: (address: string) => HttpClient;
  /** Headers that authenticate this VM as a peer. */
  readonly peerHeaders: { readonly [name: string]: string };
}

interface NeighbourSummary extends CellSummary {
  /** Address of the peer listener of the VM that sent the summary. */
  readonly address: string;
  readonly receivedAt: number;
  /** Requests that spilled over to this cell since the summary was received. */
  requestsSent: number;
}

/** Path prefix of summaries on the peer listener; the service's name follows. */
export const SUMMARY_PATH = "/cell/summary/";

const NEIGHBOUR_COUNT = 2;
const POLL_INTERVAL_MS = 1000;
const MAX_SUMMARY_AGE_MS = 3000;
const SUMMARY_TIMEOUT_MS = 500;

const summarySchema = zod.object({
  freeSlots: zod.number(),
  queueDelayMs: zod.number(),
});

/** Tracks the free capacity of a few other cells. */
export class CellNeighbours {
  readonly #options: CellNeighboursOptions;
  readonly #summaries = new Map<string, NeighbourSummary>();
  #pollCount = 0;

  constructor(options: CellNeighboursOptions) {
    this.#options = options;
  }

  /** Polls the neighbours for the services that this VM dispatches, until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { plan, host } = this.#options;
    while (!signal.aborted) {
      this.#pollCount++;
      const polls = plan.listNeighbours(NEIGHBOUR_COUNT).flatMap((cell) =>
        host.services.map((service) => this.#fetchSummary(cell, service))
      );
      await Promise.all(polls);
      await sleep(POLL_INTERVAL_MS, signal);
    }
  }

  /**
   * Returns the address of a VM in the neighbour cell with the most free slots for a service,
   * or undefined if no recent summary shows a free slot.
   */
  pickSpilloverVm(service: string): string | undefined {
    let best: NeighbourSummary | undefined;
    for (const cell of this.#options.plan.listNeighbours(NEIGHBOUR_COUNT)) {
      const summary = this.#summaries.get(`${cell}/${service}`);
      if (
        summary === undefined ||
        monotonicNow() - summary.receivedAt > MAX_SUMMARY_AGE_MS
      ) continue;
      if (summary.freeSlots - summary.requestsSent <= 0) continue;
      if (
        best === undefined ||
        summary.freeSlots - summary.requestsSent >
          best.freeSlots - best.requestsSent
      ) best = summary;
    }
    if (best === undefined) return undefined;
    best.requestsSent++;
    return best.address;
  }

  /** Gets this cell's own summary of a service from the VM that dispatches it. */
  async getOwnSummary(service: string): Promise<CellSummary> {
    const { vmId, membership, host, mesh } = this.#options;
    const owner = membership.getOwner(getDispatcherRole(service));
    if (owner === vmId) return host.getLoadSummary(service);
    if (owner === undefined) return { freeSlots: 0, queueDelayMs: 0 };
    const [freeSlots, queueDelayMs] = await mesh.call(owner, "cell.summary", {
      params: [service],
    });
    return { freeSlots, queueDelayMs };
  }

  async #fetchSummary(cell: string, service: string): Promise<void> {
    const { plan, getClient, peerHeaders } = this.#options;
    const vms = plan.listVms(cell);
    const vm = vms[this.#pollCount % vms.length];
    if (vm === undefined) return;
    try {
      const { status, json } = await getClient(vm.address).callJson({
        path: SUMMARY_PATH + encodeURIComponent(service),
        headers: peerHeaders,
        timeoutMs: SUMMARY_TIMEOUT_MS,
      });
      const parsed = summarySchema.safeParse(json);
      if (status !== 200 || !parsed.success) return;
      const summary = {
        ...parsed.data,
        address: vm.address,
        receivedAt: monotonicNow(),
        requestsSent: 0,
      };
      this.#summaries.set(`${cell}/${service}`, summary);
    } catch {
      // The previous summary stays in use until it is too old.
    }
  }
}
