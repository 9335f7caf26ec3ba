/**
 * Issues orders that bring servers to their planned roles, under a fenced lease. Only the
 * VM that dispatches a service orders that service's servers.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import type { Lease } from "@bitternfall/lease";
import { type Clock, ServerRole } from "@bitternfall/types";
import { OrderResult, type ServerDialect } from "./dialect.ts";
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
  readonly leaseMs: number;
  readonly client: ServerClient;
  readonly dialect: ServerDialect;
  readonly log: EventLog;
  readonly now: Clock;
  /** Assumed requests of a service until its load has been observed. */
  readonly expected: ExpectedLoad;
  /** Gives up the lease if this machine may have been suspended. */
  readonly checkClock: () => void;
  /** Called when the set of servers that are changing their role has changed. */
  readonly onChange: () => void;
}

/** A service whose servers' roles this VM manages. */
export interface StewardedService {
  readonly name: string;
  readonly engine: EngineTraits;
  readonly servers: readonly ServerEntry[];
  /** What its requests have lately been like, if enough of them have ended. */
  readonly observed?: Omit<RequestMix, "prefillBaseMs"> | undefined;
  /** Whether its dispatcher has served requests. */
  readonly hasServed?: boolean;
  /** Whether requests wait for servers. */
  readonly hasQueue?: boolean;
}

/** Assumed requests, with their output in events, whose size each engine states. */
export interface ExpectedLoad extends Omit<RequestMix, "outputTokens"> {
  readonly outputEvents: number;
}

interface RoleSwitch {
  /** Start time of the process that was ordered. */
  readonly bornAt: number;
  readonly role: ServerRole;
  readonly until: number;
}

interface OrderOptions {
  readonly fence: number;
  readonly roleSwitchMs: number;
}

/** An order is issued only if the lease is valid for at least this long. */
const MIN_LEASE_LEFT_MS = 400;
/** The lease is renewed once it is valid for less than this. */
const LEASE_RENEWAL_MARGIN_MS = 1400;
/** Margin after the expected end of a role switch; then the server is used again anyway. */
const SWITCH_MARGIN_MS = 1500;
/** Smallest relative gain of request rate for which servers change their role. */
const MIN_RATE_GAIN = 0.05;
/** The same while requests are queued, since a server that changes its role serves none. */
const MIN_RATE_GAIN_WITH_QUEUE = 0.15;
/** Back-off after a server has refused an order or was busy with another. */
const ORDER_RETRY_MS = 3000;
/** Time within which an order may still be carried out although no response arrived. */
const UNCONFIRMED_ORDER_MS = 13_000;

/** Issues the orders of one VM. */
export class RoleSteward {
  readonly #options: RoleStewardOptions;
  readonly #roleSwitches = new Map<string, RoleSwitch>();
  /** End of the back-off, by id of the server. */
  readonly #backOffUntil = new Map<string, { bornAt: number; until: number }>();
  /** Number of prefill servers that was last planned, by service. */
  readonly #plannedCounts = new Map<string, number>();
  /** Fencing number that was last logged. */
  #loggedFence: number | undefined;

  constructor(options: RoleStewardOptions) {
    this.#options = options;
  }

