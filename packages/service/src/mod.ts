/**
 * Client of one server of a plain service.
 * @module
 */
import type { Buffer } from "node:buffer";
import {
  type CallOptions,
  ConnectionError,
  hasBodyFraming,
  HttpClient,
  type HttpResponse,
} from "@bitternfall/connection";
import { TaggedError } from "@bitternfall/errors";
import * as zod from "zod";

export * from "./choice_rule.ts";
export * from "./estimated_load.ts";
export * from "./latency_window.ts";
export * from "./load_estimate.ts";
export * from "./server_assigner.ts";
export * from "./server_pool.ts";
export * from "./server_state.ts";

/** Why a call failed, and whether the server may have run it. */
export type ServiceFault =
  /** Nothing was sent, so the call did not run. */
  | { readonly tag: "not_sent" }
  /** The server may have run the call; `isTimeout` if no response arrived in time. */
  | { readonly tag: "may_have_run"; readonly isTimeout: boolean }
  | { readonly tag: "aborted" };

/** Thrown when a call to a plain service fails. */
export class ServiceError extends TaggedError<ServiceFault> {}

/** A call to be forwarded to a server. */
export interface ServiceCall {
  readonly method: string;
  /** Path and query relative to the service. */
  readonly path: string;
  readonly headers: { readonly [name: string]: string | string[] };
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
  /** Whether the call may be sent more than once; if not, it gets a connection of its own. */
  readonly repeatable: boolean;
}

/** A server's load report, which may be out of date. */
export interface ServiceReport {
  readonly running: number;
  readonly leaving: boolean;
}

const reportSchema = zod.object({
  running: zod.number(),
  leaving: zod.boolean().default(false),
});

/** Client of the plain-service server at one address. */
export class ServiceClient {
  readonly address: string;
  readonly #client: HttpClient;

  constructor(address: string) {
    this.address = address;
    this.#client = new HttpClient(address);
  }

  /** Sends a call once, without retries. Throws {@link ServiceError}. */
  async forward(call: ServiceCall): Promise<HttpResponse> {
    const { method, path, headers, body, timeoutMs, signal, repeatable } = call;
    try {
      const response = await this.#client.call({
        method: method as NonNullable<CallOptions["method"]>,
        path,
        headers,
        body,
        timeoutMs,
        signal,
        useDedicatedConnection: !repeatable,
      });
      const { status, headers: responseHeaders, body: { length } } = response;
      const isBodyDue = status >= 200 && status < 300 && status !== 204 &&
        method !== "HEAD" && !hasBodyFraming({ headers: responseHeaders });
      // Where only the end of the connection ends an answer, one without a body was cut off.
      if (isBodyDue && length === 0) {
        throw new ConnectionError({ tag: "cut" }, "no body");
      }
      return response;
    } catch (err) {
      throw toServiceError(err);
    }
  }

  /** Fetches the load report; `undefined` if the request fails or the report is malformed. */
  async getReport(): Promise<ServiceReport | undefined> {
    try {
      const { json } = await this.#client.callJson({
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
    await this.#client.close();
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
    { tag: "may_have_run", isTimeout: tag === "no_reply" },
    "no complete response from the server",
    options,
  );
}
