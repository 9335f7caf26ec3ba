/**
 * Client of one server of a plain service.
 * @module
 */
import type { Buffer } from "node:buffer";
import {
  type CallOptions,
  ConnectionError,
  HttpClient,
  type HttpResponse,
} from "@bitternfall/connection";
import { TaggedError } from "@bitternfall/errors";
import * as zod from "zod";

export * from "./latency_window.ts";
export * from "./server_pool.ts";

/** Why a call failed, and what that says of its effect. */
export type ServiceFault =
  /** Nothing was sent: the call did not run. */
  | { readonly tag: "not_sent" }
  /** The call may have run. */
  | { readonly tag: "may_have_run"; readonly silent: boolean }
  | { readonly tag: "aborted" };

/** A call to a plain service failed. */
export class ServiceError extends TaggedError<ServiceFault> {}

/** A call to forward. */
export interface ServiceCall {
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly headers: { readonly [name: string]: string | string[] };
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
  /** A call that may not be repeated gets a connection of its own. */
  readonly repeatable: boolean;
}

/** A lagging report of a server's load. */
export interface ServiceReport {
  readonly running: number;
  readonly leaving: boolean;
}

const reportSchema = zod.object({
  running: zod.number(),
  leaving: zod.boolean().default(false),
});

/** Client of the server at one address. */
export class ServiceClient {
  readonly address: string;
  readonly #connection: HttpClient;

  constructor(address: string) {
    this.address = address;
    this.#connection = new HttpClient(address);
  }

  /** Forwards one call, once. Throws {@link ServiceError}. */
  async forward(call: ServiceCall): Promise<HttpResponse> {
    const { method, path, headers, body, timeoutMs, signal, repeatable } = call;
    try {
      return await this.#connection.call({
        method: method as NonNullable<CallOptions["method"]>,
        path,
        headers,
        body,
        timeoutMs,
        signal,
        useDedicatedConnection: !repeatable,
      });
    } catch (err) {
      throw toServiceError(err);
    }
  }

  /** Reads the load report; undefined when it can't be had. */
  async getReport(): Promise<ServiceReport | undefined> {
    try {
      const { json } = await this.#connection.callJson({
        path: "/_report",
        timeoutMs: 500,
      });
      const parsed = reportSchema.safeParse(json);
      return parsed.success ? parsed.data : undefined;
    } catch {
      return undefined;
    }
  }

  async close(): Promise<void> {
    await this.#connection.close();
  }
}

function toServiceError(err: unknown): ServiceError {
  const tag = err instanceof ConnectionError ? err.detail.tag : "cut";
  const options = { cause: err };
  if (tag === "not_sent") {
    return new ServiceError({ tag: "not_sent" }, "could not connect", options);
  }
  if (tag === "aborted") {
    return new ServiceError({ tag: "aborted" }, "call aborted", options);
  }
  return new ServiceError(
    { tag: "may_have_run", silent: tag === "no_reply" },
    "no usable reply",
    options,
  );
}
