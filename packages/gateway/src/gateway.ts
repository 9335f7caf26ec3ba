/**
 * One VM of a gateway: builds the parts, connects them, and shuts them down in order.
 * @module
 */
import { bindAll, type Listener } from "@bitternfall/connection";
import {
  decodeHashes,
  EMPTY_CRASH_RECORD,
  encodeHashes,
  PolicyName,
} from "@bitternfall/dispatch";
import {
  CrashRegistry,
  createDispatchHandlers,
  decodeCrashRecord,
  DispatchClient,
  DispatchHost,
  encodeCrashRecord,
  getDispatcherRole,
  RunningCalls,
  StreamRegistry,
} from "@bitternfall/dispatch-host";
import type { EventLog } from "@bitternfall/events";
import { Lease } from "@bitternfall/lease";
import type { ObjectApi } from "@bitternfall/platform";
import {
  ClockJumpDetector,
  MemberState,
  monotonicNow,
  ServerRole,
  sleep,
  type VmListEntry,
} from "@bitternfall/types";
import { BegunStreamStore } from "./begun_stream_store.ts";
import type { CallerResponse } from "./caller_response.ts";
import { activateConfig, type ActiveConfig } from "./active_config.ts";
import { CallerFront } from "./caller_front.ts";
import { CrashRecords } from "./crash_records.ts";
import { CrashReporter } from "./crash_reporter.ts";
import { CrashTrials, type TrialRequest } from "./crash_trials.ts";
import type { CallerDialect, ServerDialect } from "./dialect.ts";
import {
  type DescriptorLimits,
  divideDescriptors,
} from "./descriptor_limits.ts";
import { listDispatchedServices } from "./dispatched_services.ts";
import { LimitKeeper } from "./limit_keeper.ts";
import { MemoryBudget } from "./memory_budget.ts";
import { runMemoryGauges } from "./memory_gauges.ts";
import { MemberRegistry } from "./members.ts";
import type { GatewayConfig, GatewayRequest, ServerEntry } from "./model.ts";
import { MEMBER_PREFIX, ObjectView } from "./object_view.ts";
import { PeerGroup } from "./peer_group.ts";
import { PlainBalancing } from "./plain_balancing.ts";
import { type CallOutcome, PlainCall } from "./plain_call.ts";
import { createMetricsListener, createReadyListener } from "./readiness.ts";
import { Registry, type RegistryDialect } from "./registry.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { runRetryTokenLoop } from "./retry_token_loop.ts";
import { RoleSteward } from "./role_steward.ts";
import { ServerClient } from "./server_client.ts";
import { ServerDirectory } from "./server_directory.ts";
import { ServiceRecordStore } from "./service_record_store.ts";
import { type PermitRequest, ServerLimits } from "./server_limits.ts";
import { ServerLinks } from "./server_links.ts";
import { ServerNotices } from "./server_notices.ts";
import {
  type GatewaySettings,
  listSectionsNeedingRestart,
  pickReloadable,
  toRetryBudget,
} from "./settings.ts";
import { SharedLimits } from "./shared_limits.ts";
import { StagedCall } from "./staged_call.ts";
import { StopSchedule } from "./stop_schedule.ts";
import { VersionRecords } from "./version_records.ts";
import { WorkspaceQuotas } from "./workspace_quotas.ts";

/** Adapters between a gateway and the formats of its platform. */
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
/** Mean interval at which a VM reports the grants of its running calls. */
const GRANT_REPORT_INTERVAL_MS = 2000;
const CLOCK_CHECK_INTERVAL_MS = 200;
/** Mean interval between checks of the split between prefill and decode servers. */
const ROLE_CHECK_INTERVAL_MS = 800;
/**
 * Servers register within two of their heartbeats. Roles are planned only once no server
 * has been added or removed for this long, so that all of them count.
 */
const MIN_UNCHANGED_MS = 1800;
const PERMIT_TIMEOUT_MS = 300;
const TRIAL_TIMEOUT_MS = 500;
/** Time until a VM asks again for a permit while no VM keeps the limits of a service. */
const NO_OWNER_WAIT_MS = 250;
/** Time for peers to learn that this VM is leaving, before it gives up its roles. */
const LEAVE_NOTICE_MS = 150;
const MS_PER_S = 1000;

