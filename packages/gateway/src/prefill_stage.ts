/**
 * The prefill of one stream, and its result until a decode server has taken it. Pattern:
 * a decode server that is down or full refuses a stream whose prompt was just read; the
 * next one fetches the same result, so that no prompt is read twice.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import type { Clock } from "@bitternfall/types";
import type { PrefillResult, ServerDialect } from "./dialect.ts";
import { failUnrun, type GrantEnd, toGrantEnd } from "./grant_end.ts";
import type { EngineTraits, GatewayRequest, PromptTraits } from "./model.ts";
import type { CallableServer, ServerClient } from "./server_client.ts";

/** What the stage works with. */
export interface PrefillEnvironment {
  readonly client: ServerClient;
  readonly dialect: ServerDialect;
  readonly log: EventLog;
  readonly now: Clock;
}

/** A result that waits at its server. */
export interface HeldResult {
  readonly server: CallableServer;
  readonly result: PrefillResult;
  readonly readAt: number;
}

/** A prefill that takes this much longer than its prompt should is taken for lost. */
const LONGEST_BASE_MS = 1200;
const LONGEST_MS_PER_TOKEN = 0.15;
/** A result is offered again within this share of the time for which it is kept. */
const REUSE_SHARE = 0.6;

/** Reads the prompt of one stream, at best once. */
export class PrefillStage {
  readonly #env: PrefillEnvironment;
  readonly #req: GatewayRequest;
  readonly #prompt: PromptTraits;
  readonly #engine: EngineTraits;
  #held: HeldResult | undefined;
  #accepted = 0;

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

  /** Prefills that servers have accepted. */
  get accepted(): number {
    return this.#accepted;
  }

  /** Server whose result can still be fetched. */
  get heldBy(): string | undefined {
    if (this.#held === undefined) return undefined;
    const ageMs = this.#env.now() - this.#held.readAt;
    const isFresh = ageMs < REUSE_SHARE * this.#engine.handleMs;
    return isFresh ? this.#held.server.id : undefined;
  }

  /** The held result where a grant names its server, else a new one. */
  async read(
    server: CallableServer,
    lastEventId: string | undefined,
  ): Promise<HeldResult | GrantEnd> {
    const held = this.#held;
    this.#held = undefined;
    if (held?.server.id === server.id) return held;
    if (held !== undefined) this.free(held);
    return await this.#prefill(server, lastEventId);
  }

  /** Keeps a result that was not fetched for the next grant. */
  keep(held: HeldResult): void {
    this.#held = held;
  }

  /** Frees what is held. */
  drop(): void {
    if (this.#held !== undefined) this.free(this.#held);
    this.#held = undefined;
  }

  /** Frees a result that is not fetched; it lapses by itself where that fails. */
  free({ server, result }: HeldResult): void {
    const { client, dialect, log } = this.#env;
    client.call(server, dialect.writeFree(result.handle)).catch((err) =>
      log.emit("freeFailed", { server: server.id, reason: String(err) })
    );
  }

  async #prefill(
    server: CallableServer,
    lastEventId: string | undefined,
  ): Promise<HeldResult | GrantEnd> {
    const { client, dialect, now } = this.#env;
    const { gone, deadline } = this.#req;
    const ms = LONGEST_BASE_MS +
      LONGEST_MS_PER_TOKEN * this.#prompt.promptTokens;
    const sent = await client.sendWhole(this.#req, server, {
      traits: { isPrefill: true, lastEventId },
      deadline: Math.min(deadline, now() + ms),
      signal: gone,
    });
    if (sent.kind !== "whole") {
      if (sent.kind === "unknown") this.#accepted++;
      const end = toGrantEnd(sent, { server: server.id, stage: "prefill" });
      // A prefill does not run the request, whatever became of it.
      return end.kind === "failed" ? { ...end, mayHaveRun: false } : end;
    }
    this.#accepted++;
    const result = sent.status === 200
      ? dialect.readPrefill(sent.body)
      : undefined;
    if (result === undefined) {
      return failUnrun(`prefill answered ${sent.status}`, server.id);
    }
    const { host, port } = server;
    return { server, result: { host, port, ...result }, readAt: now() };
  }
}
