/**
 * HTTP server towards callers: routes, keys, limits.
 * @module
 */
import type { Buffer } from "node:buffer";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import { Listener, type TlsFiles } from "@bitternfall/connection";
import { getMessage, Refusal } from "@bitternfall/errors";
import { type CallerIdentity, Outcome } from "@bitternfall/types";
import { parseBoundedJson, readBody } from "./body.ts";
import {
  type AnswerShape,
  type ModelRequest,
  parseModelRequest,
} from "./model_request.ts";
import { sendRefusal } from "./reply.ts";

interface Received {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly forwarded: boolean;
}

/** What every request carries. */
export interface CallContext<C extends CallerIdentity> {
  readonly requestId: string;
  readonly caller: C;
  /** The caller's `Idempotency-Key`. */
  readonly key: string | undefined;
  /** Aborted when the caller goes away before its answer is complete. */
  readonly gone: AbortSignal;
  readonly res: http.ServerResponse;
  /** The body as it came. */
  readonly body: Buffer;
  /** Another cell has forwarded the request; it is not forwarded again. */
  readonly forwarded: boolean;
}

/** A call of a plain service. */
export interface ServiceRequest {
  readonly service: string;
  readonly method: string;
  /** Path below the service, without the query. */
  readonly path: string;
  /** Query with its question mark, or empty. */
  readonly query: string;
  readonly headers: { readonly [name: string]: string | string[] };
  readonly body: Buffer | undefined;
}

/** Serves the requests that passed the doors. */
export interface CallerHandler<C extends CallerIdentity> {
  /** The caller of a key, or undefined for an unknown one. */
  findCaller(key: string): C | undefined;
  isReady(): boolean;
  listModels(caller: C): readonly string[];
  onModel(req: ModelRequest, call: CallContext<C>): Promise<void>;
  onService(req: ServiceRequest, call: CallContext<C>): Promise<void>;
  onRefused(refusal: Refusal, requestId: string): void;
}

/** Options of a {@link CallerServer}. */
export interface CallerServerOptions<C extends CallerIdentity> {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsFiles | undefined;
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly requestReadMs: number;
  readonly jsonDepth: number;
  readonly inFlight: number;
  readonly perWorkspaceInFlight: number;
  readonly handler: CallerHandler<C>;
  readonly onTlsReload?: () => void;
}

const MAX_KEY_LENGTH = 200;
const REQUEST_ID_BYTES = 12;
const RETRY_AFTER_LIMIT_MS = 1000;
/** Headers that belong to one connection or to the router, and are not passed on. */
const DROPPED_HEADERS = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "http2-settings",
  "idempotency-key",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** The server towards callers. */
export class CallerServer<C extends CallerIdentity> {
  readonly #options: CallerServerOptions<C>;
  readonly #listener: Listener;
  readonly #perWorkspace = new Map<string, number>();
  #inFlight = 0;
  #stopping = false;
  #onIdle: (() => void) | undefined;

