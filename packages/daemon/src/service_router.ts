/**
 * Routes calls of plain services. Repeatable calls are retried and hedged within a retry
 * budget, other calls are sent once, and calls with an idempotency key run at most once
 * across all VMs.
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

/** A caller and the routing record of its office. */
export interface RoutedCaller extends CallerIdentity {
  readonly routing: Routing | undefined;
}

/** Options of a {@link ServiceRouter}. */
export interface ServiceRouterOptions {
  readonly pool: ServicePool;
  readonly upstreams: Upstreams;
  readonly keyedCalls: KeyedCalls;
  readonly log: EventLog;
  readonly getSnapshot: () => Snapshot;
  readonly getRetryBudget: (service: string) => RetryBudget;
  readonly plan: CellPlan;
  readonly forwarder: CellForwarder;
  /** Largest response body stored for retries with the same idempotency key. */
  readonly maxStoredBytes: number;
}

const MAX_ATTEMPTS = 3;
/** After this many failed VMs of a key's home cell, this VM claims the key itself. */
const MAX_HOME_CELL_ATTEMPTS = 3;
const MIN_HEDGE_DELAY_MS = 15;
const STORED_RESPONSE_HEADERS = ["content-type", "location", "etag"];
const DROPPED_RESPONSE_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
const RETRY_AFTER_MS = 1000;

const storedResponseSchema = zod.object({
  headers: zod.record(zod.string(), zod.string()),
  /** Base64; absent if the body was too large to store. */
  body: zod.string().optional(),
});

