/**
 * HTTP server for callers: routes, authentication, in-flight limits.
 * @module
 */
import type { Buffer } from "node:buffer";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import {
  Listener,
  type TlsFiles,
  type TlsReloadListener,
} from "@bitternfall/connection";
import { getMessage, Refusal } from "@bitternfall/errors";
import { type CallerIdentity, Outcome } from "@bitternfall/types";
import { parseBoundedJson, readBody } from "./body.ts";
import {
  type ModelRequest,
  parseModelRequest,
  type ResponseShape,
} from "./model_request.ts";
import { MemoryPool, type Reservation } from "./memory_pool.ts";
import { type OpenCall, OpenCalls } from "./open_calls.ts";
import { sendRefusal } from "./response.ts";

interface IncomingCall {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly isForwarded: boolean;
  readonly open: OpenCall;
}

/** Context of a request that has been authenticated and admitted. */
export interface CallContext<C extends CallerIdentity> {
  readonly requestId: string;
  readonly caller: C;
  /** Value of the `Idempotency-Key` header. */
  readonly idempotencyKey: string | undefined;
  /** Aborted when the caller disconnects before its response is complete. */
  readonly callerSignal: AbortSignal;
  readonly res: http.ServerResponse;
  /** What is held for the request, until its response has been written out. */
  readonly memory: Reservation;
  /** The unparsed request body. */
  readonly body: Buffer;
  /** Whether another cell has forwarded the request; it is then not forwarded again. */
  readonly isForwarded: boolean;
}

/** A request to a plain service. */
export interface ServiceRequest {
  readonly service: string;
  readonly method: string;
  /** Path relative to the service, without the query. */
  readonly path: string;
  /** Query including its question mark, or an empty string. */
  readonly query: string;
  readonly headers: { readonly [name: string]: string | string[] };
  readonly body: Buffer | undefined;
}

/** Handles requests that have been authenticated, admitted and validated. */
export interface CallerHandler<C extends CallerIdentity> {
  /** Returns the caller that an API key belongs to, or undefined if it is unknown. */
  findCaller(apiKey: string): C | undefined;
  isReady(): boolean;
  listModels(caller: C): readonly string[];
  onModelRequest(req: ModelRequest, call: CallContext<C>): Promise<void>;
  onServiceRequest(req: ServiceRequest, call: CallContext<C>): Promise<void>;
  onRefused(refusal: Refusal, requestId: string): void;
}

/** Options of a {@link CallerServer}. */
export interface CallerServerOptions<C extends CallerIdentity>
  extends TlsReloadListener {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsFiles | undefined;
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly requestReadMs: number;
  readonly jsonDepth: number;
  readonly inFlight: number;
  readonly perWorkspaceInFlight: number;
  /** Bytes of bodies and of answers that are held at once. */
  readonly heldBytes: number;
  readonly handler: CallerHandler<C>;
}

