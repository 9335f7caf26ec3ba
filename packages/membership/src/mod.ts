/**
 * Members of a cell as one VM sees them: candidates from the VM list, liveness from
 * heartbeats and a witness, and the owners of the cell's roles. The views of two VMs may
 * differ for a while, so whatever must be unique is decided in the object API instead.
 * @module
 */
import {
  type Clock,
  type Incarnation,
  MemberState,
  monotonicNow,
  type VmListEntry,
} from "@bitternfall/types";
import { pickOwner } from "./rendezvous.ts";

export * from "./rendezvous.ts";

/** One member as this VM sees it. */
export interface Member {
  readonly id: string;
  readonly address: string;
  readonly availabilityZone: string;
  state: MemberState;
  incarnation: Incarnation;
  /** Revision of the records that the member applies. */
  revision: number;
  isAlive: boolean;
  /** Monotonic time of the last heartbeat. */
  lastHeartbeatAt: number;
  /** Consecutive failed attempts to connect since the last heartbeat. */
  failedDials: number;
}

/** Notified of changes of a {@link Membership}. */
export interface MembershipListener {
  onAlive(member: Member): void;
  onDead(member: Member, reason: string): void;
  /** Called when owners of roles may have changed. */
  onChange(): void;
}

/** Options of a {@link Membership}. */
export interface MembershipOptions {
  readonly selfId: string;
  readonly cell: string;
  readonly incarnation: Incarnation;
  readonly heartbeatMs: number;
  /** Asks `witness` whether it has a recent heartbeat of `suspect`; undefined without an answer. */
  readonly askWitness: (
    witness: string,
    suspect: string,
  ) => Promise<boolean | undefined>;
  readonly listener: MembershipListener;
  /** Whether a member may own roles; all members may when absent. */
  readonly canTakeRoles?: (id: string) => boolean;
  readonly now?: Clock;
}

/** A process that missed this many heartbeats no longer outranks a lower incarnation. */
const MAX_MISSED_HEARTBEATS = 2;
/** Failed dials after which a member is declared dead although a witness has its heartbeats. */
const MAX_FAILED_DIALS = 3;

