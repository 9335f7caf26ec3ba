/**
 * Chooses the servers of plain calls. Where the load of a service's servers is estimated, a
 * VM that takes roles chooses for this one, since it sees the calls of many; this VM chooses
 * by what it knows itself if that one does not answer at once.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import type { Membership } from "@bitternfall/membership";
import { type Handlers, MAX_AVOIDED, type PeerMesh } from "@bitternfall/peer";
import {
  type AssignedCallEnd,
  AssignedOutcome,
  type AssignRequest,
  ServerAssigner,
  ServerPool,
} from "@bitternfall/service";
import { type Clock, monotonicNow } from "@bitternfall/types";
import type { ServerLoad } from "./dialect.ts";
import type { ServerEntry } from "./model.ts";
import type { ServerDirectory } from "./server_directory.ts";
import type { GatewaySettings } from "./settings.ts";

/** Options of a {@link PlainBalancing}. */
export interface PlainBalancingOptions {
  readonly settings: Pick<GatewaySettings, "vm" | "balancing">;
  readonly log: Pick<EventLog, "emit" | "count" | "gauge" | "timing">;
  readonly directory: Pick<ServerDirectory, "list">;
  readonly peers: {
    readonly membership: Pick<Membership, "getOwner" | "listEligibleOwners">;
    readonly mesh: Pick<PeerMesh, "call" | "notify">;
  };
  readonly now?: Clock;
  readonly random?: () => number;
}

/** Circumstances of a choice. */
export interface ChoiceOptions {
  readonly requestId: string;
  /** Servers that the request has been sent to. */
  readonly tried: readonly string[];
  /** Calls that this VM may have in flight at one server. */
  readonly maxOutstanding: number;
  /** Time that the call may take. */
  readonly timeoutMs: number;
}

/** How a send has ended. */
export interface SendEnd {
  readonly ms: number;
  readonly outcome: AssignedOutcome;
  readonly load?: ServerLoad | undefined;
}

/** A server that was chosen for one send; exactly one of `record` and `cancel` is called. */
export interface ChosenServer {
  readonly server: ServerEntry;
  /** Counts the send as outstanding until the returned function is called. */
  readonly begin: () => () => void;
  /** Takes in how the send has ended. */
  readonly record: (end: SendEnd) => void;
  /** The send was not made, or was given up. */
  readonly cancel: () => void;
}

/** An assignment by another VM or this one. */
interface Assignment {
  readonly server: ServerEntry;
  readonly end: (result?: AssignedCallEnd) => void;
}

/**
 * A third of a call of 43 ms, the shortest of a deployment. A round trip takes 1 to 3 ms; a
 * longer wait would cost callers more than a worse choice.
 */
const ASSIGN_TIMEOUT_MS = 15;
/** Time until a VM that has not answered is asked again; one heartbeat. */
const ASK_AGAIN_MS = 500;
const GAUGE_INTERVAL_MS = 1000;
/** Bounds the labels of the metrics. */
const MAX_GAUGED_SERVERS = 32;

/** Chooses servers, and assigns them to the calls of other VMs. */
export class PlainBalancing {
  readonly pool: ServerPool;
  readonly #options: PlainBalancingOptions;
  readonly #assigner: ServerAssigner;
  readonly #now: Clock;
  /** The VM that did not answer last, and when it is asked again. */
  #silent: { vm: string; until: number } | undefined;
  readonly #gaugedAt = new Map<string, number>();

  constructor(options: PlainBalancingOptions) {
    const { settings, now = monotonicNow, random = Math.random } = options;
    const { policy } = settings.balancing;
    const { availabilityZone } = settings.vm;
    this.#options = options;
    this.#now = now;
    this.pool = new ServerPool({ availabilityZone, policy, now, random });
    this.#assigner = new ServerAssigner({ now, random });
  }

  /** Handlers of the other VMs' messages. */
  get handlers(): Pick<Handlers, "servers.pick" | "servers.done"> {
    return {
      "servers.pick": (
        [service, vm, availabilityZone, timeoutMs, excluded],
      ) => {
        const req = { vm, availabilityZone, timeoutMs, excluded };
        const assigned = this.#assign(service, req);
        return assigned === undefined
          ? null
          : [assigned.server.id, assigned.call];
      },
      "servers.done": ([call, outcome, ms = 0, running, slots, percent]) => {
        if (outcome === undefined) this.#assigner.end(call);
        else {
          const report = running === undefined ? undefined : {
            running,
            leaving: false,
            slots: slots === 0 ? undefined : slots,
            pace: percent === undefined ? undefined : percent / 100,
          };
          this.#assigner.end(call, { ms, outcome, report });
        }
        return null;
      },
    };
  }

