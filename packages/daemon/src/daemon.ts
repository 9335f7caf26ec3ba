/**
 * The daemon of one entry VM: creates its components, starts them and shuts them down in
 * order.
 * @module
 */
import * as fs from "node:fs";
import process from "node:process";
import { CallerServer } from "@bitternfall/caller";
import {
  bindAll,
  HttpClient,
  Listener,
  type TlsReloadListener,
} from "@bitternfall/connection";
import {
  type PolicyName,
  type PoolPressure,
  RetryBudget,
} from "@bitternfall/dispatch";
import {
  DispatchClient,
  type DispatchedService,
  DispatchHost,
  getDispatcherRole,
  RunningCalls,
} from "@bitternfall/dispatch-host";
import { getMessage } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import { Journal } from "@bitternfall/journal";
import { Lease } from "@bitternfall/lease";
import { Membership } from "@bitternfall/membership";
import { OperatorServer } from "@bitternfall/operator";
import {
  type Heartbeat,
  PeerMesh,
  PeerServer,
  type Traffic,
} from "@bitternfall/peer";
import {
  ObjectStore,
  VmListClient,
  WeightStoreClient,
} from "@bitternfall/platform";
import type { ModelService, Snapshot } from "@bitternfall/records";
import type { Settings } from "@bitternfall/settings";
import {
  MemberState,
  monotonicNow,
  sleep,
  type VmListEntry,
  withTimeout,
} from "@bitternfall/types";
import { CallerHandlers } from "./caller_handlers.ts";
import { Canceller } from "./canceller.ts";
import { CellForwarder } from "./cell_forwarder.ts";
import { CellNeighbours } from "./cell_neighbours.ts";
import { CellPlan } from "./cell_plan.ts";
import { EngineProbe, toDispatchedService } from "./engine_probe.ts";
import { getJournalRole, KeyedCalls } from "./keyed_calls.ts";
import { KeyedModelCalls } from "./keyed_model_calls.ts";
import { OperatorHandlers } from "./operator_handlers.ts";
import { EngineReconciler } from "./engine_reconciler.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import { createPeerHttp, PEER_HEADER } from "./peer_http.ts";
import { PoolBalancer } from "./pool_balancer.ts";
import { RecordReplica } from "./record_replica.ts";
import { RecordSync } from "./record_sync.ts";
import { RecordWriter } from "./record_writer.ts";
import { ServicePool } from "./service_pool.ts";
import { type RoutedCaller, ServiceRouter } from "./service_router.ts";
import { Steward } from "./steward.ts";
import { Upstreams } from "./upstreams.ts";

/** Ports that a daemon listens on. */
export interface BoundPorts {
  readonly caller: number;
  readonly peer: number;
  readonly operator: number;
}

const STEWARD_ROLE = "steward";
/** Time for peers to learn that this VM is leaving, before it gives up its roles. */
const LEAVING_NOTICE_MS = 150;
/** How long a shutdown waits for callers to read their last responses. */
const LAST_RESPONSES_TIMEOUT_MS = 500;
/** How long a shutdown waits for pending cancels and journal settlements. */
const SETTLEMENT_TIMEOUT_MS = 3000;

/** Runs one entry VM (`bitternfalld`). */
export class Daemon {
  readonly #settings: Settings;
  readonly #log: EventLog;
  readonly #incarnation = Date.now();
  readonly #startedAt = monotonicNow();
  readonly #stopController = new AbortController();
  readonly #traffic: Traffic = { sent: 0, received: 0, messages: 0 };
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #runningCalls = new RunningCalls();
  readonly #upstreams = new Upstreams();
  readonly #dispatchedServices = new Map<
    string,
    DispatchedService & { readonly record: ModelService }
  >();
  readonly #cellClients = new Map<string, HttpClient>();
  readonly #cellPlan: CellPlan;
  readonly #cellNeighbours: CellNeighbours;
  readonly #cellForwarder: CellForwarder;
  readonly #canceller: Canceller;
  readonly #store: ObjectStore;
  readonly #vmList: VmListClient;
  readonly #weights: WeightStoreClient | undefined;
  readonly #replica: RecordReplica;
  readonly #membership: Membership;
  readonly #mesh: PeerMesh;
  readonly #recordSync: RecordSync;
  readonly #recordWriter: RecordWriter;
  readonly #engineProbe: EngineProbe;
  readonly #dispatchHost: DispatchHost;
  readonly #dispatchClient: DispatchClient;
  readonly #journal: Journal;
  readonly #keyedCalls: KeyedCalls;
  readonly #keyedModelCalls: KeyedModelCalls;
  readonly #servicePool: ServicePool;
  readonly #stewardLease: Lease;
  readonly #steward: Steward;
  readonly #callerServer: CallerServer<RoutedCaller>;
  readonly #operatorServer: OperatorServer;
  readonly #peerListener: Listener;
  readonly #peerServer: PeerServer;
  #drainPromise: Promise<void> | undefined;
  #cutDrain: (() => void) | undefined;