const MAX_IDEMPOTENCY_KEY_LENGTH = 200;
const REQUEST_ID_BYTES = 12;
const RETRY_AFTER_MS = 1000;
/** Headers that concern only the caller's connection or the router itself. */
const HEADERS_NOT_FORWARDED = new Set([
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

/** Authenticates, admits and routes callers' requests. */
export class CallerServer<C extends CallerIdentity> {
  readonly #options: CallerServerOptions<C>;
  readonly #listener: Listener;
  readonly #open = new OpenCalls();
  readonly #inFlightByWorkspace = new Map<string, number>();
  readonly #memory: MemoryPool;
  #inFlight = 0;
  #isStopping = false;

  constructor(options: CallerServerOptions<C>) {
    this.#options = options;
    this.#memory = new MemoryPool(options.heldBytes);
    this.#listener = new Listener(
      {
        ...options,
        maxHeaderBytes: options.headerBytes,
      },
      (req, res) => void this.#handleRequest(req, res, { isForwarded: false }),
    );
  }

  /** Number of admitted requests whose handlers have not finished. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Serves a request that another cell forwarded. */
  serveForwarded(req: http.IncomingMessage, res: http.ServerResponse): void {
    void this.#handleRequest(req, res, { isForwarded: true });
  }

  /** Accepts the connections; bound with the other listeners of the process. */
  get listener(): Listener {
    return this.#listener;
  }

  /** Starts listening and returns the bound port. */
  listen(): Promise<number> {
    return this.#listener.listen();
  }

  /** Stops accepting connections; open ones are closed after their next response. */
  stopAccepting(): Promise<void> {
    this.#isStopping = true;
    return this.#listener.stopAccepting();
  }

  /** Resolves when no request is open: all responses have been written out. */
  whenIdle(): Promise<void> {
    return this.#open.whenIdle();
  }

  /** Ends the requests that have no response yet, with what is known of each. */
  endUnanswered(): void {
    this.#open.endUnanswered();
  }

  /** Ends all connections; resolves once callers have closed them, or shortly after. */
  endConnections(): Promise<void> {
    return this.#listener.endConnections();
  }

  close(): Promise<void> {
    return this.#listener.close();
  }

  async #handleRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    { isForwarded }: { isForwarded: boolean },
  ): Promise<void> {
    const open = this.#open.add(res);
    const requestId = crypto.randomBytes(REQUEST_ID_BYTES).toString(
      "base64url",
    );
    res.on("error", () => {});
    if (this.#isStopping) res.shouldKeepAlive = false;
    try {
      await this.#route({ req, res, isForwarded, open, requestId });
    } catch (err) {
      const refusal = err instanceof Refusal
        ? err
        : new Refusal("upstream_failed", getMessage(err), {
          outcome: Outcome.Unknown,
          cause: err,
        });
      this.#options.handler.onRefused(refusal, requestId);
      if (!res.headersSent) sendRefusal(res, refusal);
      else if (!res.writableEnded) res.destroy();
    }
  }

  async #route(call: IncomingCall & { requestId: string }): Promise<void> {
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
    this.#admit(caller);
    try {
      const memory = this.#memory.open();
      res.once("close", () => memory.release());
      const body = await readBody(req, this.#options.bodyBytes, {
        reservation: memory,
      });
      if (res.writableEnded) return;
      call.open.isRead = true;
      const context = this.#createContext({ ...call, caller, body, memory });
      if (shape !== undefined) {
        const json = parseBoundedJson(
          body.toString("utf8"),
          this.#options.jsonDepth,
        );
        await handler.onModelRequest(parseModelRequest(shape, json), context);
      } else {
        await handler.onServiceRequest(
          readServiceRequest(req, { path, query: query ?? "", body }),
          context,
        );
      }
      if (!res.writableEnded && !res.destroyed) {
        throw new Refusal(
          "upstream_failed",
          "request ended without a response",
          {
            outcome: Outcome.Unknown,
          },
        );
      }
    } finally {
      this.#releaseSlot(caller);
    }
  }

  #authenticate(req: http.IncomingMessage): C {
    const apiKey = /^Bearer (.{1,500})$/.exec(req.headers.authorization ?? "")
      ?.[1];
    if (apiKey === undefined) {
      throw new Refusal(
        "unauthenticated",
        "an Authorization header with a bearer key is needed",
      );
    }
    const caller = this.#options.handler.findCaller(apiKey);
    if (caller === undefined && !this.#options.handler.isReady()) {
      throw new Refusal("not_ready", "this VM has no records yet", {
        retryAfterMs: RETRY_AFTER_MS,
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
    call: IncomingCall & {
      requestId: string;
      caller: C;
      body: Buffer;
      memory: Reservation;
    },
  ): CallContext<C> {
    const { req, res, requestId, caller, body, memory, isForwarded, open } =
      call;
    const header = req.headers["idempotency-key"];
    const idempotencyKey = Array.isArray(header) ? header[0] : header;
    if (
      idempotencyKey !== undefined &&
      (idempotencyKey.length === 0 ||
        idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH)
    ) {
      throw new Refusal(
        "bad_request",
        `an Idempotency-Key has 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
      );
    }
    return {
      requestId,
      caller,
      idempotencyKey,
      callerSignal: open.callerSignal,
      res,
      memory,
      body,
      isForwarded,
    };
  }

  #admit(caller: C): void {
    const { inFlight, perWorkspaceInFlight } = this.#options;
    const workspaceInFlight = this.#inFlightByWorkspace.get(caller.workspace) ??
      0;
    if (this.#inFlight >= inFlight) {
      throw new Refusal("overloaded", "too many requests in flight", {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    if (workspaceInFlight >= perWorkspaceInFlight) {
      throw new Refusal(
        "too_many_requests",
        "too many requests of this workspace in flight",
        {
          retryAfterMs: RETRY_AFTER_MS,
        },
      );
    }
    this.#inFlight++;
    this.#inFlightByWorkspace.set(caller.workspace, workspaceInFlight + 1);
  }

  #releaseSlot(caller: C): void {
    this.#inFlight--;
    const count = (this.#inFlightByWorkspace.get(caller.workspace) ?? 1) - 1;
    if (count > 0) this.#inFlightByWorkspace.set(caller.workspace, count);
    else this.#inFlightByWorkspace.delete(caller.workspace);
  }
}

const MODEL_PATHS = new Map<string, ResponseShape>([
  ["/v1/chat/completions", "chat"],
  ["/v1/completions", "text"],
]);
const OK = { status: 200, text: "ok\n" };
const READY = { status: 200, text: "ready\n" };
const NOT_READY = { status: 503, text: "not ready\n" };

function sendText(
  res: http.ServerResponse,
  response: { status: number; text: string },
): void {
  const { status, text } = response;
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
  const [, , service = "", ...segments] = parts.path.split("/");
  const path = `/${segments.join("/")}`;
  const decoded = decodePath(path);
  if (
    decoded === undefined ||
    decoded.split("/").some((segment) => segment === ".." || segment === ".")
  ) {
    throw new Refusal("bad_request", "the path is not normalised");
  }
  const headers: { [name: string]: string | string[] } = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value !== undefined && !HEADERS_NOT_FORWARDED.has(name)) {
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