/** The gateway process of one VM. */
export class Gateway {
  #settings: GatewaySettings;
  readonly #adapters: GatewayAdapters;
  readonly #log: EventLog;
  readonly #clockJumps = new ClockJumpDetector();
  readonly #incarnation = Date.now();
  readonly #stop = new AbortController();
  readonly #calls = new RunningCalls();
  readonly #directory = new ServerDirectory();
  readonly #notices = new ServerNotices({ directory: this.#directory });
  readonly #limits: SharedLimits;
  readonly #balancing: PlainBalancing;
  readonly #serverLimits: ServerLimits;
  readonly #limitKeeper = new LimitKeeper({
    isOwner: (service) => this.#isDispatcherOf(service),
  });
  readonly #crashes: CrashRegistry;
  readonly #crashReporter: CrashReporter;
  readonly #trials: CrashTrials;
  readonly #streams: StreamRegistry;
  readonly #begunStreams: BegunStreamStore;
  readonly #serviceRecords: ServiceRecordStore;
  readonly #links: ServerLinks;
  readonly #forwarder: RequestForwarder;
  readonly #client: ServerClient;
  readonly #peers: PeerGroup;
  readonly #quotas: WorkspaceQuotas;
  readonly #members: MemberRegistry;
  readonly #host: DispatchHost;
  readonly #dispatch: DispatchClient;
  readonly #lease: Lease;
  readonly #steward: RoleSteward;
  readonly #objects: ObjectView;
  readonly #memory: MemoryBudget;
  readonly #front: CallerFront;
  readonly #readyListener: Listener;
  readonly #metricsListener: Listener | undefined;
  #activeConfig: ActiveConfig | undefined;
  #roleChangeCount = 0;
  #reloadCount = 0;
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
    this.#limits = new SharedLimits({ retryBudget: toRetryBudget(settings) });
    this.#serverLimits = new ServerLimits({
      log,
      requestPermit: (req) => this.#requestPermit(req),
      getKeeper: (service) => this.#dispatch.getOwner(service),
      report: (service, serverId, requestsPerSecond) => {
        const { engine } = this.#activeConfig?.config.services.get(service) ??
          {};
        // The limits of plain servers are passed on with each request for a permit.
        if (engine === undefined) return;
        this.#dispatch.reportServerLimit(service, serverId, requestsPerSecond);
      },
      getVmCount: () => this.#peers.size,
    });
    this.#links = new ServerLinks({
      log,
      listServers: (service) => this.#directory.list(service),
      findHelpers: (serverIds, options) =>
        this.#peers.findHelpers(serverIds, options),
      getVmCount: () => this.#peers.size,
      signal: this.#stop.signal,
    });
    this.#forwarder = new RequestForwarder({
      key: settings.peerKey,
      links: this.#links,
      findAddress: (id) => this.#peers.findAddress(id),
      log,
      now: monotonicNow,
    });
    this.#client = new ServerClient({
      dialect: adapters.servers,
      now: monotonicNow,
      serverLimits: this.#serverLimits,
      notices: this.#notices,
      links: this.#links,
    });
    this.#peers = this.#createPeers();
    this.#quotas = new WorkspaceQuotas({
      settings,
      peers: this.#peers,
      limits: this.#limits,
      log,
    });
    this.#balancing = new PlainBalancing({
      settings,
      log,
      directory: this.#directory,
      peers: this.#peers,
    });
    this.#members = new MemberRegistry({
      api: adapters.objects,
      prefix: MEMBER_PREFIX,
      self: vm,
      log,
      onChange: (vms) => this.#onMembers(vms),
    });
    this.#crashes = new CrashRegistry({
      log,
      publish: (service, record) =>
        this.#peers.mesh.broadcast(
          "crashes.push",
          [service, ...encodeCrashRecord(record)],
        ),
      isOwner: (service) => this.#isDispatcherOf(service),
      onChange: (service) => {
        this.#host.find(service)?.refuseBlocked();
        this.#serviceRecords.writeMissing();
      },
    });
    this.#crashReporter = new CrashReporter({
      crashes: this.#crashes,
      links: this.#links,
      now: monotonicNow,
    });
    this.#trials = new CrashTrials({
      crashes: this.#crashes,
      listServers: (service) => this.#directory.list(service),
      isOwner: (service) => this.#isDispatcherOf(service),
      askOwner: (req) => this.#askForTrial(req),
    });
    this.#streams = new StreamRegistry({
      isOwner: (service) => this.#isDispatcherOf(service),
      publish: (params, receiver) => {
        const { mesh } = this.#peers;
        if (receiver === undefined) mesh.broadcast("streams.begun", params);
        else mesh.notify(receiver, "streams.begun", params);
      },
      refresh: () => this.#objects.refreshServers(),
      restore: (service) => this.#begunStreams.restore(service),
      onVersions: () => this.#serviceRecords.writeMissing(),
    });
    this.#begunStreams = new BegunStreamStore({
      api: adapters.objects,
      streams: this.#streams,
      isOwner: (service) => this.#isDispatcherOf(service),
      refreshServers: () => this.#objects.refreshServers(),
      log,
      signal: this.#stop.signal,
    });
    this.#serviceRecords = new ServiceRecordStore({
      api: adapters.objects,
      kinds: [
        new CrashRecords(this.#crashes),
        new VersionRecords(this.#streams),
      ],
      log,
      isOwner: (service) => this.#isDispatcherOf(service),
      signal: this.#stop.signal,
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
    this.#memory = new MemoryBudget({ ...vm, ...settings.limits });
    this.#front = this.#createFront();
    this.#readyListener = createReadyListener(
      listen.ready,
      () => this.isReady,
    );
    this.#metricsListener = listen.metrics === undefined
      ? undefined
      : createMetricsListener(listen.metrics, log);
  }

  /**
   * Starts the listeners and all background tasks; resolves with the bound ports. Waits
   * while a port is in use, for `startup.bindTimeoutMs`, and then throws `BindError`; also
   * if the gateway is closed meanwhile.
   */
  async start(): Promise<GatewayPorts> {
    this.#peers.limitHeads(this.#front.unreadHeads);
    this.#peers.serve({
      ...createDispatchHandlers({
        membership: this.#peers.membership,
        host: this.#host,
        calls: this.#calls,
      }),
      ...this.#balancing.handlers,
      "limits.take": ([service, serverId, requestsPerSecond]) =>
        this.#limitKeeper.take({ service, serverId, requestsPerSecond }),
      "crashes.push": ([service, ...record]) => {
        this.#crashes.merge(service, decodeCrashRecord(record));
        return null;
      },
      "crashes.try": ([service, parts]) =>
        this.#trials.start({ service, parts: decodeHashes(parts) }),
      "streams.begun": (params) => {
        this.#streams.receive(params);
        return null;
      },
      "quota.take": (params) => this.#quotas.take(params),
      "objects.pull": ([cursors]) => this.#objects.listSince(cursors),
      "objects.confirm": () => this.#objects.confirm(),
    });
    const ports = await this.#bind();
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
    void this.#begunStreams.run();
    void this.#runClockLoop(signal);
    void this.#runGrantReportLoop(signal);
    void runRetryTokenLoop({
      getVmCount: () => this.#peers.size,
      limits: this.#limits,
      host: this.#host,
      dispatch: this.#dispatch,
      findService: (name) => this.#activeConfig?.config.services.get(name),
      log: this.#log,
      signal,
    });
    void runMemoryGauges({
      log: this.#log,
      memory: this.#memory,
      signal,
    });
    if (this.#settings.orders.enabled) void this.#runRoleLoop(signal);
    return ports;
  }

  async #bind(): Promise<GatewayPorts> {
    const metrics = this.#metricsListener;
    const ports = await bindAll({
      peer: this.#peers.listener,
      ready: this.#readyListener,
      ...(metrics === undefined ? {} : { metrics }),
      caller: this.#front.listener,
    }, {
      timeoutMs: this.#settings.startup.bindTimeoutMs,
      signal: this.#stop.signal,
      onFailure: (failure) => this.#log.emit("bindFailed", { ...failure }),
      onAcceptError: (listener, reason) =>
        this.#log.emit("unexpectedError", { listener, reason }),
    });
    return { metrics: undefined, ...ports };
  }

  /** Whether the balancer may send callers to this VM. */
  get isReady(): boolean {
    return this.#peers.isReady;
  }

  /** Whether this VM is listed as a member, so that it has a part in the shared limits. */
  get isListed(): boolean {
    return this.#limits.isListed;
  }

  /**
   * Applies the sections that may change at run time: log, limits, retry budget and
   * shutdown. Returns the names of the other sections that differ; they need a restart.
   */
  reload(settings: GatewaySettings): string[] {
    const before = this.#settings;
    this.#settings = { ...before, ...pickReloadable(settings) };
    this.#limits.configure({ retryBudget: toRetryBudget(settings) });
    this.#front.setLimits(this.#getFrontLimits());
    this.#memory.limitBodies(settings.limits.heldBodyBytes);
    this.#reloadCount++;
    this.#syncDispatchers();
    return listSectionsNeedingRestart(before, settings);
  }

  /** Drains: finishes requests in flight within the grace time, then closes. */
  stop(who: string): Promise<void> {
    this.#stopping ??= this.#runStop(who);
    return this.#stopping;
  }

  /** Closes everything at once, aborting requests in flight. */
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
    const schedule = new StopSchedule({ graceMs: graceSeconds * MS_PER_S });
    this.#log.emit("drainStarted", { who, inFlight: this.#front.inFlight });
    membership.announceLeaving();
    this.#front.closeConnectionsAfterResponses();
    mesh.sendHeartbeatsNow();
    await schedule.waitUntil(() => LEAVE_NOTICE_MS);
    membership.setSelfState(MemberState.Leaving);
    this.#limits.stopAccruing();
    void this.#members.leave();
    await schedule.waitUntil(() => LEAVE_NOTICE_MS + balancerLagMs);
    await this.#front.stopAccepting();
    await schedule.waitUntil(() => schedule.cutAtMs, this.#front.whenIdle());
    if (this.#front.inFlight > 0) {
      this.#log.emit("drainCut", {
        ms: Math.round(schedule.elapsedMs),
        lateMs: Math.round(schedule.lateMs),
        ...this.#front.countStages(),
      });
      await this.#front.endUnanswered();
    }
    const getCloseAtMs = () => schedule.closeAtMs;
    await schedule.waitUntil(getCloseAtMs, this.#front.whenIdle());
    await schedule.waitUntil(getCloseAtMs, this.#front.endConnections());
    const left = this.#front.countStages();
    await this.close();
    this.#log.emit("drainFinished", {
      who,
      ms: Math.round(schedule.elapsedMs),
      lateMs: Math.round(schedule.lateMs),
      ...left,
    });
  }

  async #runClockLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#checkClock();
      const dueAt = monotonicNow() + CLOCK_CHECK_INTERVAL_MS;
      await sleep(CLOCK_CHECK_INTERVAL_MS, signal);
      this.#log.timing("timer_late", monotonicNow() - dueAt);
    }
  }

  /**
   * Steps down from the lease after a clock jump: the monotonic clock does not count a
   * suspension, so the lease may have expired without this VM noticing.
   */
  #checkClock(): void {
    const jumpMs = Math.round(this.#clockJumps.detectJumpMs());
    if (jumpMs === 0) return;
    this.#lease.stepDown();
    this.#quotas.onClockJump(jumpMs);
    this.#log.emit("clockJumped", { jumpMs });
  }

  /** Reports the grants of running calls, and declares silent members dead. */
  async #runGrantReportLoop(signal: AbortSignal): Promise<void> {
    let hadCalls = false;
    while (!signal.aborted) {
      await sleep(GRANT_REPORT_INTERVAL_MS * (0.5 + Math.random()), signal);
      this.#peers.declareSilentDead();
      const hasCalls = this.#calls.size > 0;
      // One more report after the last call has ended, since its release may have been lost.
      if (hasCalls || hadCalls) {
        const services = this.#activeConfig?.config.services.keys() ?? [];
        await this.#dispatch.reportGrants(services);
      }
      hadCalls = hasCalls;
    }
  }

  /** Reconciles the roles of the servers whose dispatcher runs on this VM. */
  async #runRoleLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(ROLE_CHECK_INTERVAL_MS * (0.5 + Math.random()), signal);
      for (const { service: { name } } of this.#host.hosted) {
        const engine = this.#activeConfig?.config.services.get(name)?.engine;
        const servers = this.#directory.list(name);
        const unchangedMs = this.#directory.getUnchangedMs(name);
        if (engine === undefined || unchangedMs < MIN_UNCHANGED_MS) continue;
        const dispatcher = this.#host.find(name);
        await this.#steward.reconcileRoles({
          name,
          engine,
          servers,
          observed: dispatcher?.observedLoad,
          hasServed: dispatcher?.hasServed ?? false,
          hasQueue: (dispatcher?.queued ?? 0) > 0,
        });
      }
    }
  }

  #becomeReadyOnceLoaded(): void {
    const { membership, mesh } = this.#peers;
    if (membership.selfState !== MemberState.Joining) return;
    if (this.#activeConfig === undefined) return;
    if (!this.#objects.isLoaded) return;
    membership.setSelfState(MemberState.Ready);
    mesh.sendHeartbeatsNow();
    this.#log.emit("daemonReady", {
      version: this.#activeConfig.config.version,
      servers: this.#directory.size,
    });
  }

  #onConfig(config: GatewayConfig): void {
    this.#activeConfig = activateConfig(config, monotonicNow());
    this.#limits.setServices(config.services.keys());
    this.#front.applyConfig(config);
    this.#quotas.applyConfig(config);
    this.#syncDispatchers();
  }

  #onServers(): void {
    const isKnown = (id: string) => this.#directory.find(id) !== undefined;
    this.#balancing.retain(isKnown);
    this.#serverLimits.retain((id) => this.#directory.find(id));
    this.#setStreamServers();
    this.#syncDispatchers();
  }

  /** Sets the servers that write the streams of each service. */
  #setStreamServers(): void {
    const byService = new Map<string, ServerEntry[]>();
    for (const service of this.#streams.services) byService.set(service, []);
    for (const server of this.#directory.entries) {
      if (server.role !== ServerRole.Decode) continue;
      const servers = byService.get(server.service) ?? [];
      servers.push(server);
      byService.set(server.service, servers);
    }
    for (const [service, servers] of byService) {
      this.#streams.setServers(service, servers);
    }
  }

  #onMembers(vms: readonly VmListEntry[]): void {
    this.#peers.setVms(vms);
    this.#setLimitShare(vms);
    this.#syncDispatchers();
  }

  #setLimitShare(vms: readonly VmListEntry[]): void {
    const before = this.#limits.vmCount;
    const { size } = this.#peers;
    const isListed = vms.some(({ id }) => id === this.#settings.vm.id);
    this.#limits.setVmCount(size, { isListed });
    if (before === size) return;
    this.#log.emit("limitShareChanged", { before, vms: size, isListed });
  }

  /** Updates the dispatchers after a change of servers, configuration or members. */
  #syncDispatchers(): void {
    this.#becomeReadyOnceLoaded();
    this.#quotas.sync();
    const { prefillTokensPerMs } = this.#settings.orders.expected;
    const dispatched = listDispatchedServices(this.#activeConfig?.config, {
      directory: this.#directory,
      isSwitching: (id) => this.#steward.isSwitching(id),
      localRevision: this.#roleChangeCount + this.#reloadCount,
      prefillTokensPerMs,
    });
    this.#host.sync(dispatched);
    this.#limitKeeper.sync();
    this.#crashes.judgeAll();
    this.#serviceRecords.writeMissing();
    // Before the grants, since a dispatcher that knows them begins to grant.
    this.#serverLimits.reportToNewKeepers();
    this.#dispatch.onMembershipChange(dispatched.keys());
  }

  #serve(
    req: GatewayRequest,
    callerResponse: CallerResponse,
  ): Promise<CallOutcome> {
    const { service, prompt } = req;
    const { vm } = this.#settings;
    if (req.isForwarded && this.#links.areLost(service.name)) {
      callerResponse.decline();
      const reason = "this VM reaches no server either";
      return Promise.resolve({ status: 503, reason, servers: [] });
    }
    if (this.#forwarder.shouldForward(req)) {
      return this.#forwarder.forward(req, callerResponse);
    }
    const shared = {
      directory: this.#directory,
      notices: this.#notices,
      client: this.#client,
      log: this.#log,
      now: monotonicNow,
      crashes: this.#crashes,
      crashReporter: this.#crashReporter,
      trials: this.#trials,
      links: this.#links,
      forwarder: this.#forwarder,
    };
    const { engine } = service;
    if (engine === undefined || prompt === undefined) {
      const env = {
        ...shared,
        balancing: this.#balancing,
        limits: this.#limits,
        serverLimits: this.#serverLimits,
      };
      return new PlainCall(env, req, callerResponse).run();
    }
    const env = {
      ...shared,
      vmId: vm.id,
      availabilityZone: vm.availabilityZone,
      dialect: this.#adapters.servers,
      dispatch: this.#dispatch,
      calls: this.#calls,
      streams: this.#streams,
      retryAllowance: this.#limits.getRetryAllowance(service.name),
    };
    return new StagedCall(env, req, { prompt, engine, callerResponse }).run();
  }

  /** Asks the VM that keeps the limits of a service's servers for one request. */
  async #requestPermit(req: PermitRequest): Promise<number> {
    const { service, serverId, requestsPerSecond } = req;
    const owner = this.#dispatch.getOwner(service);
    if (owner === this.#settings.vm.id) return this.#limitKeeper.take(req);
    if (owner === undefined) return NO_OWNER_WAIT_MS;
    return await this.#peers.mesh.call(owner, "limits.take", {
      params: [service, serverId, requestsPerSecond],
      timeoutMs: PERMIT_TIMEOUT_MS,
    });
  }

  async #askForTrial(
    { service, parts }: TrialRequest,
  ): Promise<boolean> {
    const owner = this.#dispatch.getOwner(service);
    if (owner === undefined) return false;
    try {
      return await this.#peers.mesh.call(owner, "crashes.try", {
        params: [service, encodeHashes(parts)],
        timeoutMs: TRIAL_TIMEOUT_MS,
      });
    } catch {
      // A trial may have been counted; the request stays blocked for its caller.
      return false;
    }
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
      onConnected: (id) => {
        this.#sendCrashRecords(id);
        this.#streams.publishAllTo(id);
        this.#serverLimits.onConnected(id);
      },
      onChange: () => this.#syncDispatchers(),
      onHubsChange: () => this.#objects.onHubsChange(),
      findServer: (id) => this.#directory.find(id),
      listObjects: (cursors) => this.#objects.listSince(cursors),
      serveForwarded: (req, res, traits) =>
        this.#front.handleForwarded(req, res, traits),
    });
  }

  /** Whether this VM has the dispatcher role of a service, by its own view. */
  #isDispatcherOf(service: string): boolean {
    return this.#dispatch.getOwner(service) === this.#settings.vm.id;
  }

  /** Tells a VM what this one knows of crashing prompts. */
  #sendCrashRecords(vmId: string): void {
    for (const service of this.#crashes.services) {
      const evidence = this.#crashes.get(service);
      if (!evidence.isMissingFrom(EMPTY_CRASH_RECORD)) continue;
      this.#peers.mesh.notify(
        vmId,
        "crashes.push",
        [service, ...encodeCrashRecord(evidence.export())],
      );
    }
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
      crashes: this.#crashes,
      streams: this.#streams,
      pickSpilloverVm: () => undefined,
      isOwner: (service) =>
        membership.getOwner(getDispatcherRole(service)) === vm.id,
      // The directory lists only servers that take work.
      isLeaving: () => false,
      // Nothing to send: a server cancels a run when the connection of its VM closes.
      cancelGrant: (_service, { requestId, decode, owner }) =>
        this.#log.emit("grantDropped", { requestId, server: decode, owner }),
      onRoleTaken: (service) => {
        this.#crashes.judge(service);
        this.#begunStreams.onRoleTaken(service);
      },
      onRoleHandedOver: (service, retryTokens) =>
        this.#dispatch.passRetryTokens(service, retryTokens),
    });
  }

  #createSteward(): RoleSteward {
    return new RoleSteward({
      vmId: this.#settings.vm.id,
      lease: this.#lease,
      leaseMs: this.#settings.orders.leaseMs,
      checkClock: () => this.#checkClock(),
      client: this.#client,
      dialect: this.#adapters.servers,
      log: this.#log,
      now: monotonicNow,
      expected: this.#settings.orders.expected,
      onChange: () => {
        this.#roleChangeCount++;
        this.#syncDispatchers();
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
      serviceRecords: this.#serviceRecords,
      peers: this.#peers,
      onServersCurrent: (ageMs) => this.#streams.confirmServers(ageMs),
      onServiceRecords: () => this.#syncDispatchers(),
      log,
      signal: this.#stop.signal,
    });
  }

  /** Limits on callers' requests, so that each in flight can reach a server. */
  #getFrontLimits(): DescriptorLimits {
    const { vm, limits } = this.#settings;
    return divideDescriptors({ ...vm, ...limits });
  }

  #createFront(): CallerFront {
    const { listen } = this.#settings;
    const limits = this.#getFrontLimits();
    return new CallerFront({
      ...listen.caller,
      maxConnections: limits.callerConnections,
      dialect: this.#adapters.callers,
      log: this.#log,
      now: monotonicNow,
      limits,
      memory: this.#memory,
      getConfig: () => this.#activeConfig,
      serve: (...call) =>
        this.#quotas.charge(...call, () => this.#serve(...call)),
    });
  }
}
