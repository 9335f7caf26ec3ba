/**
 * Assigns servers to the calls of several VMs. Each VM alone knows little of a server's load,
 * since it sends few calls; a VM that assigns those of many knows most of the calls that a
 * server has now. The state is lost with its VM: a new one starts from the next reports.
 * @module
 */
import { type Clock, monotonicNow } from "@bitternfall/types";
import { BalancingPolicy, ServerPool } from "./server_pool.ts";
import type { FinishedCall, LoadReport, PooledServer } from "./server_state.ts";

/** Options of a {@link ServerAssigner}. */
export interface ServerAssignerOptions {
  readonly random?: () => number;
  readonly now?: Clock;
}

/** A call to be assigned. */
export interface AssignRequest {
  /** Servers that it can't be sent to. */
  readonly excluded: readonly string[];
  /** Zone of the VM that sends it. */
  readonly availabilityZone: string;
  /** Time after which it has ended, even if nobody says so. */
  readonly timeoutMs: number;
}

/** How an assigned call has ended. */
export interface AssignedCallEnd extends FinishedCall {
  readonly report?: LoadReport | undefined;
}

interface AssignedCall {
  readonly server: PooledServer;
  readonly callsAtStart: number;
  readonly expiresAt: number;
  readonly end: () => void;
}

/** Limits the time that is spent on looking for calls whose end was not reported. */
const EXPIRY_CHECK_INTERVAL_MS = 100;

/** The calls that this VM has assigned, and the servers' load by them. */
export class ServerAssigner {
  readonly #pool: ServerPool;
  readonly #now: Clock;
  readonly #calls = new Map<number, AssignedCall>();
  #lastCall = 0;
  #nextCheckAt = 0;

  constructor(options: ServerAssignerOptions = {}) {
    const { now = monotonicNow } = options;
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
    { excluded, availabilityZone, timeoutMs }: AssignRequest,
  ): { call: number; server: S } | undefined {
    this.#expire();
    const server = this.#pool.pick(servers, excluded, { availabilityZone });
    if (server === undefined) return undefined;
    const end = this.#pool.begin(server);
    const call = ++this.#lastCall;
    this.#calls.set(call, {
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
    const { server, callsAtStart, end } = known;
    end();
    if (result === undefined) return;
    const { ms, failed, report } = result;
    this.#pool.recordCall(server, { ms, failed, callsAtStart });
    if (report !== undefined) this.#pool.setReport(server, report);
    else if (failed) this.#pool.avoid(server);
  }

  /** What is estimated of a server. */
  getEstimate(server: PooledServer): ReturnType<ServerPool["getEstimate"]> {
    return this.#pool.getEstimate(server);
  }

  /** Forgets servers that are no longer known. */
  retain(isKnown: (id: string) => boolean): void {
    this.#expire();
    this.#pool.retain(isKnown);
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
