/**
 * Calls of plain services: repeatable ones are retried and hedged inside a budget, the
 * others are sent once, and keyed ones run at most once across all VMs.
 * @module
 */
import { Buffer } from "node:buffer";
import * as crypto from "node:crypto";
import {
  type CallContext,
  OUTCOME_HEADER,
  type ServiceRequest,
} from "@bitternfall/caller";
import type { HttpResponse } from "@bitternfall/connection";
import type { RetryBudget } from "@bitternfall/dispatch";
import { Refusal } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import type {
  Operation,
  PlainService,
  Routing,
  Snapshot,
} from "@bitternfall/records";
import { LatencyWindow, ServiceError } from "@bitternfall/service";
import {
  type CallerIdentity,
  monotonicNow,
  Outcome,
  sleep,
} from "@bitternfall/types";
import * as zod from "zod";
import { type CellForwarder, ForwardResult } from "./cell_forwarder.ts";
import type { CellPlan } from "./cell_plan.ts";
import type { Claim, KeyedCalls } from "./keyed_calls.ts";
import type { ServicePool } from "./service_pool.ts";
import type { Upstreams } from "./upstreams.ts";

/** A caller with the routing record that applies to it. */
export interface RoutedCaller extends CallerIdentity {
  readonly routing: Routing | undefined;
}

/** Options of a {@link ServiceRouter}. */
export interface ServiceRouterOptions {
  readonly pool: ServicePool;
  readonly upstreams: Upstreams;
  readonly keyed: KeyedCalls;
  readonly log: EventLog;
  readonly getSnapshot: () => Snapshot;
  readonly getBudget: (service: string) => RetryBudget;
  readonly plan: CellPlan;
  readonly forwarder: CellForwarder;
  /** Largest answer that is kept for repeats of a key. */
  readonly answerBytes: number;
}

const MAX_TRIES = 3;
/** VMs of a key's home cell that are tried before its claim is made from here. */
const HOME_TRIES = 3;
const SHORTEST_HEDGE_MS = 15;
const KEEP_HEADERS = ["content-type", "location", "etag"];
const DROPPED_REPLY_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
const RETRY_AFTER_MS = 1000;

const keptAnswerSchema = zod.object({
  headers: zod.record(zod.string(), zod.string()),
  /** Base64; absent when the answer was too large to keep. */
  body: zod.string().optional(),
});

interface Target {
  readonly req: ServiceRequest;
  readonly service: PlainService;
  readonly operation: Operation;
  readonly timeoutMs: number;
}

/** Routes calls of plain services. */
export class ServiceRouter {
  readonly #options: ServiceRouterOptions;
  readonly #latencies = new Map<string, LatencyWindow>();

  constructor(options: ServiceRouterOptions) {
    this.#options = options;
  }

  /** Serves one call. Throws {@link Refusal}. */
  async serve(
    req: ServiceRequest,
    call: CallContext<RoutedCaller>,
  ): Promise<void> {
    const target = this.#findTarget(req, call);
    this.#options.getBudget(req.service).onRequest();
    if (target.operation.repeatable) {
      return sendReply(
        call,
        await this.#callRepeatable(target, call.callerSignal),
      );
    }
    if (call.idempotencyKey === undefined) {
      return sendReply(call, await this.#callOnce(target));
    }
    await this.#callKeyed(target, call);
  }

  #findTarget(req: ServiceRequest, call: CallContext<RoutedCaller>): Target {
    const service = this.#options.getSnapshot().plainServices.get(req.service);
    if (service === undefined) {
      throw new Refusal("not_found", `no service ${req.service}`);
    }
    const operation = call.caller.routing?.findOperation(req.service, req);
    if (operation === undefined) {
      throw new Refusal(
        "forbidden",
        `this office's routing record does not offer ${req.service}`,
      );
    }
    if (operation.keyRequired && call.idempotencyKey === undefined) {
      throw new Refusal(
        "bad_request",
        "this operation needs an Idempotency-Key",
      );
    }
    return {
      req,
      service,
      operation,
      timeoutMs: operation.timeoutMs ?? service.timeoutMs,
    };
  }

