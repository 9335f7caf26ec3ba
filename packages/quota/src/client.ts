/**
 * Accounts of all workspaces at this VM. Requests that no account covers are put to the
 * issuers; those for the workspaces of one issuer share a message.
 * @module
 */
import type { QuotaLimit } from "@bitternfall/access";
import { type Clock, monotonicNow } from "@bitternfall/types";
import {
  QuotaAccount,
  type QuotaDecision,
  type QuotaFigures,
  QuotaSource,
} from "./account.ts";
import { NOT_ISSUER, type QuotaReply, type QuotaRequest } from "./messages.ts";
import type { QuotaBound } from "./terms.ts";

/** Options of a {@link QuotaClient}. */
export interface QuotaClientOptions {
  readonly bound: QuotaBound;
  /** The VM that issues for a workspace, if any is known. */
  readonly getIssuer: (workspace: string) => string | undefined;
  /** Sends a message; rejects where there is no reply within the timeout. */
  readonly send: (
    issuer: string,
    messageId: number,
    requests: readonly QuotaRequest[],
  ) => Promise<readonly QuotaReply[]>;
  /** Number of listed VMs; infinite while they are not known. */
  readonly getVmCount: () => number;
  /** Runs a function after a time. */
  readonly schedule: (ms: number, run: () => void) => void;
  readonly now?: Clock;
  /** Drawn anew by each process, so that it does not repeat the ids of its predecessor. */
  readonly firstMessageId?: number;
}

/** Whether a request may pass, with the figures of the decision. */
export type QuotaResult = QuotaDecision & { readonly figures: QuotaFigures };

interface WaitingRequest {
  readonly cost: number;
  readonly resolve: (result: QuotaResult) => void;
}

interface OpenAccount {
  readonly workspace: string;
  readonly account: QuotaAccount;
  readonly waiting: WaitingRequest[];
  /** Whether a check for unspent leases is scheduled. */
  willReturn: boolean;
}

/** Accounts whose next message goes to one issuer. */
interface IssuerQueue {
  readonly accounts: Set<OpenAccount>;
  isSending: boolean;
}

/** How long a request waits for an issuer. */
export const TAKE_TIMEOUT_MS = 300;
const MESSAGE_ID_RANGE = 2 ** 20;
/** Further accounts go into the next message. */
const MAX_REQUESTS_PER_MESSAGE = 90;
/** Further accounts that settle their overdraft with a message. */
const MAX_SETTLING_PER_MESSAGE = 8;

/** The quotas of all workspaces, as one VM spends them. */
export class QuotaClient {
  readonly #options: QuotaClientOptions;
  readonly #now: Clock;
  readonly #startedAt: number;
  #limits: ReadonlyMap<string, QuotaLimit> = new Map();
  /** Accounts of the workspaces that have had requests. */
  readonly #accounts = new Map<string, OpenAccount>();
  readonly #queues = new Map<string, IssuerQueue>();
  /** Accounts that settle their overdraft with the next message to their issuer. */
  readonly #settling = new Set<OpenAccount>();
  #messageId: number;
  /** Replies to messages of before a suspension are void. */
  #epoch = 0;

  constructor(options: QuotaClientOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
    this.#startedAt = this.#now();
    this.#messageId = options.firstMessageId ??
      Math.floor(Math.random() * MESSAGE_ID_RANGE);
  }

  /** Sets the quotas by workspace; accounts of removed ones lose their leases. */
  setLimits(limits: ReadonlyMap<string, QuotaLimit>): void {
    this.#limits = limits;
    for (const [workspace, { account }] of this.#accounts) {
      const limit = limits.get(workspace);
      if (limit !== undefined) account.setLimit(limit, this.#now());
      else this.#accounts.delete(workspace);
    }
    this.#settling.clear();
  }

  /** Voids all leases after a suspension. */
  voidLeases(): void {
    this.#epoch++;
    const now = this.#now();
    for (const { account } of this.#accounts.values()) account.voidLeases(now);
  }

  /** Takes the cost of a request, or refuses it; undefined where there is no quota. */
  async take(
    workspace: string,
    cost: number,
  ): Promise<QuotaResult | undefined> {
    const open = this.#open(workspace);
    if (open === undefined) return undefined;
    const now = this.#now();
    const decision = open.account.decide(cost, now);
    if (decision === undefined) {
      return await new Promise((resolve) => {
        this.#wait(open, { cost, resolve });
      });
    }
    const { account } = open;
    if (account.shouldRenew(now) || account.shouldProbe(now)) {
      this.#enqueue(open);
    }
    if (open.account.shouldSettle(now)) this.#settling.add(open);
    return this.#complete(open, decision);
  }

  /** Gives back what a request took that has not run. */
  giveBack(workspace: string, cost: number, takenAt: number): void {
    const open = this.#accounts.get(workspace);
    if (open === undefined) return;
    open.account.giveBack(cost, takenAt, this.#now());
    this.#scheduleReturn(open);
  }

  /** Asks the issuer for a request, which waits for no longer than a message may take. */
  #wait(open: OpenAccount, req: WaitingRequest): void {
    open.waiting.push(req);
    this.#enqueue(open);
    this.#options.schedule(TAKE_TIMEOUT_MS, () => {
      const index = open.waiting.indexOf(req);
      if (index < 0) return;
      open.waiting.splice(index, 1);
      const decision = open.account.decideAlone(req.cost, this.#now());
      req.resolve(this.#complete(open, decision));
    });
  }

  #open(workspace: string): OpenAccount | undefined {
    const known = this.#accounts.get(workspace);
    const limit = this.#limits.get(workspace);
    if (known !== undefined || limit === undefined) return known;
    const { bound, getVmCount } = this.#options;
    const account = new QuotaAccount({
      limit,
      bound,
      startedAt: this.#startedAt,
      getVmCount,
    });
    const open = { workspace, account, waiting: [], willReturn: false };
    this.#accounts.set(workspace, open);
    return open;
  }

  #complete(open: OpenAccount, decision: QuotaDecision): QuotaResult {
    const issuer = this.#options.getIssuer(open.workspace);
    return { ...decision, figures: { ...decision.figures, issuer } };
  }

