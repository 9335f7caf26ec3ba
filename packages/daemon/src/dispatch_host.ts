/**
 * The dispatchers that this VM runs, with what feeds them: load reports, lists of
 * streams, and the lives of entry VMs.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  Dispatcher,
  type Grant,
  type Phase,
  type PolicyName,
  type QueueSummary,
  RefusalReason,
  type ServiceConfig,
} from "@bitternfall/dispatch";
import {
  type EngineClient,
  EngineError,
  type HeldStream,
} from "@bitternfall/engine";
import type { EventLog } from "@bitternfall/events";
import type { Membership } from "@bitternfall/membership";
import type { PeerMesh } from "@bitternfall/peer";
import type { ModelService, Snapshot } from "@bitternfall/records";
import { monotonicNow, ServerRole, sleep } from "@bitternfall/types";
import type { Canceller } from "./canceller.ts";
import type { CellPlan } from "./cell_plan.ts";
import type { RunningCalls } from "./running_calls.ts";
import type { Upstreams } from "./upstreams.ts";

/** Options of a {@link DispatchHost}. */
export interface DispatchHostOptions {
  readonly vmId: string;
  readonly policy: PolicyName;
  readonly log: EventLog;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly upstreams: Upstreams;
  readonly canceller: Canceller;
  readonly calls: RunningCalls;
  readonly plan: CellPlan;
  /** A VM of another cell that has room for a service. */
  readonly pickSpill: (service: string) => string | undefined;
  /** Whether this VM has the dispatcher role of a service. */
  readonly isOwner: (service: string) => boolean;
}

const POLL_MS = 1000;
const PRESSURE_MS = 200;
/** Streams of an owner that was never seen are given this long to be claimed. */
const STRANGER_GRACE_MS = 1500;
/** Grants are verified with their owner this long after the last sign of them. */
const VERIFY_MS = 3000;

interface Hosted {
  readonly dispatcher: Dispatcher;
  service: ModelService;
  /** When streams that nobody claims were first seen. */
  readonly unclaimed: Map<string, number>;
}

/** Runs the dispatchers that this VM owns. */
export class DispatchHost {
  readonly #options: DispatchHostOptions;
  readonly #hosted = new Map<string, Hosted>();
  readonly #stop = new AbortController();
  #polling: Promise<void> | undefined;

  constructor(options: DispatchHostOptions) {
    this.#options = options;
  }

  /** The dispatcher of a service, where this VM runs it. */
  find(service: string): Dispatcher | undefined {
    return this.#hosted.get(service)?.dispatcher;
  }

