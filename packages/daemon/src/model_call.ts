/**
 * Runs one model request from admission to its last output: prefill, KV cache transfer,
 * decode and relay to the caller. If a server fails, the output stream is resumed or the
 * request is retried on other servers.
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
import type { ResponseSink } from "./response_sink.ts";
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

/** Dependencies that all model calls of one VM share. */
export interface ModelCallEnvironment {
  readonly vmId: string;
  readonly dispatch: DispatchClient;
  readonly upstreams: Upstreams;
  readonly canceller: Canceller;
  readonly calls: RunningCalls;
  readonly log: EventLog;
  /** Returns the retry budget of a service. */
  readonly getRetryBudget: (service: string) => RetryBudget;
}

/** Parameters of a {@link ModelCall}. */
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
  readonly sink: ResponseSink;
  /** Whether the request may be forwarded to another cell with free capacity. */
  readonly canSpill: boolean;
  /** Aborted when the caller disconnects. */
  readonly callerSignal: AbortSignal;
}

const MAX_ATTEMPTS = 5;
/** An older unused grant is released, since its servers may be leaving by then. */
const MAX_GRANT_AGE_MS = 2000;
const PREFILL_TIMEOUT_MARGIN_MS = 3000;
const MAX_CANCEL_WAIT_MS = 500;
/** Deadline of a retry from its start on, as a multiple of the first-output target. */
const RETRY_DEADLINE_FACTOR = 3;

/** Runs one model request, with retries on other servers. */
export class ModelCall implements RunningCall {
  readonly #env: ModelCallEnvironment;
  readonly #req: ModelCallRequest;
  readonly #failedServers: string[] = [];
  #attempt = 0;
  #current: RunningGrant | undefined;
  /** Number of outputs relayed to the caller so far. */
  #offset = 0;
  #firstOutputAt = 0;
  #spillToVm: string | undefined;
  /** Result of the current grant's prefill, once it has finished. */
  #prefillResult: { cachedTokens: number; endAt: number } | undefined;

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
   * Runs the request until it is answered, refused or abandoned by the caller. If this cell
   * has no capacity for it, returns the VM of another cell to forward it to.
   */
  async run(): Promise<string | undefined> {
    const { calls, getRetryBudget } = this.#env;
    const { requestId, service } = this.#req;
    calls.add(requestId, this);
    getRetryBudget(service).onRequest();
    try {
      await this.#runAttempts();
    } finally {
      calls.remove(requestId);
    }
    return this.#spillToVm;
  }

