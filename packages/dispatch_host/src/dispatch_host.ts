/**
 * Runs the dispatchers whose roles this VM has, and drops the grants of entry VMs that died
 * or no longer run them.
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
  type TokenBatch,
} from "@bitternfall/dispatch";
import type { EventLog } from "@bitternfall/events";
import type { PeerMesh } from "@bitternfall/peer";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { CrashRegistry } from "./crash_registry.ts";
import type { StreamRegistry } from "./stream_registry.ts";
import type { RunningCalls } from "./running_calls.ts";

/** A service to dispatch on the VM that has its dispatcher role. */
export interface DispatchedService {
  readonly name: string;
  readonly config: ServiceConfig;
  /** Changes whenever the configuration does; a new value has it applied again. */
  readonly configId: unknown;
}

/** Options of a {@link DispatchHost}. */
export interface DispatchHostOptions {
  readonly vmId: string;
  readonly policy: PolicyName;
  readonly log: EventLog;
  readonly mesh: PeerMesh;
  readonly calls: RunningCalls;
  /** Evidence on the services' prompts; without it, no prompt is blocked. */
  readonly crashes?: CrashRegistry | undefined;
  /** Versions that began the services' streams; without it, none is required. */
  readonly streams?: StreamRegistry | undefined;
  /** Returns the address of a VM of another cell with free capacity for a service, if any. */
  readonly pickSpilloverVm: (service: string) => string | undefined;
  /** Whether this VM has the dispatcher role of a service. */
  readonly isOwner: (service: string) => boolean;
  /** Whether a server is known to be leaving, so that it gets no new work. */
  readonly isLeaving: (serverId: string) => boolean;
  /** Cancels the work of a grant on its servers. */
  readonly cancelGrant: (service: string, grant: Grant) => void;
  /** Called when a dispatcher was created; it knows only the grants of this VM so far. */
  readonly onRoleTaken: (service: string) => void;
  /** Called when a dispatcher was closed, with the retry tokens that it had left. */
  readonly onRoleHandedOver: (
    service: string,
    retryTokens: readonly TokenBatch[],
  ) => void;
}

/** A dispatcher and the service that it dispatches. */
export interface HostedDispatcher {
  readonly dispatcher: Dispatcher;
  service: DispatchedService;
}

const PRESSURE_SAMPLE_INTERVAL_MS = 200;
const VERIFY_INTERVAL_MS = 1000;
/**
 * Time since a grant was last verified or reported until its owner is asked about it, and
 * time for which a new grant is kept although its owner's report lacks it.
 */
const VERIFY_AFTER_MS = 3000;

/** Time in which the object API may answer again. */
const UNCONFIRMED_RETRY_MS = 500;
const UNCONFIRMED_REFUSAL: Decision = {
  kind: "refusal",
  reason: RefusalReason.VersionUnconfirmed,
  retryAfterMs: UNCONFIRMED_RETRY_MS,
};

/** A new dispatcher takes no notice of limits that were reported longer ago. */
const MAX_LIMIT_AGE_MS = 10_000;

/** A limit that a server has named, as reported by a VM. */
interface ReportedLimit {
  readonly requestsPerSecond: number;
  readonly reportedAt: number;
}

/** Runs the dispatchers of the services whose role this VM has. */
export class DispatchHost {
  readonly #options: DispatchHostOptions;
  readonly #hosted = new Map<string, HostedDispatcher>();
  /**
   * Limits of servers, by service and server. VMs may report them before this VM knows that
   * it dispatches the service.
   */
  readonly #reportedLimits = new Map<string, Map<string, ReportedLimit>>();
  readonly #stop = new AbortController();

  constructor(options: DispatchHostOptions) {
    this.#options = options;
  }

  /** Returns the dispatcher of a service if this VM runs it. */
  find(service: string): Dispatcher | undefined {
    return this.#hosted.get(service)?.dispatcher;
  }

