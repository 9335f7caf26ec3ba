/**
 * Issues leases on the quotas of those workspaces whose issuer this VM is.
 * @module
 */
import type { QuotaLimit } from "@bitternfall/access";
import { type Clock, monotonicNow } from "@bitternfall/types";
import { NOT_ISSUER, type QuotaReply, type QuotaRequest } from "./messages.ts";
import {
  deriveTerms,
  GIVE_BACK_MS,
  type QuotaBound,
  type QuotaTerms,
  TAKEOVER_MS,
} from "./terms.ts";

/** Options of a {@link QuotaIssuer}. */
export interface QuotaIssuerOptions {
  readonly bound: QuotaBound;
  /** Whether this VM is the issuer of a workspace, by its own view. */
  readonly isIssuer: (workspace: string) => boolean;
  /** Share of the listed VMs that this VM has recently heard from, itself included. */
  readonly getReachableShare: () => number;
  readonly now?: Clock;
}

/** The last message of a VM, which is answered alike if it arrives again. */
interface AnsweredMessage {
  readonly id: number;
  readonly replies: QuotaReply[];
}

/** Leases of all workspaces whose issuer this VM is. */
export class QuotaIssuer {
  readonly #options: QuotaIssuerOptions;
  readonly #now: Clock;
  #limits: ReadonlyMap<string, QuotaLimit> = new Map();
  readonly #pools = new Map<string, TokenPool>();
  readonly #answered = new Map<string, AnsweredMessage>();