  async #runAttempts(): Promise<void> {
    const { service, callerSignal, sink } = this.#req;
    const arrivedAt = monotonicNow();
    for (;;) {
      this.#attempt++;
      const grant = await this.#acquire(arrivedAt);
      if (grant === undefined) return;
      const end = await this.#runGrant(grant);
      if (end.kind === "done") return sink.finish(end.last);
      if (end.kind === "gone" || callerSignal.aborted) return;
      this.#env.log.emit("upstreamFailed", {
        requestId: this.#req.requestId,
        server: end.server,
        reason: end.err.detail.tag,
      });
      if (end.server !== undefined) this.#failedServers.push(end.server);
      if (
        this.#attempt < MAX_ATTEMPTS && sink.isFull !== true &&
        this.#env.getRetryBudget(service).tryTake()
      ) continue;
      return this.#failRequest(
        new Refusal("upstream_failed", "the model servers failed", {
          outcome: Outcome.Unknown,
        }),
      );
    }
  }

  /** Refuses the request, or ends its stream with an error if output was already relayed. */
  #failRequest(refusal: Refusal): void {
    const { requestId, sink, service } = this.#req;
    const hasRelayedOutput = this.#offset > 0;
    this.#env.log.emit(hasRelayedOutput ? "streamBroken" : "requestFailed", {
      requestId,
      service,
      reason: refusal.message,
    });
    sink.fail(refusal);
  }

  /**
   * Acquires a grant of servers. Returns undefined if the caller disconnected, or if the
   * request was refused or is to be forwarded to another cell.
   */
  async #acquire(arrivedAt: number): Promise<Grant | undefined> {
    const {
      service,
      callerSignal,
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
      // Retries go first: the work done for them so far would otherwise be wasted.
      priority: isRetry ? 0 : priority,
      promptTokens,
      outputTokens: this.#offset,
      maxTokens,
      deadline,
      hashes,
      avoid: this.#failedServers,
    };
    const decision = await this.#env.dispatch.acquire(service, acquire, {
      callerSignal,
    });
    if (decision.kind === "grant") return decision.grant;
    if (callerSignal.aborted) return undefined;
    if (!isRetry && this.#req.canSpill && decision.spillTo !== undefined) {
      this.#spillToVm = decision.spillTo;
      return undefined;
    }
    const outcome = isRetry ? Outcome.Unknown : Outcome.NotRun;
    const { retryAfterMs } = decision;
    const type = decision.reason === RefusalReason.WorkspaceLimit
      ? "too_many_requests"
      : "overloaded";
    const text = `no servers in time: ${decision.reason}`;
    this.#failRequest(new Refusal(type, text, { outcome, retryAfterMs }));
    return undefined;
  }

  async #runGrant(grant: Grant): Promise<StreamEnd> {
    const { service, callerSignal } = this.#req;
    const grantedAt = monotonicNow();
    const startOffset = this.#offset;
    this.#current = { service, grant, phase: Phase.Prefill };
    this.#firstOutputAt = 0;
    this.#prefillResult = undefined;
    let end: StreamEnd;
    try {
      end = callerSignal.aborted
        ? { kind: "gone" }
        : await this.#runPrefillAndDecode(grant, grantedAt);
    } catch (err) {
      if (!(err instanceof EngineError)) throw err;
      end = callerSignal.aborted
        ? { kind: "gone" }
        : { kind: "failed", err, server: this.#findFailedServer(grant, err) };
    }
    if (end.kind !== "done") await this.#cancelGrant(grant);
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

  /**
   * Returns the server to record a failure of; undefined if the grant had expired or the
   * KV cache was no longer held.
   */
  #findFailedServer(grant: Grant, err: EngineError): string | undefined {
    if (err.detail.tag === "kv_gone" || err.detail.tag === "aborted") {
      return undefined;
    }
    return this.#prefillResult === undefined ? grant.prefill : grant.decode;
  }

  async #runPrefillAndDecode(
    grant: Grant,
    grantedAt: number,
  ): Promise<StreamEnd> {
    const { upstreams, vmId } = this.#env;
    const { requestId, prompt, priority, firstOutputMs, callerSignal } =
      this.#req;
    const prefill = upstreams.findEngine(grant.prefill);
    const decode = upstreams.findEngine(grant.decode);
    if (prefill === undefined || decode === undefined) {
      throw new EngineError(
        { tag: "unreachable" },
        "a granted server is missing from the current records of this VM",
      );
    }
    if (monotonicNow() - grantedAt > MAX_GRANT_AGE_MS) {
      throw new EngineError(
        { tag: "aborted" },
        "the grant expired before the prefill was sent",
      );
    }
    const id = { requestId, attempt: grant.attempt };
    const result = await prefill.prefill(
      { ...id, owner: vmId, prompt, outputTokens: this.#offset, priority },
      {
        timeoutMs: 2 * firstOutputMs + PREFILL_TIMEOUT_MARGIN_MS,
        signal: callerSignal,
      },
    );
    this.#prefillResult = {
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
    return await this.#relayOutput(grant, { decode, body });
  }

  /** Relays the output of one grant; resumes on a new connection if one breaks or is silent. */
  async #relayOutput(
    grant: Grant,
    options: {
      decode: EngineClient;
      body: Parameters<EngineClient["decode"]>[0];
    },
  ): Promise<StreamEnd> {
    const { decode, body } = options;
    let lostError: EngineError | undefined;
    let previousOffset = -1;
    // If a resumed connection brings no output, the server is stuck rather than the link.
    while (this.#offset > previousOffset) {
      const isFirst = lostError === undefined;
      previousOffset = isFirst ? -1 : this.#offset;
      const end = await this.#readConnection(
        grant,
        (handler) =>
          isFirst
            ? decode.decode(body, handler)
            : decode.resume({ ...body, fromOffset: this.#offset }, handler),
      );
      if (end.kind !== "failed") return end;
      const { tag } = end.err.detail;
      // Errors that the engine reports are final; only a lost connection is resumed.
      if (tag !== "lost") {
        const server = tag === "kv_gone" ? undefined : grant.decode;
        return { kind: "failed", err: lostError ?? end.err, server };
      }
      lostError = end.err;
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
    return { kind: "failed", err: lostError!, server: grant.decode };
  }

  #readConnection(
    grant: Grant,
    open: StreamReaderOptions["open"],
  ): Promise<StreamEnd> {
    return new StreamReader({
      open,
      attempt: grant.attempt,
      getOffset: () => this.#offset,
      maxOutputs: this.#req.maxTokens,
      onOutputs: (events) => this.#onOutputs(grant, events),
      sink: this.#req.sink,
      callerSignal: this.#req.callerSignal,
    }).read();
  }

  #onOutputs(grant: Grant, events: readonly StreamEvent[]): boolean {
    const { service, sink } = this.#req;
    if (this.#firstOutputAt === 0) {
      this.#firstOutputAt = monotonicNow();
      this.#current = { service, grant, phase: Phase.Decode };
      this.#env.dispatch.started(service, grant, {
        cachedTokens: this.#prefillResult?.cachedTokens ?? 0,
        transferMs: this.#firstOutputAt - (this.#prefillResult?.endAt ?? 0),
      });
    }
    this.#offset += events.length;
    return sink.write(events);
  }

  /**
   * Cancels the grant on the servers that may still hold work of it. Waits briefly for the
   * acknowledgement, so that the slots are free by the time the grant is released.
   */
  async #cancelGrant(grant: Grant): Promise<void> {
    const { upstreams, canceller } = this.#env;
    const servers = this.#prefillResult === undefined
      ? [grant.prefill]
      : [grant.prefill, grant.decode];
    const cancellations = servers.map((id) => {
      const engine = upstreams.findEngine(id);
      return engine === undefined ? undefined : canceller.cancel(engine, grant);
    });
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>((resolve) =>
      timer = setTimeout(resolve, MAX_CANCEL_WAIT_MS)
    );
    await Promise.race([Promise.all(cancellations), timeout]);
    clearTimeout(timer);
  }
}

/** Maps an engine error to the failure that is recorded for the server. */
function toServerFailure({ detail: { tag } }: EngineError): ServerFailure {
  if (tag === "failed") return ServerFailure.Fault;
  if (tag === "not_accepting") return ServerFailure.Refused;
  return ServerFailure.Down;
}
