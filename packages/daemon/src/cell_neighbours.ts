/**
 * Exchange with other cells: small summaries of free slots and queue delays, by which
 * requests that a full cell refuses are sent to one with room.
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

/** What a cell tells its neighbours of a service. */
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
  readonly connect: (address: string) => HttpClient;
  /** Headers that show this VM to be a peer. */
  readonly peerHeaders: { readonly [name: string]: string };
}

interface HeardSummary extends CellSummary {
  /** Peer listener of the VM that answered. */
  readonly address: string;
  readonly at: number;
  /** Requests sent there since. */
  sent: number;
}

/** Path of a summary on the peer listener. */
export const SUMMARY_PATH = "/cell/summary/";

const NEIGHBOURS = 2;
const EVERY_MS = 1000;
const FRESH_MS = 3000;
const TIMEOUT_MS = 500;

const summarySchema = zod.object({
  freeSlots: zod.number(),
  queueDelayMs: zod.number(),
});

/** Knows how much room a few other cells have. */
export class CellNeighbours {
  readonly #options: CellNeighboursOptions;
  readonly #heard = new Map<string, HeardSummary>();
  #turn = 0;

  constructor(options: CellNeighboursOptions) {
    this.#options = options;
  }

  /** Asks the neighbours about the services that are dispatched here until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { plan, host } = this.#options;
    while (!signal.aborted) {
      this.#turn++;
      const asks = plan.listNeighbours(NEIGHBOURS).flatMap((cell) =>
        host.services.map((service) => this.#ask(cell, service))
      );
      await Promise.all(asks);
      await sleep(EVERY_MS, signal);
    }
  }

  /** A VM of another cell that has room for a request of a service, if one is known. */
  pick(service: string): string | undefined {
    let best: HeardSummary | undefined;
    for (const cell of this.#options.plan.listNeighbours(NEIGHBOURS)) {
      const heard = this.#heard.get(`${cell}/${service}`);
      if (heard === undefined || monotonicNow() - heard.at > FRESH_MS) continue;
      if (heard.freeSlots - heard.sent <= 0) continue;
      if (
        best === undefined ||
        heard.freeSlots - heard.sent > best.freeSlots - best.sent
      ) best = heard;
    }
    if (best === undefined) return undefined;
    best.sent++;
    return best.address;
  }

  /** This cell's own summary of a service, from whichever VM dispatches it. */
  async summarize(service: string): Promise<CellSummary> {
    const { vmId, membership, host, mesh } = this.#options;
    const owner = membership.getOwner(getDispatcherRole(service));
    if (owner === vmId) return host.getLoadSummary(service);
    if (owner === undefined) return { freeSlots: 0, queueDelayMs: 0 };
    const [freeSlots, queueDelayMs] = await mesh.call(owner, "cell.summary", {
      params: [service],
    });
    return { freeSlots, queueDelayMs };
  }

  async #ask(cell: string, service: string): Promise<void> {
    const { plan, connect, peerHeaders } = this.#options;
    const vms = plan.listVms(cell);
    const vm = vms[this.#turn % vms.length];
    if (vm === undefined) return;
    try {
      const { status, json } = await connect(vm.address).callJson({
        path: SUMMARY_PATH + encodeURIComponent(service),
        headers: peerHeaders,
        timeoutMs: TIMEOUT_MS,
      });
      const parsed = summarySchema.safeParse(json);
      if (status !== 200 || !parsed.success) return;
      const heard = {
        ...parsed.data,
        address: vm.address,
        at: monotonicNow(),
        sent: 0,
      };
      this.#heard.set(`${cell}/${service}`, heard);
    } catch {
      // An old summary is not used for long.
    }
  }
}
