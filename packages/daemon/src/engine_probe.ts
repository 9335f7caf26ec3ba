/**
 * Polls the load reports and stream lists of the engines whose dispatcher runs on this VM,
 * and cancels orphaned streams.
 * @module
 */
import {
  type Grant,
  ServerFailure,
  type ServiceConfig,
} from "@bitternfall/dispatch";
import type {
  DispatchedService,
  DispatchHost,
  HostedDispatcher,
  RunningCalls,
} from "@bitternfall/dispatch-host";
import {
  type EngineClient,
  EngineError,
  type HeldStream,
} from "@bitternfall/engine";
import type { EventLog } from "@bitternfall/events";
import type { Membership } from "@bitternfall/membership";
import type { PeerMesh } from "@bitternfall/peer";
import type { ModelService } from "@bitternfall/records";
import { monotonicNow, ServerRole, sleep } from "@bitternfall/types";
import type { Canceller } from "./canceller.ts";
import type { Upstreams } from "./upstreams.ts";

/** Options of an {@link EngineProbe}. */
export interface EngineProbeOptions {
  readonly vmId: string;
  readonly log: EventLog;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly upstreams: Upstreams;
  readonly canceller: Canceller;
  readonly calls: RunningCalls;
  readonly getDispatchHost: () => DispatchHost;
}

type DeclaredServer = ServiceConfig["servers"][number];

const POLL_INTERVAL_MS = 1000;
/** Streams whose owner this VM has never heard from are cancelled after this. */
const UNKNOWN_OWNER_GRACE_MS = 1500;

/** Polls the engines of the services that this VM dispatches. */
export class EngineProbe {
  readonly #options: EngineProbeOptions;
  /** When each stream of an unknown owner was first seen, by service. */
  readonly #firstSeenTimesByService = new Map<string, Map<string, number>>();
  #polling: Promise<void> | undefined;

  constructor(options: EngineProbeOptions) {
    this.#options = options;
  }

  /** Polls all engines periodically until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.pollNow();
      await sleep(POLL_INTERVAL_MS, signal);
    }
  }

  /** Polls all engines once; joins a poll that is in flight. */
  pollNow(): Promise<void> {
    this.#polling ??= this.#poll().finally(() => this.#polling = undefined);
    return this.#polling;
  }

  /** Cancels a grant on both of its servers. */
  cancelGrant(grant: Grant): void {
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

  async #poll(): Promise<void> {
    const polls: Promise<void>[] = [];
    for (const hosted of this.#options.getDispatchHost().hosted) {
      for (const server of hosted.service.config.servers) {
        const engine = this.#options.upstreams.findEngine(server.id);
        if (engine !== undefined) {
          polls.push(this.#pollServer({ hosted, server, engine }));
        }
      }
    }
    await Promise.all(polls);
  }

  async #pollServer(
    options: {
      hosted: HostedDispatcher;
      server: DeclaredServer;
      engine: EngineClient;
    },
  ): Promise<void> {
    const { hosted, server, engine } = options;
    const { dispatcher } = hosted;
    try {
      const report = await engine.getReport();
      const isRoleMismatched = report.changing || report.role !== server.role;
      dispatcher.setLeaving(
        server.id,
        report.leaving || isRoleMismatched ||
          this.#options.upstreams.isLeaving(server.id),
      );
      dispatcher.setReport(server.id, report);
    } catch (err) {
      const tag = err instanceof EngineError ? err.detail.tag : "failed";
      if (tag === "unreachable" || tag === "lost") {
        dispatcher.recordFailure(server.id, ServerFailure.Down);
      }
      if (tag === "unreachable") return;
    }
    if (server.role !== ServerRole.Decode) return;
    try {
      const streams = await engine.listStreams();
      await this.#cancelOrphans({
        hosted,
        engine,
        streams,
        server: server.id,
      });
    } catch {
      // The next poll lists them again.
    }
  }

  async #cancelOrphans(
    options: {
      hosted: HostedDispatcher;
      engine: EngineClient;
      streams: readonly HeldStream[];
      server: string;
    },
  ): Promise<void> {
    const { hosted, engine, streams, server } = options;
    const { canceller, log } = this.#options;
    const unknownStreams = streams.filter((id) =>
      hosted.dispatcher.findGrant(id)?.decode !== server
    );
    const { name } = hosted.service;
    for (const stream of unknownStreams) {
      const isOrphaned = await this.#isOrphaned(name, stream);
      if (!isOrphaned) continue;
      log.emit("orphanCancelled", {
        requestId: stream.requestId,
        server,
        owner: stream.owner,
      });
      void canceller.cancel(engine, stream);
    }
    if (streams.length === 0) this.#firstSeenTimesByService.delete(name);
  }

  async #isOrphaned(service: string, stream: HeldStream): Promise<boolean> {
    const { membership, mesh, vmId, calls } = this.#options;
    const { owner, requestId, attempt } = stream;
    if (owner === vmId) return !calls.isRunningAttempt(requestId, attempt);
    const member = membership.find(owner);
    if (member !== undefined && !member.isAlive && member.incarnation > 0) {
      return true;
    }
    if (member?.isAlive) {
      try {
        const [owned] = await mesh.call(owner, "entry.owned", {
          params: [[[requestId, attempt]]],
        });
        return owned === false;
      } catch {
        return false;
      }
    }
    const firstSeenTimes = this.#firstSeenTimesByService.get(service) ??
      new Map();
    this.#firstSeenTimesByService.set(service, firstSeenTimes);
    const key = `${requestId}.${attempt}`;
    const firstSeenAt = firstSeenTimes.get(key) ?? monotonicNow();
    firstSeenTimes.set(key, firstSeenAt);
    return monotonicNow() - firstSeenAt >= UNKNOWN_OWNER_GRACE_MS;
  }
}

/** Returns the dispatcher's configuration for a model service of the records. */
export function toDispatchedService(
  service: ModelService,
  servers: ModelService["servers"],
): Omit<DispatchedService, "configId"> {
  const config: ServiceConfig = {
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
  return { name: service.name, config };
}