  /** Whether a server may be changing its role. */
  isSwitching(id: string): boolean {
    const roleSwitch = this.#roleSwitches.get(id);
    if (roleSwitch === undefined) return false;
    if (this.#options.now() < roleSwitch.until) return true;
    this.#roleSwitches.delete(id);
    return false;
  }

  /** Plans the roles of one service's servers and issues the orders that are needed. */
  async reconcileRoles(service: StewardedService): Promise<void> {
    const { lease, leaseMs, now } = this.#options;
    // The lease is held permanently, so that orders need not wait until another VM's expires.
    if (lease.getFence(LEASE_RENEWAL_MARGIN_MS) === undefined) {
      await lease.renewOrAcquire();
    }
    this.#logLease();
    // A server may not check fencing numbers, and an order of the last holder may be late.
    if (now() - lease.takenOverAt < leaseMs) return;
    const changes = this.#planChanges(service);
    this.#options.checkClock();
    for (const change of changes) {
      const fence = lease.getFence(MIN_LEASE_LEFT_MS);
      if (fence === undefined) return;
      await this.#issueOrder(change, {
        fence,
        roleSwitchMs: service.engine.roleSwitchMs,
      });
    }
  }

  #logLease(): void {
    const fence = this.#options.lease.getFence();
    if (fence === this.#loggedFence) return;
    const name = fence === undefined ? "stewardLost" : "stewardElected";
    this.#options.log.emit(name, { fence: fence ?? this.#loggedFence });
    this.#loggedFence = fence;
  }

  #planChanges(service: StewardedService): RoleChange[] {
    const { servers } = service;
    this.#forgetReplaced(servers);
    const planned: ServerEntry[] = [];
    for (const server of servers) {
      const roleSwitch = this.#roleSwitches.get(server.id);
      if (roleSwitch?.role === server.role) {
        this.#roleSwitches.delete(server.id);
      }
      const isSwitching = this.isSwitching(server.id);
      // A server that is changing its role counts with its new role and gets no order.
      planned.push(
        isSwitching ? { ...server, role: roleSwitch!.role } : server,
      );
    }
    const staged = planned.filter(({ role }) => role !== undefined);
    // A new dispatcher of a service under load has to observe it first, because the servers
    // already follow what its predecessor has observed.
    if (service.observed === undefined && service.hasServed) return [];
    const count = this.#planCount(service, staged);
    const now = this.#options.now();
    const changes = planRoleChanges(staged, count).filter(({ server }) =>
      !this.isSwitching(server.id) &&
      now >= (this.#backOffUntil.get(server.id)?.until ?? 0)
    );
    if (!service.hasServed) return changes;
    // Under load, at most one server is away at a time.
    const isOneAway = servers.some(({ id }) => this.isSwitching(id));
    return isOneAway ? [] : changes.slice(0, 1);
  }

  /** Forgets the orders to processes that have been replaced. */
  #forgetReplaced(servers: readonly ServerEntry[]): void {
    let hasChanged = false;
    for (const { id, bornAt } of servers) {
      const isReplaced = (known: { bornAt: number } | undefined) =>
        known !== undefined && known.bornAt !== bornAt;
      if (isReplaced(this.#backOffUntil.get(id))) this.#backOffUntil.delete(id);
      if (!isReplaced(this.#roleSwitches.get(id))) continue;
      this.#roleSwitches.delete(id);
      hasChanged = true;
    }
    if (hasChanged) this.#options.onChange();
  }

  #planCount(
    { name, engine, observed, hasQueue }: StewardedService,
    staged: readonly ServerEntry[],
  ): number {
    const { expected, log } = this.#options;
    const { outputEvents, ...guess } = expected;
    const mix: RequestMix = {
      ...guess,
      outputTokens: outputEvents * engine.tokensPerEvent,
      ...observed,
    };
    const current = staged.filter(({ role }) => role === ServerRole.Prefill);
    const split = { total: staged.length, current: current.length };
    const prefillServers = planPrefillCount(split, engine, {
      ...mix,
      minRateGain: hasQueue ? MIN_RATE_GAIN_WITH_QUEUE : MIN_RATE_GAIN,
    });
    if (this.#plannedCounts.get(name) !== prefillServers) {
      this.#plannedCounts.set(name, prefillServers);
      log.emit("rolesPlanned", {
        service: name,
        servers: split.total,
        prefillServers,
        isObserved: observed !== undefined,
        promptTokens: Math.round(mix.promptTokens),
        outputTokens: Math.round(mix.outputTokens),
        prefillTokensPerMs: Math.round(mix.prefillTokensPerMs * 10) / 10,
        holdMs: Math.round(mix.holdMs),
      });
    }
    return prefillServers;
  }

  async #issueOrder(
    { server, role }: RoleChange,
    { fence, roleSwitchMs }: OrderOptions,
  ): Promise<void> {
    const { vmId, client, dialect, log, now, lease } = this.#options;
    const fields = { server: server.id, role, fence };
    const backOff = (ms: number) =>
      this.#backOffUntil.set(server.id, {
        bornAt: server.bornAt,
        until: now() + ms,
      });
    try {
      const reported = await client.sendControlCall(
        server,
        dialect.buildReportCall(),
      );
      const report = dialect.readReport(reported.body);
      if (report === undefined || report.isSwitching) {
        return void backOff(ORDER_RETRY_MS);
      }
      const { ordersAccepted } = report;
      this.#options.checkClock();
      if (lease.getFence(MIN_LEASE_LEFT_MS) !== fence) return;
      const { status } = await client.sendControlCall(
        server,
        dialect.buildOrderCall({
          serverId: server.id,
          role,
          holder: vmId,
          fence,
          ordersAccepted,
        }),
      );
      const result = dialect.readOrderResult(status);
      const wasAccepted = result === OrderResult.Accepted ||
        result === OrderResult.AlreadyInRole;
      log.emit(wasAccepted ? "orderIssued" : "orderRefused", {
        ...fields,
        ordersAccepted,
        answer: result,
        status,
      });
      if (result === OrderResult.Fenced) lease.stepDown();
      if (!wasAccepted) return void backOff(ORDER_RETRY_MS);
      this.#setSwitching(server, role, roleSwitchMs + SWITCH_MARGIN_MS);
    } catch (err) {
      // The order may still be carried out, so the server gets no work until that time.
      const reason = getMessage(err);
      log.emit("orderRefused", { ...fields, answer: "none", reason });
      this.#setSwitching(server, role, UNCONFIRMED_ORDER_MS);
    }
  }

  #setSwitching(server: ServerEntry, role: ServerRole, ms: number): void {
    const { now, onChange } = this.#options;
    const { bornAt } = server;
    this.#roleSwitches.set(server.id, { bornAt, role, until: now() + ms });
    onChange();
  }
}
