/**
 * Moves servers of a model service between prefill and decode when one pool is short
 * and the other has room, slowly enough that it does not swing.
 * @module
 */
import * as crypto from "node:crypto";
import type { PoolPressure } from "@bitternfall/dispatch";
import type { EventLog } from "@bitternfall/events";
import { getMessage } from "@bitternfall/errors";
import type { ModelService, PoolRoles, Snapshot } from "@bitternfall/records";
import { getRecordKey } from "@bitternfall/records";
import { monotonicNow } from "@bitternfall/types";
import type { CellPlan } from "./cell_plan.ts";
import type { RecordKeeper } from "./record_keeper.ts";
import type { RecordWriter } from "./record_writer.ts";

/** Options of a {@link PoolBalancer}. */
export interface PoolBalancerOptions {
  readonly vmId: string;
  readonly cell: string;
  readonly log: EventLog;
  readonly plan: CellPlan;
  readonly keeper: RecordKeeper;
  readonly writer: RecordWriter;
  readonly getSnapshot: () => Snapshot;
  /** How busy the pools of a service are, from its dispatcher; undefined when it does not answer. */
  readonly getPressure: (service: string) => Promise<PoolPressure | undefined>;
}

type Role = ModelService["servers"][number]["role"];

/** Pressure above which a pool is short. */
const SHORT = 0.85;
/** Pressure that the other pool may reach once it has lost a server. */
const ROOM = 0.75;
/** Looks in a row that must agree before a server is moved. */
const LOOKS = 3;
/** Rest after a move, for the pools and their measures to settle. */
const REST_MS = 6000;

/** Balances the pools of the services that let it. */
export class PoolBalancer {
  readonly #options: PoolBalancerOptions;
  readonly #looks = new Map<string, { from: Role; count: number }>();
  readonly #restUntil = new Map<string, number>();

  constructor(options: PoolBalancerOptions) {
    this.#options = options;
  }

  /** Looks at each service once. */
  async balance(): Promise<void> {
    for (const service of this.#options.getSnapshot().modelServices.values()) {
      if (service.balancePools) await this.#balanceService(service);
    }
  }

  async #balanceService(service: ModelService): Promise<void> {
    const { name } = service;
    if (monotonicNow() < (this.#restUntil.get(name) ?? 0)) return;
    const pressure = await this.#options.getPressure(name);
    const servers = service.servers.filter((server) =>
      this.#options.plan.owns(server)
    );
    const from = pressure === undefined
      ? undefined
      : pickDonor(pressure, servers);
    if (from === undefined) return void this.#looks.delete(name);
    const looks = this.#looks.get(name);
    const count = looks?.from === from ? looks.count + 1 : 1;
    this.#looks.set(name, { from, count });
    if (count < LOOKS) return;
    this.#looks.delete(name);
    this.#restUntil.set(name, monotonicNow() + REST_MS);
    await this.#move(service, servers.findLast(({ role }) => role === from)!);
  }

  async #move(
    service: ModelService,
    server: ModelService["servers"][number],
  ): Promise<void> {
    const { vmId, cell, keeper, writer, log } = this.#options;
    const name = `${service.name}.${cell}`;
    const known = keeper.find(getRecordKey({ kind: "PoolRoles", name }));
    const current = known?.stored?.record as PoolRoles | null | undefined;
    const role: Role = server.role === "prefill" ? "decode" : "prefill";
    const record: PoolRoles = {
      kind: "PoolRoles",
      schemaVersion: 1,
      name,
      service: service.name,
      roles: { ...current?.roles, [server.id]: role },
    };
    log.emit("serverMoved", { service: service.name, server: server.id, role });
    try {
      await writer.change({
        kind: record.kind,
        name,
        record,
        version: known?.version ?? 0,
        changeId: crypto.randomUUID(),
        who: `steward ${vmId}`,
      });
    } catch (err) {
      // An operator's change went first, or the store is down; the next look decides anew.
      log.emit("serverNotMoved", {
        server: server.id,
        reason: getMessage(err),
      });
    }
  }
}

/** The pool that should give a server away, if any. */
export function pickDonor(
  pressure: PoolPressure,
  servers: readonly { role: Role }[],
): Role | undefined {
  const prefills = servers.filter(({ role }) => role === "prefill").length;
  const decodes = servers.length - prefills;
  const canGive = (own: number, count: number) =>
    count > 1 && own * count / (count - 1) < ROOM;
  if (pressure.prefill > SHORT && canGive(pressure.decode, decodes)) {
    return "decode";
  }
  if (pressure.decode > SHORT && canGive(pressure.prefill, prefills)) {
    return "prefill";
  }
  return undefined;
}