  constructor(options: QuotaIssuerOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** Sets the quotas by workspace. */
  setLimits(limits: ReadonlyMap<string, QuotaLimit>): void {
    const known = this.#limits;
    this.#limits = limits;
    for (const [workspace, pool] of this.#pools) {
      const limit = limits.get(workspace);
      if (limit === undefined) this.#pools.delete(workspace);
      else pool.setTerms(this.#derive(limit), this.#moment);
    }
    const isFirst = known.size === 0;
    for (const workspace of limits.keys()) {
      // Nobody has issued for a workspace that is new.
      if (isFirst || known.has(workspace)) continue;
      this.#start(workspace, { isNew: true });
    }
    this.sync();
  }

  /**
   * Starts with an empty balance where this VM has become the issuer, and forgets the
   * workspaces of other issuers; call when owners of roles may have changed.
   */
  sync(): void {
    for (const workspace of this.#limits.keys()) {
      if (!this.#options.isIssuer(workspace)) this.#pools.delete(workspace);
      else if (!this.#pools.has(workspace)) this.#start(workspace);
    }
  }

  #start(workspace: string, { isNew = false } = {}): void {
    const limit = this.#limits.get(workspace);
    if (limit === undefined || !this.#options.isIssuer(workspace)) return;
    const pool = new TokenPool(this.#derive(limit), {
      balance: isNew ? limit.burst : 0,
      filledAt: this.#now() + (isNew ? 0 : TAKEOVER_MS),
    });
    this.#pools.set(workspace, pool);
  }

  /** Answers one message of a VM. */
  take(
    vm: string,
    messageId: number,
    requests: readonly QuotaRequest[],
  ): QuotaReply[] {
    const answered = this.#answered.get(vm);
    if (answered?.id === messageId) return answered.replies;
    const moment = this.#moment;
    const replies = requests.map((req): QuotaReply => {
      const [workspace] = req;
      const pool = this.#pools.get(workspace);
      if (pool === undefined || !this.#options.isIssuer(workspace)) {
        return NOT_ISSUER;
      }
      return pool.take(vm, req, moment);
    });
    this.#answered.set(vm, { id: messageId, replies });
    return replies;
  }

  /** Balance of a workspace; undefined if this VM does not issue for it. */
  getBalance(workspace: string): number | undefined {
    return this.#pools.get(workspace)?.getBalance(this.#moment);
  }

  get #moment(): Moment {
    return { now: this.#now(), share: this.#options.getReachableShare() };
  }

  #derive(limit: QuotaLimit): QuotaTerms {
    return deriveTerms(limit, this.#options.bound);
  }
}

/** A time, and the share of the VMs that the issuer reaches then. */
interface Moment {
  readonly now: number;
  readonly share: number;
}

interface IssuedLease {
  readonly vm: string;
  amount: number;
  readonly until: number;
}

/** Longest time that a VM is told to wait for its turn. */
const MAX_WAIT_MS = 4000;
/** Shortest one, so that a VM does not ask again for each token. */
const MIN_WAIT_MS = 20;
/** Part of the balance that one VM may get for requests that are only expected. */
const SPARE_SHARE = 1 / 2;

/** Token bucket of one workspace, with the leases that may still be spent or returned. */
class TokenPool {
  #terms: QuotaTerms;
  #balance: number;
  #filledAt: number;
  /** In order of their ends, as all have the same validity. */
  #leases: IssuedLease[] = [];
  #leased = 0;
  /** What was spent beyond leases, or from leases that have ended; it may be given back. */
  #spent: IssuedLease[] = [];
  /** Time by which the VMs that were denied have been served. */
  #lineEndsAt = 0;

  constructor(
    terms: QuotaTerms,
    { balance, filledAt }: { balance: number; filledAt: number },
  ) {
    this.#terms = terms;
    this.#balance = balance;
    this.#filledAt = filledAt;
  }

  /** Changes the quota; a lower one limits the balance and what VMs owe. */
  setTerms(terms: QuotaTerms, moment: Moment): void {
    this.#fill(moment);
    this.#terms = terms;
    this.#lineEndsAt = 0;
    this.#balance = Math.max(this.#balance, -terms.credit);
    this.#fill(moment);
  }

  getBalance(moment: Moment): number {
    this.#fill(moment);
    return this.#balance;
  }

  take(
    vm: string,
    [, least, waiting, expected, overdrawn, returned]: QuotaRequest,
    moment: Moment,
  ): QuotaReply {
    this.#fill(moment);
    const { leaseMs, countedMs } = this.#terms;
    this.#balance += this.#takeBack(vm, returned) - overdrawn;
    if (overdrawn > 0) this.#keepSpent(vm, overdrawn, moment.now);
    if (least + expected === 0 && this.#balance >= 0) return [0, 0];
    const debt = this.#terms.debt * moment.share;
    const missing = Math.max(least - debt, 1) - this.#balance;
    if (missing > 0) {
      return [0, this.#getWaitMs(Math.max(missing, least), missing, moment)];
    }
    const left = Math.max(0, this.#balance - least);
    const forWaiting = Math.min(waiting, left);
    const spare = (left - forWaiting) * SPARE_SHARE;
    const issued = Math.floor(least + forWaiting + Math.min(expected, spare));
    if (issued === 0) return [0, MIN_WAIT_MS];
    this.#balance -= issued;
    this.#leased += issued;
    const until = moment.now + countedMs;
    this.#leases.push({ vm, amount: issued, until });
    return [issued, Math.floor(leaseMs)];
  }

  /**
   * Time after which a denied VM may ask again. The VMs are served one after the other, so
   * that they do not all ask for the same tokens.
   */
  #getWaitMs(wanted: number, missing: number, { now, share }: Moment): number {
    const perMs = this.#terms.perMs * share;
    const availableAt = Math.max(now, this.#filledAt) + missing / perMs;
    const turnAt = Math.max(this.#lineEndsAt, now) + wanted / perMs;
    this.#lineEndsAt = Math.min(
      Math.max(availableAt, turnAt),
      now + MAX_WAIT_MS,
    );
    return Math.ceil(Math.max(MIN_WAIT_MS, this.#lineEndsAt - now)) + 1;
  }

  /** Removes a returned amount from what a VM was issued; the rest is lost. */
  #takeBack(vm: string, returned: number): number {
    const fromLeases = takeFrom(this.#leases, vm, returned);
    this.#leased -= fromLeases;
    return fromLeases + takeFrom(this.#spent, vm, returned - fromLeases);
  }

  #fill({ now, share }: Moment): void {
    this.#endLeases(now);
    const ms = Math.max(0, now - this.#filledAt);
    this.#filledAt = Math.max(now, this.#filledAt);
    const { perMs, capacity } = this.#terms;
    this.#balance = Math.min(
      this.#balance + ms * perMs * share,
      // Leases count until they can neither be spent nor returned any more.
      Math.max(0, capacity * share - this.#leased),
    );
  }

  #endLeases(now: number): void {
    let ended = 0;
    for (const { vm, amount, until } of this.#leases) {
      if (until > now) break;
      this.#leased -= amount;
      this.#keepSpent(vm, amount, now);
      ended++;
    }
    if (ended > 0) this.#leases = this.#leases.slice(ended);
    const isKept = ({ until }: IssuedLease) => until > now;
    if (!this.#spent.slice(0, 1).every(isKept)) {
      this.#spent = this.#spent.filter(isKept);
    }
  }

  #keepSpent(vm: string, amount: number, now: number): void {
    if (amount > 0) this.#spent.push({ vm, amount, until: now + GIVE_BACK_MS });
  }
}

/** Takes up to `wanted` from the leases of a VM; returns how much it was. */
function takeFrom(
  leases: readonly IssuedLease[],
  vm: string,
  wanted: number,
): number {
  let left = wanted;
  for (const lease of leases) {
    if (left <= 0) break;
    if (lease.vm !== vm) continue;
    const taken = Math.min(left, lease.amount);
    lease.amount -= taken;
    left -= taken;
  }
  return wanted - left;
}
