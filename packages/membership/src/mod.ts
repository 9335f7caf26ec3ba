/**
 * Members of a cell as one VM sees them: candidates from the VM list, liveness from
 * heartbeats and a witness, and the owners of the cell's roles. Two VMs may disagree
 * for a while; what must be unique is decided in the object API instead.
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
  /** Records revision that the member has in force. */
  revision: number;
  alive: boolean;
  /** Monotonic time of the last sign of life. */
  heardAt: number;
  /** Failed dials in a row. */
  failures: number;
}

/** What a membership tells its owner. */
export interface MembershipListener {
  onUp(member: Member): void;
  onDead(member: Member, reason: string): void;
  /** Owners of roles may have changed. */
  onChange(): void;
}

/** Options of a {@link Membership}. */
export interface MembershipOptions {
  readonly selfId: string;
  readonly cell: string;
  readonly incarnation: Incarnation;
  readonly heartbeatMs: number;
  /** Asks `witness` whether it has heard from `suspect`; undefined when it does not answer. */
  readonly askWitness: (
    witness: string,
    suspect: string,
  ) => Promise<boolean | undefined>;
  readonly listener: MembershipListener;
  /** Whether a member may take roles at all; every member when absent. */
  readonly mayTakeRoles?: (id: string) => boolean;
  readonly now?: Clock;
}

/** Dials that must fail before a VM that a witness still hears is given up. */
const MAX_FAILURES = 3;

/** The members of one cell. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #now: Clock;
  readonly #members = new Map<string, Member>();
  #selfState = MemberState.Joining;
  #announced: MemberState | undefined;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** All known members but this VM. */
  get members(): Member[] {
    return [...this.#members.values()];
  }

  get selfState(): MemberState {
    return this.#selfState;
  }

  /** The state that peers are told. */
  get announcedState(): MemberState {
    return this.#announced ?? this.#selfState;
  }

  /** Tells peers that this VM is leaving while it still serves its roles. */
  announceLeaving(): void {
    this.#announced = MemberState.Leaving;
  }

  setSelfState(state: MemberState): void {
    if (state === this.#selfState) return;
    this.#selfState = state;
    this.#options.listener.onChange();
  }

  find(id: string): Member | undefined {
    return this.#members.get(id);
  }

  /** Takes over the VM list; members that are not on it and not heard from are forgotten. */
  setCandidates(vms: readonly VmListEntry[]): void {
    const { selfId, cell } = this.#options;
    const wanted = vms.filter((vm) =>
      vm.kind === "entry" && vm.id !== selfId && (vm.cell ?? cell) === cell
    );
    const ids = new Set(wanted.map((vm) => vm.id));
    let changed = false;
    for (const member of this.#members.values()) {
      if (ids.has(member.id) || member.alive) continue;
      this.#members.delete(member.id);
    }
    for (const vm of wanted) {
      const known = this.#members.get(vm.id);
      if (known?.address === vm.address) continue;
      changed = true;
      this.#members.set(vm.id, {
        id: vm.id,
        address: vm.address,
        availabilityZone: vm.availabilityZone,
        state: MemberState.Joining,
        incarnation: 0,
        revision: 0,
        alive: false,
        heardAt: -Infinity,
        failures: 0,
      });
    }
    if (changed) this.#options.listener.onChange();
  }

  /** A member gave a sign of life with its state. */
  onBeat(
    beat: {
      id: string;
      incarnation: Incarnation;
      state: MemberState;
      revision: number;
    },
  ): void {
    const member = this.#members.get(beat.id);
    if (member === undefined || beat.incarnation < member.incarnation) return;
    const { listener } = this.#options;
    const restarted = member.alive && beat.incarnation > member.incarnation;
    if (restarted) {
      member.alive = false;
      listener.onDead(member, "restarted");
    }
    const changed = !member.alive || member.state !== beat.state;
    const cameUp = !member.alive;
    Object.assign(member, {
      incarnation: beat.incarnation,
      state: beat.state,
      revision: beat.revision,
      alive: true,
      failures: 0,
      heardAt: this.#now(),
    });
    if (cameUp) listener.onUp(member);
    if (changed) listener.onChange();
  }

  /** True when `id` gave a sign of life within the last heartbeats. */
  hasHeard(id: string): boolean {
    const heardAt = this.#members.get(id)?.heardAt ?? -Infinity;
    return this.#now() - heardAt < 1.5 * this.#options.heartbeatMs;
  }

  /** A new connection to a member failed as well: asks a witness, then decides. */
  async onUnreachable(id: string, reason: string): Promise<void> {
    const member = this.#members.get(id);
    if (member === undefined || !member.alive) return;
    member.failures++;
    const { incarnation } = member;
    const witness = this.#pickWitness(id);
    const heard = witness === undefined
      ? false
      : await this.#options.askWitness(witness, id);
    if (
      !member.alive || member.incarnation !== incarnation ||
      member.failures === 0
    ) return;
    if (heard === true && member.failures < MAX_FAILURES) return;
    this.#declareDead(member, reason);
  }

  /**
   * Declares members dead that have been silent for `silentMs`. For members that this VM
   * has no link to: they are known only by the heartbeats that they send.
   */
  expireSilent(silentMs: number, hasLink: (id: string) => boolean): void {
    const now = this.#now();
    for (const member of this.#members.values()) {
      const isSilent = now - member.heardAt > silentMs;
      if (!member.alive || !isSilent || hasLink(member.id)) continue;
      this.#declareDead(member, "no heartbeat");
    }
  }

  /** Whether a process of a VM is still among the living. */
  isAlive(id: string, incarnation?: Incarnation): boolean {
    if (id === this.#options.selfId) {
      return incarnation === undefined ||
        incarnation === this.#options.incarnation;
    }
    const member = this.#members.get(id);
    return member !== undefined && member.alive &&
      (incarnation === undefined || member.incarnation === incarnation);
  }

  /** Members that take roles: ready, alive, not leaving; this VM among them. */
  listEligible(): string[] {
    const { selfId, mayTakeRoles = () => true } = this.#options;
    const ids = [];
    if (this.#selfState === MemberState.Ready) ids.push(selfId);
    for (const member of this.#members.values()) {
      if (member.alive && member.state === MemberState.Ready) {
        ids.push(member.id);
      }
    }
    return ids.filter((id) => mayTakeRoles(id));
  }

  /** The VM that owns a role now; undefined when none can. */
  getOwner(role: string): string | undefined {
    return pickOwner(role, this.listEligible());
  }

  #declareDead(member: Member, reason: string): void {
    member.alive = false;
    this.#options.listener.onDead(member, reason);
    this.#options.listener.onChange();
  }

  #pickWitness(suspect: string): string | undefined {
    const others = this.members.filter((member) =>
      member.alive && member.id !== suspect && member.failures === 0
    );
    return pickOwner(`witness/${suspect}`, others.map((member) => member.id));
  }
}