  /**
   * Requests servers from a dispatcher of this VM; undefined if it has none for the service.
   * Refusals for lack of capacity name a VM of another cell, if one has free capacity.
   */
  async acquire(
    service: string,
    req: AcquireRequest,
  ): Promise<Decision | undefined> {
    const decision = await this.#decide(service, req);
    this.#countDecision(service, req, decision);
    if (decision?.kind !== "refusal") return decision;
    this.#logRefusal(service, req, decision);
    const canSpillOver = decision.reason === RefusalReason.Late ||
      decision.reason === RefusalReason.Priority ||
      decision.reason === RefusalReason.NoServers;
    if (!canSpillOver) return decision;
    return { ...decision, spillTo: this.#options.pickSpilloverVm(service) };
  }

  /** Has the dispatcher decide; first finds the version that a resumed stream requires. */
  async #decide(
    service: string,
    req: AcquireRequest,
  ): Promise<Decision | undefined> {
    const { resumedStreamId, softwareVersion } = req;
    const { streams } = this.#options;
    if (
      streams === undefined || resumedStreamId === undefined ||
      softwareVersion !== undefined
    ) return await this.find(service)?.acquire(req);
    const origin = await streams.resolve(service, resumedStreamId);
    this.#options.log.count("streams_resolved", 1, {
      service,
      origin: origin.kind,
    });
    if (origin.kind === "unconfirmed") return UNCONFIRMED_REFUSAL;
    const version = origin.kind === "version" ? origin.version : undefined;
    return await this.find(service)?.acquire({
      ...req,
      softwareVersion: version,
    });
  }

  #countDecision(
    service: string,
    { rank = 0 }: AcquireRequest,
    decision: Decision | undefined,
  ): void {
    if (decision === undefined) return;
    const outcome = decision.kind === "grant" ? "grant" : decision.reason;
    const tags = { service, rank: `${rank}`, outcome };
    this.#options.log.count("decisions_total", 1, tags);
  }

  #logRefusal(
    service: string,
    req: AcquireRequest,
    decision: Extract<Decision, { kind: "refusal" }>,
  ): void {
    const dispatcher = this.find(service);
    if (decision.reason === RefusalReason.Withdrawn) return;
    const waitMs = dispatcher?.predictWait(req) ?? Infinity;
    this.#options.log.emit("acquireRefused", {
      requestId: req.requestId,
      service,
      owner: req.owner,
      reason: decision.reason,
      retryAfterMs: decision.retryAfterMs,
      leftMs: Math.round(req.deadline - monotonicNow()),
      predictedWaitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : -1,
      queued: dispatcher?.queued,
      granted: dispatcher?.granted,
      freeSlots: dispatcher?.getFreeSlots(),
      heldTokens: req.heldTokens,
      ...this.#getRankFields(req, { dispatcher, reason: decision.reason }),
    });
  }

  /** Fields that explain a refusal in favor of more urgent requests. */
  #getRankFields(
    req: AcquireRequest,
    options: { dispatcher: Dispatcher | undefined; reason: RefusalReason },
  ) {
    const { dispatcher, reason } = options;
    const { rank = 0, account } = req;
    if (rank === 0 && account === undefined) return {};
    if (reason !== RefusalReason.Priority) return { rank, account };
    const waitMs = dispatcher?.predictWaitInRank(req) ?? Infinity;
    return {
      rank,
      account,
      moreUrgentQueued: dispatcher?.countMoreUrgent(req),
      waitInRankMs: Number.isFinite(waitMs) ? Math.round(waitMs) : -1,
    };
  }

  /** Returns the free slots and queue delay of a service, as reported to other cells. */
  getLoadSummary(service: string): { freeSlots: number; queueDelayMs: number } {
    const dispatcher = this.find(service);
    if (dispatcher === undefined) return { freeSlots: 0, queueDelayMs: 0 };
    const wait = dispatcher.predictWait({ workspace: "", priority: 1 });
    const queueDelayMs = Number.isFinite(wait) ? Math.round(wait) : 0;
    return { freeSlots: dispatcher.getFreeSlots(), queueDelayMs };
  }

  /** Names of the services that this VM dispatches. */
  get services(): string[] {
    return [...this.#hosted.keys()];
  }

  /** The dispatchers that run on this VM. */
  get hosted(): Iterable<HostedDispatcher> {
    return this.#hosted.values();
  }

  /** State of all dispatchers of this VM, for operators. */
  summarize(): QueueSummary[] {
    return [...this.#hosted.values()].map(({ dispatcher }) =>
      dispatcher.summarize()
    );
  }

  /** Closes, creates and configures dispatchers by the current roles and services. */
  sync(services: ReadonlyMap<string, DispatchedService>): void {
    const { isOwner, log, onRoleHandedOver } = this.#options;
    for (const [name, { dispatcher }] of this.#hosted) {
      if (services.has(name) && isOwner(name)) continue;
      this.#hosted.delete(name);
      dispatcher.close();
      const { retryTokens } = dispatcher;
      log.emit("roleHandedOver", { service: name, retryTokens });
      onRoleHandedOver(name, dispatcher.takeRetryTokens());
    }
    for (const service of services.values()) {
      if (!isOwner(service.name)) continue;
      const hosted = this.#hosted.get(service.name);
      if (hosted === undefined) this.#create(service);
      else if (hosted.service.configId !== service.configId) {
        hosted.service = service;
        hosted.dispatcher.configure(service.config);
      }
    }
    this.#applyLeavingServers();
  }

  /** Sets the requests a second that a server takes, or that it has named no limit. */
  setServerLimit(
    service: string,
    server: { id: string; requestsPerSecond: number | undefined },
  ): void {
    const { id, requestsPerSecond } = server;
    const limits = this.#reportedLimits.get(service) ?? new Map();
    this.#reportedLimits.set(service, limits);
    if (requestsPerSecond === undefined) limits.delete(id);
    else limits.set(id, { requestsPerSecond, reportedAt: monotonicNow() });
    this.find(service)?.setServerLimit(id, requestsPerSecond);
  }

  /** Adopts the reported grants of an entry VM and drops those that it no longer runs. */
  adopt(
    service: string,
    owner: string,
    grants: readonly (Grant & { phase: Phase })[],
  ): void {
    const dispatcher = this.find(service);
    if (dispatcher === undefined) return;
    for (const grant of grants) dispatcher.adopt(grant);
    const claimed = new Set(
      grants.map(({ requestId, attempt }) => `${requestId}.${attempt}`),
    );
    const verifyCutoff = monotonicNow() - VERIFY_AFTER_MS;
    for (const grant of [...dispatcher.listGrants()]) {
      const isClaimed = claimed.has(`${grant.requestId}.${grant.attempt}`);
      if (isClaimed) grant.verifiedAt = monotonicNow();
      // A new grant may not have reached its owner when the owner listed its grants.
      const isRetained = isClaimed || grant.grantedAt > verifyCutoff;
      if (grant.owner === owner && !isRetained) dispatcher.drop(grant);
    }
  }

  /** Drops the grants of a dead entry VM and cancels them on their servers. */
  onOwnerDead(vmId: string): void {
    for (const { dispatcher, service } of this.#hosted.values()) {
      for (const grant of dispatcher.dropOwner(vmId)) {
        this.#options.cancelGrant(service.name, grant);
      }
    }
  }

  /** Samples the load of the pools and verifies grants periodically until {@link close}. */
  async run(): Promise<void> {
    let verifiedAt = monotonicNow();
    while (!this.#stop.signal.aborted) {
      for (const { dispatcher } of this.#hosted.values()) {
        dispatcher.samplePressure();
      }
      this.#options.streams?.publishBegun();
      if (monotonicNow() - verifiedAt >= VERIFY_INTERVAL_MS) {
        verifiedAt = monotonicNow();
        for (const hosted of this.#hosted.values()) {
          void this.#verifyGrants(hosted);
        }
      }
      await sleep(PRESSURE_SAMPLE_INTERVAL_MS, this.#stop.signal);
    }
  }

  /** Closes all dispatchers; their queued requests are refused as moved. */
  close(): void {
    this.#stop.abort();
    for (const { dispatcher } of this.#hosted.values()) dispatcher.close();
    this.#hosted.clear();
  }

  #create(service: DispatchedService): void {
    const { policy, log, calls, crashes, streams } = this.#options;
    const dispatcher = new Dispatcher({
      service: service.name,
      config: service.config,
      policy,
      ...(crashes && { crashes: crashes.get(service.name) }),
      ...(streams && { streams: streams.get(service.name) }),
    });
    this.#hosted.set(service.name, { dispatcher, service });
    for (const { grant, phase } of calls.listGrants(service.name)) {
      dispatcher.adopt({ ...grant, phase });
    }
    this.#applyReportedLimits(service.name, dispatcher);
    log.emit("roleTaken", { service: service.name });
    this.#options.onRoleTaken(service.name);
  }

  #applyReportedLimits(service: string, dispatcher: Dispatcher): void {
    const oldest = monotonicNow() - MAX_LIMIT_AGE_MS;
    const limits = this.#reportedLimits.get(service) ?? [];
    for (const [id, { requestsPerSecond, reportedAt }] of limits) {
      if (reportedAt < oldest) continue;
      dispatcher.setServerLimit(id, requestsPerSecond);
    }
  }

  #applyLeavingServers(): void {
    for (const { dispatcher, service } of this.#hosted.values()) {
      for (const { id } of service.config.servers) {
        if (this.#options.isLeaving(id)) dispatcher.setLeaving(id, true);
      }
    }
  }

  /** Drops grants that their owner no longer runs, in case their release was lost. */
  async #verifyGrants(hosted: HostedDispatcher): Promise<void> {
    const { vmId, calls, mesh, cancelGrant } = this.#options;
    const byOwner = new Map<string, Grant[]>();
    for (const grant of hosted.dispatcher.listGrants()) {
      if (monotonicNow() - grant.verifiedAt < VERIFY_AFTER_MS) continue;
      grant.verifiedAt = monotonicNow();
      byOwner.set(grant.owner, [...byOwner.get(grant.owner) ?? [], grant]);
    }
    for (const [owner, grants] of byOwner) {
      const ids = grants.map((
        { requestId, attempt },
      ): [string, number] => [requestId, attempt]);
      try {
        const owned = owner === vmId
          ? ids.map(([requestId, attempt]) =>
            calls.isRunningAttempt(requestId, attempt)
          )
          : await mesh.call(owner, "entry.owned", { params: [ids] });
        for (const [index, grant] of grants.entries()) {
          if (owned[index] !== false) continue;
          hosted.dispatcher.drop(grant);
          cancelGrant(hosted.service.name, grant);
        }
      } catch {
        // A failed call drops no grants: heartbeats alone decide whether an owner is dead.
      }
    }
  }
}
