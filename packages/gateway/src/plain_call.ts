/**
 * One request of a plain service. What may be repeated is sent again to another server
 * when one fails or is slow; everything else is sent once, and again only where the
 * server states, or the connection proves, that it has not run.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import type { ServerPool } from "@bitternfall/service";
import type { Clock } from "@bitternfall/types";
import type { Answer } from "./answer.ts";
import { type GatewayRequest, RouteKind, type ServerEntry } from "./model.ts";
import type { ServerClient, WholeResult } from "./server_client.ts";
import type { ServerDirectory } from "./server_directory.ts";
import type { SharedLimits } from "./shared_limits.ts";

/** What plain calls share on one VM. */
export interface PlainCallEnvironment {
  readonly directory: ServerDirectory;
  readonly client: ServerClient;
  readonly pool: ServerPool;
  readonly log: EventLog;
  readonly now: Clock;
  readonly limits: SharedLimits;
}

/** How a call ended, for the request's log line. */
export interface CallOutcome {
  readonly status: number;
  readonly reason: string;
  readonly servers: readonly string[];
  /** Time that the request waited for servers. */
  readonly waitedMs?: number;
  /** Duration of the last prefill, and time from the request to its first event. */
  readonly prefillMs?: number | undefined;
  readonly firstEventMs?: number | undefined;
  readonly events?: number;
  /** When the caller was told to come back. */
  readonly retryAfterMs?: number;
}

/** Sends beyond the route's attempts, of requests that no server has run. */
const EXTRA_SENDS = 2;
/** A second server is asked once a call has taken longer than this share of recent ones. */
const HEDGE_PERCENTILE = 0.95;
const HEDGE_FACTOR = 1.3;
const SHORTEST_HEDGE_MS = 40;
/** Before there are latencies to compare with, a third of the target is waited for. */
const FIRST_HEDGE_SHARE = 0.33;

interface Pending {
  readonly promise: Promise<{ pending: Pending; result: WholeResult }>;
  readonly server: ServerEntry;
  readonly stop: AbortController;
}

/** Runs one request of a plain service. */
export class PlainCall {
  readonly #env: PlainCallEnvironment;
  readonly #req: GatewayRequest;
  readonly #answer: Answer;
  readonly #pending = new Set<Pending>();
  readonly #tried: string[] = [];
  /** Sends of which a server may have run the request. */
  #runs = 0;
  /** Sends that have reached a server. */
  #arrivals = 0;

  constructor(env: PlainCallEnvironment, req: GatewayRequest, answer: Answer) {
    this.#env = env;
    this.#req = req;
    this.#answer = answer;
  }

