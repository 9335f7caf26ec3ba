/**
 * Sends requests to servers and tells what an answer, or its lack, says of the request.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import {
  ConnectionError,
  openExchange,
  readResponseBody,
} from "@bitternfall/connection";
import type { Clock } from "@bitternfall/types";
import type {
  AnswerTraits,
  CallTraits,
  OwnCall,
  ServerDialect,
} from "./dialect.ts";
import { passHeaders } from "./headers.ts";
import type { GatewayRequest, ServerEntry } from "./model.ts";

/** What is needed of a server to call it. */
export type CallableServer = Pick<ServerEntry, "id" | "host" | "port">;

/** How one send of a request ended. */
export type SendResult =
  /** The server's own answer; its body is still to be read. */
  | {
    readonly kind: "answer";
    readonly res: http.IncomingMessage;
    readonly traits: AnswerTraits;
  }
  /** The server states that it has not run the request. */
  | { readonly kind: "not_run"; readonly status: number }
  /** No connection stood: nothing was sent. */
  | { readonly kind: "not_sent"; readonly reason: string }
  /** The request may have run. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    readonly isSilent: boolean;
  }
  | { readonly kind: "aborted" };

/** A server's answer, read whole, or why there is none. */
export type WholeResult =
  | Exclude<SendResult, { kind: "answer" }>
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly traits: AnswerTraits;
  };

/** Options of one send. */
export interface SendOptions {
  readonly traits: Omit<CallTraits, "deadlineMs" | "serverId">;
  /** When the server must have answered, on the gateway's clock. */
  readonly deadline: number;
  /** Time for the head of the answer, at most what is left until the deadline. */
  readonly headTimeoutMs?: number;
  readonly signal: AbortSignal;
}

/** Time after its deadline that a server is given to say what became of the request. */
const LAST_WORD_MS = 100;
const MAX_ANSWER_BYTES = 16_000_000;
const OWN_CALL_TIMEOUT_MS = 1000;

/** Sends to servers in their dialect. */
export class ServerClient {
  readonly #dialect: ServerDialect;
  readonly #now: Clock;

  constructor(options: { dialect: ServerDialect; now: Clock }) {
    this.#dialect = options.dialect;
    this.#now = options.now;
  }

  /** Sends a request and waits for the head of the answer. Throws nothing. */
  async send(
    req: GatewayRequest,
    server: CallableServer,
    options: SendOptions,
  ): Promise<SendResult> {
    const leftMs = Math.floor(options.deadline - this.#now());
    if (leftMs <= 0) return { kind: "not_sent", reason: "deadline passed" };
    const added = this.#dialect.writeCall({
      ...options.traits,
      serverId: server.id,
      deadlineMs: leftMs,
    });
    const length = req.body === undefined
      ? []
      : ["Content-Length", String(req.body.length)];
    try {
      const res = await openExchange({
        host: server.host,
        port: server.port,
        method: req.method,
        path: req.path,
        headers: [...req.headers, ...length, ...added],
        body: req.body,
        headTimeoutMs: Math.min(
          leftMs + LAST_WORD_MS,
          options.headTimeoutMs ?? Infinity,
        ),
        signal: options.signal,
      });
      const needsSeal = options.traits.isPrefill !== true;
      return this.#judge(req, res, needsSeal);
    } catch (err) {
      return toSendResult(err);
    }
  }

  /** Sends a request and reads the answer whole. Throws nothing. */
  async sendWhole(
    req: GatewayRequest,
    server: CallableServer,
    options: SendOptions,
  ): Promise<WholeResult> {
    const sent = await this.send(req, server, options);
    return sent.kind === "answer" ? this.readWhole(sent, options) : sent;
  }

  /** Reads what is left of an answer whose head has come. Throws nothing. */
  async readWhole(
    { res, traits }: Extract<SendResult, { kind: "answer" }>,
    options: Pick<SendOptions, "deadline" | "signal">,
  ): Promise<WholeResult> {
    try {
      const body = await readResponseBody(res, {
        maxBytes: MAX_ANSWER_BYTES,
        timeoutMs: Math.max(1, options.deadline - this.#now()) + LAST_WORD_MS,
      });
      const headers = passHeaders(res.rawHeaders);
      return { kind: "whole", status: traits.status, headers, body, traits };
    } catch (err) {
      if (options.signal.aborted) return { kind: "aborted" };
      return toSendResult(err);
    } finally {
      res.destroy();
    }
  }

  /** Makes a call of the gateway's own. Throws {@link ConnectionError}. */
  async call(
    server: Omit<CallableServer, "id">,
    own: OwnCall,
  ): Promise<{ status: number; body: Buffer }> {
    const { method, path, headers, body } = own;
    const host = ["Host", `${server.host}:${server.port}`];
    const length = body === undefined
      ? []
      : ["Content-Length", String(body.length)];
    const res = await openExchange({
      host: server.host,
      port: server.port,
      method,
      path,
      headers: [...host, ...headers, ...length],
      body,
      headTimeoutMs: OWN_CALL_TIMEOUT_MS,
    });
    const read = { maxBytes: MAX_ANSWER_BYTES, timeoutMs: OWN_CALL_TIMEOUT_MS };
    const answer = await readResponseBody(res, read);
    return { status: res.statusCode ?? 0, body: answer };
  }

  #judge(
    req: GatewayRequest,
    res: http.IncomingMessage,
    needsSeal: boolean,
  ): SendResult {
    const status = res.statusCode ?? 0;
    const traits = this.#dialect.readAnswer(status, res.headers);
    const drop = (result: SendResult): SendResult => {
      res.on("error", () => {});
      res.destroy();
      return result;
    };
    if (traits.isNotRun) return drop({ kind: "not_run", status });
    const isForeign = traits.requestId !== undefined &&
      traits.requestId !== req.requestId;
    const isAltered = res.headers["content-encoding"] !== undefined;
    const isUnsealed = needsSeal && status >= 200 && status < 300 &&
      !traits.isSealed;
    if (!isForeign && !isAltered && !isUnsealed) {
      return { kind: "answer", res, traits };
    }
    const reason = isForeign
      ? "answer to another request"
      : isAltered
      ? "encoded answer"
      : "answer without a seal";
    return drop({ kind: "unknown", reason, isSilent: false });
  }
}

function toSendResult(err: unknown): Exclude<SendResult, { kind: "answer" }> {
  if (!(err instanceof ConnectionError)) throw err;
  const { tag } = err.detail;
  if (tag === "aborted") return { kind: "aborted" };
  if (tag === "not_sent") return { kind: "not_sent", reason: err.message };
  return {
    kind: "unknown",
    reason: err.message,
    isSilent: tag === "no_reply",
  };
}
