/**
 * One entry VM: builds the parts, connects them, and shuts them down in order.
 * @module
 */
import * as fs from "node:fs";
import process from "node:process";
import { CallerServer } from "@bitternfall/caller";
import { HttpClient, Listener } from "@bitternfall/connection";
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
import { OrderKeeper } from "./order_keeper.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import { createPeerHttp, PEER_HEADER } from "./peer_http.ts";
import { PoolBalancer } from "./pool_balancer.ts";
import { RecordKeeper } from "./record_keeper.ts";
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
/** How long peers are given to learn that this VM is leaving. */
const HAND_OVER_MS = 150;
const SETTLE_WAIT_MS = 3000;

/** One `bitternfalld`. */
export class Daemon {
  readonly #settings: Settings;
  readonly #log: EventLog;
  readonly #incarnation = Date.now();
  readonly #startedAt = monotonicNow();
  readonly #stop = new AbortController();
  readonly #traffic: Traffic = { sent: 0, received: 0, messages: 0 };
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #calls = new RunningCalls();
  readonly #upstreams = new Upstreams();
  readonly #dispatched = new Map<
    string,
    DispatchedService & { readonly record: ModelService }
  >();
  readonly #cellConnections = new Map<string, HttpClient>();
  readonly #plan: CellPlan;
  readonly #neighbours: CellNeighbours;
  readonly #forwarder: CellForwarder;
  readonly #canceller: Canceller;
  readonly #store: ObjectStore;
  readonly #vmList: VmListClient;
  readonly #weights: WeightStoreClient | undefined;
  readonly #keeper: RecordKeeper;
  readonly #membership: Membership;
  readonly #mesh: PeerMesh;
  readonly #sync: RecordSync;
  readonly #writer: RecordWriter;
  readonly #probe: EngineProbe;
  readonly #host: DispatchHost;
  readonly #dispatch: DispatchClient;
  readonly #journal: Journal;
  readonly #keyed: KeyedCalls;
  readonly #keyedModelCalls: KeyedModelCalls;
  readonly #pool: ServicePool;
  readonly #lease: Lease;
  readonly #steward: Steward;
  readonly #callerServer: CallerServer<RoutedCaller>;
  readonly #operatorServer: OperatorServer;
  readonly #peerListener: Listener;
  readonly #peerServer: PeerServer;
  #draining: Promise<void> | undefined;
  #cutDrain: (() => void) | undefined;