  /** Asks a dispatcher of this VM; undefined where it has none for the service. */
  async acquire(
    service: string,
    req: AcquireRequest,
  ): Promise<Decision | undefined> {
    const decision = await this.find(service)?.acquire(req);
    if (decision?.kind !== "refusal") return decision;
    const mayFitElsewhere = decision.reason === RefusalReason.Late ||
      decision.reason === RefusalReason.NoServers;
    if (!mayFitElsewhere) return decision;
    return { ...decision, spillTo: this.#options.pickSpill(service) };
  }

  /** Free slots and queue delay of a service, for other cells. */
  getSummary(service: string): { freeSlots: number; queueDelayMs: number } {
    const dispatcher = this.find(service);
    if (dispatcher === undefined) return { freeSlots: 0, queueDelayMs: 0 };
    const wait = dispatcher.predictWait({ workspace: "", priority: 1 });
    const queueDelayMs = Number.isFinite(wait) ? Math.round(wait) : 0;
    return { freeSlots: dispatcher.getFreeSlots(), queueDelayMs };
  }

  /** Services that are dispatched here. */
  get services(): string[] {
    return [...this.#hosted.keys()];
  }

  summarize(): QueueSummary[] {
    return [...this.#hosted.values()].map(({ dispatcher }) =>
      dispatcher.summarize()
    );
  }

  /** Takes roles and records as they are now. */
  sync(snapshot: Snapshot): void {
    const { isOwner, log } = this.#options;
    for (const [name, { dispatcher }] of this.#hosted) {
      if (snapshot.modelServices.has(name) && isOwner(name)) continue;
      this.#hosted.delete(name);
      dispatcher.close();
      log.emit("roleHandedOver", { service: name });
    }
    for (const service of snapshot.modelServices.values()) {
      if (!isOwner(service.name)) continue;
      const hosted = this.#hosted.get(service.name);
      if (hosted === undefined) this.#create(service);
      else if (hosted.service !== service) {
        hosted.service = service;
        hosted.dispatcher.configure(this.#toConfig(service));
      }
    }
    this.#markLeaving();
  }

  /** The cells changed, and with them the servers of this one. */
  replan(): void {
    for (const { dispatcher, service } of this.#hosted.values()) {
      dispatcher.configure(this.#toConfig(service));
    }
  }

  /** Takes over running grants that an entry VM reports. */
  adopt(service: string, grants: readonly (Grant & { phase: Phase })[]): void {
    const dispatcher = this.find(service);
    for (const grant of grants) dispatcher?.adopt(grant);
  }

  /** An entry VM died: everything granted to it is cancelled on the engines. */
  onOwnerDead(vmId: string): void {
    for (const { dispatcher } of this.#hosted.values()) {
      for (const grant of dispatcher.dropOwner(vmId)) this.#cancelGrant(grant);
    }
    void this.pollNow();
  }

  /** Polls engines until {@link close}. */
  async run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.pollNow();
      await sleep(POLL_MS, this.#stop.signal);
    }
  }

  /** Notes at a steady pace how busy the pools are, until {@link close}. */
  async watchPressure(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      for (const { dispatcher } of this.#hosted.values()) {
        dispatcher.samplePressure();
      }
      await sleep(PRESSURE_MS, this.#stop.signal);
    }
  }

  /** Reads reports and streams of all engines once. */
  pollNow(): Promise<void> {
    this.#polling ??= this.#poll().finally(() => this.#polling = undefined);
    return this.#polling;
  }

  close(): void {
    this.#stop.abort();
    for (const { dispatcher } of this.#hosted.values()) dispatcher.close();
    this.#hosted.clear();
  }

  /** Servers of a service that belong to this VM's cell. */
  #listServers(service: ModelService): ModelService["servers"] {
    return service.servers.filter((server) => this.#options.plan.owns(server));
  }

  #toConfig(service: ModelService): ServiceConfig {
    return toConfig(service, this.#listServers(service));
  }

  #create(service: ModelService): void {
    const { policy, log, calls } = this.#options;
    const config = this.#toConfig(service);
    const dispatcher = new Dispatcher({
      service: service.name,
      config,
      policy,
    });
    this.#hosted.set(service.name, {
      dispatcher,
      service,
      unclaimed: new Map(),
    });
    for (const { grant, phase } of calls.listGrants(service.name)) {
      dispatcher.adopt({ ...grant, phase });
    }
    log.emit("roleTaken", { service: service.name });
    void this.pollNow();
  }

  #markLeaving(): void {
    const { upstreams } = this.#options;
    for (const { dispatcher, service } of this.#hosted.values()) {
      for (const { id } of service.servers) {
        if (upstreams.isLeaving(id)) dispatcher.setLeaving(id, true);
      }
    }
  }

