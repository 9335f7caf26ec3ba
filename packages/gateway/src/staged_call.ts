/**
 * One stream of a model service: a place at a decode server for the whole run is taken
 * before the prompt is read at a prefill server; the decode server fetches the result
 * and its events are relayed. A stream that its route lets go on is resumed elsewhere
 * after its last whole event.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  type Grant,
  NO_PREFILL,
  Phase,
  RefusalReason,
} from "@bitternfall/dispatch";
import type {
  DispatchClient,
  RunningCall,
  RunningCalls,
  RunningGrant,
} from "@bitternfall/dispatch-host";
import type { EventLog } from "@bitternfall/events";
import { type Clock, monotonicNow, Priority } from "@bitternfall/types";
import type { Answer } from "./answer.ts";
import type { PrefillResult, ServerDialect } from "./dialect.ts";
import { passHeaders } from "./headers.ts";
import type { EngineTraits, GatewayRequest, PromptTraits } from "./model.ts";
import type { CallOutcome } from "./plain_call.ts";
import { estimateHeldTokens, hashParts } from "./prompt_estimate.ts";
import type {
  CallableServer,
  SendResult,
  ServerClient,
  WholeResult,
} from "./server_client.ts";
import type { ServerDirectory } from "./server_directory.ts";
import type { SharedLimits } from "./shared_limits.ts";
import { relayStream } from "./stream_relay.ts";

/** What staged calls share on one VM. */
export interface StagedCallEnvironment {
  readonly vmId: string;
  readonly availabilityZone: string;
  readonly directory: ServerDirectory;
  readonly client: ServerClient;
  readonly dialect: ServerDialect;
  readonly dispatch: Pick<
    DispatchClient,
    "acquire" | "prefilled" | "started" | "release"
  >;
  readonly calls: RunningCalls;
  readonly log: EventLog;
  readonly now: Clock;
  readonly limits: SharedLimits;
}

/** How one grant was used. */
type GrantEnd =
  | { readonly kind: "done"; readonly status: number }
  | { readonly kind: "gone" }
  | {
    readonly kind: "failed";
    readonly reason: string;
    /** Server that the failure is held against. */
    readonly server: string | undefined;
    /** Whether any server has got the request under this grant. */
    readonly wasSent: boolean;
    /** Whether the request may have run there. */
    readonly mayHaveRun: boolean;
    readonly isSilent?: boolean;
  };

/** Tries beyond the route's attempts, of requests that no server has run. */
const EXTRA_TRIES = 2;
/** A prefill that takes this much longer than its prompt should is taken for lost. */
const PREFILL_BASE_MS = 1200;
const PREFILL_MS_PER_TOKEN = 0.15;
/** Callers give up a stream after a gap of about twice this. */
const LONGEST_PAUSE_MS = 1800;
/** The first event of a request that is late already is waited for so long at most. */
const LATE_FIRST_EVENT_MS = 2000;
/** Share of what is left of a late caller's deadline that may pass before the first event. */
const LATE_SHARE = 0.35;

/** Runs one stream. */
export class StagedCall implements RunningCall {
  readonly #env: StagedCallEnvironment;
  readonly #req: GatewayRequest;
  readonly #prompt: PromptTraits;
  readonly #engine: EngineTraits;
  readonly #answer: Answer;
  readonly #avoid: string[] = [];
  readonly #servers: string[] = [];
  #attempt = 0;
  #current: RunningGrant | undefined;
  /** Grants of which a server may have run the request. */
  #runs = 0;
  /** A server's own answer that is no stream. */
  #failure: Extract<WholeResult, { kind: "whole" }> | undefined;
  #events = 0;
  #lastEventId: string | undefined;
  #firstEventAt = 0;
  /** Duration of the last prefill, and time from the request to its first event. */
  #prefillMs: number | undefined;
  #firstEventMs: number | undefined;

  constructor(
    env: StagedCallEnvironment,
    req: GatewayRequest,
    options: { prompt: PromptTraits; engine: EngineTraits; answer: Answer },
  ) {
    this.#env = env;
    this.#req = req;
    this.#prompt = options.prompt;
    this.#engine = options.engine;
    this.#answer = options.answer;
    this.#lastEventId = req.lastEventId;
  }

  get attempt(): number {
    return this.#attempt;
  }

  get current(): RunningGrant | undefined {
    return this.#current;
  }

  /** Runs to the end of the answer. */
  async run(): Promise<CallOutcome> {
    const { calls, limits } = this.#env;
    const { requestId, service } = this.#req;
    limits.getBudget(service.name).onRequest();
    calls.add(requestId, this);
    try {
      return await this.#runAttempts();
    } finally {
      calls.remove(requestId);
    }
  }

