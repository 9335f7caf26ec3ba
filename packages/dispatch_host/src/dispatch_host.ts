/**
 * The dispatchers that this VM runs, and the lives of the entry VMs that use them.
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
import type { EventLog } from "@bitternfall/events";
import type { PeerMesh } from "@bitternfall/peer";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { RunningCalls } from "./running_calls.ts";

/** A service to be dispatched by whichever VM has its role. */
export interface DispatchedService {
  readonly name: string;
  readonly config: ServiceConfig;
  /** Identity of what the configuration was made from; a new one has it taken anew. */
  readonly origin: unknown;
}

/** Options of a {@link DispatchHost}. */
export interface DispatchHostOptions {
  readonly vmId: string;
  readonly policy: PolicyName;
  readonly log: EventLog;
  readonly mesh: PeerMesh;
  readonly calls: RunningCalls;
  /** A VM of another cell that has room for a service. */
  readonly pickSpill: (service: string) => string | undefined;
  /** Whether this VM has the dispatcher role of a service. */
  readonly isOwner: (service: string) => boolean;
  /** Whether a server is known to be leaving. */
  readonly isLeaving: (serverId: string) => boolean;
  /** Ends the work of a grant on its servers. */
  readonly cancelGrant: (service: string, grant: Grant) => void;
  /** A dispatcher was created and knows only the grants of this VM. */
  readonly onRoleTaken: (service: string) => void;
}

/** A dispatcher with the service it is for. */
export interface HostedDispatcher {
  readonly dispatcher: Dispatcher;
  service: DispatchedService;
}

const PRESSURE_MS = 200;
const VERIFY_EVERY_MS = 1000;
/** Grants are verified with their owner this long after the last sign of them. */
const VERIFY_MS = 3000;

/** Runs the dispatchers that this VM owns. */
export class DispatchHost {
  readonly #options: DispatchHostOptions;
  readonly #hosted = new Map<string, HostedDispatcher>();
  readonly #stop = new AbortController();

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
    this.#logRefusal(service, req, decision);
    const mayFitElsewhere = decision.reason === RefusalReason.Late ||
      decision.reason === RefusalReason.NoServers;
    if (!mayFitElsewhere) return decision;
    return { ...decision, spillTo: this.#options.pickSpill(service) };
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
    });
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

  /** The dispatchers that run here. */
  get hosted(): Iterable<HostedDispatcher> {
    return this.#hosted.values();
  }

  summarize(): QueueSummary[] {
    return [...this.#hosted.values()].map(({ dispatcher }) =>
      dispatcher.summarize()
    );
  }

  /** Takes roles and services as they are now. */
  sync(services: ReadonlyMap<string, DispatchedService>): void {
    const { isOwner, log } = this.#options;
    for (const [name, { dispatcher }] of this.#hosted) {
      if (services.has(name) && isOwner(name)) continue;
      this.#hosted.delete(name);
      dispatcher.close();
      log.emit("roleHandedOver", { service: name });
    }
    for (const service of services.values()) {
      if (!isOwner(service.name)) continue;
      const hosted = this.#hosted.get(service.name);
      if (hosted === undefined) this.#create(service);
      else if (hosted.service.origin !== service.origin) {
        hosted.service = service;
        hosted.dispatcher.configure(service.config);
      }
    }
    this.#markLeaving();
  }

  /** Takes over the running grants of an entry VM, and drops what it no longer runs. */
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
    const before = monotonicNow() - VERIFY_MS;
    for (const grant of [...dispatcher.listGrants()]) {
      const isClaimed = claimed.has(`${grant.requestId}.${grant.attempt}`);
      if (isClaimed) grant.verifiedAt = monotonicNow();
      // A grant that is on its way to its owner is not on its list yet.
      const isOpen = isClaimed || grant.grantedAt > before;
      if (grant.owner === owner && !isOpen) dispatcher.drop(grant);
    }
  }

  /** An entry VM died: everything granted to it is cancelled on the servers. */
  onOwnerDead(vmId: string): void {
    for (const { dispatcher, service } of this.#hosted.values()) {
      for (const grant of dispatcher.dropOwner(vmId)) {
        this.#options.cancelGrant(service.name, grant);
      }
    }
  }

  /** Notes how busy the pools are and verifies grants until {@link close}. */
  async run(): Promise<void> {
    let verifiedAt = monotonicNow();
    while (!this.#stop.signal.aborted) {
      for (const { dispatcher } of this.#hosted.values()) {
        dispatcher.samplePressure();
      }
      if (monotonicNow() - verifiedAt >= VERIFY_EVERY_MS) {
        verifiedAt = monotonicNow();
        for (const hosted of this.#hosted.values()) {
          void this.#verifyGrants(hosted);
        }
      }
      await sleep(PRESSURE_MS, this.#stop.signal);
    }
  }

  close(): void {
    this.#stop.abort();
    for (const { dispatcher } of this.#hosted.values()) dispatcher.close();
    this.#hosted.clear();
  }

  #create(service: DispatchedService): void {
    const { policy, log, calls } = this.#options;
    const dispatcher = new Dispatcher({
      service: service.name,
      config: service.config,
      policy,
    });
    this.#hosted.set(service.name, { dispatcher, service });
    for (const { grant, phase } of calls.listGrants(service.name)) {
      dispatcher.adopt({ ...grant, phase });
    }
    log.emit("roleTaken", { service: service.name });
    this.#options.onRoleTaken(service.name);
  }

  #markLeaving(): void {
    for (const { dispatcher, service } of this.#hosted.values()) {
      for (const { id } of service.config.servers) {
        if (this.#options.isLeaving(id)) dispatcher.setLeaving(id, true);
      }
    }
  }

  /** Drops grants whose owner no longer runs them, should a release have been lost. */
  async #verifyGrants(hosted: HostedDispatcher): Promise<void> {
    const { vmId, calls, mesh, cancelGrant } = this.#options;
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
          if (owned[index] !== false) continue;
          hosted.dispatcher.drop(grant);
          cancelGrant(hosted.service.name, grant);
        }
      } catch {
        // Whether the owner is alive is decided by heartbeats.
      }
    }
  }
}
