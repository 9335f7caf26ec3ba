/**
 * One VM of a gateway: builds the parts, connects them, and shuts them down in order.
 * @module
 */
import { Listener } from "@bitternfall/connection";
import {
  PolicyName,
  RetryBudget,
  type ServiceConfig,
} from "@bitternfall/dispatch";
import {
  createDispatchHandlers,
  DispatchClient,
  type DispatchedService,
  DispatchHost,
  getDispatcherRole,
  RunningCalls,
} from "@bitternfall/dispatch-host";
import type { EventLog } from "@bitternfall/events";
import { Lease } from "@bitternfall/lease";
import { Membership } from "@bitternfall/membership";
import {
  type Beat,
  PeerMesh,
  PeerServer,
  type Traffic,
} from "@bitternfall/peer";
import type { ObjectApi } from "@bitternfall/platform";
import { LatencyWindow, ServerPool } from "@bitternfall/service";
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
import { pickHubs } from "./hubs.ts";
import { MemberRegistry } from "./members.ts";
import type { GatewayConfig, GatewayRequest, GatewayService } from "./model.ts";
import { type CallOutcome, PlainCall } from "./plain_call.ts";
import { createMetricsListener, createReadyListener } from "./readiness.ts";
import { Registry, type RegistryDialect } from "./registry.ts";
import { RoleSteward } from "./role_steward.ts";
import { RouteTable } from "./route_table.ts";
import { ServerClient } from "./server_client.ts";
import { ServerDirectory } from "./server_directory.ts";
import type { GatewaySettings } from "./settings.ts";
import { StagedCall } from "./staged_call.ts";
import { WatchedObjects } from "./watched_objects.ts";

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

const MEMBER_PREFIX = "bitternfall-members/";
/** How often a VM claims what it runs. */
const CLAIM_MS = 2000;
/** A VM without a link is given up after this many of its heartbeats. */
const SILENT_BEATS = 4;
/** Time in which a watch shows what a peer's watch has shown. */
const CATCH_UP_MS = 500;
/** Up to this many VMs, each watches as a hub does: it costs few calls. */
const SMALL_DEPLOYMENT = 16;
const LEASE_KEY = "bitternfall-leases/roles";
const CLOCK_CHECK_MS = 200;
/** How often the split of the pools is looked at. */
const ROLES_MS = 800;
/** Servers register within two of their heartbeats; the split waits for the last one. */
const ROLES_SETTLE_MS = 1800;
const MS_PER_S = 1000;
/** How long peers are given to learn that this VM is leaving. */
const HAND_OVER_MS = 150;
/** Kept of the grace time to close what is left. */
const CLOSE_MARGIN_MS = 600;
const WITNESS_TIMEOUT_MS = 300;
/** Share of the deployment's retry budget that is used, the rest being a margin. */
const BUDGET_SHARE = 0.7;
/** Share of a server's connections that all VMs together take. */
const CONNECTION_SHARE = 0.9;