  async #runAttempts(): Promise<CallOutcome> {
    for (;;) {
      this.#attempt++;
      const grant = await this.#acquire();
      if ("status" in grant) return grant;
      const end = await this.#useGrant(grant);
      if (end.kind === "done") return this.#finish(end.status, "answered");
      if (end.kind === "gone") return this.#finish(499, "caller went away");
      if (end.mayHaveRun) this.#runs++;
      if (end.server !== undefined) this.#avoid.push(end.server);
      const goesOn = this.#mayTryAgain(end);
      this.#env.log.emit("grantFailed", {
        requestId: this.#req.requestId,
        server: end.server,
        reason: end.reason,
        mayHaveRun: end.mayHaveRun,
        events: this.#events,
        goesOn,
      });
      if (!goesOn) return this.#fail(end);
    }
  }

  #mayTryAgain(
    { mayHaveRun, wasSent }: Extract<GrantEnd, { kind: "failed" }>,
  ): boolean {
    const { route, service, deadline } = this.#req;
    if (this.#env.now() >= deadline) return false;
    if (mayHaveRun && !route.isResumable) return false;
    if (this.#runs >= route.maxAttempts) return false;
    if (this.#attempt >= route.maxAttempts + EXTRA_TRIES) return false;
    // A grant that was given back unused costs no server anything.
    if (!wasSent) return true;
    return this.#env.limits.getBudget(service.name).tryTake();
  }

  /** Gives the final answer of a request that no further server is asked for. */
  #fail(end: Extract<GrantEnd, { kind: "failed" }>): CallOutcome {
    if (this.#answer.isBegun) {
      this.#answer.cut();
      return this.#finish(0, end.reason);
    }
    if (this.#failure !== undefined) {
      this.#deliverFailure(this.#failure);
      return this.#finish(this.#failure.status, end.reason);
    }
    if (this.#runs === 0) {
      this.#answer.refuse(503, "no server took the request");
      return this.#finish(503, end.reason);
    }
    const status = end.isSilent ? 504 : 502;
    this.#answer.refuse(status, "the server failed");
    return this.#finish(status, end.reason);
  }

  /** Gets servers, or the outcome of a request that was refused. */
  async #acquire(): Promise<Grant | CallOutcome> {
    const { service, gone, requestId } = this.#req;
    const req = this.#createAcquire();
    const askedAt = monotonicNow();
    const decision = await this.#env.dispatch.acquire(service.name, req, gone);
    const waitedMs = Math.round(monotonicNow() - askedAt);
    if (decision.kind === "grant") {
      const { prefill, decode } = decision.grant;
      this.#env.log.emit("grantReceived", {
        requestId,
        attempt: this.#attempt,
        prefill,
        decode,
        heldTokens: req.heldTokens ?? 0,
        waitedMs,
        leftMs: Math.round(req.deadline - monotonicNow()),
      });
      return decision.grant;
    }
    if (gone.aborted || decision.reason === RefusalReason.Withdrawn) {
      return this.#finish(499, "caller went away");
    }
    return this.#refuse(decision, waitedMs);
  }

  /** Gives the final answer of a request that the dispatcher refused. */
  #refuse(
    { reason, retryAfterMs }: Extract<Decision, { kind: "refusal" }>,
    waitedMs: number,
  ): CallOutcome {
    if (this.#answer.isBegun) {
      this.#answer.cut();
      return this.#finish(0, reason, { waitedMs });
    }
    if (this.#failure !== undefined) {
      this.#deliverFailure(this.#failure);
      return this.#finish(this.#failure.status, reason, { waitedMs });
    }
    if (this.#runs > 0) {
      this.#answer.refuse(502, "the server failed");
      return this.#finish(502, reason, { waitedMs });
    }
    this.#answer.refuse(503, `no servers: ${reason}`, retryAfterMs);
    return this.#finish(503, reason, { waitedMs, retryAfterMs });
  }

  #createAcquire(): AcquireRequest {
    const { route, requestId, service } = this.#req;
    const { directory } = this.#env;
    const { promptTokens, maxOutputTokens } = this.#prompt;
    const outputTokens = this.#events * this.#engine.tokensPerEvent;
    const now = monotonicNow();
    const { deadlineMs, arrivedAt, deadline } = this.#req;
    return {
      requestId,
      attempt: this.#attempt,
      workspace: route.name,
      owner: this.#env.vmId,
      availabilityZone: this.#env.availabilityZone,
      // Work that has begun goes first: its prefill would otherwise be wasted.
      priority: this.#attempt > 1 ? Priority.Interactive : Priority.Normal,
      promptTokens,
      outputTokens,
      maxTokens: maxOutputTokens,
      deadline: arrivedAt + route.targetMs,
      patience: {
        leftMs: deadlineMs ?? route.timeoutMs,
        lateDeadline: now +
          Math.min(LATE_SHARE * (deadline - now), LATE_FIRST_EVENT_MS),
      },
      hashes: hashParts(this.#prompt.parts),
      avoid: [...this.#avoid, ...directory.listLeaving(service.name)],
      heldTokens: estimateHeldTokens(this.#prompt, {
        engine: this.#engine,
        outputTokens,
      }),
    };
  }

  async #useGrant(grant: Grant): Promise<GrantEnd> {
    const { dispatch } = this.#env;
    const { service, gone } = this.#req;
    const eventsBefore = this.#events;
    this.#firstEventAt = 0;
    this.#current = { service: service.name, grant, phase: Phase.Prefill };
    const end = gone.aborted
      ? { kind: "gone" } as const
      : await this.#runStages(grant);
    const made = this.#events - eventsBefore;
    dispatch.release(service.name, grant, {
      outputTokens: made,
      intervalMs: made > 1 ? (monotonicNow() - this.#firstEventAt) / made : 0,
      failedServer: end.kind === "failed" ? end.server : undefined,
    });
    this.#current = undefined;
    return end;
  }

  async #runStages(grant: Grant): Promise<GrantEnd> {
    const grantedAt = monotonicNow();
    const decode = this.#findServer(grant.decode, grant.decodeAddress);
    if (decode === undefined) return giveBack("decode", grant.decode);
    if (grant.prefill === NO_PREFILL) {
      return await this.#decode(grant, { decode, prefillEndAt: grantedAt });
    }
    const prefill = this.#findServer(grant.prefill, grant.prefillAddress);
    if (prefill === undefined) return giveBack("prefill", grant.prefill);
    const result = await this.#prefill(prefill);
    if ("kind" in result) return result;
    const prefillEndAt = monotonicNow();
    this.#prefillMs = Math.round(prefillEndAt - grantedAt);
    this.#env.dispatch.prefilled(this.#req.service.name, grant);
    if (this.#env.directory.isLeaving(grant.decode)) {
      this.#free(prefill, result);
      return fail("decode server left", grant.decode);
    }
    const end = await this.#decode(grant, { decode, result, prefillEndAt });
    if (end.kind !== "done") this.#free(prefill, result);
    return end;
  }

  /**
   * A granted server, by the dispatcher's word where this VM does not know it; undefined
   * where it is known to leave, which the dispatcher may learn later than this VM.
   */
  #findServer(
    id: string,
    address: string | undefined,
  ): CallableServer | undefined {
    if (this.#env.directory.isLeaving(id)) return undefined;
    this.#servers.push(id);
    const known = this.#env.directory.find(id);
    if (known !== undefined) return known;
    const match = /^([^:]+):(\d+)$/.exec(address ?? "");
    if (match === null) return undefined;
    return { id, host: match[1]!, port: Number(match[2]) };
  }

  async #prefill(server: CallableServer): Promise<PrefillResult | GrantEnd> {
    const { client, dialect, now } = this.#env;
    const { gone, deadline } = this.#req;
    const ms = PREFILL_BASE_MS +
      PREFILL_MS_PER_TOKEN * this.#prompt.promptTokens;
    const result = await client.sendWhole(this.#req, server, {
      traits: { isPrefill: true, lastEventId: this.#lastEventId },
      deadline: Math.min(deadline, now() + ms),
      signal: gone,
    });
    if (result.kind === "aborted") return { kind: "gone" };
    // A prefill does not run the request, whatever became of it.
    if (result.kind === "not_run") return fail("prefill refused", server.id);
    if (result.kind !== "whole") return fail(result.reason, server.id);
    const read = result.status === 200
      ? dialect.readPrefill(result.body)
      : undefined;
    if (read === undefined) {
      return fail(`prefill answered ${result.status}`, server.id);
    }
    return { host: server.host, port: server.port, ...read };
  }

  async #decode(
    grant: Grant,
    options: {
      decode: CallableServer;
      result?: PrefillResult;
      prefillEndAt: number;
    },
  ): Promise<GrantEnd> {
    const { decode, result, prefillEndAt } = options;
    const { gone, deadline } = this.#req;
    const sent = await this.#env.client.send(this.#req, decode, {
      traits: { prefillResult: result, lastEventId: this.#lastEventId },
      deadline,
      ...(this.#req.route.isResumable
        ? { headTimeoutMs: LONGEST_PAUSE_MS }
        : {}),
      signal: gone,
    });
    if (sent.kind !== "answer") return toGrantEnd(sent, decode.id);
    const { res, traits } = sent;
    if (traits.status !== 200) return await this.#keepFailure(sent, decode.id);
    if (!this.#answer.isBegun) {
      this.#answer.begin(traits.status, passHeaders(res.rawHeaders));
    }
    const relayed = await relayStream({
      res,
      answer: this.#answer,
      gone,
      getLongestPauseMs: () =>
        this.#req.route.isResumable
          ? LONGEST_PAUSE_MS
          : Math.max(1, deadline - this.#env.now()),
      onEvents: ({ count, lastId }) => {
        this.#noteEvents(grant, { count, lastId, prefillEndAt });
      },
    });
    if (relayed.kind === "gone") return { kind: "gone" };
    if (relayed.kind === "complete") {
      this.#answer.end();
      return { kind: "done", status: traits.status };
    }
    const isSilent = relayed.kind === "silent";
    const reason = isSilent ? "stream fell silent" : relayed.reason;
    return { ...fail(reason, decode.id, true), isSilent };
  }

  /** An answer that is no stream is the final one where no other server is asked. */
  async #keepFailure(
    sent: Extract<SendResult, { kind: "answer" }>,
    server: string,
  ): Promise<GrantEnd> {
    const { gone, deadline } = this.#req;
    const options = { deadline, signal: gone };
    const read = await this.#env.client.readWhole(sent, options);
    if (read.kind === "aborted") return { kind: "gone" };
    if (read.kind === "whole") {
      this.#failure = read;
      // Another server would find fault with the request too.
      if (read.status < 500 && !this.#answer.isBegun) {
        return this.#deliverFailure(read);
      }
    }
    return fail(`answered ${sent.traits.status}`, server, true);
  }

  #deliverFailure(
    { status, headers, body }: Extract<WholeResult, { kind: "whole" }>,
  ): { kind: "done"; status: number } {
    this.#answer.begin(status, headers);
    this.#answer.end(body);
    return { kind: "done", status };
  }

  #noteEvents(
    grant: Grant,
    seen: { count: number; lastId: string | undefined; prefillEndAt: number },
  ): void {
    const { service } = this.#req;
    if (this.#firstEventAt === 0) {
      this.#firstEventAt = monotonicNow();
      this.#firstEventMs ??= Math.round(this.#env.now() - this.#req.arrivedAt);
      this.#current = { service: service.name, grant, phase: Phase.Decode };
      this.#env.dispatch.started(service.name, grant, {
        cachedTokens: 0,
        transferMs: this.#firstEventAt - seen.prefillEndAt,
      });
    }
    this.#events += seen.count;
    this.#lastEventId = seen.lastId ?? this.#lastEventId;
  }

  /** Frees a prefill result that is not fetched; it lapses by itself where that fails. */
  #free(server: CallableServer, result: PrefillResult): void {
    const { client, dialect, log } = this.#env;
    client.call(server, dialect.writeFree(result.handle)).catch((err) =>
      log.emit("freeFailed", { server: server.id, reason: String(err) })
    );
  }

  #finish(
    status: number,
    reason: string,
    details: { waitedMs?: number; retryAfterMs?: number } = {},
  ): CallOutcome {
    return {
      status,
      reason,
      servers: this.#servers,
      prefillMs: this.#prefillMs,
      firstEventMs: this.#firstEventMs,
      events: this.#events,
      ...details,
    };
  }
}

function fail(
  reason: string,
  server?: string,
  mayHaveRun = false,
): Extract<GrantEnd, { kind: "failed" }> {
  return { kind: "failed", reason, server, wasSent: true, mayHaveRun };
}

function giveBack(
  stage: string,
  server: string,
): Extract<GrantEnd, { kind: "failed" }> {
  return { ...fail(`${stage} server left`, server), wasSent: false };
}

function toGrantEnd(
  sent: Exclude<SendResult, { kind: "answer" }>,
  server: string,
): GrantEnd {
  if (sent.kind === "aborted") return { kind: "gone" };
  if (sent.kind === "not_run") return fail("decode refused", server);
  if (sent.kind === "not_sent") return fail(sent.reason, server);
  return { ...fail(sent.reason, server, true), isSilent: sent.isSilent };
}
