/**
 * One model request from admission to its last output: prefill, transfer, decode,
 * relay; resumed or moved when a server fails.
 * @module
 */
import {
  type AcquireRequest,
  type Grant,
  Phase,
  RefusalReason,
  type RetryBudget,
  ServerFailure,
} from "@bitternfall/dispatch";
import {
  type EngineClient,
  EngineError,
  type StreamEvent,
} from "@bitternfall/engine";
import { Refusal } from "@bitternfall/errors";
import type { EventLog } from "@bitternfall/events";
import { monotonicNow, Outcome, type Priority } from "@bitternfall/types";
import type { AnswerSink } from "./answer_sink.ts";
import type { Canceller } from "./canceller.ts";
import type { DispatchClient } from "@bitternfall/dispatch-host";
import type {
  RunningCall,
  RunningCalls,
  RunningGrant,
} from "@bitternfall/dispatch-host";
import {
  type StreamEnd,
  StreamReader,
  type StreamReaderOptions,
} from "./stream_reader.ts";
import type { Upstreams } from "./upstreams.ts";

/** What model calls share on one VM. */
export interface ModelCallEnvironment {
  readonly vmId: string;
  readonly dispatch: DispatchClient;
  readonly upstreams: Upstreams;
  readonly canceller: Canceller;
  readonly calls: RunningCalls;
  readonly log: EventLog;
  /** Retry budget of a service. */
  readonly getBudget: (service: string) => RetryBudget;
}

/** One model request. */
export interface ModelCallRequest {
  readonly requestId: string;
  readonly service: string;
  readonly workspace: string;
  readonly availabilityZone: string;
  readonly priority: Priority;
  readonly shape: "chat" | "text";
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly hashes: readonly number[];
  readonly firstOutputMs: number;
  readonly sink: AnswerSink;
  /** Whether the request may be forwarded to another cell that has room. */
  readonly maySpill: boolean;
  /** Aborted when the caller goes away. */
  readonly gone: AbortSignal;
}

const MAX_ATTEMPTS = 5;
/** A grant that was not used for this long is given back: the server may be leaving by now. */
const GRANT_LIFETIME_MS = 2000;
const PREFILL_MARGIN_MS = 3000;
const CANCEL_WAIT_MS = 500;
/** Targets that a request which lost a server is given for another try. */
const RETRY_DEADLINE_FACTOR = 3;

/** Runs one model request. */
export class ModelCall implements RunningCall {
  readonly #env: ModelCallEnvironment;
  readonly #req: ModelCallRequest;
  readonly #avoid: string[] = [];
  #attempt = 0;
  #current: RunningGrant | undefined;
  /** Outputs relayed so far. */
  #offset = 0;
  #firstOutputAt = 0;
  #spillTo: string | undefined;
  /** The prefill of the grant under way, once it is over. */
  #prefill: { cachedTokens: number; endAt: number } | undefined;

  constructor(env: ModelCallEnvironment, req: ModelCallRequest) {
    this.#env = env;
    this.#req = req;
  }

  get attempt(): number {
    return this.#attempt;
  }

  get currentGrant(): RunningGrant | undefined {
    return this.#current;
  }

  /**
   * Runs to the end. Returns the VM of another cell that the request should be
   * forwarded to, where this cell has no room for it.
   */
  async run(): Promise<string | undefined> {
    const { calls, getBudget } = this.#env;
    const { requestId, service } = this.#req;
    calls.add(requestId, this);
    getBudget(service).onRequest();
    try {
      await this.#runAttempts();
    } finally {
      calls.remove(requestId);
    }
    return this.#spillTo;
  }

