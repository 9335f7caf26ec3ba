/**
 * All servers of one service by role, with the prefix cache index and the utilization of
 * both pools.
 * @module
 */
import { ServerRole } from "@bitternfall/types";
import { DecodePool, type DecodeServer } from "./decode_pool.ts";
import type { EngineLoad, ServerDeclaration, ServiceConfig } from "./model.ts";
import { PrefillPool, type PrefillServer } from "./prefill_pool.ts";
import { PrefixIndex } from "./prefix_index.ts";
import type { PoolPressure } from "./queue_summary.ts";
import { isUsable, recordFailure, ServerFailure } from "./server_health.ts";

/** Processes of servers that are remembered, also while they are not declared. */
const MAX_PROCESSES = 1000;

/** Smoothing factor of the utilization samples. */
const PRESSURE_SMOOTHING = 0.06;

/** The servers of a service. */
export class ServerPools {
  readonly prefills = new PrefillPool();
  readonly decodes = new DecodePool();
  readonly prefixes = new PrefixIndex();
  /** Start time of the process of each server. */
  readonly #processes = new Map<string, number | undefined>();
  readonly #pressure = { prefill: 0, decode: 0 };

  /** Applies configured servers and limits. */
  configure(config: ServiceConfig): void {
    this.prefills.configure({
      tokensPerMs: config.prefillTokensPerMs,
      transferMsPerToken: config.transferMsPerToken,
    });
    this.decodes.configure({
      slots: config.decodeSlots,
      targetMs: config.betweenOutputsMs,
      memoryTokens: config.memoryTokens ?? Infinity,
      tokensPerOutput: config.tokensPerOutput ?? 1,
    });
    const declared = new Map(
      config.servers.map((server) => [server.id, server]),
    );
    const known = new Set([
      ...this.prefills.servers.keys(),
      ...this.decodes.servers.keys(),
    ]);
    this.#removeUndeclared(declared);
    for (const server of declared.values()) this.#forgetPredecessor(server);
    for (const server of declared.values()) {
      const pool = server.role === ServerRole.Prefill
        ? this.prefills
        : this.decodes;
      const decode = this.decodes.servers.get(server.id);
      if (decode !== undefined) this.decodes.setProcess(decode, server);
      const prefill = this.prefills.servers.get(server.id);
      if (prefill !== undefined) this.prefills.setProcess(prefill, server);
      if (pool.servers.has(server.id)) continue;
      pool.add(server);
      // A server whose role changes takes no work until it reports the new role.
      if (known.has(server.id) && !config.hasReportedRoles) {
        this.setLeaving(server.id, true);
      }
    }
  }

  find(serverId: string): PrefillServer | DecodeServer | undefined {
    return this.prefills.servers.get(serverId) ??
      this.decodes.servers.get(serverId);
  }

  /** Applies a load report of a server. */
  setReport(serverId: string, load: EngineLoad & { now: number }): void {
    const { running, waiting } = load;
    const prefill = this.prefills.servers.get(serverId);
    if (prefill !== undefined) prefill.reported = { running, waiting };
    const decode = this.decodes.servers.get(serverId);
    if (decode !== undefined) this.decodes.setReport(decode, load);
  }

  /** Sets whether a server is leaving; false if unknown or unchanged. */
  setLeaving(serverId: string, leaving: boolean): boolean {
    const server = this.find(serverId);
    if (server === undefined || server.isLeaving === leaving) return false;
    server.isLeaving = leaving;
    return true;
  }

  /** Records that a server failed a request. */
  recordFailure(
    serverId: string,
    failure: { kind: ServerFailure; now: number },
  ): void {
    const server = this.find(serverId);
    if (server === undefined) return;
    recordFailure(server, { ...failure, isIdle: isIdle(server) });
    // A server that was down has lost its cache.
    if (failure.kind === ServerFailure.Down) this.prefixes.forget(serverId);
  }

  /** Free slots of all decode servers that take work. */
  getFreeSlots(now: number): number {
    let free = 0;
    for (const server of this.decodes.servers.values()) {
      if (!isUsable(server, now)) continue;
      free += Math.max(0, this.decodes.getFreeSlots(server));
    }
    return free;
  }

  /** Smoothed shares of busy prefill servers and of held decode slots. */
  get pressure(): PoolPressure {
    return { ...this.#pressure };
  }

  /** Samples the utilization of both pools and lets estimates recover; call periodically. */
  samplePressure(now: number): void {
    let prefills = 0;
    let busy = 0;
    for (const server of this.prefills.servers.values()) {
      if (server.isLeaving) continue;
      prefills++;
      if (server.busyUntil > now) busy++;
    }
    this.prefills.recoverEstimates();
    const slots = this.decodes.getTotalLimit(now);
    const free = this.getFreeSlots(now);
    this.#pressure.prefill += PRESSURE_SMOOTHING *
      (busy / Math.max(1, prefills) - this.#pressure.prefill);
    this.#pressure.decode += PRESSURE_SMOOTHING *
      (1 - free / Math.max(1, slots) - this.#pressure.decode);
  }

  /** Forgets what is known of a process that has been replaced under its id. */
  #forgetPredecessor({ id, bornAt }: ServerDeclaration): void {
    const isReplaced = this.#processes.has(id) &&
      this.#processes.get(id) !== bornAt;
    this.#processes.delete(id);
    this.#processes.set(id, bornAt);
    const [oldest] = this.#processes.keys();
    if (this.#processes.size > MAX_PROCESSES) this.#processes.delete(oldest!);
    if (!isReplaced) return;
    // Its grants have ended with it; their releases find no place to free.
    this.prefills.servers.delete(id);
    this.decodes.remove(id);
    this.prefixes.forget(id);
  }

  #removeUndeclared(declared: ReadonlyMap<string, { role: ServerRole }>): void {
    for (const id of this.prefills.servers.keys()) {
      if (declared.get(id)?.role === ServerRole.Prefill) continue;
      this.prefills.servers.delete(id);
    }
    for (const id of this.decodes.servers.keys()) {
      if (declared.get(id)?.role === ServerRole.Decode) continue;
      this.decodes.remove(id);
    }
  }
}

/** Whether no granted work is left on a server. */
function isIdle(server: PrefillServer | DecodeServer): boolean {
  return "grants" in server
    ? server.grants.size === 0
    : server.pendingPrefills === 0;
}
