/**
 * Base class of the tagged errors. Each layer declares a union of details and an error
 * class that carries one of them, and wraps errors of the layer below in its own class.
 * @module
 */
import { Outcome } from "@bitternfall/types";

/** Detail of a tagged error; `tag` names the case. */
export interface TaggedDetail {
  readonly tag: string;
}

/** An error whose cases are distinguished by `detail.tag`. */
export class TaggedError<D extends TaggedDetail> extends Error {
  readonly detail: D;

  constructor(detail: D, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
    this.detail = detail;
  }
}

/** One value of an input that violates its schema. */
export interface ValidationFault {
  /** Path of the value, such as `servers.0.id`; empty for the whole input. */
  readonly path: string;
  readonly message: string;
}

/** HTTP status of each error type that callers can receive. */
export const REFUSAL_STATUS = {
  bad_request: 400,
  unauthenticated: 401,
  forbidden: 403,
  not_found: 404,
  method_not_allowed: 405,
  request_timeout: 408,
  answer_not_kept: 410,
  key_reused: 422,
  body_too_large: 413,
  too_many_requests: 429,
  headers_too_large: 431,
  upstream_failed: 502,
  overloaded: 503,
  not_ready: 503,
  store_unavailable: 503,
  timeout: 504,
} as const;

/** Error type in `error.type` of a response to a caller. */
export type RefusalType = keyof typeof REFUSAL_STATUS;

/** An error response that originates in the router and not in an upstream. */
export interface RefusalDetail extends TaggedDetail {
  readonly tag: "refusal";
  readonly type: RefusalType;
  readonly outcome: Outcome;
  /** Delay after which the caller may retry; set for `not-run` under overload. */
  readonly retryAfterMs?: number | undefined;
}

/** A refusal or failure that is returned to the caller with its message unchanged. */
export class Refusal extends TaggedError<RefusalDetail> {
  constructor(
    type: RefusalType,
    message: string,
    options: { outcome?: Outcome; retryAfterMs?: number; cause?: unknown } = {},
  ) {
    const { outcome = Outcome.NotRun, retryAfterMs, cause } = options;
    super({ tag: "refusal", type, outcome, retryAfterMs }, message, { cause });
  }

  /** HTTP status of this refusal. */
  get status(): number {
    return REFUSAL_STATUS[this.detail.type];
  }
}

/** Message of a thrown value, which need not be an `Error`. */
export function getMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** System error code of an error or of the nearest cause that has one. */
export function getCode(err: unknown): string | undefined {
  if (!(err instanceof Error)) return undefined;
  const code = (err as NodeJS.ErrnoException).code;
  return code ?? getCode(err.cause);
}
