/**
 * Connects this VM with the others: membership, connections to the hubs and heartbeats.
 * @module
 */
import { Listener } from "@bitternfall/connection";
import type { EventLog } from "@bitternfall/events";
import { Membership } from "@bitternfall/membership";
import {
  type Handlers,
  type Heartbeat,
  type Params,
  PeerMesh,
  PeerServer,
  type Result,
  type Traffic,
} from "@bitternfall/peer";
import {
  drawSample,
  MemberState,
  sleep,
  type VmListEntry,
} from "@bitternfall/types";
import { pickHubs } from "./hubs.ts";
import {
  askReach,
  createPeerHttp,
  fetchObjects,
  type PeerAddress,
  type PeerHttpOptions,
} from "./peer_http.ts";
import type { ObjectCursor } from "./peer_object_sync.ts";
import type { GatewaySettings } from "./settings.ts";
import type { UnreadHeads } from "./unread_heads.ts";

/** Options of a {@link PeerGroup}. */
export interface PeerGroupOptions
  extends Pick<PeerHttpOptions, "findServer" | "serveForwarded"> {
  readonly settings: GatewaySettings;
  readonly incarnation: number;
  readonly log: EventLog;
  /** Returns the revision of this VM's object view, which heartbeats carry. */
  readonly getRevision: () => number;
  readonly onPeerRevision: (peer: string, revision: number) => void;
  readonly onDead: (id: string) => void;
  /** Called when a new connection to a VM works; earlier notifications may be lost. */
  readonly onConnected: (id: string) => void;
  /** Called when owners of roles may have changed. */
  readonly onChange: () => void;
  /** Called when hubs have changed, or a hub may be lost. */
  readonly onHubsChange: () => void;
  /** Returns what another VM asks for that has no connection for messages to this one. */
  readonly listObjects: PeerHttpOptions["listObjects"];
}

/** Those of callers' requests, and some more between VMs. */
const MAX_FORWARDED_HEADER_BYTES = 80_000;
/** A member without a connection is declared dead after this many missed heartbeats. */
const MAX_MISSED_HEARTBEATS = 4;
/** Time for others to answer after the first VM that reaches a server. */
const MORE_HELPERS_MS = 50;
/** With up to this many VMs, every VM watches as a hub does, since that costs few calls. */
const MAX_VMS_ALL_HUBS = 16;

/** Membership, connections and heartbeats of this VM. */
export class PeerGroup {
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly #options: PeerGroupOptions;
  readonly #listener: Listener;
  readonly #traffic: Traffic = { sent: 0, received: 0, messages: 0 };
  #server: PeerServer | undefined;
  #vms: readonly VmListEntry[] = [];
  #hubs: ReadonlySet<string> = new Set();