/** A request with the service and operation that it is routed to. */
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
    const target = this.#resolveTarget(req, call);
    this.#options.getRetryBudget(req.service).onRequest();
    if (target.operation.repeatable) {
      return sendResponse(
        call,
        await this.#sendWithRetries(target, call.callerSignal),
      );
    }
    if (call.idempotencyKey === undefined) {
      return sendResponse(call, await this.#sendOnce(target));
    }
    await this.#sendKeyed(target, call);
  }

  #resolveTarget(req: ServiceRequest, call: CallContext<RoutedCaller>): Target {
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

  /**
   * Sends a call with retries and at most one hedged request, until the deadline. Each of
   * them takes from the retry budget, except a retry after an attempt that sent nothing.
   */
  async #sendWithRetries(
    target: Target,
    callerSignal: AbortSignal,
  ): Promise<HttpResponse> {
    const deadline = monotonicNow() + target.timeoutMs;
    const triedServers: string[] = [];
    const attemptsAborter = new AbortController();
    const signal = AbortSignal.any([callerSignal, attemptsAborter.signal]);
    const attempts: Promise<AttemptResult>[] = [];
    const startAttempt = () => {
      const attempt = this.#startAttempt(target, {
        triedServers,
        signal,
        timeoutMs: deadline - monotonicNow(),
      });
      if (attempt !== undefined) attempts.push(attempt);
      return attempt !== undefined;
    };
    const { getRetryBudget } = this.#options;
    let canHedge = true;
    const canRetry = () =>
      triedServers.length < MAX_ATTEMPTS && monotonicNow() < deadline;
    try {
      if (!startAttempt()) throw createNoServerRefusal(target);
      while (attempts.length > 0) {
        const hedgeDelayMs = canHedge
          ? this.#getHedgeDelayMs(target)
          : Infinity;
        const first = await raceAttempts(attempts, hedgeDelayMs);
        if (first === "slow") {
          canHedge = false;
          if (canRetry() && getRetryBudget(target.service.name).tryTake()) {
            startAttempt();
          }
          continue;
        }
        void attempts.splice(attempts.indexOf(first.attempt), 1);
        if (
          first.result.kind === "reply" &&
          !isTransientFailure(first.result.response)
        ) {
          return first.result.response;
        }
        const result = first.result;
        if (attempts.length > 0) continue;
        if (
          canRetry() &&
          (isNotSent(result) ||
            getRetryBudget(target.service.name).tryTake()) &&
          startAttempt()
        ) continue;
        if (result.kind === "reply") return result.response;
        throw toRefusal(result.err);
      }
      throw createNoServerRefusal(target);
    } finally {
      attemptsAborter.abort();
    }
  }

  /** Sends a call at most once; tries another server only if nothing was sent. */
  async #sendOnce(target: Target): Promise<HttpResponse> {
    const triedServers: string[] = [];
    for (;;) {
      const attempt = this.#startAttempt(target, {
        triedServers,
        signal: undefined,
        timeoutMs: target.timeoutMs,
      });
      if (attempt === undefined) throw createNoServerRefusal(target);
      const result = await attempt;
      if (result.kind === "reply") return result.response;
      if (
        result.err.detail.tag !== "not_sent" ||
        triedServers.length >= target.service.servers.length
      ) throw toRefusal(result.err);
    }
  }

  async #sendKeyed(
    target: Target,
    call: CallContext<RoutedCaller>,
  ): Promise<void> {
    const { keyedCalls } = this.#options;
    const key = `${call.caller.workspace}/${call.idempotencyKey}`;
    if (await this.#forwardToHomeCell(key, call)) return;
    const outcome = await keyedCalls.claim(key, {
      fingerprint: getFingerprint(target.req),
      joinTimeoutMs: target.timeoutMs,
    });
    if (outcome.kind === "done") return sendStoredResponse(call, outcome);
    if (outcome.kind !== "held") throw toClaimRefusal(outcome.kind);
    const { claim } = outcome;
    if (monotonicNow() > claim.sendDeadline) {
      keyedCalls.settle(claim, { result: "not-run", status: 0, answer: "" });
      throw new Refusal("timeout", "the call could not be sent in time", {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    sendResponse(call, await this.#sendClaimed(target, claim));
  }

  /**
   * Forwards a keyed call to the cell whose journal holds its key. Returns false if the call
   * is to run here: this is the home cell, or none of the VMs tried could be reached.
   */
  async #forwardToHomeCell(
    key: string,
    call: CallContext<RoutedCaller>,
  ): Promise<boolean> {
    const { plan, forwarder } = this.#options;
    const cell = plan.getHomeCell(key);
    if (call.isForwarded || cell === plan.ownCell) return false;
    for (
      const { address } of plan.listVms(cell).slice(0, MAX_HOME_CELL_ATTEMPTS)
    ) {
      const result = await forwarder.forward(address, call);
      if (result === ForwardResult.Completed) return true;
    }
    return false;
  }

  async #sendClaimed(target: Target, claim: Claim): Promise<HttpResponse> {
    const { keyedCalls, maxStoredBytes } = this.#options;
    try {
      const response = await this.#sendOnce(target);
      const answer = JSON.stringify(
        toStoredResponse(response, maxStoredBytes),
      );
      keyedCalls.settle(claim, {
        result: "done",
        status: response.status,
        answer,
      });
      return response;
    } catch (err) {
      const isNotRun = err instanceof Refusal &&
        err.detail.outcome === Outcome.NotRun;
      keyedCalls.settle(claim, {
        result: isNotRun ? "not-run" : "unknown",
        status: 0,
        answer: "",
      });
      throw err;
    }
  }

  /** Starts an attempt on an untried server; undefined if there is none. */
  #startAttempt(
    target: Target,
    options: {
      triedServers: string[];
      signal: AbortSignal | undefined;
      timeoutMs: number;
    },
  ): Promise<AttemptResult> | undefined {
    const { pool, upstreams } = this.#options;
    const { triedServers, signal, timeoutMs } = options;
    const server = pool.pick(target.service, triedServers);
    if (server === undefined) return undefined;
    triedServers.push(server.id);
    const client = upstreams.findService(server.id);
    if (client === undefined) return undefined;
    return this.#sendToServer(target, {
      client,
      id: server.id,
      signal,
      timeoutMs: Math.max(1, timeoutMs),
    });
  }

  async #sendToServer(
    target: Target,
    options: {
      client: NonNullable<ReturnType<Upstreams["findService"]>>;
      id: string;
      signal: AbortSignal | undefined;
      timeoutMs: number;
    },
  ): Promise<AttemptResult> {
    const { pool, log } = this.#options;
    const { client, id, signal, timeoutMs } = options;
    const { method, path, query, headers, body } = target.req;
    const { repeatable } = target.operation;
    const endCall = pool.begin(id);
    const startedAt = monotonicNow();
    try {
      const response = await client.forward({
        method,
        path: path + query,
        headers,
        body,
        timeoutMs,
        signal,
        repeatable,
      });
      this.#getLatencies(target).add(monotonicNow() - startedAt);
      return { kind: "reply", response };
    } catch (err) {
      if (!(err instanceof ServiceError)) throw err;
      if (err.detail.tag !== "aborted") {
        pool.avoid(id);
        log.emit("upstreamFailed", { server: id, reason: err.detail.tag });
      }
      return { kind: "failed", err };
    } finally {
      endCall();
    }
  }

  #getHedgeDelayMs(target: Target): number {
    return Math.max(
      MIN_HEDGE_DELAY_MS,
      this.#getLatencies(target).getQuantile(0.95),
    );
  }

  #getLatencies(target: Target): LatencyWindow {
    const name = target.service.name;
    const latencies = this.#latencies.get(name) ?? new LatencyWindow();
    this.#latencies.set(name, latencies);
    return latencies;
  }
}

