/**
 * Assigns servers to the calls of several VMs. Each VM alone knows little of a server's load,
 * since it sends few calls; a VM that assigns those of many knows most of the calls that a
 * server has now. The state is lost with its VM: a new one starts from the next reports.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";
import { BalancingPolicy, ServerPool } from "./server_pool.ts";
import type { LoadReport, PooledServer } from "./server_state.ts";

/** Options of a {@link ServerAssigner}. */
export interface ServerAssignerOptions {
  readonly random?: () => number;
  readonly now?: Clock;
}

/** A call to be assigned. */
export interface AssignRequest {
  /** The VM that sends it. */
  readonly vm: string;
  /** Servers that it can't be sent to. */
  readonly excluded: readonly string[];
  /** Zone of that VM. */
  readonly availabilityZone: string;
  /** Time after which it has ended, even if nobody says so. */
  readonly timeoutMs: number;
}

/** What became of a call; the values are those of messages. */
export enum AssignedOutcome {
  Served = 0,
  /** The server answered that it failed. */
  Failed = 1,
  /** The server did not answer, or refused the call. */
  NoAnswer = 2,
}

/** How an assigned call has ended. */
export interface AssignedCallEnd {
  readonly ms: number;
  readonly outcome: AssignedOutcome;
  readonly report?: LoadReport | undefined;
}

interface AssignedCall {
  readonly vm: string;
  readonly server: PooledServer;
  readonly callsAtStart: number;
  readonly expiresAt: number;
  readonly end: () => void;
}

/** Limits the time that is spent on looking for calls whose end was not reported. */
const EXPIRY_CHECK_INTERVAL_MS = 100;
/** Two VMs that get no answer within this time are taken for a fault of the server. */
const SAME_FAULT_MS = 1000;
/** Calls are numbered from below this, so that an earlier process has used other numbers. */
const MAX_FIRST_CALL = 1e6;

/** The calls that this VM has assigned, and the servers' load by them. */
export class ServerAssigner {
  readonly #pool: ServerPool;
  readonly #now: Clock;
  readonly #calls = new Map<number, AssignedCall>();
  /** The VM that last got no answer from a server, and when. */
  readonly #unanswered = new Map<string, { vm: string; at: number }>();
  #lastCall: number;
  #nextCheckAt = 0;

  constructor(options: ServerAssignerOptions = {}) {
    const { now = monotonicNow, random = Math.random } = options;
    this.#lastCall = Math.floor(MAX_FIRST_CALL * random());
    this.#now = now;
    this.#pool = new ServerPool({
      ...options,
      availabilityZone: "",
      policy: BalancingPolicy.EstimatedLoad,
    });
  }

  /** Number of assigned calls that have not ended. */
  get size(): number {
    return this.#calls.size;
  }

  /** Assigns a server; undefined if none is left. */
  assign<S extends PooledServer>(
    servers: readonly S[],
    { vm, excluded, availabilityZone, timeoutMs }: AssignRequest,
  ): { call: number; server: S } | undefined {
    this.#expire();
    const server = this.#pool.pick(servers, excluded, { availabilityZone });
    if (server === undefined) return undefined;
    const end = this.#pool.begin(server);
    const call = ++this.#lastCall;
    this.#calls.set(call, {
      vm,
      server,
      end,
      callsAtStart: this.#pool.getEstimate(server).calls,
      expiresAt: this.#now() + timeoutMs,
    });
    return { call, server };
  }

  /** Ends an assigned call; `result` is undefined if it was not sent. */
  end(call: number, result?: AssignedCallEnd): void {
    const known = this.#calls.get(call);
    if (known === undefined) return;
    this.#calls.delete(call);
    const { vm, server, callsAtStart, end } = known;
    end();
    if (result === undefined) return;
    const { ms, outcome, report } = result;
    const failed = outcome !== AssignedOutcome.Served;
    this.#pool.recordCall(server, { ms, failed, callsAtStart });
    if (report !== undefined) this.#pool.setReport(server, report);
    if (outcome === AssignedOutcome.NoAnswer) this.#onNoAnswer(server, vm);
  }

  /** What is estimated of a server. */
  getEstimate(server: PooledServer): ReturnType<ServerPool["getEstimate"]> {
    return this.#pool.getEstimate(server);
  }

  /** Forgets servers that are no longer known. */
  retain(isKnown: (id: string) => boolean): void {
    this.#expire();
    this.#pool.retain(isKnown);
    for (const id of this.#unanswered.keys()) {
      if (!isKnown(id)) this.#unanswered.delete(id);
    }
  }

  /**
   * Avoids a server that two VMs get no answer from. A single VM may have lost its way to
   * the server, and says itself that it is not to be sent there.
   */
  #onNoAnswer(server: PooledServer, vm: string): void {
    const at = this.#now();
    const before = this.#unanswered.get(server.id);
    this.#unanswered.set(server.id, { vm, at });
    if (before === undefined || before.vm === vm) return;
    if (at - before.at <= SAME_FAULT_MS) this.#pool.avoid(server);
  }

  #expire(): void {
    const now = this.#now();
    if (now < this.#nextCheckAt) return;
    this.#nextCheckAt = now + EXPIRY_CHECK_INTERVAL_MS;
    for (const [call, { expiresAt }] of this.#calls) {
      if (expiresAt <= now) this.end(call);
    }
  }
}
