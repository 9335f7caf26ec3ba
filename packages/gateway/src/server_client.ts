/**
 * Sends requests to servers and derives from the response, or the lack of one, whether the
 * request may have run.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import {
  ConnectionError,
  hasBodyFraming,
  openExchange,
  readBodyStart,
  readResponseBody,
} from "@bitternfall/connection";
import type { Clock } from "@bitternfall/types";
import type {
  CallTraits,
  ControlCall,
  ResponseTraits,
  ServerDialect,
} from "./dialect.ts";
import { BODYLESS_STATUSES, pickEndToEndHeaders } from "./headers.ts";
import { type GatewayRequest, RouteKind, type ServerEntry } from "./model.ts";
import { describeCaller } from "./request_access.ts";
import type { ServerLimits } from "./server_limits.ts";
import type { ServerLinks } from "./server_links.ts";
import type { ServerNotices } from "./server_notices.ts";

/** Id and address of a server, as needed to call it; its start time may be unknown. */
export type CallableServer =
  & Pick<ServerEntry, "id" | "host" | "port">
  & Partial<Pick<ServerEntry, "bornAt">>;

/** How one send of a request ended. */
export type SendResult =
  /** The server has responded; the body is still to be read. */
  | {
    readonly kind: "answer";
    readonly res: http.IncomingMessage;
    readonly traits: ResponseTraits;
  }
  /** The server states that it has not run the request. */
  | { readonly kind: "not_run"; readonly status: number }
  /** Nothing was sent, because there was no connection or the deadline had passed. */
  | { readonly kind: "not_sent"; readonly reason: string }
  /** The request may have run, but there is no usable response. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    readonly isTimeout: boolean;
  }
  /** Aborted by the caller of the method. */
  | { readonly kind: "aborted" };

/** A server's response with its complete body, or why there is none. */
export type CompleteResult =
  | Exclude<SendResult, { kind: "answer" }>
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly traits: ResponseTraits;
  };

/** A server's response, read whole or to be relayed, or why there is none. */
export type AnswerResult = CompleteResult | LargeAnswer | EventAnswer;

/** A stream of events, of which nothing has been read. */
export interface EventAnswer {
  readonly kind: "events";
  readonly status: number;
  readonly headers: readonly string[];
  readonly traits: ResponseTraits;
  readonly res: http.IncomingMessage;
}

/** A response whose body is too long to be read whole; its rest is to be relayed. */
export interface LargeAnswer {
  readonly kind: "large";
  readonly status: number;
  readonly headers: readonly string[];
  readonly traits: ResponseTraits;
  /** Paused after the chunks that have been read. */
  readonly res: http.IncomingMessage;
  /** The chunks that have been read; emptied once they are passed on. */
  readonly begun: Buffer[];
}

/** Options of one send. */
export interface SendOptions {
  readonly traits: Omit<
    CallTraits,
    "deadlineMs" | "serverId" | "workspace" | "priority"
  >;
  /** Deadline of the response, on the gateway's clock. */
  readonly deadline: number;
  /** Timeout of the response headers; never longer than the time until the deadline. */
  readonly headTimeoutMs?: number;
  readonly signal: AbortSignal;
}

/** Time after the deadline within which a server may still report the outcome. */
export const DEADLINE_GRACE_MS = 100;
/** Longest body that is read whole, so that the request can still go to another server. */
const MAX_WHOLE_BODY_BYTES = 65_536;
/** Reports, results of prefills and of orders are far shorter. */
const MAX_CONTROL_RESPONSE_BYTES = 64_000;
const CONTROL_CALL_TIMEOUT_MS = 1000;
const EVENT_STREAM_TYPE = "text/event-stream";

/** Options of a {@link ServerClient}. */
export interface ServerClientOptions {
  readonly dialect: ServerDialect;
  readonly now: Clock;
  readonly serverLimits?: Pick<ServerLimits, "onAnswer">;
  readonly notices?: Pick<ServerNotices, "onAnswer">;
  readonly links?: Pick<ServerLinks, "onAnswered">;
}