  #enqueue(open: OpenAccount): void {
    const issuer = this.#options.getIssuer(open.workspace);
    if (issuer === undefined) return this.#fail(open);
    let queue = this.#queues.get(issuer);
    if (queue === undefined) {
      queue = { accounts: new Set(), isSending: false };
      this.#queues.set(issuer, queue);
    }
    queue.accounts.add(open);
    if (queue.isSending) return;
    queue.isSending = true;
    void this.#sendAll(issuer, queue);
  }

  /** Sends messages to one issuer, one at a time, while accounts are in its queue. */
  async #sendAll(issuer: string, queue: IssuerQueue): Promise<void> {
    // Requests that arrive in the same turn share the message.
    await undefined;
    while (queue.accounts.size > 0) {
      const accounts = [...queue.accounts].slice(0, MAX_REQUESTS_PER_MESSAGE);
      for (const open of accounts) queue.accounts.delete(open);
      accounts.push(...this.#takeSettling(issuer, accounts));
      const isAnswered = await this.#send(issuer, accounts);
      if (isAnswered) continue;
      // Those that have waited for this message would wait as long again.
      for (const open of queue.accounts) this.#fail(open);
      queue.accounts.clear();
    }
    this.#queues.delete(issuer);
  }

  /** Further accounts that share a message to settle their overdraft. */
  #takeSettling(
    issuer: string,
    accounts: readonly OpenAccount[],
  ): OpenAccount[] {
    const others: OpenAccount[] = [];
    for (const open of this.#settling) {
      if (this.#options.getIssuer(open.workspace) !== issuer) continue;
      this.#settling.delete(open);
      if (accounts.includes(open)) continue;
      others.push(open);
      if (others.length === MAX_SETTLING_PER_MESSAGE) break;
    }
    return others;
  }

  async #send(
    issuer: string,
    accounts: readonly OpenAccount[],
  ): Promise<boolean> {
    const sentAt = this.#now();
    const epoch = this.#epoch;
    const requests = accounts.map(({ workspace, account, waiting }) =>
      account.createRequest(workspace, waiting.map(({ cost }) => cost), sentAt)
    );
    const asked = accounts.map(({ waiting }) => [...waiting]);
    let replies: readonly QuotaReply[];
    try {
      const id = this.#messageId++;
      replies = await this.#options.send(issuer, id, requests);
    } catch {
      for (const open of accounts) this.#fail(open);
      return false;
    }
    for (const [index, open] of accounts.entries()) {
      const reply = replies[index] ?? NOT_ISSUER;
      if (epoch !== this.#epoch || reply[1] < 0) this.#fail(open);
      else {
        const now = this.#now();
        open.account.onReply(requests[index]!, reply, { sentAt, now });
        this.#settle(open, asked[index]!);
        this.#scheduleReturn(open);
      }
    }
    return true;
  }

  /**
   * Decides the requests that wait. Those that were `asked` in the message are
   * refused if too little was issued; later ones are put into the next message.
   */
  #settle(open: OpenAccount, asked: readonly WaitingRequest[]): void {
    const now = this.#now();
    const { account, waiting } = open;
    for (let next = waiting[0]; next !== undefined; next = waiting[0]) {
      const { cost, resolve } = next;
      const wasAsked = asked.includes(next);
      const spent = account.trySpend(cost, now, QuotaSource.Asked);
      const refuse = () =>
        wasAsked ? account.refuse(cost, now) : account.refuseDenied(cost, now);
      const decision = spent ?? refuse();
      if (decision === undefined) return this.#enqueue(open);
      waiting.shift();
      resolve(this.#complete(open, decision));
    }
  }

  /** Returns what is left of the leases when they end, unless a message does so before. */
  #scheduleReturn(open: OpenAccount): void {
    const now = this.#now();
    const returnAt = open.account.getReturnAt(now);
    if (open.willReturn || returnAt === undefined) return;
    open.willReturn = true;
    this.#options.schedule(Math.ceil(returnAt - now), () => {
      open.willReturn = false;
      const isOpen = this.#accounts.get(open.workspace) === open;
      if (isOpen && open.account.hasReturns(this.#now())) this.#enqueue(open);
      else if (isOpen) this.#scheduleReturn(open);
    });
  }

  /** Decides the waiting requests without the issuer. */
  #fail(open: OpenAccount): void {
    const now = this.#now();
    open.account.onFailure(now);
    for (const { cost, resolve } of open.waiting.splice(0)) {
      resolve(this.#complete(open, open.account.decideAlone(cost, now)));
    }
  }
}
