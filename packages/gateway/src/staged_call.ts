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
  ServerFailure,
} from "@bitternfall/dispatch";
import type {
  DispatchClient,
  RunningCall,
  RunningCalls,
  RunningGrant,
} from "@bitternfall/dispatch-host";
import { monotonicNow, Priority } from "@bitternfall/types";
import type { Answer } from "./answer.ts";
import {
  type FailedGrant,
  failRun,
  failSilent,
  failUnrun,
  type GrantEnd,
  toGrantEnd,
} from "./grant_end.ts";
import { passHeaders } from "./headers.ts";
import type { EngineTraits, GatewayRequest, PromptTraits } from "./model.ts";
import type { CallOutcome } from "./plain_call.ts";
import {
  type HeldResult,
  type PrefillEnvironment,
  PrefillStage,
} from "./prefill_stage.ts";
import { estimateHeldTokens, hashParts } from "./prompt_estimate.ts";
import type {
  CallableServer,
  SendResult,
  WholeResult,
} from "./server_client.ts";
import type { ServerDirectory } from "./server_directory.ts";
import { relayStream } from "./stream_relay.ts";

/** What staged calls share on one VM. */
export interface StagedCallEnvironment extends PrefillEnvironment {
  readonly vmId: string;
  readonly availabilityZone: string;
  readonly directory: ServerDirectory;
  readonly dispatch: Pick<
    DispatchClient,
    "acquire" | "prefilled" | "started" | "release"
  >;
  readonly calls: RunningCalls;
}