type AttemptResult =
  | { readonly kind: "reply"; readonly response: HttpResponse }
  | { readonly kind: "failed"; readonly err: ServiceError };

/** Resolves with the first attempt that ends, or with "slow" after `hedgeDelayMs`. */
async function raceAttempts(
  attempts: readonly Promise<AttemptResult>[],
  hedgeDelayMs: number,
): Promise<
  { attempt: Promise<AttemptResult>; result: AttemptResult } | "slow"
> {
  const timerAborter = new AbortController();
  const ends = attempts.map(async (attempt) => ({
    attempt,
    result: await attempt,
  }));
  const timers = Number.isFinite(hedgeDelayMs)
    ? [sleep(hedgeDelayMs, timerAborter.signal).then(() => "slow" as const)]
    : [];
  const first = await Promise.race([...ends, ...timers]);
  timerAborter.abort();
  return first;
}

/** Returns a hash that tells a retry from a different call with the same key. */
export function getFingerprint(req: ServiceRequest): string {
  const hash = crypto.createHash("sha256");
  hash.update(`${req.service}\n${req.method}\n${req.path}${req.query}\n`);
  if (req.body !== undefined) hash.update(req.body);
  return hash.digest("base64url");
}

function toStoredResponse(
  response: HttpResponse,
  maxBytes: number,
): zod.infer<typeof storedResponseSchema> {
  const headers: { [name: string]: string } = {};
  for (const name of STORED_RESPONSE_HEADERS) {
    const value = response.headers[name];
    if (typeof value === "string") headers[name] = value;
  }
  return response.body.length > maxBytes
    ? { headers }
    : { headers, body: response.body.toString("base64") };
}

function sendStoredResponse(
  call: CallContext<RoutedCaller>,
  outcome: { status: number; answer: string },
): void {
  const stored = storedResponseSchema.parse(JSON.parse(outcome.answer));
  if (stored.body === undefined) {
    const text = "the call ran; its answer was too large to be kept";
    throw new Refusal("answer_not_kept", text, { outcome: Outcome.Ran });
  }
  const { res } = call;
  if (res.destroyed) return;
  res.writeHead(outcome.status, {
    ...stored.headers,
    [OUTCOME_HEADER]: Outcome.Ran,
    "bitternfall-replayed": "true",
  });
  res.end(Buffer.from(stored.body, "base64"));
}

function sendResponse(
  call: CallContext<RoutedCaller>,
  response: HttpResponse,
): void {
  const { res, memory } = call;
  if (res.destroyed) return;
  if (!memory.reserve(response.body.length)) {
    const text = "the call ran; there was no memory for its answer";
    throw new Refusal("answer_not_kept", text, { outcome: Outcome.Ran });
  }
  const headers: { [name: string]: string | string[] } = {
    [OUTCOME_HEADER]: Outcome.Ran,
  };
  for (const [name, value] of Object.entries(response.headers)) {
    if (value !== undefined && !DROPPED_RESPONSE_HEADERS.has(name)) {
      headers[name] = value;
    }
  }
  res.writeHead(response.status, headers);
  res.end(response.body);
}

function toClaimRefusal(
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

function createNoServerRefusal(target: Target): Refusal {
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
  const isTimeout = err.detail.tag === "may_have_run" && err.detail.isTimeout;
  const text = isTimeout
    ? "the server did not answer in time"
    : "the server broke off";
  return new Refusal(isTimeout ? "timeout" : "upstream_failed", text, {
    outcome: Outcome.Unknown,
    cause: err,
  });
}

function isNotSent(result: AttemptResult): boolean {
  return result.kind === "failed" && result.err.detail.tag === "not_sent";
}

function isTransientFailure(response: HttpResponse): boolean {
  return response.status === 502 || response.status === 503 ||
    response.status === 504;
}