/** Sends requests and control calls to servers. */
export class ServerClient {
  readonly #dialect: ServerDialect;
  readonly #now: Clock;
  readonly #serverLimits: Pick<ServerLimits, "onAnswer"> | undefined;
  readonly #notices: Pick<ServerNotices, "onAnswer"> | undefined;
  readonly #links: Pick<ServerLinks, "onAnswered"> | undefined;

  constructor(options: ServerClientOptions) {
    this.#dialect = options.dialect;
    this.#now = options.now;
    this.#serverLimits = options.serverLimits;
    this.#notices = options.notices;
    this.#links = options.links;
  }

  /** Sends a request and waits for the response headers. Does not throw. */
  async send(
    req: GatewayRequest,
    server: CallableServer,
    options: SendOptions,
  ): Promise<SendResult> {
    const remainingMs = Math.floor(options.deadline - this.#now());
    if (remainingMs <= 0) {
      return { kind: "not_sent", reason: "deadline passed" };
    }
    const endSend = req.progress.beginSend(options.traits);
    const result = await this.#sendWithin(remainingMs, req, {
      server,
      ...options,
    });
    endSend(result.kind !== "not_sent" && result.kind !== "not_run");
    return result;
  }

  async #sendWithin(
    remainingMs: number,
    req: GatewayRequest,
    options: SendOptions & { server: CallableServer },
  ): Promise<SendResult> {
    const { server } = options;
    const addedHeaders = this.#dialect.buildCallHeaders({
      ...options.traits,
      ...describeCaller(req),
      serverId: server.id,
      deadlineMs: remainingMs,
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
        headers: [...req.headers, ...length, ...addedHeaders],
        body: req.body,
        headTimeoutMs: Math.min(
          remainingMs + DEADLINE_GRACE_MS,
          options.headTimeoutMs ?? Infinity,
        ),
        signal: options.signal,
      });
      this.#links?.onAnswered(req.service.name);
      const needsSeal = options.traits.isPrefill !== true;
      const traits = this.#readTraits(req, res, server);
      return checkResponse(req, { res, traits, needsSeal });
    } catch (err) {
      return toSendResult(err);
    }
  }

  /**
   * Sends a request and reads its response, unless that is large or a stream of events.
   * Does not throw.
   */
  async sendAndReadAnswer(
    req: GatewayRequest,
    server: CallableServer,
    options: SendOptions,
  ): Promise<AnswerResult> {
    const sent = await this.send(req, server, options);
    if (sent.kind !== "answer") return sent;
    if (isEventStream(req, sent.res)) {
      const { res, traits } = sent;
      // Events are framed anew.
      const isDropped = (name: string) => name === "content-length";
      const headers = pickEndToEndHeaders(res.rawHeaders, isDropped);
      return { kind: "events", status: traits.status, headers, traits, res };
    }
    return await this.readAnswer(sent, { method: req.method, ...options });
  }

  /** Sends a request whose response is short, and reads it. Does not throw. */
  async sendAndReadBody(
    req: GatewayRequest,
    server: CallableServer,
    options: SendOptions,
  ): Promise<CompleteResult> {
    const sent = await this.send(req, server, options);
    if (sent.kind !== "answer") return sent;
    const answer = await this.readAnswer(sent, {
      method: req.method,
      ...options,
    });
    if (answer.kind !== "large") return answer;
    answer.res.destroy();
    return { kind: "unknown", reason: "answer too large", isTimeout: false };
  }

  /** Reads the body of a response whose headers have arrived. Does not throw. */
  async readAnswer(
    { res, traits }: Extract<SendResult, { kind: "answer" }>,
    options: Pick<SendOptions, "deadline" | "signal"> & { method: string },
  ): Promise<CompleteResult | LargeAnswer> {
    const { deadline, signal, method } = options;
    const { status } = traits;
    // A caller might wait for the body that the length announces.
    const isDropped = (name: string) =>
      status === 204 && name === "content-length";
    const headers = pickEndToEndHeaders(res.rawHeaders, isDropped);
    try {
      const { chunks, isWhole } = await readBodyStart(res, {
        maxBytes: MAX_WHOLE_BODY_BYTES,
        timeoutMs: Math.max(1, deadline - this.#now()) + DEADLINE_GRACE_MS,
      });
      if (!isWhole) {
        return { kind: "large", status, headers, traits, res, begun: chunks };
      }
      res.destroy();
      const body = Buffer.concat(chunks);
      const isBodyDue = isSuccess(status) && method !== "HEAD" &&
        !BODYLESS_STATUSES.has(status);
      // Where only the end of the connection ends an answer, one without a body was cut off.
      if (isBodyDue && body.length === 0 && !hasBodyFraming(res)) {
        return { kind: "unknown", reason: "no body", isTimeout: false };
      }
      return { kind: "whole", status, headers, body, traits };
    } catch (err) {
      res.destroy();
      if (signal.aborted) return { kind: "aborted" };
      return toSendResult(err);
    }
  }

  /** Makes a call on the gateway's own behalf. Throws {@link ConnectionError}. */
  async sendControlCall(
    server: Omit<CallableServer, "id">,
    call: ControlCall,
  ): Promise<{ status: number; body: Buffer }> {
    const { method, path, headers, body } = call;
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
      headTimeoutMs: CONTROL_CALL_TIMEOUT_MS,
    });
    const limits = {
      maxBytes: MAX_CONTROL_RESPONSE_BYTES,
      timeoutMs: CONTROL_CALL_TIMEOUT_MS,
    };
    const responseBody = await readResponseBody(res, limits);
    return { status: res.statusCode ?? 0, body: responseBody };
  }

  /** Reads the traits of a response, and takes notice of what its server says of itself. */
  #readTraits(
    req: GatewayRequest,
    res: http.IncomingMessage,
    server: CallableServer,
  ): ResponseTraits {
    const traits = this.#dialect.readResponse(res.statusCode ?? 0, res.headers);
    const isFromServer = traits.status !== 421 && !isForeign(req, traits);
    if (isFromServer) {
      this.#serverLimits?.onAnswer(server, {
        service: req.service.name,
        requestsPerSecond: traits.requestsPerSecond,
      });
      this.#notices?.onAnswer(server, traits);
    }
    return traits;
  }
}

