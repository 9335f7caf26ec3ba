/**
 * Operators' HTTP API; docs/PROTOCOLS.md lists its paths.
 * @module
 */
import * as crypto from "node:crypto";
import type * as http from "node:http";
import {
  Listener,
  type TlsFiles,
  type TlsReloadListener,
} from "@bitternfall/connection";
import { getMessage, TaggedError } from "@bitternfall/errors";
import {
  hashKey,
  type OperatorRecord,
  parseRecord,
  RecordError,
} from "@bitternfall/records";

/** Why an operator's call failed. */
export type OperatorFault =
  | { readonly tag: "bad_request" }
  | { readonly tag: "not_found" }
  /** The record's version is no longer the one that the change is based on. */
  | {
    readonly tag: "conflict";
    readonly version: number;
    readonly current: OperatorRecord | null;
  }
  /** The object API didn't reply; the change may or may not have been made. */
  | { readonly tag: "unknown" }
  /** The object API is unreachable; no change was made. */
  | { readonly tag: "unavailable" };

/** An operator's call failed. */
export class OperatorError extends TaggedError<OperatorFault> {}

/** Permission of an operator. */
export enum Scope {
  Read = "read",
  Write = "write",
}

/** An operator as declared in the settings. */
export interface Operator {
  readonly name: string;
  readonly tokenSha256: string;
  readonly scopes: readonly `${Scope}`[];
}

/** A change of one record. */
export interface RecordChange {
  readonly kind: string;
  readonly name: string;
  /** The new record, or `null` to delete it. */
  readonly record: OperatorRecord | null;
  /** Version that the change is based on; 0 for a record that was never stored. */
  readonly version: number;
  /** Chosen by the operator's tool; a change with the same id is applied only once. */
  readonly changeId: string;
  readonly who: string;
}

/** Handles operators' calls. Each method returns a JSON value or throws {@link OperatorError}. */
export interface OperatorHandler {
  listRecords(kind: string | undefined): unknown;
  getRecord(kind: string, name: string): Promise<unknown>;
  changeRecord(change: RecordChange): Promise<unknown>;
  getHistory(kind: string, name: string): Promise<unknown>;
  /** Status of all VMs, or of this VM only. */
  getStatus(options: { onlyThisVm: boolean }): Promise<unknown>;
  listUpstreams(): Promise<unknown>;
  getQueues(): Promise<unknown>;
  drain(vm: string, who: string): Promise<unknown>;
}

/** Options of an {@link OperatorServer}. */
export interface OperatorServerOptions extends TlsReloadListener {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsFiles | undefined;
  readonly operators: readonly Operator[];
  readonly handler: OperatorHandler;
}

const STATUS_BY_TAG = {
  bad_request: 400,
  not_found: 404,
  conflict: 409,
  unknown: 504,
  unavailable: 503,
} as const;
/** Characters of a request body above which it is refused. */
const MAX_BODY_CHARS = 1_000_000;

/** HTTP server of the operators' API: authenticates, authorises and routes calls. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #listener: Listener;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#listener = new Listener(
      options,
      (req, res) => void this.#handleRequest(req, res),
    );
  }

  /** Accepts the connections; bound with the other listeners of the process. */
  get listener(): Listener {
    return this.#listener;
  }

  close(): Promise<void> {
    return this.#listener.close();
  }

  async #handleRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    res.on("error", () => {});
    try {
      const operator = findOperator(
        this.#options.operators,
        req.headers.authorization,
      );
      if (operator === undefined) {
        return send(res, {
          status: 401,
          json: { error: { type: "unauthenticated" } },
        });
      }
      const requiredScope = req.method === "GET" ? Scope.Read : Scope.Write;
      const url = new URL(req.url ?? "/", "http://operator");
      const isValidation = url.pathname === "/v1/validate";
      if (
        !operator.scopes.includes(isValidation ? Scope.Read : requiredScope)
      ) {
        return send(res, {
          status: 403,
          json: {
            error: {
              type: "forbidden",
              message: `needs scope ${requiredScope}`,
            },
          },
        });
      }
      send(res, {
        status: 200,
        json: await this.#route(req, { url, who: operator.name }),
      });
    } catch (err) {
      send(res, createErrorResponse(err));
    }
  }

  async #route(
    req: http.IncomingMessage,
    call: { url: URL; who: string },
  ): Promise<unknown> {
    const { handler } = this.#options;
    const { url, who } = call;
    const [version, resource, kind, name] = url.pathname.split("/").filter((
      part,
    ) => part !== "").map(decodeURIComponent);
    const route = `${req.method} ${version}/${resource}`;
    if (
      route === "GET v1/records" && kind !== undefined && name !== undefined
    ) return handler.getRecord(kind, name);
    if (route === "GET v1/records") return handler.listRecords(kind);
    if (
      (route === "PUT v1/records" || route === "DELETE v1/records") &&
      kind !== undefined && name !== undefined
    ) {
      const body = req.method === "PUT"
        ? parseJson(await readBodyText(req))
        : null;
      return await handler.changeRecord({
        ...parseChange(req, { kind, name, body }),
        who,
      });
    }
    if (
      route === "GET v1/history" && kind !== undefined && name !== undefined
    ) return handler.getHistory(kind, name);
    if (route === "GET v1/status") {
      const onlyThisVm = url.searchParams.get("scope") === "this";
      return handler.getStatus({ onlyThisVm });
    }
    if (route === "GET v1/upstreams") return handler.listUpstreams();
    if (route === "GET v1/queues") return handler.getQueues();
    if (route === "POST v1/drain" && kind !== undefined) {
      return handler.drain(kind, who);
    }
    if (route === "POST v1/validate") {
      return { record: parseRecord(parseJson(await readBodyText(req))) };
    }
    throw new OperatorError({ tag: "not_found" }, "no such path");
  }
}

