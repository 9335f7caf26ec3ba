/**
 * Operators' HTTP API; docs/PROTOCOLS.md lists its paths.
 * @module
 */
import * as crypto from "node:crypto";
import type * as http from "node:http";
import { Listener, type TlsFiles } from "@bitternfall/connection";
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
  /** Somebody else changed the record first. */
  | {
    readonly tag: "conflict";
    readonly version: number;
    readonly current: OperatorRecord | null;
  }
  /** The object API can't be reached; the change may or may not stand. */
  | { readonly tag: "unknown" }
  /** The object API can't be reached; the change was not made. */
  | { readonly tag: "unavailable" };

/** An operator's call failed. */
export class OperatorError extends TaggedError<OperatorFault> {}

/** What an operator may do. */
export enum Scope {
  Read = "read",
  Write = "write",
}

/** An operator as the settings declare it. */
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
  /** Version that the change is based on; 0 when there was none. */
  readonly version: number;
  /** Chosen by the operator's tool; the same id is applied once. */
  readonly changeId: string;
  readonly who: string;
}

/** Serves operators' calls. Each method returns a JSON value or throws {@link OperatorError}. */
export interface OperatorHandler {
  listRecords(kind: string | undefined): unknown;
  getRecord(kind: string, name: string): Promise<unknown>;
  changeRecord(change: RecordChange): Promise<unknown>;
  getHistory(kind: string, name: string): Promise<unknown>;
  /** Status of all VMs, or of this one alone. */
  getStatus(options: { onlyThis: boolean }): Promise<unknown>;
  listUpstreams(): Promise<unknown>;
  getQueues(): Promise<unknown>;
  drain(vm: string, who: string): Promise<unknown>;
}

/** Options of an {@link OperatorServer}. */
export interface OperatorServerOptions {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsFiles | undefined;
  readonly operators: readonly Operator[];
  readonly handler: OperatorHandler;
}

const STATUS = {
  bad_request: 400,
  not_found: 404,
  conflict: 409,
  unknown: 504,
  unavailable: 503,
} as const;
const MAX_BODY_BYTES = 1_000_000;

/** The server towards operators. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #listener: Listener;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    const { host, port, tls } = options;
    this.#listener = new Listener(
      { host, port, tls },
      (req, res) => void this.#answer(req, res),
    );
  }

  listen(): Promise<number> {
    return this.#listener.listen();
  }

  close(): Promise<void> {
    return this.#listener.close();
  }

  async #answer(
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
      const needed = req.method === "GET" ? Scope.Read : Scope.Write;
      const url = new URL(req.url ?? "/", "http://operator");
      const isCheck = url.pathname === "/v1/validate";
      if (!operator.scopes.includes(isCheck ? Scope.Read : needed)) {
        return send(res, {
          status: 403,
          json: {
            error: { type: "forbidden", message: `needs scope ${needed}` },
          },
        });
      }
      send(res, {
        status: 200,
        json: await this.#route(req, { url, who: operator.name }),
      });
    } catch (err) {
      send(res, formatFailure(err));
    }
  }

  async #route(
    req: http.IncomingMessage,
    call: { url: URL; who: string },
  ): Promise<unknown> {
    const { handler } = this.#options;
    const { url, who } = call;
    const [version, topic, kind, name] = url.pathname.split("/").filter((
      part,
    ) => part !== "").map(decodeURIComponent);
    const route = `${req.method} ${version}/${topic}`;
    if (
      route === "GET v1/records" && kind !== undefined && name !== undefined
    ) return handler.getRecord(kind, name);
    if (route === "GET v1/records") return handler.listRecords(kind);
    if (
      (route === "PUT v1/records" || route === "DELETE v1/records") &&
      kind !== undefined && name !== undefined
    ) {
      const body = req.method === "PUT" ? parseJson(await readText(req)) : null;
      return await handler.changeRecord({
        ...readChange(req, { kind, name, body }),
        who,
      });
    }
    if (
      route === "GET v1/history" && kind !== undefined && name !== undefined
    ) return handler.getHistory(kind, name);
    if (route === "GET v1/status") {
      const onlyThis = url.searchParams.get("scope") === "this";
      return handler.getStatus({ onlyThis });
    }
    if (route === "GET v1/upstreams") return handler.listUpstreams();
    if (route === "GET v1/queues") return handler.getQueues();
    if (route === "POST v1/drain" && kind !== undefined) {
      return handler.drain(kind, who);
    }
    if (route === "POST v1/validate") {
      return { record: parseRecord(parseJson(await readText(req))) };
    }
    throw new OperatorError({ tag: "not_found" }, "no such path");
  }
}

/** The operator of a bearer header. All hashes are compared, each in constant time. */
export function findOperator(
  operators: readonly Operator[],
  header: string | undefined,
): Operator | undefined {
  const token = /^Bearer (.+)$/.exec(header ?? "")?.[1];
  if (token === undefined) return undefined;
  const given = new TextEncoder().encode(hashKey(token));
  let found: Operator | undefined;
  for (const operator of operators) {
    const wanted = new TextEncoder().encode(operator.tokenSha256);
    if (
      given.length === wanted.length && crypto.timingSafeEqual(given, wanted)
    ) found = operator;
  }
  return found;
}

function readChange(
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

function formatFailure(err: unknown): { status: number; json: unknown } {
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
    const { tag, ...rest } = err.detail;
    return {
      status: STATUS[tag],
      json: { error: { type: tag, message: err.message, ...rest } },
    };
  }
  return {
    status: 500,
    json: { error: { type: "failed", message: getMessage(err) } },
  };
}

async function readText(req: http.IncomingMessage): Promise<string> {
  let text = "";
  req.setEncoding("utf8");
  for await (const chunk of req) {
    text += chunk;
    if (text.length > MAX_BODY_BYTES) {
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
