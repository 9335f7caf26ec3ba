/**
 * HTTP client of the operators' API.
 * @module
 */
import * as crypto from "node:crypto";
import { getMessage, TaggedError } from "@bitternfall/errors";

/** Reason why a command failed, which determines its exit code. */
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
  /** It is not known whether the change was applied. */
  | { readonly tag: "unknown" }
  | { readonly tag: "unavailable" };

/** Failure of a command. */
export class CommandError extends TaggedError<CommandFault> {}

/** A record, `null` if it does not exist, with its version, 0 if it was never stored. */
export interface VersionedRecord {
  readonly version: number;
  readonly record: RecordValue | null;
}

/** A record as the API sends and accepts it. */
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

const REQUEST_TIMEOUT_MS = 10_000;
const MAX_ATTEMPTS = 3;

/** Client for the operators' API of one VM. */
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
   * Writes a record, or deletes it if `record` is null, provided that `version` is still
   * the stored version. If the outcome is unknown, the request is retried with the same
   * change id, so that the change is applied at most once.
   */
  async changeRecord(
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
    for (let attemptNumber = 1;; attemptNumber++) {
      try {
        return await this.#call<{ version: number }>(method, {
          path,
          body,
          headers,
        });
      } catch (err) {
        const isOutcomeUnknown = err instanceof CommandError &&
          err.detail.tag === "unknown";
        if (!isOutcomeUnknown || attemptNumber === MAX_ATTEMPTS) throw err;
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
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
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
  const text = body.error?.message ?? `the VM responded with status ${status}`;
  if (status === 409) {
    const { version = 0, current = null } = body.error ?? {};
    return new CommandError({ tag: "conflict", version, current }, text);
  }
  if (status === 401 || status === 403) {
    return new CommandError({ tag: "denied" }, `access denied: ${text}`);
  }
  if (status === 400) return new CommandError({ tag: "malformed" }, text);
  if (status === 404) return new CommandError({ tag: "not_found" }, text);
  if (status === 504) return new CommandError({ tag: "unknown" }, text);
  return new CommandError({ tag: "unavailable" }, text);
}
