/**
 * The prefill stage of one stream, and its result until a decode server has fetched it.
 * When a decode server is down or refuses the stream, the next one fetches the same
 * result, so that the prompt is not prefilled twice.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import type { Clock } from "@bitternfall/types";
import type { PrefillResult, ServerDialect } from "./dialect.ts";
import {
  failNotRun,
  type GrantOutcome,
  toGrantOutcome,
} from "./grant_outcome.ts";
import type { EngineTraits, GatewayRequest, PromptTraits } from "./model.ts";
import type { CallableServer, ServerClient } from "./server_client.ts";

/** Dependencies of a {@link PrefillStage}. */
export interface PrefillEnvironment {
  readonly client: ServerClient;
  readonly dialect: ServerDialect;
  readonly log: EventLog;
  readonly now: Clock;
}

/** A prefill result that its server keeps until a decode server fetches it. */
export interface StoredPrefill {
  readonly server: CallableServer;
  readonly result: PrefillResult;
  readonly prefilledAt: number;
}

/** A prefill times out after this time, plus a time for each token of its prompt. */
const TIMEOUT_BASE_MS = 1200;
const TIMEOUT_MS_PER_TOKEN = 0.15;
/** A result is reused only within this share of the time for which its server keeps it. */
const REUSABLE_AGE_SHARE = 0.6;

/** Prefills the prompt of one stream, once if possible. */
export class PrefillStage {
  readonly #env: PrefillEnvironment;
  readonly #req: GatewayRequest;
  readonly #prompt: PromptTraits;
  readonly #engine: EngineTraits;
  #stored: StoredPrefill | undefined;
  /** Prefills that may have arrived at a server. */
  #delivered = 0;
  #hasSucceeded = false;

  constructor(
    env: PrefillEnvironment,
    req: GatewayRequest,
    options: { prompt: PromptTraits; engine: EngineTraits },
  ) {
    this.#env = env;
    this.#req = req;
    this.#prompt = options.prompt;
    this.#engine = options.engine;
  }

  /**
   * Prefills that count as arrivals of the request: all but the first that a server has
   * accepted.
   */
  get countedCalls(): number {
    return this.#delivered - Number(this.#hasSucceeded);
  }

  /** Whether a further prefill counts as an arrival even if it is accepted. */
  get hasSucceeded(): boolean {
    return this.#hasSucceeded;
  }

  /** Server that holds a result which can still be fetched. */
  get reusableServerId(): string | undefined {
    if (this.#stored === undefined) return undefined;
    const ageMs = this.#env.now() - this.#stored.prefilledAt;
    const isFresh = ageMs < REUSABLE_AGE_SHARE * this.#engine.handleMs;
    return isFresh ? this.#stored.server.id : undefined;
  }

  /** Returns the retained result if it is at the granted server, else prefills anew. */
  async getOrPrefill(
    server: CallableServer,
    lastEventId: string | undefined,
  ): Promise<StoredPrefill | GrantOutcome> {
    const stored = this.#stored;
    this.#stored = undefined;
    if (stored?.server.id === server.id) return stored;
    if (stored !== undefined) this.free(stored);
    return await this.#prefill(server, lastEventId);
  }

  /** Retains a result that was not fetched, for use under the next grant. */
  retainForNextGrant(stored: StoredPrefill): void {
    this.#stored = stored;
  }

  /** Frees the retained result, if any. */
  freeRetained(): void {
    if (this.#stored !== undefined) this.free(this.#stored);
    this.#stored = undefined;
  }

  /** Frees a result that will not be fetched; if that fails, it expires at its server. */
  free({ server, result }: StoredPrefill): void {
    const { client, dialect, log } = this.#env;
    client.sendControlCall(server, dialect.buildFreeCall(result.handle)).catch((
      err,
    ) => log.emit("freeFailed", { server: server.id, reason: String(err) }));
  }

  async #prefill(
    server: CallableServer,
    lastEventId: string | undefined,
  ): Promise<StoredPrefill | GrantOutcome> {
    const { client, dialect, now } = this.#env;
    const { callerSignal, deadline } = this.#req;
    const timeoutMs = TIMEOUT_BASE_MS +
      TIMEOUT_MS_PER_TOKEN * this.#prompt.promptTokens;
    const sent = await client.sendAndReadBody(this.#req, server, {
      traits: { isPrefill: true, lastEventId },
      deadline: Math.min(deadline, now() + timeoutMs),
      signal: callerSignal,
    });
    if (sent.kind !== "not_sent") this.#delivered++;
    if (sent.kind !== "whole") {
      const outcome = toGrantOutcome(sent, {
        server: server.id,
        stage: "prefill",
      });
      // A prefill alone generates no output, so the request has not run, however it ended.
      return outcome.kind === "failed"
        ? { ...outcome, mayHaveRun: false }
        : outcome;
    }
    const result = sent.status === 200
      ? dialect.readPrefillResult(sent.body)
      : undefined;
    if (result === undefined) {
      return failNotRun(`prefill answered ${sent.status}`, server.id);
    }
    this.#hasSucceeded = true;
    const { host, port } = server;
    return { server, result: { host, port, ...result }, prefilledAt: now() };
  }
}
