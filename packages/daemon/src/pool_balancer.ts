/**
 * Moves servers of a model service from one pool (prefill or decode) to the other when the
 * other is overloaded and the donor has spare capacity. Repeated observations and a cooldown
 * keep the assignment from oscillating.
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
import type { RecordReplica } from "./record_replica.ts";
import type { RecordWriter } from "./record_writer.ts";

/** Options of a {@link PoolBalancer}. */
export interface PoolBalancerOptions {
  readonly vmId: string;
  readonly cell: string;
  readonly log: EventLog;
  readonly plan: CellPlan;
  readonly replica: RecordReplica;
  readonly writer: RecordWriter;
  readonly getSnapshot: () => Snapshot;
  /** Gets the utilization of a service's pools; undefined if its dispatcher doesn't respond. */
  readonly getPressure: (service: string) => Promise<PoolPressure | undefined>;
}

type Role = ModelService["servers"][number]["role"];

/** Utilization above which a pool is short of servers. */
const MIN_SHORT_PRESSURE = 0.85;
/** Utilization that the donor pool must stay below with one server less. */
const MAX_DONOR_PRESSURE = 0.75;
/** Consecutive observations that must name the same donor before a server is moved. */
const REQUIRED_OBSERVATIONS = 3;
/** Pause after a move, in which the pools and their measured utilization stabilize. */
const MOVE_COOLDOWN_MS = 6000;

/** Balances the pools of the services that have `balancePools` set. */
export class PoolBalancer {
  readonly #options: PoolBalancerOptions;
  readonly #observations = new Map<string, { from: Role; count: number }>();
  readonly #cooldownUntil = new Map<string, number>();

  constructor(options: PoolBalancerOptions) {
    this.#options = options;
  }

  /** Observes each service once, and moves at most one server of it. */
  async balance(): Promise<void> {
    for (const service of this.#options.getSnapshot().modelServices.values()) {
      if (service.balancePools) await this.#balanceService(service);
    }
  }

  async #balanceService(service: ModelService): Promise<void> {
    const { name } = service;
    if (monotonicNow() < (this.#cooldownUntil.get(name) ?? 0)) return;
    const pressure = await this.#options.getPressure(name);
    const servers = service.servers.filter((server) =>
      this.#options.plan.owns(server)
    );
    const from = pressure === undefined
      ? undefined
      : pickDonor(pressure, servers);
    if (from === undefined) return void this.#observations.delete(name);
    const previous = this.#observations.get(name);
    const count = previous?.from === from ? previous.count + 1 : 1;
    this.#observations.set(name, { from, count });
    if (count < REQUIRED_OBSERVATIONS) return;
    this.#observations.delete(name);
    this.#cooldownUntil.set(name, monotonicNow() + MOVE_COOLDOWN_MS);
    await this.#moveServer(
      service,
      servers.findLast(({ role }) => role === from)!,
    );
  }

  async #moveServer(
    service: ModelService,
    server: ModelService["servers"][number],
  ): Promise<void> {
    const { vmId, cell, replica, writer, log } = this.#options;
    const name = `${service.name}.${cell}`;
    const object = replica.find(getRecordKey({ kind: "PoolRoles", name }));
    const current = object?.stored?.record as PoolRoles | null | undefined;
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
        version: object?.version ?? 0,
        changeId: crypto.randomUUID(),
        who: `steward ${vmId}`,
      });
    } catch (err) {
      // Another change of the record came first, or the object API is down. After the cooldown
      // the balancer observes the service anew.
      log.emit("serverNotMoved", {
        server: server.id,
        reason: getMessage(err),
      });
    }
  }
}

/** Returns the pool that should give a server to the other one, if either should. */
export function pickDonor(
  pressure: PoolPressure,
  servers: readonly { role: Role }[],
): Role | undefined {
  const prefills = servers.filter(({ role }) => role === "prefill").length;
  const decodes = servers.length - prefills;
  const canGive = (pressure: number, serverCount: number) =>
    serverCount > 1 &&
    pressure * serverCount / (serverCount - 1) < MAX_DONOR_PRESSURE;
  if (
    pressure.prefill > MIN_SHORT_PRESSURE && canGive(pressure.decode, decodes)
  ) {
    return "decode";
  }
  if (
    pressure.decode > MIN_SHORT_PRESSURE && canGive(pressure.prefill, prefills)
  ) {
    return "prefill";
  }
  return undefined;
}