  constructor(options: PeerGroupOptions) {
    this.#options = options;
    const { listen, peerKey } = options.settings;
    this.#listener = new Listener(
      { ...listen.peer, maxHeaderBytes: MAX_FORWARDED_HEADER_BYTES },
      createPeerHttp({ ...options, key: peerKey }),
    );
    this.membership = this.#createMembership();
    this.mesh = this.#createMesh();
  }

  /** Number of VMs that are registered as members, this one included. */
  get size(): number {
    return Math.max(1, this.membership.members.length + 1);
  }

  /** Whether this VM watches the object API on behalf of others too. */
  get watchesAsHub(): boolean {
    return this.#vms.length <= MAX_VMS_ALL_HUBS ||
      this.#hubs.has(this.#options.settings.vm.id);
  }

  /** Whether a hub is alive that informs this VM of changes. */
  get hasLiveHub(): boolean {
    return [...this.#hubs].some((id) => this.membership.find(id)?.isAlive);
  }

  /** Ids of the hubs without this VM. */
  listOtherHubs(): string[] {
    const { id } = this.#options.settings.vm;
    return [...this.#hubs].filter((hub) => hub !== id);
  }

  /** Whether objects can be pulled from a VM. */
  canPullObjects(vmId: string): boolean {
    return this.mesh.hasPeer(vmId) || this.findAddress(vmId) !== undefined;
  }

  /** Asks a VM for the objects after the cursors. Throws if it does not answer. */
  async pullObjects(
    vmId: string,
    cursors: readonly ObjectCursor[],
    timeoutMs: number,
  ): Promise<Result<"objects.pull">> {
    if (this.mesh.hasPeer(vmId)) {
      const params: Params<"objects.pull"> = [[...cursors]];
      return await this.mesh.call(vmId, "objects.pull", { params, timeoutMs });
    }
    const address = this.findAddress(vmId);
    if (address === undefined) throw new Error(`${vmId} is not listed`);
    const { peerKey: key } = this.#options.settings;
    return await fetchObjects(address, { key, cursors, timeoutMs });
  }

  get isReady(): boolean {
    return this.membership.announcedState === MemberState.Ready;
  }

  /** Accepts the connections; bound with the other listeners of the process. */
  get listener(): Listener {
    return this.#listener;
  }

  /** Limits the heads that others begin to send, who need no key for that. */
  limitHeads(unreadHeads: UnreadHeads): void {
    unreadHeads.watch(this.#listener.server, { takesUpgrades: true });
  }

  /** Serves peers' calls with `handlers`. */
  serve(handlers: Partial<Handlers>): void {
    const { settings, log } = this.#options;
    this.#server = new PeerServer({
      server: this.#listener.server,
      key: settings.peerKey,
      handlers: {
        ...handlers,
        beat: (params) => {
          this.#onHeartbeat(params as Heartbeat);
          return this.#getHeartbeat();
        },
        witness: ([vm]) => this.membership.hasRecentHeartbeat(vm),
      },
      traffic: this.#traffic,
      onRefused: (reason) => log.emit("peerMessageRefused", { reason }),
    });
  }

  /** Sets the list of members. */
  setVms(vms: readonly VmListEntry[]): void {
    this.#vms = vms;
    this.membership.setCandidates(vms);
    this.#connectHubs();
  }

  /** Address of another VM's peer listener; undefined if it is not listed. */
  findAddress(vmId: string): PeerAddress | undefined {
    return this.#vms.find(({ id }) => id === vmId)?.address;
  }

  /**
   * Asks some VMs, drawn anew each time; returns those that reach one of the servers, or
   * undefined if there are other VMs and none has answered.
   */
  async findHelpers(
    serverIds: readonly string[],
    { maxAsked }: { maxAsked: number },
  ): Promise<string[] | undefined> {
    const { vm, peerKey } = this.#options.settings;
    const others = this.#vms.filter(({ id }) => id !== vm.id);
    const asked = drawSample(others, { count: maxAsked });
    const helpers: string[] = [];
    let answered = 0;
    let onFound = () => {};
    const foundOne = new Promise<void>((resolve) => onFound = resolve);
    const all = asked.map(async ({ id, address }) => {
      const isReached = await askReach(address, { key: peerKey, serverIds });
      if (isReached !== undefined) answered++;
      if (!isReached) return;
      helpers.push(id);
      onFound();
    });
    // A VM that does not answer must not hold up what another one has said.
    await Promise.race([
      Promise.all(all),
      foundOne.then(() => sleep(MORE_HELPERS_MS)),
    ]);
    return asked.length > 0 && answered === 0 ? undefined : helpers;
  }

  /** Declares members without a connection dead whose heartbeats have stopped. */
  declareSilentDead(): void {
    const { heartbeatMs } = this.#options.settings.membership;
    const isHub = (id: string) => this.#hubs.has(id);
    this.membership.declareSilentDead(
      MAX_MISSED_HEARTBEATS * heartbeatMs,
      isHub,
    );
  }

  async close(): Promise<void> {
    this.mesh.close();
    this.#server?.close();
    await this.#listener.close();
  }

  /** Picks the hubs anew and connects to them. */
  #connectHubs(): void {
    const { id } = this.#options.settings.vm;
    const hubs = pickHubs(this.#vms, (hub) => {
      const member = this.membership.find(hub);
      return member !== undefined && !member.isAlive && member.failedDials > 0;
    });
    const before = this.#hubs;
    this.#hubs = new Set(hubs.map((hub) => hub.id));
    this.mesh.setPeers(hubs.filter((hub) => hub.id !== id));
    const isSame = before.size === this.#hubs.size &&
      [...before].every((hub) => this.#hubs.has(hub));
    if (!isSame) this.#options.onHubsChange();
  }

  #getHeartbeat(): Heartbeat {
    const { settings, incarnation, getRevision } = this.#options;
    const { announcedState } = this.membership;
    return [settings.vm.id, incarnation, announcedState, getRevision()];
  }

  #onHeartbeat([id, incarnation, state, revision]: Heartbeat): void {
    this.membership.onHeartbeat({ id, incarnation, state, revision });
    this.#options.onPeerRevision(id, revision);
  }

  #createMembership(): Membership {
    const { settings, incarnation, log } = this.#options;
    const { onDead, onChange } = this.#options;
    return new Membership({
      selfId: settings.vm.id,
      cell: "",
      incarnation,
      heartbeatMs: settings.membership.heartbeatMs,
      askWitness: (witness, suspect) => this.mesh.askWitness(witness, suspect),
      listener: {
        onAlive: ({ id, incarnation }) =>
          log.emit("peerUp", { peer: id, incarnation }),
        onDead: ({ id }, reason) => {
          log.emit("peerDead", { peer: id, reason });
          onDead(id);
        },
        onChange: () => {
          this.#connectHubs();
          onChange();
        },
      },
      canTakeRoles: (id) => this.#hubs.has(id),
    });
  }

  #createMesh(): PeerMesh {
    const { settings, log, onConnected } = this.#options;
    return new PeerMesh({
      key: settings.peerKey,
      ...settings.membership,
      getHeartbeat: () => this.#getHeartbeat(),
      traffic: this.#traffic,
      createListener: (peer) => ({
        onConnected: () => onConnected(peer),
        onHeartbeat: (heartbeat) => this.#onHeartbeat(heartbeat),
        onSuspect: (reason) => {
          log.emit("peerSuspected", { peer, reason });
          this.#options.onHubsChange();
        },
        onUnreachable: (reason) =>
          void this.membership.onUnreachable(peer, reason),
      }),
    });
  }
}