/** One VM. */
export class Gateway {
  readonly #settings: GatewaySettings;
  readonly #adapters: GatewayAdapters;
  readonly #log: EventLog;
  readonly #clock = new ClockWatch();
  readonly #incarnation = Date.now();
  readonly #stop = new AbortController();
  readonly #traffic: Traffic = { sent: 0, received: 0, messages: 0 };
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #latencies = new Map<string, LatencyWindow>();
  readonly #fullDeadlines = new Map<string, number>();
  readonly #calls = new RunningCalls();
  readonly #directory = new ServerDirectory();
  readonly #pool: ServerPool;
  readonly #client: ServerClient;
  readonly #membership: Membership;
  readonly #mesh: PeerMesh;
  readonly #members: MemberRegistry;
  readonly #host: DispatchHost;
  readonly #lease: Lease;
  readonly #steward: RoleSteward;
  readonly #dispatch: DispatchClient;
  readonly #watched: readonly WatchedObjects[];
  readonly #front: CallerFront;
  readonly #readyListener: Listener;
  readonly #metricsListener: Listener | undefined;
  readonly #peerListener: Listener;
  readonly #peerServer: PeerServer;
  #vms: readonly VmListEntry[] = [];
  #hubs: ReadonlySet<string> = new Set();
  #inForce: ConfigInForce | undefined;
  #isCatchingUp = false;
  #caughtUpTo = 0;
  #roleChanges = 0;
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
    const { availabilityZone } = vm;
    this.#pool = new ServerPool({ availabilityZone });
    this.#client = new ServerClient({
      dialect: adapters.servers,
      now: monotonicNow,
    });
    this.#membership = this.#createMembership();
    this.#mesh = this.#createMesh();
    this.#members = new MemberRegistry({
      api: adapters.objects,
      prefix: MEMBER_PREFIX,
      self: {
        id: vm.id,
        availabilityZone,
        strength: vm.strength,
      },
      log,
      onChange: (vms) => this.#onMembers(vms),
    });
    this.#host = this.#createHost();
    this.#lease = new Lease({
      store: adapters.objects,
      key: LEASE_KEY,
      vm: vm.id,
      incarnation: this.#incarnation,
      leaseMs: settings.orders.leaseMs,
    });
    this.#steward = this.#createSteward();
    this.#dispatch = new DispatchClient({
      vmId: vm.id,
      membership: this.#membership,
      mesh: this.#mesh,
      host: this.#host,
      calls: this.#calls,
    });
    this.#watched = this.#createWatches();
    this.#front = this.#createFront();
    this.#readyListener = createReadyListener(
      listen.ready,
      () => this.isReady,
    );
    this.#metricsListener = listen.metrics === undefined
      ? undefined
      : createMetricsListener(listen.metrics, log);
    this.#peerListener = new Listener(listen.peer);
    this.#peerServer = this.#createPeerServer();
  }

  /** Listens and starts all tasks; resolves once the listeners stand. */
  async start(): Promise<GatewayPorts> {
    const ports: GatewayPorts = {
      peer: await this.#peerListener.listen(),
      ready: await this.#readyListener.listen(),
      metrics: await this.#metricsListener?.listen(),
      caller: await this.#front.listen(),
    };
    const { id, availabilityZone } = this.#settings.vm;
    this.#log.emit("daemonStarted", { vm: id, availabilityZone });
    const { signal } = this.#stop;
    for (const watched of this.#watched) void watched.run(signal);
    const address = `${this.#settings.listen.peer.host}:${ports.peer}`;
    void this.#members.join(address, signal);
    void this.#host.run();
    void this.#watchClock(signal);
    void this.#keepClaims(signal);
    if (this.#settings.orders.enabled) void this.#tendRoles(signal);
    return ports;
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return this.#membership.announcedState === MemberState.Ready;
  }

  /** Finishes what is in flight within the grace time, then stops. */
  stop(who: string): Promise<void> {
    this.#stopping ??= this.#runStop(who);
    return this.#stopping;
  }

  async #runStop(who: string): Promise<void> {
    const { balancerLagMs, graceSeconds } = this.#settings.shutdown;
    const startedAt = monotonicNow();
    this.#log.emit("drainStarted", { who, inFlight: this.#front.inFlight });
    this.#membership.announceLeaving();
    this.#front.closeConnections();
    this.#mesh.beatNow();
    await sleep(HAND_OVER_MS);
    this.#membership.setSelfState(MemberState.Leaving);
    void this.#members.leave();
    await sleep(balancerLagMs);
    this.#front.stopAccepting();
    const endsAt = startedAt + graceSeconds * MS_PER_S - CLOSE_MARGIN_MS;
    const left = endsAt - monotonicNow();
    const ended = await withTimeout(
      this.#front.whenIdle().then(() => "idle" as const),
      { ms: Math.max(0, left), fallback: "cut" as const },
    );
    if (ended === "cut") {
      this.#log.emit("drainCut", { inFlight: this.#front.inFlight });
    }
    await this.close();
    this.#log.emit("drainFinished", { who });
  }

  /** Closes everything at once, cutting what is under way. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#host.close();
    this.#mesh.close();
    this.#peerServer.close();
    await Promise.all([
      this.#front.close(),
      this.#peerListener.close(),
      this.#readyListener.close(),
      this.#metricsListener?.close(),
    ]);
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
    const silentMs = SILENT_BEATS * this.#settings.membership.heartbeatMs;
    while (!signal.aborted) {
      await sleep(CLAIM_MS * (0.5 + Math.random()), signal);
      this.#membership.expireSilent(silentMs, (id) => this.#hubs.has(id));
      if (this.#calls.size > 0) await this.#dispatch.claim(this.#services);
    }
  }

  get #services(): Iterable<string> {
    return this.#inForce?.config.services.keys() ?? [];
  }

  /** A peer has read newer objects: where this VM does not follow, its watches are silent. */
  #onPeerRevision(revision: number): void {
    if (revision <= this.#followed || this.#isCatchingUp) return;
    this.#isCatchingUp = true;
    void sleep(CATCH_UP_MS, this.#stop.signal).then(() => {
      this.#isCatchingUp = false;
      if (revision <= this.#followed || this.#stop.signal.aborted) return;
      this.#log.emit("watchStale", { revision: this.#seen, peers: revision });
      // Everything is read anew, so that what the peer has read is known then.
      this.#caughtUpTo = revision;
      for (const watched of this.#watched) watched.restart();
    });
  }

  /** What peers may have read without this VM being behind. */
  get #followed(): number {
    return Math.max(this.#seen, this.#caughtUpTo);
  }

  /**
   * Grows with every object that is read here. A sum over the kinds, since a newer object
   * of one kind says nothing of the others.
   */
  get #seen(): number {
    let sum = 0;
    for (const { seen } of this.#watched) sum += seen;
    return sum;
  }

  /** Looks after the roles of the servers that are dispatched here. */
  async #tendRoles(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(ROLES_MS * (0.5 + Math.random()), signal);
      for (const { service } of this.#host.hosted) {
        const { engine } = this.#inForce?.config.services.get(service.name) ??
          {};
        const servers = this.#directory.list(service.name);
        const settledMs = this.#directory.getSettledMs(service.name);
        if (engine === undefined || settledMs < ROLES_SETTLE_MS) continue;
        await this.#steward.tend({ name: service.name, engine, servers });
      }
    }
  }

  #becomeReady(): void {
    if (this.#membership.selfState !== MemberState.Joining) return;
    if (this.#inForce === undefined) return;
    if (!this.#watched.every((watched) => watched.isLoaded)) return;
    this.#membership.setSelfState(MemberState.Ready);
    this.#mesh.beatNow();
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
    this.#vms = vms;
    this.#membership.setCandidates(vms);
    this.#connectHubs();
    this.#onRolesChanged();
    for (const budget of this.#budgets.values()) {
      budget.configure(this.#getBudgetBounds());
    }
    this.#becomeReady();
  }

  /** Connects to the hubs as this VM sees them now. */
  #connectHubs(): void {
    const { id } = this.#settings.vm;
    const hubs = pickHubs(this.#vms, (hub) => {
      const member = this.#membership.find(hub);
      return member !== undefined && !member.alive && member.failures > 0;
    });
    this.#hubs = new Set(hubs.map((hub) => hub.id));
    this.#mesh.setPeers(hubs.filter((hub) => hub.id !== id));
  }

  /** Servers, configuration or members changed, and with them the dispatchers. */
  #onRolesChanged(): void {
    this.#becomeReady();
    const dispatched = this.#listDispatched();
    this.#host.sync(dispatched);
    this.#dispatch.onMembershipChange(dispatched.keys());
  }

  #listDispatched(): Map<string, DispatchedService> {
    const dispatched = new Map<string, DispatchedService>();
    const config = this.#inForce?.config;
    for (const service of config?.services.values() ?? []) {
      const { name, engine } = service;
      if (engine === undefined) continue;
      const version = this.#directory.getVersion(name);
      const origin = `${config!.version}/${version}/${this.#roleChanges}`;
      const serviceConfig = this.#toServiceConfig(config!, service);
      dispatched.set(name, { name, config: serviceConfig, origin });
    }
    return dispatched;
  }

  #toServiceConfig(
    config: GatewayConfig,
    { name, engine }: GatewayService,
  ): ServiceConfig {
    const routes = config.routes.filter(({ targets }) =>
      targets.some(({ service }) => service === name)
    );
    const min = (values: number[]) => Math.min(Infinity, ...values);
    return {
      servers: this.#directory.list(name).flatMap((server) => {
        const { id, role, availabilityZone, host, port } = server;
        if (role === undefined || this.#steward.isSwitching(id)) return [];
        return [{ id, role, availabilityZone, address: `${host}:${port}` }];
      }),
      firstOutputMs: min(routes.map(({ targetMs }) => targetMs)),
      betweenOutputsMs: min(routes.map(({ eventGapMs }) => eventGapMs)),
      decodeSlots: engine?.slots ?? 1,
      memoryTokens: engine?.memoryTokens,
      tokensPerOutput: engine?.tokensPerEvent,
      prefillTokensPerMs: this.#settings.orders.expected.prefillTokensPerMs,
      hasReportedRoles: true,
      canDecodeUnread: true,
      perWorkspaceInFlight: Infinity,
      weights: { goodput: 0, wastedPrefill: 1 },
    };
  }

  #serve(req: GatewayRequest, answer: Answer): Promise<CallOutcome> {
    const { route, service, prompt, deadlineMs } = req;
    if (deadlineMs !== undefined) {
      const full = this.#fullDeadlines.get(route.name) ?? 0;
      if (deadlineMs > full) this.#fullDeadlines.set(route.name, deadlineMs);
    }
    const { engine } = service;
    const shared = {
      directory: this.#directory,
      client: this.#client,
      log: this.#log,
      now: monotonicNow,
      getBudget: (name: string) => this.#getBudget(name),
    };
    if (engine === undefined || prompt === undefined) {
      const env = {
        ...shared,
        pool: this.#pool,
        getLatencies: (name: string) => this.#getLatencies(name),
        getMaxOutstanding: () => this.#getMaxOutstanding(service),
      };
      return new PlainCall(env, req, answer).run();
    }
    const env = {
      ...shared,
      vmId: this.#settings.vm.id,
      availabilityZone: this.#settings.vm.availabilityZone,
      dialect: this.#adapters.servers,
      dispatch: this.#dispatch,
      calls: this.#calls,
      getFullDeadline: (name: string) => this.#fullDeadlines.get(name) ?? 0,
    };
    return new StagedCall(env, req, { prompt, engine, answer }).run();
  }

  /** VMs that share what a deployment may use together, this one among them. */
  #countVms(): number {
    return Math.max(1, this.#membership.members.length + 1);
  }

  #getMaxOutstanding({ maxConnections }: GatewayService): number {
    const share = CONNECTION_SHARE * maxConnections / this.#countVms();
    return Math.max(1, Math.floor(share));
  }

  #getBudgetBounds(): { share: number; burst: number } {
    const { ratio, slack } = this.#settings.retryBudget;
    const burst = BUDGET_SHARE * slack / this.#countVms();
    return { share: BUDGET_SHARE * ratio, burst: Math.max(1, burst) };
  }

  #getBudget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const bounds = this.#getBudgetBounds();
      budget = new RetryBudget({ ...bounds, initial: bounds.burst });
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  #getLatencies(route: string): LatencyWindow {
    let window = this.#latencies.get(route);
    if (window === undefined) {
      window = new LatencyWindow();
      this.#latencies.set(route, window);
    }
    return window;
  }

  #getBeat(): Beat {
    return [
      this.#settings.vm.id,
      this.#incarnation,
      this.#membership.announcedState,
      this.#seen,
    ];
  }

  #onBeat([id, incarnation, state, revision]: Beat): void {
    this.#membership.onBeat({ id, incarnation, state, revision });
    this.#onPeerRevision(revision);
  }

  #createMembership(): Membership {
    const { vm, membership } = this.#settings;
    return new Membership({
      selfId: vm.id,
      cell: "",
      incarnation: this.#incarnation,
      heartbeatMs: membership.heartbeatMs,
      askWitness: async (witness, suspect) => {
        try {
          return await this.#mesh.call(witness, "witness", {
            params: [suspect],
            timeoutMs: WITNESS_TIMEOUT_MS,
          });
        } catch {
          // No answer is no evidence either way.
          return undefined;
        }
      },
      listener: {
        onUp: ({ id, incarnation }) =>
          this.#log.emit("peerUp", { peer: id, incarnation }),
        onDead: ({ id }, reason) => {
          this.#log.emit("peerDead", { peer: id, reason });
          this.#host.onOwnerDead(id);
        },
        onChange: () => {
          this.#connectHubs();
          this.#onRolesChanged();
        },
      },
      mayTakeRoles: (id) => this.#hubs.has(id),
    });
  }

  #createMesh(): PeerMesh {
    const { membership, peerKey } = this.#settings;
    return new PeerMesh({
      key: peerKey,
      ...membership,
      getBeat: () => this.#getBeat(),
      traffic: this.#traffic,
      createListener: (peer) => ({
        onBeat: (beat) => this.#onBeat(beat),
        onSuspect: (reason) =>
          this.#log.emit("peerSuspected", { peer, reason }),
        onUnreachable: (reason) =>
          void this.#membership.onUnreachable(peer, reason),
      }),
    });
  }

  #createHost(): DispatchHost {
    const { vm } = this.#settings;
    return new DispatchHost({
      vmId: vm.id,
      policy: PolicyName.Joint,
      log: this.#log,
      mesh: this.#mesh,
      calls: this.#calls,
      pickSpill: () => undefined,
      isOwner: (service) =>
        this.#membership.getOwner(getDispatcherRole(service)) === vm.id,
      // The directory lists only servers that take work.
      isLeaving: () => false,
      // A server ends a run itself when the connection of its VM closes.
      cancelGrant: (_service, { requestId, decode, owner }) =>
        this.#log.emit("orphanCancelled", { requestId, server: decode, owner }),
      onRoleTaken: () => {},
    });
  }

  #createSteward(): RoleSteward {
    const { vm, orders } = this.#settings;
    return new RoleSteward({
      vmId: vm.id,
      lease: this.#lease,
      checkClock: () => this.#checkClock(),
      client: this.#client,
      dialect: this.#adapters.servers,
      log: this.#log,
      now: monotonicNow,
      mix: orders.expected,
      onChange: () => {
        this.#roleChanges++;
        this.#onRolesChanged();
      },
    });
  }

  #createWatches(): WatchedObjects[] {
    const { objects: api, registry: dialect } = this.#adapters;
    const log = this.#log;
    const registry = new Registry({
      dialect,
      directory: this.#directory,
      log,
      onConfig: (config) => this.#onConfig(config),
      onServers: () => this.#onServers(),
    });
    const { watchWaitMs, hubWatchWaitMs } = this.#settings.objectApi;
    // Hubs notice a silent watch by themselves, the others by the hubs' heartbeats.
    const getWaitMs = () =>
      this.#vms.length <= SMALL_DEPLOYMENT ||
        this.#hubs.has(this.#settings.vm.id)
        ? hubWatchWaitMs
        : watchWaitMs;
    const shared = { api, log, getWaitMs };
    return [
      new WatchedObjects({
        ...shared,
        prefix: dialect.configPrefix,
        onList: (objects) => registry.onConfigs(objects),
        onChange: (object) => registry.onConfigObject(object),
      }),
      new WatchedObjects({
        ...shared,
        prefix: dialect.serverPrefix,
        onList: (objects, options) => registry.onServerList(objects, options),
        onChange: (object) => registry.onServer(object),
      }),
      new WatchedObjects({
        ...shared,
        prefix: MEMBER_PREFIX,
        onList: (objects) => this.#members.onList(objects),
        onChange: (object) => this.#members.onObject(object),
      }),
    ];
  }

  #createFront(): CallerFront {
    const { listen, limits } = this.#settings;
    return new CallerFront({
      ...listen.caller,
      dialect: this.#adapters.callers,
      log: this.#log,
      now: monotonicNow,
      maxInFlight: limits.inFlight,
      maxHeldBytes: limits.heldBodyBytes,
      getConfig: () => this.#inForce,
      serve: (req, answer) => this.#serve(req, answer),
    });
  }

  #createPeerServer(): PeerServer {
    const membership = this.#membership;
    return new PeerServer({
      server: this.#peerListener.server,
      key: this.#settings.peerKey,
      handlers: {
        ...createDispatchHandlers({
          membership,
          host: this.#host,
          calls: this.#calls,
        }),
        beat: (params) => {
          this.#onBeat(params as Beat);
          return this.#getBeat();
        },
        witness: ([vm]) => membership.hasHeard(vm),
      },
      traffic: this.#traffic,
      onRefused: (reason) => this.#log.emit("peerMessageRefused", { reason }),
    });
  }
}