/** The members of one cell. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #now: Clock;
  readonly #members = new Map<string, Member>();
  #selfState = MemberState.Joining;
  #announcedOverride: MemberState | undefined;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** All known members except this VM. */
  get members(): Member[] {
    return [...this.#members.values()];
  }

  get selfState(): MemberState {
    return this.#selfState;
  }

  /** The state that heartbeats of this VM carry. */
  get announcedState(): MemberState {
    return this.#announcedOverride ?? this.#selfState;
  }

  /** Announces to peers that this VM is leaving, while it still serves its roles. */
  announceLeaving(): void {
    this.#announcedOverride = MemberState.Leaving;
  }

  setSelfState(state: MemberState): void {
    if (state === this.#selfState) return;
    this.#selfState = state;
    this.#options.listener.onChange();
  }

  find(id: string): Member | undefined {
    return this.#members.get(id);
  }

  /**
   * Adds the cell's entry VMs on the VM list, resets members whose address changed, and
   * removes dead members that are not on the list.
   */
  setCandidates(vms: readonly VmListEntry[]): void {
    const { selfId, cell } = this.#options;
    const candidates = vms.filter((vm) =>
      vm.kind === "entry" && vm.id !== selfId && (vm.cell ?? cell) === cell
    );
    const ids = new Set(candidates.map((vm) => vm.id));
    let changed = false;
    for (const member of this.#members.values()) {
      if (ids.has(member.id) || member.isAlive) continue;
      this.#members.delete(member.id);
    }
    for (const vm of candidates) {
      const existing = this.#members.get(vm.id);
      if (existing?.address === vm.address) continue;
      changed = true;
      this.#members.set(vm.id, {
        id: vm.id,
        address: vm.address,
        availabilityZone: vm.availabilityZone,
        state: MemberState.Joining,
        incarnation: 0,
        revision: 0,
        isAlive: false,
        lastHeartbeatAt: -Infinity,
        failedDials: 0,
      });
    }
    if (changed) this.#options.listener.onChange();
  }

  /**
   * Handles a heartbeat of a member. A lower incarnation is either a late heartbeat of an
   * earlier process, or a new process whose clock was set back: it is ignored while
   * heartbeats of the higher one arrive, and taken for a new process after.
   */
  onHeartbeat(
    heartbeat: {
      id: string;
      incarnation: Incarnation;
      state: MemberState;
      revision: number;
    },
  ): void {
    const member = this.#members.get(heartbeat.id);
    if (member === undefined) return;
    const isLower = heartbeat.incarnation < member.incarnation;
    if (isLower && member.isAlive && !this.#isSilent(member)) return;
    const { listener } = this.#options;
    const isRestarted = member.isAlive &&
      heartbeat.incarnation !== member.incarnation;
    if (isRestarted) {
      member.isAlive = false;
      listener.onDead(member, "restarted");
    }
    const changed = !member.isAlive || member.state !== heartbeat.state;
    const wasDead = !member.isAlive;
    Object.assign(member, {
      incarnation: heartbeat.incarnation,
      state: heartbeat.state,
      revision: heartbeat.revision,
      isAlive: true,
      failedDials: 0,
      lastHeartbeatAt: this.#now(),
    });
    if (wasDead) listener.onAlive(member);
    if (changed) listener.onChange();
  }

  #isSilent({ lastHeartbeatAt }: Member): boolean {
    const silentMs = this.#now() - lastHeartbeatAt;
    return silentMs > MAX_MISSED_HEARTBEATS * this.#options.heartbeatMs;
  }

  /** Whether `id` sent a heartbeat within the last 1.5 heartbeat intervals. */
  hasRecentHeartbeat(id: string): boolean {
    const lastHeartbeatAt = this.#members.get(id)?.lastHeartbeatAt ?? -Infinity;
    return this.#now() - lastHeartbeatAt < 1.5 * this.#options.heartbeatMs;
  }

  /** After a failed reconnect to a member, asks a witness and declares the member dead or not. */
  async onUnreachable(id: string, reason: string): Promise<void> {
    const member = this.#members.get(id);
    if (member === undefined || !member.isAlive) return;
    member.failedDials++;
    const { incarnation } = member;
    const witness = this.#pickWitness(id);
    const isWitnessed = witness === undefined
      ? false
      : await this.#options.askWitness(witness, id);
    if (
      !member.isAlive || member.incarnation !== incarnation ||
      member.failedDials === 0
    ) return;
    if (isWitnessed === true && member.failedDials < MAX_FAILED_DIALS) return;
    this.#declareDead(member, reason);
  }

  /**
   * Declares members dead whose last heartbeat is older than `silentMs`. Skips members that
   * this VM has a link to: a link detects failures itself, while the others are known only
   * by the heartbeats that they send.
   */
  declareSilentDead(silentMs: number, hasLink: (id: string) => boolean): void {
    const now = this.#now();
    for (const member of this.#members.values()) {
      const isSilent = now - member.lastHeartbeatAt > silentMs;
      if (!member.isAlive || !isSilent || hasLink(member.id)) continue;
      this.#declareDead(member, "no heartbeat");
    }
  }

  /** Whether a VM is alive and, if given, still runs as `incarnation`. */
  isAlive(id: string, incarnation?: Incarnation): boolean {
    if (id === this.#options.selfId) {
      return incarnation === undefined ||
        incarnation === this.#options.incarnation;
    }
    const member = this.#members.get(id);
    return member !== undefined && member.isAlive &&
      (incarnation === undefined || member.incarnation === incarnation);
  }

  /** Ids of the VMs that may own roles: alive and ready, this VM included. */
  listEligibleOwners(): string[] {
    const { selfId, canTakeRoles = () => true } = this.#options;
    const ids = [];
    if (this.#selfState === MemberState.Ready) ids.push(selfId);
    for (const member of this.#members.values()) {
      if (member.isAlive && member.state === MemberState.Ready) {
        ids.push(member.id);
      }
    }
    return ids.filter((id) => canTakeRoles(id));
  }

  /** The VM that owns a role now; undefined when no VM is eligible. */
  getOwner(role: string): string | undefined {
    return pickOwner(role, this.listEligibleOwners());
  }

  #declareDead(member: Member, reason: string): void {
    member.isAlive = false;
    this.#options.listener.onDead(member, reason);
    this.#options.listener.onChange();
  }

  #pickWitness(suspect: string): string | undefined {
    const others = this.members.filter((member) =>
      member.isAlive && member.id !== suspect && member.failedDials === 0
    );
    return pickOwner(`witness/${suspect}`, others.map((member) => member.id));
  }
}
