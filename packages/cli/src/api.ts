/**
 * Client of the operators' API.
 * @module
 */
import * as crypto from "node:crypto";
import { getMessage, TaggedError } from "@bitternfall/errors";

/** Why a command failed; each case has its exit code. */
export type CommandFault =
  | { readonly tag: "usage" }
  | { readonly tag: "malformed" }
  | {
    readonly tag: "conflict";
    readonly version: number;
    readonly current: unknown;
  }
  | { readonly tag: "not_found" }
  | { readonly tag: "denied" }
  /** The change may or may not stand. */
  | { readonly tag: "unknown" }
  | { readonly tag: "unavailable" };

/** A command failed. */
export class CommandError extends TaggedError<CommandFault> {}

/** A record with its version; 0 and `null` where there is none. */
export interface VersionedRecord {
  readonly version: number;
  readonly record: RecordValue | null;
}

/** A record as it goes over the API. */
export interface RecordValue {
  readonly kind: string;
  readonly name: string;
  readonly [field: string]: unknown;
}

interface ErrorBody {
  readonly error?: {
    readonly type?: string;
    readonly message?: string;
    readonly version?: number;
    current?: unknown;
  };
}

const TIMEOUT_MS = 10_000;
const TRIES = 3;

/** The operators' API of one VM. */
export class OperatorApi {
  readonly #address: string;
  readonly #token: string;

  constructor(options: { address: string; token: string }) {
    this.#address = options.address.replace(/\/$/, "");
    this.#token = options.token;
  }

  async get<T>(path: string): Promise<T> {
    return await this.#call<T>("GET", { path });
  }

  async post<T>(path: string, body?: unknown): Promise<T> {
    return await this.#call<T>("POST", { path, body });
  }

  getRecord(kind: string, name: string): Promise<VersionedRecord> {
    return this.get<VersionedRecord>(getRecordPath(kind, name));
  }

  /**
   * Writes a record on top of `version`, or deletes it. A lost reply is settled by
   * sending the same change id again.
   */
  async change(
    target: { kind: string; name: string },
    options: { record: RecordValue | null; version: number },
  ): Promise<{ version: number }> {
    const headers = {
      "if-match": String(options.version),
      "change-id": crypto.randomUUID(),
    };
    const path = getRecordPath(target.kind, target.name);
    const method = options.record === null ? "DELETE" : "PUT";
    const body = options.record ?? undefined;
    for (let tries = 1;; tries++) {
      try {
        return await this.#call<{ version: number }>(method, {
          path,
          body,
          headers,
        });
      } catch (err) {
        const lost = err instanceof CommandError &&
          err.detail.tag === "unknown";
        if (!lost || tries === TRIES) throw err;
      }
    }
  }

  async #call<T>(
    method: string,
    options: {
      path: string;
      body?: unknown;
      headers?: { [name: string]: string };
    },
  ): Promise<T> {
    const { path, body, headers = {} } = options;
    let res: Response;
    let json: unknown;
    try {
      res = await fetch(this.#address + path, {
        method,
        headers: { ...headers, authorization: `Bearer ${this.#token}` },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      json = await res.json();
    } catch (err) {
      const tag = method === "GET" ? "unavailable" : "unknown";
      throw new CommandError({ tag }, `${this.#address}: ${getMessage(err)}`, {
        cause: err,
      });
    }
    if (res.ok) return json as T;
    throw toCommandError(res.status, json as ErrorBody);
  }
}

function getRecordPath(kind: string, name: string): string {
  return `/v1/records/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function toCommandError(status: number, body: ErrorBody): CommandError {
  const text = body.error?.message ?? `the VM answered ${status}`;
  if (status === 409) {
    const { version = 0, current = null } = body.error ?? {};
    return new CommandError({ tag: "conflict", version, current }, text);
  }
  if (status === 401 || status === 403) {
    return new CommandError({ tag: "denied" }, `not allowed: ${text}`);
  }
  if (status === 400) return new CommandError({ tag: "malformed" }, text);
  if (status === 404) return new CommandError({ tag: "not_found" }, text);
  if (status === 504) return new CommandError({ tag: "unknown" }, text);
  return new CommandError({ tag: "unavailable" }, text);
}