/** Tries beyond the route's attempts, of requests that no server has run. */
const EXTRA_TRIES = 2;
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
  readonly #prefills: PrefillStage;
  readonly #avoid: string[] = [];
  readonly #servers: string[] = [];
  #attempt = 0;
  #current: RunningGrant | undefined;
  /** Decode servers that the request has reached, and those that may have run it. */
  #arrivals = 0;
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
    this.#prefills = new PrefillStage(env, req, options);
    this.#lastEventId = req.lastEventId;
  }

  get attempt(): number {
    return this.#attempt;
  }

  get currentGrant(): RunningGrant | undefined {
    return this.#current;
  }

  /** Runs to the end of the answer. */
  async run(): Promise<CallOutcome> {
    const { calls } = this.#env;
    const { requestId } = this.#req;
    calls.add(requestId, this);
    try {
      return await this.#runAttempts();
    } finally {
      calls.remove(requestId);
      this.#prefills.drop();
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
      this.#avoid.push(end.server);
      const goesOn = this.#mayTryAgain(end);
      this.#env.log.emit("grantFailed", {
        requestId: this.#req.requestId,
        server: end.server,
        failure: end.failure,
        reason: end.reason,
        mayHaveRun: end.mayHaveRun,
        events: this.#events,
        goesOn,
      });
      if (!goesOn) return this.#fail(end);
    }
  }

  /** Whether another grant is asked for; the dispatcher bounds repeats. */
  #mayTryAgain({ mayHaveRun }: FailedGrant): boolean {
    const { route, deadline } = this.#req;
    if (this.#env.now() >= deadline) return false;
    if (mayHaveRun && !route.isResumable) return false;
    if (this.#runs >= route.maxAttempts) return false;
    return this.#attempt < route.maxAttempts + EXTRA_TRIES;
  }

  /** Gives the final answer of a request that no further server is asked for. */
  #fail({ reason, isSilent }: FailedGrant): CallOutcome {
    const status = isSilent ? 504 : 502;
    return this.#end(reason, { status, message: "no server took the request" });
  }

  /** Gives the final answer of a request that the dispatcher refused. */
  #refuse(
    { reason, retryAfterMs }: Extract<Decision, { kind: "refusal" }>,
    waitedMs: number,
  ): CallOutcome {
    const message = `no servers: ${reason}`;
    const refusal = { status: 502, message, retryAfterMs };
    return { ...this.#end(reason, refusal), waitedMs };
  }

  /**
   * Ends a stream that is cut, a request that a server answered with a failure, one that
   * may have run, with `status`, or one that has not.
   */
  #end(
    reason: string,
    options: { status: number; message: string; retryAfterMs?: number },
  ): CallOutcome {
    const { status, message, retryAfterMs } = options;
    if (this.#answer.isBegun) {
      this.#answer.cut();
      return this.#finish(0, reason);
    }
    if (this.#failure !== undefined) {
      this.#deliverFailure(this.#failure);
      return this.#finish(this.#failure.status, reason);
    }
    if (this.#runs > 0) {
      this.#answer.refuse(status, "the server failed");
      return this.#finish(status, reason);
    }
    this.#answer.refuse(503, message, retryAfterMs);
    const outcome = this.#finish(503, reason);
    return retryAfterMs === undefined ? outcome : { ...outcome, retryAfterMs };
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

  #createAcquire(): AcquireRequest {
    const { route, requestId, service, arrivedAt } = this.#req;
    const { vmId, availabilityZone, directory } = this.#env;
    const { promptTokens, maxOutputTokens } = this.#prompt;
    const outputTokens = this.#events * this.#engine.tokensPerEvent;
    const prefilledBy = this.#prefills.heldBy;
    return {
      requestId,
      attempt: this.#attempt,
      workspace: route.name,
      owner: vmId,
      availabilityZone,
      // Work that has begun goes first: its prefill would otherwise be wasted.
      priority: this.#attempt > 1 ? Priority.Interactive : Priority.Normal,
      promptTokens,
      outputTokens,
      maxTokens: maxOutputTokens,
      deadline: arrivedAt + route.targetMs,
      patience: this.#getPatience(),
      hashes: hashParts(this.#prompt.parts),
      avoid: [...this.#avoid, ...directory.listLeaving(service.name)],
      heldTokens: estimateHeldTokens(this.#prompt, {
        engine: this.#engine,
        outputTokens,
      }),
      prefilledBy,
      retriedCalls: this.#countRepeats(prefilledBy !== undefined),
    };
  }

  #getPatience(): AcquireRequest["patience"] {
    const { deadlineMs, deadline, route } = this.#req;
    const now = monotonicNow();
    const lateMs = Math.min(LATE_SHARE * (deadline - now), LATE_FIRST_EVENT_MS);
    return {
      remainingMs: deadlineMs ?? route.timeoutMs,
      relaxedDeadline: now + lateMs,
    };
  }

  /** Calls that the next attempt brings beyond the first prefill and the first run. */
  #countRepeats(isPrefilled: boolean): number {
    const isSecondPrefill = !isPrefilled && this.#prefills.accepted > 0;
    return Number(isSecondPrefill) + Number(this.#arrivals > 0);
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
      ...(end.kind === "failed"
        ? { failedServer: end.server, failure: end.failure }
        : {}),
    });
    this.#current = undefined;
    return end;
  }

  async #runStages(grant: Grant): Promise<GrantEnd> {
    const grantedAt = monotonicNow();
    const decode = this.#findServer(grant.decode, grant.decodeAddress);
    if (decode === undefined) return leave("decode", grant.decode);
    if (grant.prefill === NO_PREFILL) {
      return await this.#decode(grant, { decode, prefillEndAt: grantedAt });
    }
    const prefill = this.#findServer(grant.prefill, grant.prefillAddress);
    if (prefill === undefined) return leave("prefill", grant.prefill);
    const held = await this.#prefills.read(prefill, this.#lastEventId);
    if ("kind" in held) return held;
    const prefillEndAt = monotonicNow();
    this.#prefillMs = Math.round(prefillEndAt - grantedAt);
    this.#env.dispatch.prefilled(this.#req.service.name, grant);
    const end = this.#env.directory.isLeaving(grant.decode)
      ? leave("decode", grant.decode)
      : await this.#decode(grant, { decode, held, prefillEndAt });
    if (end.kind === "done") return end;
    // A server that was down has not fetched the result. One that refused may have found
    // it gone, which a second refusal would show.
    const isLeft = end.kind === "failed" && !end.mayHaveRun &&
      (end.failure === ServerFailure.Down || this.#arrivals === 1);
    if (isLeft) this.#prefills.keep(held);
    else this.#prefills.free(held);
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

  async #decode(
    grant: Grant,
    options: {
      decode: CallableServer;
      held?: HeldResult;
      prefillEndAt: number;
    },
  ): Promise<GrantEnd> {
    const { decode, held, prefillEndAt } = options;
    const { gone, deadline, route } = this.#req;
    const sent = await this.#env.client.send(this.#req, decode, {
      traits: { prefillResult: held?.result, lastEventId: this.#lastEventId },
      deadline,
      ...(route.isResumable ? { headTimeoutMs: LONGEST_PAUSE_MS } : {}),
      signal: gone,
    });
    if (sent.kind !== "not_sent") this.#arrivals++;
    if (sent.kind !== "answer") {
      return toGrantEnd(sent, { server: decode.id, stage: "decode" });
    }
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
        route.isResumable
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
    return relayed.kind === "silent"
      ? failSilent("stream fell silent", decode.id)
      : failRun(relayed.reason, decode.id);
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
        this.#deliverFailure(read);
        return { kind: "done", status: read.status };
      }
    }
    return failRun(`answered ${sent.traits.status}`, server);
  }

  #deliverFailure(
    { status, headers, body }: Extract<WholeResult, { kind: "whole" }>,
  ): void {
    this.#answer.begin(status, headers);
    this.#answer.end(body);
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

  #finish(status: number, reason: string): CallOutcome {
    return {
      status,
      reason,
      servers: this.#servers,
      prefillMs: this.#prefillMs,
      firstEventMs: this.#firstEventMs,
      events: this.#events,
    };
  }
}

/** A granted server is known to leave. */
function leave(stage: string, server: string): FailedGrant {
  return failUnrun(`${stage} server left`, server, ServerFailure.Down);
}