  /** Chooses a server for one send; undefined if none is left. */
  async choose(
    service: string,
    candidates: readonly ServerEntry[],
    options: ChoiceOptions,
  ): Promise<ChosenServer | undefined> {
    const { tried, maxOutstanding, requestId } = options;
    const isEstimated = this.pool.estimatesLoad(candidates);
    const assignment = isEstimated
      ? await this.#requestAssignment(service, candidates, options)
      : undefined;
    const server = assignment?.server ??
      this.pool.pick(candidates, tried, { maxOutstanding });
    if (server === undefined) return undefined;
    if (isEstimated) {
      const { calls, pace, ageMs } = this.pool.getEstimate(server);
      this.#options.log.count("server_choices", 1, {
        by: assignment === undefined ? "self" : "assigner",
      });
      this.#options.log.emit("serverChosen", {
        requestId,
        server: server.id,
        isAssigned: assignment !== undefined,
        calls: Math.round(calls * 10) / 10,
        pace: Math.round(pace * 100) / 100,
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      });
    }
    return this.#createChosen(server, assignment);
  }

  /** Forgets servers that are no longer known. */
  retain(isKnown: (id: string) => boolean): void {
    this.pool.retain(isKnown);
    this.#assigner.retain(isKnown);
  }

  #createChosen(
    server: ServerEntry,
    assignment: Assignment | undefined,
  ): ChosenServer {
    const { pool } = this;
    let callsAtStart = 1;
    return {
      server,
      begin: () => {
        const end = pool.begin(server);
        callsAtStart = pool.getEstimate(server).calls;
        return end;
      },
      record: ({ ms, outcome, load }) => {
        const failed = outcome !== AssignedOutcome.Served;
        pool.recordCall(server, { ms, failed, callsAtStart });
        const report = load && toReport(load);
        if (report !== undefined) pool.setReport(server, report);
        if (outcome === AssignedOutcome.NoAnswer) pool.avoid(server);
        assignment?.end({ ms, outcome, report });
      },
      cancel: () => assignment?.end(),
    };
  }

  /** Has a server assigned; undefined if this VM has to choose. */
  async #requestAssignment(
    service: string,
    candidates: readonly ServerEntry[],
    { tried, maxOutstanding, timeoutMs }: ChoiceOptions,
  ): Promise<Assignment | undefined> {
    const { settings: { vm }, peers: { membership, mesh } } = this.#options;
    const usable = this.pool.listUsable(candidates, tried, { maxOutstanding });
    const usableIds = new Set(usable.map(({ id }) => id));
    const excluded = this.#options.directory.list(service)
      .map(({ id }) => id).filter((id) => !usableIds.has(id));
    if (usable.length === 0 || excluded.length > MAX_AVOIDED) return undefined;
    const { availabilityZone } = vm;
    const ms = Math.max(1, Math.ceil(timeoutMs));
    if (membership.listEligibleOwners().includes(vm.id)) {
      const req = { vm: vm.id, availabilityZone, timeoutMs: ms, excluded };
      const own = this.#assign(service, req);
      return own && {
        server: own.server,
        end: (result) => this.#assigner.end(own.call, result),
      };
    }
    const assigner = membership.getOwner(`servers/${vm.id}`);
    if (assigner === undefined || this.#isSilent(assigner)) return undefined;
    const params = await this.#ask(assigner, [
      service,
      vm.id,
      availabilityZone,
      ms,
      excluded,
    ]);
    if (params === undefined) return undefined;
    const [id, call] = params;
    const end = (result?: AssignedCallEnd) =>
      mesh.notify(assigner, "servers.done", encodeEnd(call, result));
    const server = usable.find((candidate) => candidate.id === id);
    // The other VM knows a server that this one does not, or not any more.
    if (server === undefined) end();
    return server && { server, end };
  }

  async #ask(
    assigner: string,
    params: [string, string, string, number, string[]],
  ): Promise<[string, number] | undefined> {
    const { log, peers: { mesh } } = this.#options;
    const askedAt = this.#now();
    try {
      const result = await mesh.call(assigner, "servers.pick", {
        params,
        timeoutMs: ASSIGN_TIMEOUT_MS,
      });
      log.timing("server_assign_ms", this.#now() - askedAt);
      return result ?? undefined;
    } catch (err) {
      this.#silent = { vm: assigner, until: this.#now() + ASK_AGAIN_MS };
      log.emit("assignFailed", {
        service: params[0],
        assigner,
        reason: (err as Error).message,
        ms: Math.round(this.#now() - askedAt),
      });
      return undefined;
    }
  }

  #isSilent(vm: string): boolean {
    return this.#silent?.vm === vm && this.#now() < this.#silent.until;
  }

  #assign(
    service: string,
    req: AssignRequest,
  ): { call: number; server: ServerEntry } | undefined {
    const servers = this.#options.directory.list(service);
    this.#setGauges(service, servers);
    return this.#assigner.assign(servers, req);
  }

  /** Shows the estimates by which this VM assigns. */
  #setGauges(service: string, servers: readonly ServerEntry[]): void {
    const now = this.#now();
    const { log } = this.#options;
    if (now - (this.#gaugedAt.get(service) ?? -Infinity) < GAUGE_INTERVAL_MS) {
      return;
    }
    this.#gaugedAt.set(service, now);
    for (const server of servers.slice(0, MAX_GAUGED_SERVERS)) {
      const { calls, pace, ageMs } = this.#assigner.getEstimate(server);
      if (!Number.isFinite(ageMs)) continue;
      const tags = { service, server: server.id };
      log.gauge("server_calls_estimated", calls, tags);
      log.gauge("server_pace_estimated", pace, tags);
      log.gauge("server_report_age_ms", ageMs, tags);
    }
  }
}

function toReport({ running, waiting, slots, pace }: ServerLoad) {
  return { running: running + waiting, leaving: false, slots, pace };
}

/** Parameters of `servers.done`, without what is not known. */
function encodeEnd(call: number, result: AssignedCallEnd | undefined) {
  const params: number[] = [call];
  if (result === undefined) return params as [number];
  const { outcome, ms, report } = result;
  params.push(outcome, Math.round(ms));
  if (report !== undefined) {
    params.push(report.running, report.slots ?? 0);
    if (report.pace !== undefined) params.push(Math.round(report.pace * 100));
  }
  return params as [number];
}
