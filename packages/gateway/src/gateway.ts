/**
 * One VM of a gateway: builds the parts, connects them, and shuts them down in order.
 * @module
 */
import type { Listener } from "@bitternfall/connection";
import { PolicyName } from "@bitternfall/dispatch";
import {
  createDispatchHandlers,
  DispatchClient,
  DispatchHost,
  getDispatcherRole,
  RunningCalls,
} from "@bitternfall/dispatch-host";
import type { EventLog } from "@bitternfall/events";
import { Lease } from "@bitternfall/lease";
import type { ObjectApi } from "@bitternfall/platform";
import { ServerPool } from "@bitternfall/service";
import {
  MemberState,
  monotonicNow,
  sleep,
  type VmListEntry,
  withTimeout,
} from "@bitternfall/types";
import type { Answer } from "./answer.ts";
import { CallerFront, type ConfigInForce } from "./caller_front.ts";
import { ClockWatch } from "./clock_watch.ts";
import type { CallerDialect, ServerDialect } from "./dialect.ts";
import { listDispatchedServices } from "./dispatched_services.ts";
import { MemberRegistry } from "./members.ts";
import type { GatewayConfig, GatewayRequest } from "./model.ts";
import { MEMBER_PREFIX, ObjectView } from "./object_view.ts";
import { PeerGroup } from "./peer_group.ts";
import { type CallOutcome, PlainCall } from "./plain_call.ts";
import { createMetricsListener, createReadyListener } from "./readiness.ts";
import { Registry, type RegistryDialect } from "./registry.ts";
import { RoleSteward } from "./role_steward.ts";
import { RouteTable } from "./route_table.ts";
import { ServerClient } from "./server_client.ts";
import { ServerDirectory } from "./server_directory.ts";
import {
  type GatewaySettings,
  listFixedChanges,
  pickReloadable,
} from "./settings.ts";
import { SharedLimits } from "./shared_limits.ts";
import { StagedCall } from "./staged_call.ts";

/** What connects a gateway to the formats of a platform. */
export interface GatewayAdapters {
  readonly objects: ObjectApi;
  readonly callers: CallerDialect;
  readonly servers: ServerDialect;
  readonly registry: RegistryDialect;
}

/** Ports that a gateway listens on. */
export interface GatewayPorts {
  readonly caller: number;
  readonly ready: number;
  readonly peer: number;
  readonly metrics: number | undefined;
}

const LEASE_KEY = "bitternfall-leases/roles";
/** How often a VM claims what it runs. */
const CLAIM_MS = 2000;
const CLOCK_CHECK_MS = 200;
/** How often the split of the pools is looked at. */
const ROLES_MS = 800;
/** Servers register within two of their heartbeats; the split waits for the last one. */
const ROLES_SETTLE_MS = 1800;
/** How long peers are given to learn that this VM is leaving. */
const HAND_OVER_MS = 150;
/** Kept of the grace time to close what is left. */
const CLOSE_MARGIN_MS = 600;
const MS_PER_S = 1000;

/** One VM. */
export class Gateway {
  #settings: GatewaySettings;
  readonly #adapters: GatewayAdapters;
  readonly #log: EventLog;
  readonly #clock = new ClockWatch();
  readonly #incarnation = Date.now();
  readonly #stop = new AbortController();
  readonly #calls = new RunningCalls();
  readonly #directory = new ServerDirectory();
  readonly #limits: SharedLimits;
  readonly #pool: ServerPool;
  readonly #client: ServerClient;
  readonly #peers: PeerGroup;
  readonly #members: MemberRegistry;
  readonly #host: DispatchHost;
  readonly #dispatch: DispatchClient;
  readonly #lease: Lease;
  readonly #steward: RoleSteward;
  readonly #objects: ObjectView;
  readonly #front: CallerFront;
  readonly #readyListener: Listener;
  readonly #metricsListener: Listener | undefined;
  #inForce: ConfigInForce | undefined;
  #roleChanges = 0;
  #settingsRead = 0;
  #stopping: Promise<void> | undefined;