  /** Runs to the final answer. */
  async run(): Promise<CallOutcome> {
    const { service, gone } = this.#req;
    this.#env.limits.getBudget(service.name).onRequest();
    let last: WholeResult | undefined;
    let canHedge = this.#req.route.kind === RouteKind.Safe;
    this.#start();
    while (this.#pending.size > 0) {
      const next = await this.#waitForNext(canHedge);
      if (next === "hedge") {
        canHedge = false;
        this.#start();
        continue;
      }
      this.#pending.delete(next.pending);
      const { result } = next;
      if (result.kind === "aborted" || gone.aborted) break;
      if (isFinal(result)) return this.#deliver(result);
      last = pickBetter(last, result);
      if (this.#mayRepeat(result)) this.#start();
    }
    this.#stopAll();
    if (gone.aborted) return this.#finish(499, "caller went away");
    return last === undefined ? this.#refuse() : this.#deliver(last);
  }

  /** Sends to a further server, where attempts, time and the retry budget allow it. */
  #start(): void {
    const { route, service, deadline } = this.#req;
    const { directory, pool, limits, now } = this.#env;
    const isSpent = this.#runs + this.#pending.size >= route.maxAttempts ||
      this.#tried.length >= route.maxAttempts + EXTRA_SENDS;
    if (isSpent || now() >= deadline) return;
    const server = pool.pick(directory.list(service.name), this.#tried, {
      maxOutstanding: limits.getMaxOutstanding(service),
    });
    if (server === undefined) return;
    const isRepeat = this.#arrivals + this.#pending.size > 0;
    if (isRepeat && !limits.getBudget(service.name).tryTake()) return;
    this.#tried.push(server.id);
    const stop = new AbortController();
    const pending: Pending = {
      server,
      stop,
      promise: this.#send(server, stop.signal).then((result) => ({
        pending,
        result,
      })),
    };
    this.#pending.add(pending);
  }

  async #send(server: ServerEntry, stop: AbortSignal): Promise<WholeResult> {
    const { client, pool, now } = this.#env;
    const startedAt = now();
    const end = pool.begin(server.id);
    const result = await client.sendWhole(this.#req, server, {
      traits: { lastEventId: this.#req.lastEventId },
      deadline: this.#req.deadline,
      signal: AbortSignal.any([stop, this.#req.gone]),
    });
    end();
    this.#note(server, result, now() - startedAt);
    return result;
  }

  #note(server: ServerEntry, result: WholeResult, ms: number): void {
    const { pool, limits, log } = this.#env;
    if (result.kind === "aborted") return;
    if (result.kind !== "not_sent") this.#arrivals++;
    if (result.kind === "whole" || result.kind === "unknown") this.#runs++;
    const failed = result.kind !== "whole" || result.status >= 500;
    pool.recordCall(server.id, { ms, failed });
    if (result.kind === "whole") {
      const { load } = result.traits;
      if (load !== undefined) {
        const running = load.running + load.waiting;
        pool.setReport(server.id, { running, leaving: false });
      }
      if (!failed) limits.getLatencies(this.#req.route.name).add(ms);
      return;
    }
    pool.avoid(server.id);
    log.emit("sendFailed", {
      requestId: this.#req.requestId,
      server: server.id,
      outcome: result.kind,
      reason: result.kind === "not_run" ? String(result.status) : result.reason,
      ms: Math.round(ms),
    });
  }

  #waitForNext(
    canHedge: boolean,
  ): Promise<"hedge" | { pending: Pending; result: WholeResult }> {
    const running = [...this.#pending].map(({ promise }) => promise);
    if (!canHedge || running.length > 1) return Promise.race(running);
    const { route } = this.#req;
    const latencies = this.#env.limits.getLatencies(route.name);
    const usual = latencies.getQuantile(HEDGE_PERCENTILE);
    const ms = Number.isFinite(usual)
      ? Math.max(SHORTEST_HEDGE_MS, HEDGE_FACTOR * usual)
      : FIRST_HEDGE_SHARE * route.targetMs;
    let timer: NodeJS.Timeout | undefined;
    const hedge = new Promise<"hedge">((resolve) => {
      timer = setTimeout(() => resolve("hedge"), ms);
    });
    return Promise.race([...running, hedge]).finally(() => clearTimeout(timer));
  }

  #mayRepeat(result: WholeResult): boolean {
    if (result.kind === "not_sent" || result.kind === "not_run") return true;
    return this.#req.route.kind === RouteKind.Safe;
  }

  #deliver(result: WholeResult): CallOutcome {
    this.#stopAll();
    if (result.kind === "whole") {
      this.#answer.begin(result.status, result.headers);
      this.#answer.end(result.body);
      return this.#finish(result.status, "answered");
    }
    if (result.kind === "unknown") {
      const status = result.isSilent ? 504 : 502;
      this.#answer.refuse(status, "the server failed");
      return this.#finish(status, result.reason);
    }
    return this.#refuse();
  }

  /** Nothing has run: the caller may come back. */
  #refuse(): CallOutcome {
    // Another send may have run although the last one did not.
    if (this.#runs > 0) {
      this.#answer.refuse(502, "the servers failed");
      return this.#finish(502, "servers failed");
    }
    this.#answer.refuse(503, "no server took the request");
    return this.#finish(503, "no server took it");
  }

  #stopAll(): void {
    for (const { stop } of this.#pending) stop.abort();
  }

  #finish(status: number, reason: string): CallOutcome {
    return { status, reason, servers: this.#tried };
  }
}

/** Whether no other server could answer better. */
function isFinal(result: WholeResult): boolean {
  return result.kind === "whole" && result.status < 500;
}

/** A server's own answer goes before a failure, and a failure before a refusal. */
function pickBetter(
  known: WholeResult | undefined,
  result: WholeResult,
): WholeResult {
  if (known === undefined) return result;
  const rank = (of: WholeResult) =>
    of.kind === "whole" ? 2 : of.kind === "unknown" ? 1 : 0;
  return rank(result) >= rank(known) ? result : known;
}