/**
 * Rejects a response that can't be trusted: one to another request, one with a content
 * encoding, which counts as altered, or a successful one without a seal. The response to
 * a prefill needs no seal.
 */
function checkResponse(
  req: GatewayRequest,
  response: {
    res: http.IncomingMessage;
    traits: ResponseTraits;
    needsSeal: boolean;
  },
): SendResult {
  const { res, traits, needsSeal } = response;
  const { status } = traits;
  const discard = (result: SendResult): SendResult => {
    res.on("error", () => {});
    res.destroy();
    return result;
  };
  const isOther = isForeign(req, traits);
  if (traits.isNotRun && !isOther) return discard({ kind: "not_run", status });
  const isAltered = res.headers["content-encoding"] !== undefined;
  const isUnsealed = needsSeal && isSuccess(status) && !traits.isSealed;
  if (!isOther && !isAltered && !isUnsealed) {
    return { kind: "answer", res, traits };
  }
  const reason = isOther
    ? "answer to another request"
    : isAltered
    ? "encoded answer"
    : "answer without a seal";
  return discard({ kind: "unknown", reason, isTimeout: false });
}

/** Whether a response is a series of events, which callers get as they come. */
function isEventStream(
  { route, method }: GatewayRequest,
  { statusCode, headers }: http.IncomingMessage,
): boolean {
  if (route.kind !== RouteKind.Stream || method === "HEAD") return false;
  const type = headers["content-type"] ?? EVENT_STREAM_TYPE;
  return statusCode === 200 && type.toLowerCase().startsWith(EVENT_STREAM_TYPE);
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Whether a response belongs to another request. */
function isForeign(req: GatewayRequest, { requestId }: ResponseTraits) {
  return requestId !== undefined && requestId !== req.requestId;
}

function toSendResult(err: unknown): Exclude<SendResult, { kind: "answer" }> {
  if (!(err instanceof ConnectionError)) throw err;
  const { tag } = err.detail;
  if (tag === "aborted") return { kind: "aborted" };
  if (tag === "not_sent") return { kind: "not_sent", reason: err.message };
  return {
    kind: "unknown",
    reason: err.message,
    isTimeout: tag === "no_reply",
  };
}