  constructor(
    settings: GatewaySettings,
    adapters: GatewayAdapters,
    log: EventLog,
  ) {
    this.#settings = settings;
    this.#adapters = adapters;
    this.#log = log;
    const { vm, listen } = settings;
    this.#limits = new SharedLimits(settings);
    this.#pool = new ServerPool(vm);
    this.#client = new ServerClient({
      dialect: adapters.servers,
      now: monotonicNow,
    });
    this.#peers = this.#createPeers();
    this.#members = new MemberRegistry({
      api: adapters.objects,
      prefix: MEMBER_PREFIX,
      self: vm,
      log,
      onChange: (vms) => this.#onMembers(vms),
    });
    this.#host = this.#createHost();
    this.#dispatch = new DispatchClient({
      vmId: vm.id,
      membership: this.#peers.membership,
      mesh: this.#peers.mesh,
      host: this.#host,
      calls: this.#calls,
    });
    this.#lease = new Lease({
      store: adapters.objects,
      key: LEASE_KEY,
      vm: vm.id,
      incarnation: this.#incarnation,
      leaseMs: settings.orders.leaseMs,
    });
    this.#steward = this.#createSteward();
    this.#objects = this.#createObjects();
    this.#front = this.#createFront();
    this.#readyListener = createReadyListener(
      listen.ready,
      () => this.isReady,
    );
    this.#metricsListener = listen.metrics === undefined
      ? undefined
      : createMetricsListener(listen.metrics, log);
  }

  /** Listens and starts all tasks; resolves once the listeners stand. */
  async start(): Promise<GatewayPorts> {
    const ports: GatewayPorts = {
      peer: await this.#peers.listen({
        ...createDispatchHandlers({
          membership: this.#peers.membership,
          host: this.#host,
          calls: this.#calls,
        }),
        "objects.pull": ([cursors]) => this.#objects.listSince(cursors),
      }),
      ready: await this.#readyListener.listen(),
      metrics: await this.#metricsListener?.listen(),
      caller: await this.#front.listen(),
    };
    const { vm, listen, peerAddress } = this.#settings;
    this.#log.emit("daemonStarted", {
      vm: vm.id,
      availabilityZone: vm.availabilityZone,
      callerPort: ports.caller,
      readyPort: ports.ready,
      peerPort: ports.peer,
      metricsPort: ports.metrics,
    });
    const { signal } = this.#stop;
    this.#objects.run();
    const address = peerAddress ?? `${listen.peer.host}:${ports.peer}`;
    void this.#members.join(address, signal);
    void this.#host.run();
    void this.#watchClock(signal);
    void this.#keepClaims(signal);
    if (this.#settings.orders.enabled) void this.#tendRoles(signal);
    return ports;
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return this.#peers.isReady;
  }

  /**
   * Takes over what may change while running: log, limits, retry budget and shutdown.
   * Returns the sections that differ and take force at the next start.
   */
  reload(settings: GatewaySettings): string[] {
    const before = this.#settings;
    this.#settings = { ...before, ...pickReloadable(settings) };
    this.#limits.configure(settings);
    this.#front.setLimits(settings.limits);
    this.#settingsRead++;
    this.#onRolesChanged();
    return listFixedChanges(before, settings);
  }

  /** Finishes what is in flight within the grace time, then stops. */
  stop(who: string): Promise<void> {
    this.#stopping ??= this.#runStop(who);
    return this.#stopping;
  }

  /** Closes everything at once, cutting what is under way. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#host.close();
    await Promise.all([
      this.#peers.close(),
      this.#front.close(),
      this.#readyListener.close(),
      this.#metricsListener?.close(),
    ]);
  }

  async #runStop(who: string): Promise<void> {
    const { balancerLagMs, graceSeconds } = this.#settings.shutdown;
    const { membership, mesh } = this.#peers;
    const startedAt = monotonicNow();
    this.#log.emit("drainStarted", { who, inFlight: this.#front.inFlight });
    membership.announceLeaving();
    this.#front.closeConnections();
    mesh.sendHeartbeatsNow();
    await sleep(HAND_OVER_MS);
    membership.setSelfState(MemberState.Leaving);
    void this.#members.leave();
    await sleep(balancerLagMs);
    this.#front.stopAccepting();
    const endsAt = startedAt + graceSeconds * MS_PER_S - CLOSE_MARGIN_MS;
    const ended = await withTimeout(
      this.#front.whenIdle().then(() => "idle" as const),
      { ms: Math.max(0, endsAt - monotonicNow()), fallback: "cut" as const },
    );
    if (ended === "cut") {
      this.#log.emit("drainCut", { inFlight: this.#front.inFlight });
    }
    await this.close();
    this.#log.emit("drainFinished", { who });
  }

  async #watchClock(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#checkClock();
      await sleep(CLOCK_CHECK_MS, signal);
    }
  }

  /** A lease must not outlive a suspension that the monotonic clock has not counted. */
  #checkClock(): void {
    const jumpMs = Math.round(this.#clock.check());
    if (jumpMs === 0) return;
    this.#lease.stepDown();
    this.#log.emit("clockJumped", { jumpMs });
  }

  /** Claims what runs here, and notices VMs that have fallen silent. */
  async #keepClaims(signal: AbortSignal): Promise<void> {
    let hadCalls = false;
    while (!signal.aborted) {
      await sleep(CLAIM_MS * (0.5 + Math.random()), signal);
      this.#peers.expireSilent();
      const hasCalls = this.#calls.size > 0;
      // Once more after the last call has ended, for releases that were lost.
      if (hasCalls || hadCalls) {
        const services = this.#inForce?.config.services.keys() ?? [];
        await this.#dispatch.reportGrants(services);
      }
      hadCalls = hasCalls;
    }
  }

  /** Looks after the roles of the servers that are dispatched here. */
  async #tendRoles(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(ROLES_MS * (0.5 + Math.random()), signal);
      for (const { service: { name } } of this.#host.hosted) {
        const engine = this.#inForce?.config.services.get(name)?.engine;
        const servers = this.#directory.list(name);
        const settledMs = this.#directory.getUnchangedMs(name);
        if (engine === undefined || settledMs < ROLES_SETTLE_MS) continue;
        await this.#steward.reconcileRoles({ name, engine, servers });
      }
    }
  }

  #becomeReady(): void {
    const { membership, mesh } = this.#peers;
    if (membership.selfState !== MemberState.Joining) return;
    if (this.#inForce === undefined) return;
    if (!this.#objects.isLoaded) return;
    membership.setSelfState(MemberState.Ready);
    mesh.sendHeartbeatsNow();
    this.#log.emit("daemonReady", {
      version: this.#inForce.config.version,
      servers: this.#directory.size,
    });
  }

  #onConfig(config: GatewayConfig): void {
    this.#inForce = { config, table: new RouteTable(config) };
    this.#front.configure(config);
    this.#onRolesChanged();
  }

  #onServers(): void {
    this.#pool.retain((id) => this.#directory.find(id) !== undefined);
    this.#onRolesChanged();
  }

  #onMembers(vms: readonly VmListEntry[]): void {
    this.#peers.setVms(vms);
    this.#limits.setVmCount(this.#peers.size);
    this.#onRolesChanged();
  }

  /** Servers, configuration or members changed, and with them the dispatchers. */
  #onRolesChanged(): void {
    this.#becomeReady();
    const { prefillTokensPerMs } = this.#settings.orders.expected;
    const dispatched = listDispatchedServices(this.#inForce?.config, {
      directory: this.#directory,
      isSwitching: (id) => this.#steward.isSwitching(id),
      localRevision: this.#roleChanges + this.#settingsRead,
      prefillTokensPerMs,
      retryBudget: this.#limits.totalRetryBudget,
    });
    this.#host.sync(dispatched);
    this.#dispatch.onMembershipChange(dispatched.keys());
  }

  #serve(req: GatewayRequest, answer: Answer): Promise<CallOutcome> {
    const { service, prompt } = req;
    const { vm } = this.#settings;
    const shared = {
      directory: this.#directory,
      client: this.#client,
      log: this.#log,
      now: monotonicNow,
    };
    const { engine } = service;
    if (engine === undefined || prompt === undefined) {
      const env = { ...shared, pool: this.#pool, limits: this.#limits };
      return new PlainCall(env, req, answer).run();
    }
    const env = {
      ...shared,
      vmId: vm.id,
      availabilityZone: vm.availabilityZone,
      dialect: this.#adapters.servers,
      dispatch: this.#dispatch,
      calls: this.#calls,
    };
    return new StagedCall(env, req, { prompt, engine, answer }).run();
  }

  #createPeers(): PeerGroup {
    return new PeerGroup({
      settings: this.#settings,
      incarnation: this.#incarnation,
      log: this.#log,
      getRevision: () => this.#objects.revision,
      onPeerRevision: (peer, revision) =>
        this.#objects.onPeerRevision(peer, revision),
      onDead: (id) => this.#host.onOwnerDead(id),
      onChange: () => this.#onRolesChanged(),
    });
  }

  #createHost(): DispatchHost {
    const { vm } = this.#settings;
    const { membership, mesh } = this.#peers;
    return new DispatchHost({
      vmId: vm.id,
      policy: PolicyName.Joint,
      log: this.#log,
      mesh,
      calls: this.#calls,
      pickSpilloverVm: () => undefined,
      isOwner: (service) =>
        membership.getOwner(getDispatcherRole(service)) === vm.id,
      // The directory lists only servers that take work.
      isLeaving: () => false,
      // A server ends a run itself when the connection of its VM closes.
      cancelGrant: (_service, { requestId, decode, owner }) =>
        this.#log.emit("grantDropped", { requestId, server: decode, owner }),
      onRoleTaken: () => {},
    });
  }

  #createSteward(): RoleSteward {
    return new RoleSteward({
      vmId: this.#settings.vm.id,
      lease: this.#lease,
      checkClock: () => this.#checkClock(),
      client: this.#client,
      dialect: this.#adapters.servers,
      log: this.#log,
      now: monotonicNow,
      mix: this.#settings.orders.expected,
      onChange: () => {
        this.#roleChanges++;
        this.#onRolesChanged();
      },
    });
  }

  #createObjects(): ObjectView {
    const { objects: api, registry: dialect } = this.#adapters;
    const log = this.#log;
    const registry = new Registry({
      dialect,
      directory: this.#directory,
      log,
      onConfig: (config) => this.#onConfig(config),
      onServers: () => this.#onServers(),
    });
    return new ObjectView({
      api,
      settings: this.#settings.objectApi,
      dialect,
      registry,
      members: this.#members,
      peers: this.#peers,
      log,
      signal: this.#stop.signal,
    });
  }

  #createFront(): CallerFront {
    const { listen, limits } = this.#settings;
    return new CallerFront({
      ...listen.caller,
      dialect: this.#adapters.callers,
      log: this.#log,
      now: monotonicNow,
      limits,
      getConfig: () => this.#inForce,
      serve: (req, answer) => this.#serve(req, answer),
    });
  }
}