  /** Retries and hedges inside the budget until the time limit. */
  async #callRepeatable(
    target: Target,
    gone: AbortSignal,
  ): Promise<HttpResponse> {
    const endsAt = monotonicNow() + target.timeoutMs;
    const tried: string[] = [];
    const finished = new AbortController();
    const signal = AbortSignal.any([gone, finished.signal]);
    const runs: Promise<RunEnd>[] = [];
    const start = () => {
      const run = this.#tryServer(target, {
        tried,
        signal,
        timeoutMs: endsAt - monotonicNow(),
      });
      if (run !== undefined) runs.push(run);
      return run !== undefined;
    };
    const { getBudget } = this.#options;
    let mayHedge = true;
    const canRetry = () => tried.length < MAX_TRIES && monotonicNow() < endsAt;
    try {
      if (!start()) throw noServer(target);
      while (runs.length > 0) {
        const hedgeMs = mayHedge ? this.#getHedgeMs(target) : Infinity;
        const next = await raceRuns(runs, hedgeMs);
        if (next === "slow") {
          mayHedge = false;
          if (canRetry() && getBudget(target.service.name).tryTake()) start();
          continue;
        }
        void runs.splice(runs.indexOf(next.run), 1);
        if (next.end.kind === "reply" && !isTransient(next.end.reply)) {
          return next.end.reply;
        }
        const lastResort = next.end;
        if (runs.length > 0) continue;
        if (
          canRetry() &&
          (isUnsent(lastResort) || getBudget(target.service.name).tryTake()) &&
          start()
        ) continue;
        if (lastResort.kind === "reply") return lastResort.reply;
        throw toRefusal(lastResort.err);
      }
      throw noServer(target);
    } finally {
      finished.abort();
    }
  }

  /** Sends a call once; tries another server only where nothing was sent. */
  async #callOnce(target: Target): Promise<HttpResponse> {
    const tried: string[] = [];
    for (;;) {
      const run = this.#tryServer(target, {
        tried,
        signal: undefined,
        timeoutMs: target.timeoutMs,
      });
      if (run === undefined) throw noServer(target);
      const end = await run;
      if (end.kind === "reply") return end.reply;
      if (
        end.err.detail.tag !== "not_sent" ||
        tried.length >= target.service.servers.length
      ) throw toRefusal(end.err);
    }
  }

  async #callKeyed(
    target: Target,
    call: CallContext<RoutedCaller>,
  ): Promise<void> {
    const { keyed } = this.#options;
    const key = `${call.caller.workspace}/${call.idempotencyKey}`;
    if (await this.#forwardHome(key, call)) return;
    const answer = await keyed.claim(key, {
      fingerprint: getFingerprint(target.req),
      joinMs: target.timeoutMs,
    });
    if (answer.kind === "done") return sendKept(call, answer);
    if (answer.kind !== "held") throw refuseClaim(answer.kind);
    const { claim } = answer;
    if (monotonicNow() > claim.sendBy) {
      keyed.settle(claim, { result: "not-run", status: 0, answer: "" });
      throw new Refusal("timeout", "the call could not be sent in time", {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    sendReply(call, await this.#runClaimed(target, claim));
  }

  /** Sends a keyed call to the cell whose journal has its key; false when it stays here. */
  async #forwardHome(
    key: string,
    call: CallContext<RoutedCaller>,
  ): Promise<boolean> {
    const { plan, forwarder } = this.#options;
    const cell = plan.getHomeCell(key);
    if (call.isForwarded || cell === plan.ownCell) return false;
    for (const { address } of plan.listVms(cell).slice(0, HOME_TRIES)) {
      const result = await forwarder.forward(address, call);
      if (result === ForwardResult.Answered) return true;
    }
    return false;
  }

  async #runClaimed(target: Target, claim: Claim): Promise<HttpResponse> {
    const { keyed, answerBytes } = this.#options;
    try {
      const reply = await this.#callOnce(target);
      const answer = JSON.stringify(keepAnswer(reply, answerBytes));
      keyed.settle(claim, { result: "done", status: reply.status, answer });
      return reply;
    } catch (err) {
      const notRun = err instanceof Refusal &&
        err.detail.outcome === Outcome.NotRun;
      keyed.settle(claim, {
        result: notRun ? "not-run" : "unknown",
        status: 0,
        answer: "",
      });
      throw err;
    }
  }

  /** Starts one call to one server; undefined when no server is left. */
  #tryServer(
    target: Target,
    options: {
      tried: string[];
      signal: AbortSignal | undefined;
      timeoutMs: number;
    },
  ): Promise<RunEnd> | undefined {
    const { pool, upstreams } = this.#options;
    const { tried, signal, timeoutMs } = options;
    const server = pool.pick(target.service, tried);
    if (server === undefined) return undefined;
    tried.push(server.id);
    const client = upstreams.findService(server.id);
    if (client === undefined) return undefined;
    return this.#runServer(target, {
      client,
      id: server.id,
      signal,
      timeoutMs: Math.max(1, timeoutMs),
    });
  }

  async #runServer(
    target: Target,
    options: {
      client: NonNullable<ReturnType<Upstreams["findService"]>>;
      id: string;
      signal: AbortSignal | undefined;
      timeoutMs: number;
    },
  ): Promise<RunEnd> {
    const { pool, log } = this.#options;
    const { client, id, signal, timeoutMs } = options;
    const { method, path, query, headers, body } = target.req;
    const { repeatable } = target.operation;
    const end = pool.begin(id);
    const startedAt = monotonicNow();
    try {
      const reply = await client.forward({
        method,
        path: path + query,
        headers,
        body,
        timeoutMs,
        signal,
        repeatable,
      });
      this.#getLatencies(target).add(monotonicNow() - startedAt);
      return { kind: "reply", reply };
    } catch (err) {
      if (!(err instanceof ServiceError)) throw err;
      if (err.detail.tag !== "aborted") {
        pool.avoid(id);
        log.emit("upstreamFailed", { server: id, reason: err.detail.tag });
      }
      return { kind: "failed", err };
    } finally {
      end();
    }
  }

  #getHedgeMs(target: Target): number {
    return Math.max(
      SHORTEST_HEDGE_MS,
      this.#getLatencies(target).getQuantile(0.95),
    );
  }

  #getLatencies(target: Target): LatencyWindow {
    const name = target.service.name;
    const known = this.#latencies.get(name) ?? new LatencyWindow();
    this.#latencies.set(name, known);
    return known;
  }
}

