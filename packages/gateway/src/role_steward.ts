/**
 * Brings servers to the roles that are planned, by orders under a fenced lease. Only
 * the VM that dispatches a service orders its servers.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import type { Lease } from "@bitternfall/lease";
import { type Clock, ServerRole } from "@bitternfall/types";
import { OrderAnswer, type ServerDialect } from "./dialect.ts";
import type { EngineTraits, ServerEntry } from "./model.ts";
import {
  planPrefillCount,
  planRoleChanges,
  type RequestMix,
  type RoleChange,
} from "./role_planner.ts";
import type { ServerClient } from "./server_client.ts";

/** Options of a {@link RoleSteward}. */
export interface RoleStewardOptions {
  readonly vmId: string;
  readonly lease: Lease;
  readonly client: ServerClient;
  readonly dialect: ServerDialect;
  readonly log: EventLog;
  readonly now: Clock;
  readonly mix: RequestMix;
  /** Steps the lease down where this machine may have been suspended. */
  readonly checkClock: () => void;
  /** The servers that change their roles are others now. */
  readonly onChange: () => void;
}

/** A service whose servers this VM looks after. */
export interface StewardedService {
  readonly name: string;
  readonly engine: EngineTraits;
  readonly servers: readonly ServerEntry[];
}

interface Switching {
  readonly role: ServerRole;
  readonly until: number;
}

interface OrderOptions {
  readonly fence: number;
  readonly roleSwitchMs: number;
}

/** An order is given only where the lease is good for this long. */
const ORDER_MARGIN_MS = 400;
/** The lease is renewed once it is good for less than this. */
const RENEW_BEFORE_MS = 1400;
/** A server that was ordered is counted on again this long after its switch at the latest. */
const SWITCH_MARGIN_MS = 1500;
/** A server that refused an order is asked again after this. */
const REST_MS = 3000;
/** An order without an answer may be carried out this much later. */
const LATE_ORDER_MS = 13_000;

/** Gives the orders of one VM. */
export class RoleSteward {
  readonly #options: RoleStewardOptions;
  readonly #switching = new Map<string, Switching>();
  /** Servers that refused an order are left alone until then. */
  readonly #restUntil = new Map<string, number>();
  /** The fencing number that was last logged. */
  #fence: number | undefined;

  constructor(options: RoleStewardOptions) {
    this.#options = options;
  }

  /** Whether a server is between two roles. */
  isSwitching(id: string): boolean {
    const switching = this.#switching.get(id);
    if (switching === undefined) return false;
    if (this.#options.now() < switching.until) return true;
    this.#switching.delete(id);
    return false;
  }

  /** Looks at one service and orders what its plan asks for. */
  async tend(service: StewardedService): Promise<void> {
    const { lease } = this.#options;
    // Held all the time, so that an order need not wait for an earlier holder's lease.
    if (lease.getFence(RENEW_BEFORE_MS) === undefined) {
      await lease.renewOrAcquire();
    }
    this.#logLease();
    const changes = this.#plan(service);
    this.#options.checkClock();
    for (const change of changes) {
      const fence = lease.getFence(ORDER_MARGIN_MS);
      if (fence === undefined) return;
      await this.#order(change, {
        fence,
        roleSwitchMs: service.engine.roleSwitchMs,
      });
    }
  }

  #logLease(): void {
    const fence = this.#options.lease.getFence();
    if (fence === this.#fence) return;
    const name = fence === undefined ? "stewardLost" : "stewardElected";
    this.#options.log.emit(name, { fence: fence ?? this.#fence });
    this.#fence = fence;
  }

  #plan({ engine, servers }: StewardedService): RoleChange[] {
    const settled: ServerEntry[] = [];
    for (const server of servers) {
      const switching = this.#switching.get(server.id);
      if (switching?.role === server.role) this.#switching.delete(server.id);
      const isSwitching = this.isSwitching(server.id);
      // A server on its way counts as what it will be, and is left alone.
      settled.push(
        isSwitching ? { ...server, role: switching!.role } : server,
      );
    }
    const staged = settled.filter(({ role }) => role !== undefined);
    const count = planPrefillCount(staged.length, engine, this.#options.mix);
    const now = this.#options.now();
    return planRoleChanges(staged, count).filter(({ server: { id } }) =>
      !this.isSwitching(id) && now >= (this.#restUntil.get(id) ?? 0)
    );
  }

  async #order(
    { server, role }: RoleChange,
    { fence, roleSwitchMs }: OrderOptions,
  ): Promise<void> {
    const { vmId, client, dialect, log, now, lease } = this.#options;
    const fields = { server: server.id, role, fence };
    const wait = (ms: number) => this.#restUntil.set(server.id, now() + ms);
    try {
      const asked = await client.call(server, dialect.writeReport());
      const report = dialect.readReport(asked.body);
      if (report === undefined || report.isSwitching) return void wait(REST_MS);
      const { ordersAccepted } = report;
      this.#options.checkClock();
      if (lease.getFence(ORDER_MARGIN_MS) !== fence) return;
      const { status } = await client.call(
        server,
        dialect.writeOrder({
          serverId: server.id,
          role,
          holder: vmId,
          fence,
          ordersAccepted,
        }),
      );
      const answer = dialect.readOrderAnswer(status);
      const wasTaken = answer === OrderAnswer.Accepted ||
        answer === OrderAnswer.Holds;
      log.emit(wasTaken ? "orderIssued" : "orderRefused", {
        ...fields,
        ordersAccepted,
        answer,
        status,
      });
      if (answer === OrderAnswer.Fenced) lease.stepDown();
      if (!wasTaken) return void wait(REST_MS);
      this.#setSwitching(server, role, roleSwitchMs + SWITCH_MARGIN_MS);
    } catch (err) {
      // The order may still be carried out, so the server takes no work until then.
      const reason = getMessage(err);
      log.emit("orderRefused", { ...fields, answer: "none", reason });
      this.#setSwitching(server, role, LATE_ORDER_MS);
    }
  }

  #setSwitching(server: ServerEntry, role: ServerRole, ms: number): void {
    const { now, onChange } = this.#options;
    this.#switching.set(server.id, { role, until: now() + ms });
    onChange();
  }
}