/**
 * Finds the operator that a bearer token belongs to. Compares the token's hash with every
 * operator's in constant time, so that the duration doesn't reveal which one matches.
 */
export function findOperator(
  operators: readonly Operator[],
  header: string | undefined,
): Operator | undefined {
  const token = /^Bearer (.+)$/.exec(header ?? "")?.[1];
  if (token === undefined) return undefined;
  const presentedHash = new TextEncoder().encode(hashKey(token));
  let found: Operator | undefined;
  for (const operator of operators) {
    const expectedHash = new TextEncoder().encode(operator.tokenSha256);
    if (
      presentedHash.length === expectedHash.length &&
      crypto.timingSafeEqual(presentedHash, expectedHash)
    ) found = operator;
  }
  return found;
}

function parseChange(
  req: http.IncomingMessage,
  target: { kind: string; name: string; body: unknown },
): Omit<RecordChange, "who"> {
  const { kind, name, body } = target;
  const version = Number(req.headers["if-match"] ?? Number.NaN);
  const changeId = req.headers["change-id"];
  if (!Number.isInteger(version)) {
    throw new OperatorError(
      { tag: "bad_request" },
      "If-Match must hold a version",
    );
  }
  if (typeof changeId !== "string" || !/^[\w-]{8,80}$/.test(changeId)) {
    throw new OperatorError(
      { tag: "bad_request" },
      "Change-Id must hold 8 to 80 letters, digits and hyphens",
    );
  }
  const record = body === null ? null : parseRecord(body);
  if (record !== null && (record.kind !== kind || record.name !== name)) {
    throw new OperatorError(
      { tag: "bad_request" },
      "kind and name of the record differ from those of the path",
    );
  }
  return { kind, name, record, version, changeId };
}

function createErrorResponse(err: unknown): { status: number; json: unknown } {
  if (err instanceof RecordError) {
    const { faults } = err.detail;
    return {
      status: 400,
      json: {
        error: { type: "malformed_record", message: err.message, faults },
      },
    };
  }
  if (err instanceof OperatorError) {
    const { tag, ...otherDetails } = err.detail;
    return {
      status: STATUS_BY_TAG[tag],
      json: { error: { type: tag, message: err.message, ...otherDetails } },
    };
  }
  return {
    status: 500,
    json: { error: { type: "failed", message: getMessage(err) } },
  };
}

async function readBodyText(req: http.IncomingMessage): Promise<string> {
  let text = "";
  req.setEncoding("utf8");
  for await (const chunk of req) {
    text += chunk;
    if (text.length > MAX_BODY_CHARS) {
      throw new OperatorError({ tag: "bad_request" }, "the body is too large");
    }
  }
  return text;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new OperatorError({ tag: "bad_request" }, "the body is not JSON");
  }
}

function send(
  res: http.ServerResponse,
  reply: { status: number; json: unknown },
): void {
  if (res.destroyed) return;
  res.writeHead(reply.status, { "content-type": "application/json" });
  res.end(JSON.stringify(reply.json));
}