  async #runAttempts(): Promise<void> {
    const { service, gone, sink } = this.#req;
    const arrivedAt = monotonicNow();
    for (;;) {
      this.#attempt++;
      const grant = await this.#acquire(arrivedAt);
      if (grant === undefined) return;
      const end = await this.#runGrant(grant);
      if (end.kind === "done") return sink.finish(end.last);
      if (end.kind === "gone" || gone.aborted) return;
      this.#env.log.emit("upstreamFailed", {
        requestId: this.#req.requestId,
        server: end.server,
        reason: end.err.detail.tag,
      });
      if (end.server !== undefined) this.#avoid.push(end.server);
      if (
        this.#attempt < MAX_ATTEMPTS && this.#env.getBudget(service).tryTake()
      ) continue;
      return this.#giveUp(
        new Refusal("upstream_failed", "the model servers failed", {
          outcome: Outcome.Unknown,
        }),
      );
    }
  }

  /** Ends a request that can't be finished, visibly so where part of it was relayed. */
  #giveUp(refusal: Refusal): void {
    const { requestId, sink, service } = this.#req;
    const broken = this.#offset > 0;
    this.#env.log.emit(broken ? "streamBroken" : "requestFailed", {
      requestId,
      service,
      reason: refusal.message,
    });
    sink.fail(refusal);
  }

  /** Gets servers; undefined when the caller went away or the request was refused. */
  async #acquire(arrivedAt: number): Promise<Grant | undefined> {
    const {
      service,
      gone,
      firstOutputMs,
      requestId,
      workspace,
      availabilityZone,
      priority,
    } = this.#req;
    const { promptTokens, maxTokens, hashes } = this.#req;
    const isRetry = this.#attempt > 1;
    const deadline = isRetry
      ? monotonicNow() + RETRY_DEADLINE_FACTOR * firstOutputMs
      : arrivedAt + firstOutputMs;
    const acquire: AcquireRequest = {
      requestId,
      attempt: this.#attempt,
      workspace,
      owner: this.#env.vmId,
      availabilityZone,
      // Work that has begun goes first: its prefill would otherwise be wasted.
      priority: isRetry ? 0 : priority,
      promptTokens,
      outputTokens: this.#offset,
      maxTokens,
      deadline,
      hashes,
      avoid: this.#avoid,
    };
    const decision = await this.#env.dispatch.acquire(service, acquire, gone);
    if (decision.kind === "grant") return decision.grant;
    if (decision.reason === RefusalReason.Withdrawn || gone.aborted) {
      return undefined;
    }
    if (!isRetry && this.#req.maySpill && decision.spillTo !== undefined) {
      this.#spillTo = decision.spillTo;
      return undefined;
    }
    const outcome = isRetry ? Outcome.Unknown : Outcome.NotRun;
    const { retryAfterMs } = decision;
    const type = decision.reason === RefusalReason.WorkspaceLimit
      ? "too_many_requests"
      : "overloaded";
    const text = `no servers in time: ${decision.reason}`;
    this.#giveUp(new Refusal(type, text, { outcome, retryAfterMs }));
    return undefined;
  }

  async #runGrant(grant: Grant): Promise<StreamEnd> {
    const { service, gone } = this.#req;
    const grantedAt = monotonicNow();
    const startOffset = this.#offset;
    this.#current = { service, grant, phase: Phase.Prefill };
    this.#firstOutputAt = 0;
    this.#prefill = undefined;
    let end: StreamEnd;
    try {
      end = gone.aborted
        ? { kind: "gone" }
        : await this.#runServers(grant, grantedAt);
    } catch (err) {
      if (!(err instanceof EngineError)) throw err;
      end = gone.aborted
        ? { kind: "gone" }
        : { kind: "failed", err, server: this.#getBlamed(grant, err) };
    }
    if (end.kind !== "done") await this.#cancel(grant);
    const outputTokens = this.#offset - startOffset;
    const intervalMs = outputTokens > 1
      ? (monotonicNow() - this.#firstOutputAt) / outputTokens
      : 0;
    this.#env.dispatch.release(service, grant, {
      outputTokens,
      intervalMs,
      ...(end.kind === "failed"
        ? { failedServer: end.server, failure: toServerFailure(end.err) }
        : {}),
    });
    this.#current = undefined;
    return end;
  }

  /** The server that a failure is held against; none when the grant merely aged. */
  #getBlamed(grant: Grant, err: EngineError): string | undefined {
    if (err.detail.tag === "kv_gone" || err.detail.tag === "aborted") {
      return undefined;
    }
    return this.#prefill === undefined ? grant.prefill : grant.decode;
  }

  async #runServers(grant: Grant, grantedAt: number): Promise<StreamEnd> {
    const { upstreams, vmId } = this.#env;
    const { requestId, prompt, priority, firstOutputMs, gone } = this.#req;
    const prefill = upstreams.findEngine(grant.prefill);
    const decode = upstreams.findEngine(grant.decode);
    if (prefill === undefined || decode === undefined) {
      throw new EngineError(
        { tag: "unreachable" },
        "the server is not in the records in force here",
      );
    }
    if (monotonicNow() - grantedAt > GRANT_LIFETIME_MS) {
      throw new EngineError({ tag: "aborted" }, "the grant aged");
    }
    const id = { requestId, attempt: grant.attempt };
    const result = await prefill.prefill(
      { ...id, owner: vmId, prompt, outputTokens: this.#offset, priority },
      { timeoutMs: 2 * firstOutputMs + PREFILL_MARGIN_MS, signal: gone },
    );
    this.#prefill = {
      cachedTokens: result.cachedTokens,
      endAt: monotonicNow(),
    };
    const body = {
      ...id,
      owner: vmId,
      kv: result.kv,
      source: prefill.address,
      maxTokens: this.#req.maxTokens,
      fromOffset: this.#offset,
      shape: this.#req.shape,
    };
    return await this.#relay(grant, { decode, body });
  }

  /** Relays one grant's output, over further connections where one breaks or falls silent. */
  async #relay(
    grant: Grant,
    options: {
      decode: EngineClient;
      body: Parameters<EngineClient["decode"]>[0];
    },
  ): Promise<StreamEnd> {
    const { decode, body } = options;
    let lost: EngineError | undefined;
    let offsetBefore = -1;
    // A connection that brought nothing shows that the server, not the link, is stuck.
    while (this.#offset > offsetBefore) {
      const isFirst = lost === undefined;
      offsetBefore = isFirst ? -1 : this.#offset;
      const end = await this.#readStream(
        grant,
        (handler) =>
          isFirst
            ? decode.decode(body, handler)
            : decode.resume({ ...body, fromOffset: this.#offset }, handler),
      );
      if (end.kind !== "failed") return end;
      const { tag } = end.err.detail;
      // What the engine says itself is final; only a lost connection is worth another look.
      if (tag !== "lost") {
        const server = tag === "kv_gone" ? undefined : grant.decode;
        return { kind: "failed", err: lost ?? end.err, server };
      }
      lost = end.err;
      this.#env.log.emit("streamResumed", {
        requestId: body.requestId,
        server: grant.decode,
        offset: this.#offset,
      });
    }
    this.#env.log.emit("streamMoved", {
      requestId: body.requestId,
      server: grant.decode,
      offset: this.#offset,
    });
    return { kind: "failed", err: lost!, server: grant.decode };
  }

  #readStream(
    grant: Grant,
    open: StreamReaderOptions["open"],
  ): Promise<StreamEnd> {
    return new StreamReader({
      open,
      attempt: grant.attempt,
      getOffset: () => this.#offset,
      onOutputs: (events) => this.#onOutputs(grant, events),
      sink: this.#req.sink,
      gone: this.#req.gone,
    }).read();
  }

  #onOutputs(grant: Grant, events: readonly StreamEvent[]): boolean {
    const { service, sink } = this.#req;
    if (this.#firstOutputAt === 0) {
      this.#firstOutputAt = monotonicNow();
      this.#current = { service, grant, phase: Phase.Decode };
      this.#env.dispatch.started(service, grant, {
        cachedTokens: this.#prefill?.cachedTokens ?? 0,
        transferMs: this.#firstOutputAt - (this.#prefill?.endAt ?? 0),
      });
    }
    this.#offset += events.length;
    return sink.write(events);
  }

  /** Cancels what may still be held; waits a little so that the slot is free when released. */
  async #cancel(grant: Grant): Promise<void> {
    const { upstreams, canceller } = this.#env;
    const servers = this.#prefill === undefined
      ? [grant.prefill]
      : [grant.prefill, grant.decode];
    const cancels = servers.map((id) => {
      const engine = upstreams.findEngine(id);
      return engine === undefined ? undefined : canceller.cancel(engine, grant);
    });
    let timer: NodeJS.Timeout | undefined;
    const waited = new Promise<void>((resolve) =>
      timer = setTimeout(resolve, CANCEL_WAIT_MS)
    );
    await Promise.race([Promise.all(cancels), waited]);
    clearTimeout(timer);
  }
}

/** What an engine's error says of the engine. */
function toServerFailure({ detail: { tag } }: EngineError): ServerFailure {
  if (tag === "failed") return ServerFailure.Fault;
  if (tag === "not_accepting") return ServerFailure.Refused;
  return ServerFailure.Down;
}