  constructor(settings: Settings, log: EventLog) {
    this.#settings = settings;
    this.#log = log;
    const { platform, vm, journal } = settings;
    this.#canceller = new Canceller(log);
    this.#cellPlan = new CellPlan(vm.cell);
    const { objectApi: address, prefix, callTimeoutMs: timeoutMs } = platform;
    this.#store = new ObjectStore({ address, prefix, timeoutMs });
    this.#vmList = new VmListClient(platform.vmList);
    this.#weights = platform.weightStore === undefined
      ? undefined
      : new WeightStoreClient(platform.weightStore);
    this.#replica = new RecordReplica({
      log,
      onChange: (snapshot) => this.#onSnapshot(snapshot),
    });
    this.#membership = this.#createMembership();
    this.#mesh = this.#createMesh();
    this.#recordSync = new RecordSync({
      vmId: vm.id,
      replica: this.#replica,
      store: this.#store,
      mesh: this.#mesh,
    });
    this.#recordWriter = new RecordWriter({
      log,
      store: this.#store,
      sync: this.#recordSync,
    });
    this.#engineProbe = this.#createProbe();
    this.#dispatchHost = this.#createHost();
    const peerHeaders = { [PEER_HEADER]: `Bearer ${settings.peerKey}` };
    const getClient = (address: string) => this.#getCellClient(address);
    this.#cellForwarder = new CellForwarder({
      getClient,
      peerHeaders,
    });
    this.#cellNeighbours = new CellNeighbours({
      vmId: vm.id,
      plan: this.#cellPlan,
      host: this.#dispatchHost,
      membership: this.#membership,
      mesh: this.#mesh,
      getClient,
      peerHeaders,
    });
    this.#dispatchClient = new DispatchClient({
      vmId: vm.id,
      membership: this.#membership,
      mesh: this.#mesh,
      host: this.#dispatchHost,
      calls: this.#runningCalls,
    });
    this.#journal = this.#createJournal();
    this.#keyedCalls = new KeyedCalls({
      vmId: vm.id,
      incarnation: this.#incarnation,
      journal: this.#journal,
      membership: this.#membership,
      mesh: this.#mesh,
      claimTimeoutMs: 2 * journal.appendTimeoutMs + platform.callTimeoutMs,
    });
    this.#keyedModelCalls = new KeyedModelCalls({
      vmId: vm.id,
      membership: this.#membership,
      mesh: this.#mesh,
    });
    this.#servicePool = new ServicePool({
      availabilityZone: vm.availabilityZone,
      upstreams: this.#upstreams,
    });
    this.#stewardLease = this.#createLease();
    this.#steward = this.#createSteward();
    this.#callerServer = this.#createCallerServer();
    this.#operatorServer = this.#createOperatorServer();
    this.#peerListener = new Listener(
      {
        ...settings.listen.peer,
        tls: getServerTls(settings),
        ...this.#logTlsReloads("peer"),
      },
      createPeerHttp({
        key: settings.peerKey,
        getSummary: (service) => this.#cellNeighbours.getOwnSummary(service),
        serveForwarded: (req, res) =>
          this.#callerServer.serveForwarded(req, res),
      }),
    );
    this.#peerServer = this.#createPeerServer();
  }

  /**
   * Starts the listeners and all background tasks; resolves once the listeners are bound.
   * Waits while a port is in use, for `startup.bindTimeoutMs`, and then throws `BindError`;
   * also if the daemon is closed meanwhile.
   */
  async start(): Promise<BoundPorts> {
    const ports: BoundPorts = await bindAll({
      peer: this.#peerListener,
      operator: this.#operatorServer.listener,
      caller: this.#callerServer.listener,
    }, {
      timeoutMs: this.#settings.startup.bindTimeoutMs,
      signal: this.#stopController.signal,
      onFailure: (failure) => this.#log.emit("bindFailed", { ...failure }),
      onAcceptError: (listener, reason) =>
        this.#log.emit("unexpectedError", { listener, reason }),
    });
    const { id, availabilityZone, cell } = this.#settings.vm;
    this.#log.emit("daemonStarted", {
      vm: id,
      availabilityZone,
      cell,
      ...ports,
    });
    const { signal } = this.#stopController;
    void this.#steward.run(signal);
    void this.#dispatchHost.run();
    void this.#engineProbe.run(signal);
    void this.#cellNeighbours.run(signal);
    void this.#servicePool.run({
      listServices: () => this.#replica.snapshot.plainServices.values(),
      signal,
    });
    void this.#becomeReady();
    return ports;
  }

  /**
   * Waits for the requests in flight, then stops. A second call cuts this wait short, and the
   * remaining requests are closed.
   */
  drain(who: string): Promise<void> {
    if (this.#drainPromise !== undefined) this.#cutDrain?.();
    this.#drainPromise ??= this.#runDrain(who);
    return this.#drainPromise;
  }

  async #becomeReady(): Promise<void> {
    await this.#recordSync.load(this.#stopController.signal);
    if (this.#membership.selfState !== MemberState.Joining) return;
    this.#membership.setSelfState(MemberState.Ready);
    this.#mesh.sendHeartbeatsNow();
    this.#log.emit("daemonReady", { revision: this.#replica.revision });
  }

  async #runDrain(who: string): Promise<void> {
    const { balancerLagMs, graceMs } = this.#settings.shutdown;
    this.#log.emit("drainStarted", { who });
    const cut = new Promise<"cut">((resolve) =>
      this.#cutDrain = () => resolve("cut")
    );
    this.#membership.announceLeaving();
    this.#mesh.sendHeartbeatsNow();
    await sleep(LEAVING_NOTICE_MS);
    this.#membership.setSelfState(MemberState.Leaving);
    await Promise.race([sleep(balancerLagMs), cut]);
    await this.#callerServer.stopAccepting();
    const idle = this.#callerServer.whenIdle().then(() => "idle" as const);
    const endedBy = await withTimeout(Promise.race([idle, cut]), {
      ms: graceMs,
      fallback: "cut" as const,
    });
    if (endedBy === "cut") {
      this.#log.emit("drainCut", { inFlight: this.#callerServer.inFlight });
      this.#callerServer.endUnanswered();
    }
    await this.#awaitCancelsAndSettlements();
    await withTimeout(this.#callerServer.endConnections(), {
      ms: LAST_RESPONSES_TIMEOUT_MS,
      fallback: undefined,
    });
    await this.close();
    this.#log.emit("drainFinished", { who });
  }

  /** Waits, for a bounded time, for cancels and settlements that no request waits for. */
  async #awaitCancelsAndSettlements(): Promise<void> {
    const deadline = monotonicNow() + SETTLEMENT_TIMEOUT_MS;
    await withTimeout(this.#canceller.whenIdle(), {
      ms: SETTLEMENT_TIMEOUT_MS,
      fallback: undefined,
    });
    while (this.#keyedCalls.unsettled > 0 && monotonicNow() < deadline) {
      await sleep(20);
    }
  }

  /** Closes everything at once. */
  async close(): Promise<void> {
    this.#stopController.abort();
    await withTimeout(this.#stewardLease.release(), {
      ms: 500,
      fallback: undefined,
    });
    this.#dispatchHost.close();
    this.#mesh.close();
    this.#peerServer.close();
    await Promise.all([
      this.#callerServer.close(),
      this.#operatorServer.close(),
      this.#peerListener.close(),
    ]);
    for (const client of this.#cellClients.values()) {
      await client.close();
    }
    await Promise.all([
      this.#store.close(),
      this.#vmList.close(),
      this.#weights?.close(),
      this.#upstreams.close(),
    ]);
  }

  #onSnapshot(snapshot: Snapshot): void {
    this.#upstreams.setSnapshot(snapshot);
    this.#onRolesChanged();
  }

  #onRolesChanged(): void {
    const { snapshot } = this.#replica;
    this.#dispatchHost.sync(this.#updateDispatchedServices(snapshot));
    this.#dispatchClient.onMembershipChange(snapshot.modelServices.keys());
    const { id } = this.#settings.vm;
    this.#journal.retain((shard) =>
      this.#membership.getOwner(getJournalRole(shard)) === id
    );
  }

  #onVmList(vms: readonly VmListEntry[]): void {
    this.#membership.setCandidates(vms);
    this.#mesh.setPeers(this.#membership.members);
    const leaving = vms.filter((vm) =>
      vm.kind === "upstream" && vm.state === "leaving"
    );
    this.#upstreams.setLeaving(leaving.map((vm) => vm.id));
    if (this.#cellPlan.setVmList(vms)) this.#dispatchedServices.clear();
    this.#dispatchHost.sync(
      this.#updateDispatchedServices(this.#replica.snapshot),
    );
  }

  #getHeartbeat(): Heartbeat {
    const { id } = this.#settings.vm;
    return [
      id,
      this.#incarnation,
      this.#membership.announcedState,
      this.#replica.revision,
    ];
  }

  #getCellClient(address: string): HttpClient {
    let client = this.#cellClients.get(address);
    if (client === undefined) {
      const caFile = this.#settings.tls.peer?.caFile;
      const ca = caFile === undefined
        ? undefined
        : fs.readFileSync(caFile, "utf8");
      const scheme = ca === undefined ? "http" : "https";
      client = new HttpClient(`${scheme}://${address}`, { ca });
      this.#cellClients.set(address, client);
    }
    return client;
  }

  #getRetryBudget(service: string): RetryBudget {
    let retryBudget = this.#retryBudgets.get(service);
    if (retryBudget === undefined) {
      retryBudget = new RetryBudget();
      this.#retryBudgets.set(service, retryBudget);
    }
    return retryBudget;
  }

  #createMembership(): Membership {
    const { vm, membership } = this.#settings;
    return new Membership({
      selfId: vm.id,
      cell: vm.cell,
      incarnation: this.#incarnation,
      heartbeatMs: membership.heartbeatMs,
      askWitness: (witness, suspect) => this.#mesh.askWitness(witness, suspect),
      listener: {
        onAlive: (member) =>
          this.#log.emit("peerUp", {
            peer: member.id,
            incarnation: member.incarnation,
          }),
        onDead: (member, reason) => {
          this.#log.emit("peerDead", { peer: member.id, reason });
          this.#dispatchHost.onOwnerDead(member.id);
          void this.#engineProbe.pollNow();
        },
        onChange: () => this.#onRolesChanged(),
      },
    });
  }

  #createMesh(): PeerMesh {
    const { membership, peerKey, tls } = this.#settings;
    const caFile = tls.peer?.caFile;
    return new PeerMesh({
      key: peerKey,
      readCa: caFile === undefined
        ? undefined
        : () => fs.readFileSync(caFile, "utf8"),
      heartbeatMs: membership.heartbeatMs,
      heartbeatTimeoutMs: membership.heartbeatTimeoutMs,
      getHeartbeat: () => this.#getHeartbeat(),
      traffic: this.#traffic,
      createListener: (peer) => ({
        onHeartbeat: ([id, incarnation, state, revision]) => {
          this.#membership.onHeartbeat({ id, incarnation, state, revision });
          this.#recordSync.onPeerRevision(id, revision);
        },
        onSuspect: (reason) =>
          this.#log.emit("peerSuspected", { peer, reason }),
        onUnreachable: (reason) =>
          void this.#membership.onUnreachable(peer, reason),
      }),
    });
  }

  #createProbe(): EngineProbe {
    return new EngineProbe({
      vmId: this.#settings.vm.id,
      log: this.#log,
      membership: this.#membership,
      mesh: this.#mesh,
      upstreams: this.#upstreams,
      canceller: this.#canceller,
      calls: this.#runningCalls,
      getDispatchHost: () => this.#dispatchHost,
    });
  }

  #createHost(): DispatchHost {
    const { vm, dispatch } = this.#settings;
    return new DispatchHost({
      vmId: vm.id,
      policy: dispatch.policy as PolicyName,
      log: this.#log,
      mesh: this.#mesh,
      calls: this.#runningCalls,
      pickSpilloverVm: (service) =>
        this.#cellNeighbours.pickSpilloverVm(service),
      isOwner: (service) =>
        this.#membership.getOwner(getDispatcherRole(service)) === vm.id,
      isLeaving: (server) => this.#upstreams.isLeaving(server),
      cancelGrant: (_service, grant) => this.#engineProbe.cancelGrant(grant),
      onRoleTaken: () => void this.#engineProbe.pollNow(),
      // Its retry budgets bound each VM by itself.
      onRoleHandedOver: () => {},
    });
  }

  /** Updates and returns the model services, each with the servers of this VM's cell. */
  #updateDispatchedServices(
    snapshot: Snapshot,
  ): Map<string, DispatchedService> {
    const { modelServices } = snapshot;
    for (const name of this.#dispatchedServices.keys()) {
      if (!modelServices.has(name)) this.#dispatchedServices.delete(name);
    }
    for (const [name, service] of modelServices) {
      if (this.#dispatchedServices.get(name)?.record === service) continue;
      const servers = service.servers.filter((server) =>
        this.#cellPlan.owns(server)
      );
      const dispatched = toDispatchedService(service, servers);
      // A change of the cell plan changes the servers of an unchanged record, so each result
      // gets a new configuration id.
      this.#dispatchedServices.set(name, {
        ...dispatched,
        configId: Symbol(name),
        record: service,
      });
    }
    return this.#dispatchedServices;
  }

  #createJournal(): Journal {
    const { vm, journal } = this.#settings;
    return new Journal({
      store: this.#store,
      ...journal,
      vm: vm.id,
      isAlive: (id, incarnation) => this.#membership.isAlive(id, incarnation),
      probe: async (id, { claimId, incarnation }) => {
        if (id === vm.id) return this.#keyedCalls.probe(claimId, incarnation);
        try {
          return await this.#mesh.call(id, "journal.probe", {
            params: [claimId, incarnation],
          });
        } catch {
          return undefined;
        }
      },
      onTakenOver: (shard, keys) =>
        this.#log.emit("journalTakenOver", { shard, keys }),
      onLost: (shard) => this.#log.emit("journalLost", { shard }),
    });
  }

  #createLease(): Lease {
    const { vm, steward } = this.#settings;
    const key = `leases/${vm.cell}/steward`;
    const { leaseMs } = steward;
    return new Lease({
      store: this.#store,
      key,
      vm: vm.id,
      incarnation: this.#incarnation,
      leaseMs,
    });
  }

  #createSteward(): Steward {
    const { vm, steward, platform, membership } = this.#settings;
    const reconciler = new EngineReconciler({
      lease: this.#stewardLease,
      ...steward,
      upstreams: this.#upstreams,
      weights: this.#weights,
      log: this.#log,
      getSnapshot: () => this.#replica.snapshot,
      plan: this.#cellPlan,
    });
    return new Steward({
      log: this.#log,
      store: this.#store,
      vmList: this.#vmList,
      mesh: this.#mesh,
      replica: this.#replica,
      sync: this.#recordSync,
      lease: this.#stewardLease,
      reconciler,
      balancer: this.#createBalancer(),
      leaseMs: steward.leaseMs,
      watchWaitMs: platform.watchWaitMs,
      vmListPollMs: membership.vmListPollMs,
      isOwner: () => this.#membership.getOwner(STEWARD_ROLE) === vm.id,
      onVmList: (vms) => this.#onVmList(vms),
    });
  }

  #createBalancer(): PoolBalancer {
    const { vm } = this.#settings;
    return new PoolBalancer({
      vmId: vm.id,
      cell: vm.cell,
      log: this.#log,
      plan: this.#cellPlan,
      replica: this.#replica,
      writer: this.#recordWriter,
      getSnapshot: () => this.#replica.snapshot,
      getPressure: (service) => this.#fetchPressure(service),
    });
  }

  async #fetchPressure(service: string): Promise<PoolPressure | undefined> {
    const owner = this.#dispatchClient.getOwner(service);
    if (owner === undefined) return undefined;
    if (owner === this.#settings.vm.id) {
      return this.#dispatchHost.find(service)?.pressure;
    }
    try {
      const params: [string] = [service];
      const [prefill, decode] = await this.#mesh.call(
        owner,
        "dispatch.pressure",
        {
          params,
        },
      );
      return { prefill, decode };
    } catch {
      return undefined;
    }
  }

  #createCallerServer(): CallerServer<RoutedCaller> {
    const { vm, listen, tls, limits, journal } = this.#settings;
    const getSnapshot = () => this.#replica.snapshot;
    const getRetryBudget = (service: string) => this.#getRetryBudget(service);
    const handler = new CallerHandlers({
      availabilityZone: vm.availabilityZone,
      log: this.#log,
      getSnapshot,
      isReady: () => this.#membership.announcedState === MemberState.Ready,
      models: {
        vmId: vm.id,
        dispatch: this.#dispatchClient,
        upstreams: this.#upstreams,
        canceller: this.#canceller,
        calls: this.#runningCalls,
        log: this.#log,
        getRetryBudget,
      },
      keyedModelCalls: this.#keyedModelCalls,
      forwarder: this.#cellForwarder,
      services: new ServiceRouter({
        pool: this.#servicePool,
        upstreams: this.#upstreams,
        keyedCalls: this.#keyedCalls,
        log: this.#log,
        getSnapshot,
        getRetryBudget,
        plan: this.#cellPlan,
        forwarder: this.#cellForwarder,
        maxStoredBytes: journal.answerBytes,
      }),
    });
    return new CallerServer({
      ...listen.caller,
      tls: tls.caller,
      ...limits,
      handler,
      ...this.#logTlsReloads("caller"),
    });
  }

  #createOperatorServer(): OperatorServer {
    const { vm, listen, tls, operators } = this.#settings;
    const handler = new OperatorHandlers({
      vmId: vm.id,
      store: this.#store,
      mesh: this.#mesh,
      replica: this.#replica,
      writer: this.#recordWriter,
      getStatus: () => this.#getStatus(),
      getQueues: () => this.#dispatchHost.summarize(),
      listUpstreams: () => this.#listPlainServers(),
      startDrain: (who) => this.#startDrain(who),
    });
    return new OperatorServer({
      ...listen.operator,
      tls: tls.operator,
      operators,
      handler,
      ...this.#logTlsReloads("operator"),
    });
  }

  #logTlsReloads(listener: string): TlsReloadListener {
    return {
      onTlsReload: () => this.#log.emit("tlsReloaded", { listener }),
      onTlsRejected: (reason) =>
        this.#log.emit("tlsRejected", { listener, reason }),
    };
  }

  #createPeerServer(): PeerServer {
    const handlers = createPeerHandlers({
      getHeartbeat: () => this.#getHeartbeat(),
      membership: this.#membership,
      replica: this.#replica,
      sync: this.#recordSync,
      host: this.#dispatchHost,
      calls: this.#runningCalls,
      journal: this.#journal,
      keyedCalls: this.#keyedCalls,
      keyedModelCalls: this.#keyedModelCalls,
      onVmList: (vms) => this.#steward.onVmList(vms),
      getStatus: () => this.#getStatus(),
      startDrain: (who) => this.#startDrain(who),
    });
    return new PeerServer({
      server: this.#peerListener.server,
      key: this.#settings.peerKey,
      handlers,
      traffic: this.#traffic,
      onRefused: (reason) => this.#log.emit("peerMessageRefused", { reason }),
    });
  }

  #startDrain(who: string): void {
    this.drain(who).then(() => process.exit(0), (err) => {
      this.#log.emit("unexpectedError", { reason: getMessage(err) });
      process.exit(1);
    });
  }

  #listPlainServers(): unknown {
    return [...this.#replica.snapshot.plainServices.values()].flatMap((
      service,
    ) =>
      service.servers.map(({ id, address, availabilityZone }) => ({
        service: service.name,
        id,
        address,
        availabilityZone,
        leaving: this.#servicePool.isLeaving(id),
      }))
    );
  }

  #getStatus(): object {
    const { id, availabilityZone, cell } = this.#settings.vm;
    return {
      vm: id,
      availabilityZone,
      cell,
      state: this.#membership.announcedState,
      incarnation: this.#incarnation,
      uptimeMs: Math.round(monotonicNow() - this.#startedAt),
      revision: this.#replica.revision,
      records: this.#replica.list().map(({ version, record }) => ({
        kind: record.kind,
        name: record.name,
        version,
      })),
      dispatcherOf: this.#dispatchHost.services,
      stewardFence: this.#stewardLease.getFence() ?? null,
      inFlight: this.#callerServer.inFlight,
      modelCalls: this.#runningCalls.size,
      journalKeys: this.#journal.size,
      unsettled: this.#keyedCalls.unsettled,
      storeDown: this.#store.isDown,
      storeCalls: this.#store.calls,
      peers: this.#membership.members.map((
        { id, state, isAlive: alive, revision },
      ) => ({
        id,
        state,
        alive,
        revision,
      })),
      traffic: this.#traffic,
      memoryBytes: process.memoryUsage.rss(),
      cpuMs: Math.round(
        process.cpuUsage().user / 1000 + process.cpuUsage().system / 1000,
      ),
    };
  }
}

function getServerTls(
  settings: Settings,
): { certFile: string; keyFile: string } | undefined {
  const { peer } = settings.tls;
  return peer === undefined
    ? undefined
    : { certFile: peer.certFile, keyFile: peer.keyFile };
}