type RunEnd =
  | { readonly kind: "reply"; readonly reply: HttpResponse }
  | { readonly kind: "failed"; readonly err: ServiceError };

/** Waits for the first run to end, or for `slowMs`. */
async function raceRuns(
  runs: readonly Promise<RunEnd>[],
  slowMs: number,
): Promise<{ run: Promise<RunEnd>; end: RunEnd } | "slow"> {
  const stop = new AbortController();
  const ends = runs.map(async (run) => ({ run, end: await run }));
  const slow = Number.isFinite(slowMs)
    ? [sleep(slowMs, stop.signal).then(() => "slow" as const)]
    : [];
  const first = await Promise.race([...ends, ...slow]);
  stop.abort();
  return first;
}

/** Fingerprint of a call, by which a repeat is told from another call under the same key. */
export function getFingerprint(req: ServiceRequest): string {
  const hash = crypto.createHash("sha256");
  hash.update(`${req.service}\n${req.method}\n${req.path}${req.query}\n`);
  if (req.body !== undefined) hash.update(req.body);
  return hash.digest("base64url");
}

function keepAnswer(
  reply: HttpResponse,
  maxBytes: number,
): zod.infer<typeof keptAnswerSchema> {
  const headers: { [name: string]: string } = {};
  for (const name of KEEP_HEADERS) {
    const value = reply.headers[name];
    if (typeof value === "string") headers[name] = value;
  }
  return reply.body.length > maxBytes
    ? { headers }
    : { headers, body: reply.body.toString("base64") };
}

function sendKept(
  call: CallContext<RoutedCaller>,
  answer: { status: number; answer: string },
): void {
  const kept = keptAnswerSchema.parse(JSON.parse(answer.answer));
  if (kept.body === undefined) {
    const text = "the call ran; its answer was too large to be kept";
    throw new Refusal("answer_not_kept", text, { outcome: Outcome.Ran });
  }
  const { res } = call;
  if (res.destroyed) return;
  res.writeHead(answer.status, {
    ...kept.headers,
    [OUTCOME_HEADER]: Outcome.Ran,
    "bitternfall-replayed": "true",
  });
  res.end(Buffer.from(kept.body, "base64"));
}

function sendReply(call: CallContext<RoutedCaller>, reply: HttpResponse): void {
  const { res } = call;
  if (res.destroyed) return;
  const headers: { [name: string]: string | string[] } = {
    [OUTCOME_HEADER]: Outcome.Ran,
  };
  for (const [name, value] of Object.entries(reply.headers)) {
    if (value !== undefined && !DROPPED_REPLY_HEADERS.has(name)) {
      headers[name] = value;
    }
  }
  res.writeHead(reply.status, headers);
  res.end(reply.body);
}

function refuseClaim(
  kind: "unknown" | "mismatch" | "unavailable" | "running",
): Refusal {
  const retryAfterMs = RETRY_AFTER_MS;
  if (kind === "mismatch") {
    return new Refusal("key_reused", "this key was used with another request");
  }
  if (kind === "unavailable") {
    return new Refusal(
      "store_unavailable",
      "the journal can't be written; the call did not run",
      { retryAfterMs },
    );
  }
  const text = kind === "running"
    ? "a call with this key is still running"
    : "a call with this key may have run";
  return new Refusal("timeout", text, {
    outcome: Outcome.Unknown,
    retryAfterMs,
  });
}

function noServer(target: Target): Refusal {
  return new Refusal(
    "overloaded",
    `no server of ${target.service.name} can be reached`,
    {
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}

function toRefusal(err: ServiceError): Refusal {
  if (err.detail.tag === "not_sent") {
    return new Refusal("overloaded", "no server could be reached", {
      retryAfterMs: RETRY_AFTER_MS,
      cause: err,
    });
  }
  const silent = err.detail.tag === "may_have_run" && err.detail.isTimeout;
  const text = silent
    ? "the server did not answer in time"
    : "the server broke off";
  return new Refusal(silent ? "timeout" : "upstream_failed", text, {
    outcome: Outcome.Unknown,
    cause: err,
  });
}

function isUnsent(end: RunEnd): boolean {
  return end.kind === "failed" && end.err.detail.tag === "not_sent";
}

function isTransient(reply: HttpResponse): boolean {
  return reply.status === 502 || reply.status === 503 || reply.status === 504;
}