  constructor(options: CallerServerOptions<C>) {
    this.#options = options;
    const { host, port, tls, headerBytes, requestReadMs, onTlsReload } =
      options;
    this.#listener = new Listener(
      {
        host,
        port,
        tls,
        maxHeaderBytes: headerBytes,
        requestReadMs,
        ...(onTlsReload === undefined ? {} : { onTlsReload }),
      },
      (req, res) => void this.#answer({ req, res, forwarded: false }),
    );
  }

  /** Requests that have been accepted and not yet answered. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Serves a request that another cell forwarded. */
  serveForwarded(req: http.IncomingMessage, res: http.ServerResponse): void {
    void this.#answer({ req, res, forwarded: true });
  }

  /** Starts to listen and returns the port. */
  listen(): Promise<number> {
    return this.#listener.listen();
  }

  /** Takes no new connections; answers on open ones close them. */
  stopAccepting(): void {
    this.#stopping = true;
    this.#listener.stopAccepting();
  }

  /** Resolves once no request is in flight. */
  whenIdle(): Promise<void> {
    if (this.#inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => this.#onIdle = resolve);
  }

  close(): Promise<void> {
    return this.#listener.close();
  }

  async #answer(received: Received): Promise<void> {
    const { res } = received;
    const requestId = crypto.randomBytes(REQUEST_ID_BYTES).toString(
      "base64url",
    );
    res.on("error", () => {});
    if (this.#stopping) res.shouldKeepAlive = false;
    try {
      await this.#route({ ...received, requestId });
    } catch (err) {
      const refusal = err instanceof Refusal
        ? err
        : new Refusal("upstream_failed", getMessage(err), {
          outcome: Outcome.Unknown,
          cause: err,
        });
      this.#options.handler.onRefused(refusal, requestId);
      if (res.headersSent) res.destroy();
      else sendRefusal(res, refusal);
    }
  }

  async #route(call: Received & { requestId: string }): Promise<void> {
    const { req, res } = call;
    const { handler } = this.#options;
    const [path = "", query] = splitUrl(req.url ?? "/");
    if (path === "/healthz") return sendText(res, OK);
    if (path === "/readyz") {
      return sendText(res, handler.isReady() ? READY : NOT_READY);
    }
    const caller = this.#authenticate(req);
    if (path === "/v1/models") return this.#listModels(caller, res);
    const shape = MODEL_PATHS.get(path);
    if (shape === undefined && !path.startsWith("/services/")) {
      throw new Refusal("not_found", "no such path");
    }
    if (shape !== undefined && req.method !== "POST") {
      throw new Refusal("method_not_allowed", "use POST");
    }
    this.#enter(caller);
    try {
      const body = await readBody(req, this.#options.bodyBytes);
      const context = this.#createContext({ ...call, caller, body });
      if (shape !== undefined) {
        const json = parseBoundedJson(
          body.toString("utf8"),
          this.#options.jsonDepth,
        );
        await handler.onModel(parseModelRequest(shape, json), context);
      } else {
        await handler.onService(
          readServiceRequest(req, { path, query: query ?? "", body }),
          context,
        );
      }
    } finally {
      this.#leave(caller);
    }
  }

  #authenticate(req: http.IncomingMessage): C {
    const key = /^Bearer (.{1,500})$/.exec(req.headers.authorization ?? "")
      ?.[1];
    if (key === undefined) {
      throw new Refusal(
        "unauthenticated",
        "an Authorization header with a bearer key is needed",
      );
    }
    const caller = this.#options.handler.findCaller(key);
    if (caller === undefined && !this.#options.handler.isReady()) {
      throw new Refusal("not_ready", "this VM has no records yet", {
        retryAfterMs: RETRY_AFTER_LIMIT_MS,
      });
    }
    if (caller === undefined) {
      throw new Refusal("unauthenticated", "the key is not known");
    }
    return caller;
  }

  #listModels(caller: C, res: http.ServerResponse): void {
    const data = this.#options.handler.listModels(caller).map((id) => ({
      id,
      object: "model",
    }));
    res.writeHead(200, { "content-type": "application/json" });
    res.end(JSON.stringify({ object: "list", data }));
  }

  #createContext(
    call: Received & { requestId: string; caller: C; body: Buffer },
  ): CallContext<C> {
    const { req, res, requestId, caller, body, forwarded } = call;
    const header = req.headers["idempotency-key"];
    const key = Array.isArray(header) ? header[0] : header;
    if (
      key !== undefined && (key.length === 0 || key.length > MAX_KEY_LENGTH)
    ) {
      throw new Refusal(
        "bad_request",
        `an Idempotency-Key has 1 to ${MAX_KEY_LENGTH} characters`,
      );
    }
    const gone = new AbortController();
    res.once("close", () => {
      if (!res.writableFinished) gone.abort();
    });
    return { requestId, caller, key, gone: gone.signal, res, body, forwarded };
  }

  #enter(caller: C): void {
    const { inFlight, perWorkspaceInFlight } = this.#options;
    const own = this.#perWorkspace.get(caller.workspace) ?? 0;
    if (this.#inFlight >= inFlight) {
      throw new Refusal("overloaded", "too many requests in flight", {
        retryAfterMs: RETRY_AFTER_LIMIT_MS,
      });
    }
    if (own >= perWorkspaceInFlight) {
      throw new Refusal(
        "too_many_requests",
        "too many requests of this workspace in flight",
        {
          retryAfterMs: RETRY_AFTER_LIMIT_MS,
        },
      );
    }
    this.#inFlight++;
    this.#perWorkspace.set(caller.workspace, own + 1);
  }

  #leave(caller: C): void {
    this.#inFlight--;
    const own = (this.#perWorkspace.get(caller.workspace) ?? 1) - 1;
    if (own > 0) this.#perWorkspace.set(caller.workspace, own);
    else this.#perWorkspace.delete(caller.workspace);
    if (this.#inFlight === 0) this.#onIdle?.();
  }
}

const MODEL_PATHS = new Map<string, AnswerShape>([
  ["/v1/chat/completions", "chat"],
  ["/v1/completions", "text"],
]);
const OK = { status: 200, text: "ok\n" };
const READY = { status: 200, text: "ready\n" };
const NOT_READY = { status: 503, text: "not ready\n" };

function sendText(
  res: http.ServerResponse,
  reply: { status: number; text: string },
): void {
  const { status, text } = reply;
  res.writeHead(status, { "content-type": "text/plain" });
  res.end(text);
}

function splitUrl(url: string): [string, string?] {
  const at = url.indexOf("?");
  return at < 0 ? [url] : [url.slice(0, at), url.slice(at)];
}

function readServiceRequest(
  req: http.IncomingMessage,
  parts: { path: string; query: string; body: Buffer },
): ServiceRequest {
  const [, , service = "", ...rest] = parts.path.split("/");
  const path = `/${rest.join("/")}`;
  const decoded = decodePath(path);
  if (
    decoded === undefined ||
    decoded.split("/").some((segment) => segment === ".." || segment === ".")
  ) {
    throw new Refusal("bad_request", "the path is not normalised");
  }
  const headers: { [name: string]: string | string[] } = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value !== undefined && !DROPPED_HEADERS.has(name)) {
      headers[name] = value;
    }
  }
  const body = parts.body.length === 0 ? undefined : parts.body;
  return {
    service,
    method: req.method ?? "GET",
    path,
    query: parts.query,
    headers,
    body,
  };
}

function decodePath(path: string): string | undefined {
  try {
    return decodeURIComponent(path);
  } catch {
    return undefined;
  }
}