  async #poll(): Promise<void> {
    const polls: Promise<void>[] = [];
    for (const hosted of this.#hosted.values()) {
      for (const server of this.#listServers(hosted.service)) {
        const engine = this.#options.upstreams.findEngine(server.id);
        if (engine !== undefined) {
          polls.push(this.#pollServer({ hosted, server, engine }));
        }
      }
      polls.push(this.#verifyGrants(hosted));
    }
    await Promise.all(polls);
  }

  async #pollServer(
    options: {
      hosted: Hosted;
      server: ModelService["servers"][number];
      engine: EngineClient;
    },
  ): Promise<void> {
    const { hosted, server, engine } = options;
    const { dispatcher } = hosted;
    try {
      const report = await engine.getReport();
      const misplaced = report.changing || report.role !== server.role;
      dispatcher.setLeaving(
        server.id,
        report.leaving || misplaced ||
          this.#options.upstreams.isLeaving(server.id),
      );
      dispatcher.setReport(server.id, report);
    } catch (err) {
      const tag = err instanceof EngineError ? err.detail.tag : "failed";
      if (tag === "unreachable" || tag === "lost") dispatcher.avoid(server.id);
      if (tag === "unreachable") return;
    }
    if (server.role !== ServerRole.Decode) return;
    try {
      const streams = await engine.listStreams();
      await this.#cancelUnclaimed({
        hosted,
        engine,
        streams,
        server: server.id,
      });
    } catch {
      // The next poll lists them again.
    }
  }

  async #cancelUnclaimed(
    options: {
      hosted: Hosted;
      engine: EngineClient;
      streams: readonly HeldStream[];
      server: string;
    },
  ): Promise<void> {
    const { hosted, engine, streams, server } = options;
    const { canceller, log } = this.#options;
    const strangers = streams.filter((id) =>
      hosted.dispatcher.findGrant(id)?.decode !== server
    );
    for (const stream of strangers) {
      const orphaned = await this.#isOrphan(hosted, stream);
      if (!orphaned) continue;
      log.emit("orphanCancelled", {
        requestId: stream.requestId,
        server,
        owner: stream.owner,
      });
      void canceller.cancel(engine, stream);
    }
    if (streams.length === 0) hosted.unclaimed.clear();
  }

  async #isOrphan(hosted: Hosted, stream: HeldStream): Promise<boolean> {
    const { membership, mesh, vmId, calls } = this.#options;
    const { owner, requestId, attempt } = stream;
    if (owner === vmId) return !calls.owns(requestId, attempt);
    const member = membership.find(owner);
    if (member !== undefined && !member.alive && member.incarnation > 0) {
      return true;
    }
    if (member?.alive) {
      try {
        const [owned] = await mesh.call(owner, "entry.owned", {
          params: [[[requestId, attempt]]],
        });
        return owned === false;
      } catch {
        return false;
      }
    }
    const key = `${requestId}.${attempt}`;
    const since = hosted.unclaimed.get(key) ?? monotonicNow();
    hosted.unclaimed.set(key, since);
    return monotonicNow() - since >= STRANGER_GRACE_MS;
  }

  /** Drops grants whose owner no longer runs them, should a release have been lost. */
  async #verifyGrants(hosted: Hosted): Promise<void> {
    const { vmId, calls, mesh } = this.#options;
    const byOwner = new Map<string, Grant[]>();
    for (const grant of hosted.dispatcher.listGrants()) {
      if (monotonicNow() - grant.verifiedAt < VERIFY_MS) continue;
      grant.verifiedAt = monotonicNow();
      byOwner.set(grant.owner, [...byOwner.get(grant.owner) ?? [], grant]);
    }
    for (const [owner, grants] of byOwner) {
      const ids = grants.map((
        { requestId, attempt },
      ): [string, number] => [requestId, attempt]);
      try {
        const owned = owner === vmId
          ? ids.map(([requestId, attempt]) => calls.owns(requestId, attempt))
          : await mesh.call(owner, "entry.owned", { params: [ids] });
        for (const [index, grant] of grants.entries()) {
          if (owned[index] === false) this.#dropGrant(hosted, grant);
        }
      } catch {
        // Whether the owner is alive is decided by heartbeats.
      }
    }
  }

  #dropGrant(hosted: Hosted, grant: Grant): void {
    hosted.dispatcher.drop(grant);
    this.#cancelGrant(grant);
  }

  #cancelGrant(grant: Grant): void {
    const { upstreams, canceller, log } = this.#options;
    log.emit("orphanCancelled", {
      requestId: grant.requestId,
      server: grant.decode,
      owner: grant.owner,
    });
    for (const id of [grant.prefill, grant.decode]) {
      const engine = upstreams.findEngine(id);
      if (engine !== undefined) void canceller.cancel(engine, grant);
    }
  }
}

/** The dispatcher's settings from a record and the servers of the cell. */
function toConfig(
  service: ModelService,
  servers: ModelService["servers"],
): ServiceConfig {
  return {
    servers: servers.map(({ id, role, availabilityZone }) => ({
      id,
      role: role === "prefill" ? ServerRole.Prefill : ServerRole.Decode,
      availabilityZone,
    })),
    firstOutputMs: service.targets.firstOutputMs,
    betweenOutputsMs: service.targets.betweenOutputsMs,
    decodeSlots: service.limits.decodeSlots,
    perWorkspaceInFlight: service.limits.perWorkspaceInFlight,
    weights: service.weights,
  };
}
