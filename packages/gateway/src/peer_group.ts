/**
 * This VM among the others: members, connections to the hubs, heartbeats both ways.
 * @module
 */
import { Listener } from "@bitternfall/connection";
import type { EventLog } from "@bitternfall/events";
import { Membership } from "@bitternfall/membership";
import {
  type Handlers,
  type Heartbeat,
  PeerMesh,
  PeerServer,
  type Traffic,
} from "@bitternfall/peer";
import { MemberState, type VmListEntry } from "@bitternfall/types";
import { pickHubs } from "./hubs.ts";
import type { GatewaySettings } from "./settings.ts";

/** Options of a {@link PeerGroup}. */
export interface PeerGroupOptions {
  readonly settings: GatewaySettings;
  readonly incarnation: number;
  readonly log: EventLog;
  /** What of the object API is read here, told in heartbeats. */
  readonly getRevision: () => number;
  readonly onPeerRevision: (peer: string, revision: number) => void;
  readonly onDead: (id: string) => void;
  /** Owners of roles may have changed. */
  readonly onChange: () => void;
}

/** A VM without a link is given up after this many of its heartbeats. */
const SILENT_BEATS = 4;
/** Up to this many VMs, each watches as a hub does: it costs few calls. */
const SMALL_DEPLOYMENT = 16;

/** The other VMs as this one sees them. */
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
    this.#listener = new Listener(options.settings.listen.peer);
    this.membership = this.#createMembership();
    this.mesh = this.#createMesh();
  }

  /** VMs that are written as members, this one among them. */
  get size(): number {
    return Math.max(1, this.membership.members.length + 1);
  }

  /** Whether this VM watches the object API for others too. */
  get watchesAsHub(): boolean {
    return this.#vms.length <= SMALL_DEPLOYMENT ||
      this.#hubs.has(this.#options.settings.vm.id);
  }

  /** Whether a hub tells this VM what it has read. */
  get hearsHubs(): boolean {
    return [...this.#hubs].some((id) => this.membership.find(id)?.isAlive);
  }

  get isReady(): boolean {
    return this.membership.announcedState === MemberState.Ready;
  }

  /** Serves peers' calls with `handlers` and returns the bound port. */
  async listen(handlers: Partial<Handlers>): Promise<number> {
    const { settings, log } = this.#options;
    this.#server = new PeerServer({
      server: this.#listener.server,
      key: settings.peerKey,
      handlers: {
        ...handlers,
        beat: (params) => {
          this.#onBeat(params as Heartbeat);
          return this.#getBeat();
        },
        witness: ([vm]) => this.membership.hasRecentHeartbeat(vm),
      },
      traffic: this.#traffic,
      onRefused: (reason) => log.emit("peerMessageRefused", { reason }),
    });
    return await this.#listener.listen();
  }

  /** Takes the members over. */
  setVms(vms: readonly VmListEntry[]): void {
    this.#vms = vms;
    this.membership.setCandidates(vms);
    this.#connectHubs();
  }

  /** Gives up members without a link that have fallen silent. */
  expireSilent(): void {
    const { heartbeatMs } = this.#options.settings.membership;
    const hasLink = (id: string) => this.#hubs.has(id);
    this.membership.declareSilentDead(SILENT_BEATS * heartbeatMs, hasLink);
  }

  async close(): Promise<void> {
    this.mesh.close();
    this.#server?.close();
    await this.#listener.close();
  }

  /** Connects to the hubs as this VM sees them now. */
  #connectHubs(): void {
    const { id } = this.#options.settings.vm;
    const hubs = pickHubs(this.#vms, (hub) => {
      const member = this.membership.find(hub);
      return member !== undefined && !member.isAlive && member.failedDials > 0;
    });
    this.#hubs = new Set(hubs.map((hub) => hub.id));
    this.mesh.setPeers(hubs.filter((hub) => hub.id !== id));
  }

  #getBeat(): Heartbeat {
    const { settings, incarnation, getRevision } = this.#options;
    const { announcedState } = this.membership;
    return [settings.vm.id, incarnation, announcedState, getRevision()];
  }

  #onBeat([id, incarnation, state, revision]: Heartbeat): void {
    this.membership.onHeartbeat({ id, incarnation, state, revision });
    this.#options.onPeerRevision(id, revision);
  }

  #createMembership(): Membership {
    const { settings, incarnation, log, onDead, onChange } = this.#options;
    return new Membership({
      selfId: settings.vm.id,
      cell: "",
      incarnation,
      heartbeatMs: settings.membership.heartbeatMs,
      askWitness: (witness, suspect) => this.mesh.askWitness(witness, suspect),
      listener: {
        onAlive: (member) =>
          log.emit("peerUp", {
            peer: member.id,
            incarnation: member.incarnation,
          }),
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
    const { settings, log } = this.#options;
    return new PeerMesh({
      key: settings.peerKey,
      ...settings.membership,
      getHeartbeat: () => this.#getBeat(),
      traffic: this.#traffic,
      createListener: (peer) => ({
        onHeartbeat: (beat) => this.#onBeat(beat),
        onSuspect: (reason) => log.emit("peerSuspected", { peer, reason }),
        onUnreachable: (reason) =>
          void this.membership.onUnreachable(peer, reason),
      }),
    });
  }
}