  constructor(settings: Settings, log: EventLog) {
    this.#settings = settings;
    this.#log = log;
    const { platform, vm, journal } = settings;
    this.#canceller = new Canceller(log);
    this.#plan = new CellPlan(vm.cell);
    const { objectApi: address, prefix, callTimeoutMs: timeoutMs } = platform;
    this.#store = new ObjectStore({ address, prefix, timeoutMs });
    this.#vmList = new VmListClient(platform.vmList);
    this.#weights = platform.weightStore === undefined
      ? undefined
      : new WeightStoreClient(platform.weightStore);
    this.#keeper = new RecordKeeper({
      log,
      onChange: (snapshot) => this.#onSnapshot(snapshot),
    });
    this.#membership = this.#createMembership();
    this.#mesh = this.#createMesh();
    this.#sync = new RecordSync({
      vmId: vm.id,
      keeper: this.#keeper,
      store: this.#store,
      mesh: this.#mesh,
    });
    this.#writer = new RecordWriter({
      log,
      store: this.#store,
      sync: this.#sync,
    });
    this.#probe = this.#createProbe();
    this.#host = this.#createHost();
    const peerHeaders = { [PEER_HEADER]: `Bearer ${settings.peerKey}` };
    const connect = (address: string) => this.#connectCell(address);
    this.#forwarder = new CellForwarder({ connect, peerHeaders });
    this.#neighbours = new CellNeighbours({
      vmId: vm.id,
      plan: this.#plan,
      host: this.#host,
      membership: this.#membership,
      mesh: this.#mesh,
      connect,
      peerHeaders,
    });
    this.#dispatch = new DispatchClient({
      vmId: vm.id,
      membership: this.#membership,
      mesh: this.#mesh,
      host: this.#host,
      calls: this.#calls,
    });
    this.#journal = this.#createJournal();
    this.#keyed = new KeyedCalls({
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
    this.#pool = new ServicePool({
      availabilityZone: vm.availabilityZone,
      upstreams: this.#upstreams,
    });
    this.#lease = this.#createLease();
    this.#steward = this.#createSteward();
    this.#callerServer = this.#createCallerServer();
    this.#operatorServer = this.#createOperatorServer();
    this.#peerListener = new Listener(
      { ...settings.listen.peer, tls: getServerTls(settings) },
      createPeerHttp({
        key: settings.peerKey,
        summarize: (service) => this.#neighbours.summarize(service),
        serveForwarded: (req, res) =>
          this.#callerServer.serveForwarded(req, res),
      }),
    );
    this.#peerServer = this.#createPeerServer();
  }

  /** Listens and starts all tasks; resolves once the listeners stand. */
  async start(): Promise<BoundPorts> {
    const ports: BoundPorts = {
      caller: await this.#callerServer.listen(),
      peer: await this.#peerListener.listen(),
      operator: await this.#operatorServer.listen(),
    };
    const { id, availabilityZone, cell } = this.#settings.vm;
    this.#log.emit("daemonStarted", {
      vm: id,
      availabilityZone,
      cell,
      ...ports,
    });
    const { signal } = this.#stop;
    void this.#steward.run(signal);
    void this.#host.run();
    void this.#probe.run(signal);
    void this.#neighbours.run(signal);
    void this.#pool.run({
      listServices: () => this.#keeper.snapshot.plainServices.values(),
      signal,
    });
    void this.#becomeReady();
    return ports;
  }

  /** Finishes what is in flight, then stops. A second call ends what is left at once. */
  drain(who: string): Promise<void> {
    if (this.#draining !== undefined) this.#cutDrain?.();
    this.#draining ??= this.#runDrain(who);
    return this.#draining;
  }

  async #becomeReady(): Promise<void> {
    await this.#sync.load(this.#stop.signal);
    if (this.#membership.selfState !== MemberState.Joining) return;
    this.#membership.setSelfState(MemberState.Ready);
    this.#mesh.sendHeartbeatsNow();
    this.#log.emit("daemonReady", { revision: this.#keeper.revision });
  }

  async #runDrain(who: string): Promise<void> {
    const { balancerLagMs, graceMs } = this.#settings.shutdown;
    this.#log.emit("drainStarted", { who });
    const cut = new Promise<"cut">((resolve) =>
      this.#cutDrain = () => resolve("cut")
    );
    this.#membership.announceLeaving();
    this.#mesh.sendHeartbeatsNow();
    await sleep(HAND_OVER_MS);
    this.#membership.setSelfState(MemberState.Leaving);
    await Promise.race([sleep(balancerLagMs), cut]);
    this.#callerServer.stopAccepting();
    const idle = this.#callerServer.whenIdle().then(() => "idle" as const);
    const ended = await withTimeout(Promise.race([idle, cut]), {
      ms: graceMs,
      fallback: "cut" as const,
    });
    if (ended === "cut") {
      this.#log.emit("drainCut", { inFlight: this.#callerServer.inFlight });
    }
    await this.#settleRest();
    await this.#close();
    this.#log.emit("drainFinished", { who });
  }

  /** Waits a little for cancels and settlements that nobody waits for. */
  async #settleRest(): Promise<void> {
    const endsAt = monotonicNow() + SETTLE_WAIT_MS;
    await withTimeout(this.#canceller.whenIdle(), {
      ms: SETTLE_WAIT_MS,
      fallback: undefined,
    });
    while (this.#keyed.unsettled > 0 && monotonicNow() < endsAt) {
      await sleep(20);
    }
  }

  async #close(): Promise<void> {
    this.#stop.abort();
    await withTimeout(this.#lease.release(), { ms: 500, fallback: undefined });
    this.#host.close();
    this.#mesh.close();
    this.#peerServer.close();
    await Promise.all([
      this.#callerServer.close(),
      this.#operatorServer.close(),
      this.#peerListener.close(),
    ]);
    for (const connection of this.#cellConnections.values()) {
      await connection.close();
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
    const { snapshot } = this.#keeper;
    this.#host.sync(this.#listDispatched(snapshot));
    this.#dispatch.onMembershipChange(snapshot.modelServices.keys());
    const { id } = this.#settings.vm;
    this.#journal.retain((shard) =>
      this.#membership.getOwner(getJournalRole(shard)) === id
    );
  }

  #onVms(vms: readonly VmListEntry[]): void {
    this.#membership.setCandidates(vms);
    this.#mesh.setPeers(this.#membership.members);
    const leaving = vms.filter((vm) =>
      vm.kind === "upstream" && vm.state === "leaving"
    );
    this.#upstreams.setLeaving(leaving.map((vm) => vm.id));
    if (this.#plan.setVms(vms)) this.#dispatched.clear();
    this.#host.sync(this.#listDispatched(this.#keeper.snapshot));
  }

  #getBeat(): Heartbeat {
    const { id } = this.#settings.vm;
    return [
      id,
      this.#incarnation,
      this.#membership.announcedState,
      this.#keeper.revision,
    ];
  }

  #connectCell(address: string): HttpClient {
    let connection = this.#cellConnections.get(address);
    if (connection === undefined) {
      const caFile = this.#settings.tls.peer?.caFile;
      const ca = caFile === undefined
        ? undefined
        : fs.readFileSync(caFile, "utf8");
      const scheme = ca === undefined ? "http" : "https";
      connection = new HttpClient(`${scheme}://${address}`, { ca });
      this.#cellConnections.set(address, connection);
    }
    return connection;
  }

  #getRetryBudget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget();
      this.#budgets.set(service, budget);
    }
    return budget;
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
          this.#host.onOwnerDead(member.id);
          void this.#probe.pollNow();
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
      ca: caFile === undefined ? undefined : fs.readFileSync(caFile, "utf8"),
      heartbeatMs: membership.heartbeatMs,
      heartbeatTimeoutMs: membership.heartbeatTimeoutMs,
      getHeartbeat: () => this.#getBeat(),
      traffic: this.#traffic,
      createListener: (peer) => ({
        onHeartbeat: ([id, incarnation, state, revision]) => {
          this.#membership.onHeartbeat({ id, incarnation, state, revision });
          this.#sync.onPeerRevision(id, revision);
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
      calls: this.#calls,
      getDispatchHost: () => this.#host,
    });
  }

  #createHost(): DispatchHost {
    const { vm, dispatch } = this.#settings;
    return new DispatchHost({
      vmId: vm.id,
      policy: dispatch.policy as PolicyName,
      log: this.#log,
      mesh: this.#mesh,
      calls: this.#calls,
      pickSpilloverVm: (service) => this.#neighbours.pick(service),
      isOwner: (service) =>
        this.#membership.getOwner(getDispatcherRole(service)) === vm.id,
      isLeaving: (server) => this.#upstreams.isLeaving(server),
      cancelGrant: (_service, grant) => this.#probe.cancelGrant(grant),
      onRoleTaken: () => void this.#probe.pollNow(),
    });
  }

  /** The model services with the servers of this VM's cell. */
  #listDispatched(snapshot: Snapshot): Map<string, DispatchedService> {
    const { modelServices } = snapshot;
    for (const name of this.#dispatched.keys()) {
      if (!modelServices.has(name)) this.#dispatched.delete(name);
    }
    for (const [name, service] of modelServices) {
      if (this.#dispatched.get(name)?.record === service) continue;
      const servers = service.servers.filter((server) =>
        this.#plan.owns(server)
      );
      const dispatched = toDispatchedService(service, servers);
      // A new plan gives a record other servers, so the record alone is no identity.
      this.#dispatched.set(name, {
        ...dispatched,
        configId: Symbol(name),
        record: service,
      });
    }
    return this.#dispatched;
  }

  #createJournal(): Journal {
    const { vm, journal } = this.#settings;
    return new Journal({
      store: this.#store,
      ...journal,
      vm: vm.id,
      isAlive: (id, incarnation) => this.#membership.isAlive(id, incarnation),
      probe: async (id, claimId) => {
        if (id === vm.id) return this.#keyed.probe(claimId);
        try {
          return await this.#mesh.call(id, "journal.probe", {
            params: [claimId],
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
    const orders = new OrderKeeper({
      lease: this.#lease,
      ...steward,
      upstreams: this.#upstreams,
      weights: this.#weights,
      log: this.#log,
      getSnapshot: () => this.#keeper.snapshot,
      plan: this.#plan,
    });
    return new Steward({
      log: this.#log,
      store: this.#store,
      vmList: this.#vmList,
      mesh: this.#mesh,
      keeper: this.#keeper,
      sync: this.#sync,
      lease: this.#lease,
      orders,
      balancer: this.#createBalancer(),
      leaseMs: steward.leaseMs,
      watchWaitMs: platform.watchWaitMs,
      vmListPollMs: membership.vmListPollMs,
      isOwner: () => this.#membership.getOwner(STEWARD_ROLE) === vm.id,
      onVms: (vms) => this.#onVms(vms),
    });
  }

  #createBalancer(): PoolBalancer {
    const { vm } = this.#settings;
    return new PoolBalancer({
      vmId: vm.id,
      cell: vm.cell,
      log: this.#log,
      plan: this.#plan,
      keeper: this.#keeper,
      writer: this.#writer,
      getSnapshot: () => this.#keeper.snapshot,
      getPressure: (service) => this.#readPressure(service),
    });
  }

  async #readPressure(service: string): Promise<PoolPressure | undefined> {
    const owner = this.#dispatch.getOwner(service);
    if (owner === undefined) return undefined;
    if (owner === this.#settings.vm.id) {
      return this.#host.find(service)?.pressure;
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
    const getSnapshot = () => this.#keeper.snapshot;
    const getRetryBudget = (service: string) => this.#getRetryBudget(service);
    const handler = new CallerHandlers({
      availabilityZone: vm.availabilityZone,
      log: this.#log,
      getSnapshot,
      isReady: () => this.#membership.announcedState === MemberState.Ready,
      models: {
        vmId: vm.id,
        dispatch: this.#dispatch,
        upstreams: this.#upstreams,
        canceller: this.#canceller,
        calls: this.#calls,
        log: this.#log,
        getRetryBudget,
      },
      keyedModelCalls: this.#keyedModelCalls,
      forwarder: this.#forwarder,
      services: new ServiceRouter({
        pool: this.#pool,
        upstreams: this.#upstreams,
        keyedCalls: this.#keyed,
        log: this.#log,
        getSnapshot,
        getRetryBudget,
        plan: this.#plan,
        forwarder: this.#forwarder,
        maxStoredBytes: journal.answerBytes,
      }),
    });
    return new CallerServer({
      ...listen.caller,
      tls: tls.caller,
      ...limits,
      handler,
      onTlsReload: () => this.#log.emit("tlsReloaded", { listener: "caller" }),
    });
  }

  #createOperatorServer(): OperatorServer {
    const { vm, listen, tls, operators } = this.#settings;
    const handler = new OperatorHandlers({
      vmId: vm.id,
      store: this.#store,
      mesh: this.#mesh,
      keeper: this.#keeper,
      writer: this.#writer,
      getStatus: () => this.#getStatus(),
      getQueues: () => this.#host.summarize(),
      listUpstreams: () => this.#listServices(),
      startDrain: (who) => this.#startDrain(who),
    });
    return new OperatorServer({
      ...listen.operator,
      tls: tls.operator,
      operators,
      handler,
    });
  }

  #createPeerServer(): PeerServer {
    const handlers = createPeerHandlers({
      getBeat: () => this.#getBeat(),
      membership: this.#membership,
      keeper: this.#keeper,
      sync: this.#sync,
      host: this.#host,
      calls: this.#calls,
      journal: this.#journal,
      keyed: this.#keyed,
      keyedModelCalls: this.#keyedModelCalls,
      onVms: (vms) => this.#steward.onVms(vms),
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

  #listServices(): unknown {
    return [...this.#keeper.snapshot.plainServices.values()].flatMap((
      service,
    ) =>
      service.servers.map(({ id, address, availabilityZone }) => ({
        service: service.name,
        id,
        address,
        availabilityZone,
        leaving: this.#pool.isLeaving(id),
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
      revision: this.#keeper.revision,
      records: this.#keeper.list().map(({ version, record }) => ({
        kind: record.kind,
        name: record.name,
        version,
      })),
      dispatcherOf: this.#host.services,
      stewardFence: this.#lease.getFence() ?? null,
      inFlight: this.#callerServer.inFlight,
      modelCalls: this.#calls.size,
      journalKeys: this.#journal.size,
      unsettled: this.#keyed.unsettled,
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
