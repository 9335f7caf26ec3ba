/**
 * Base of the tagged errors. Each layer declares a union of details and a class
 * that carries it, and turns the errors of the layer below into its own.
 * @module
 */
import { Outcome } from "@bitternfall/types";

/** Every detail of a tagged error names its case in `tag`. */
export interface Tagged {
  readonly tag: string;
}

/** An error whose cases are told apart by `detail.tag`. */
export class TaggedError<D extends Tagged> extends Error {
  readonly detail: D;

  constructor(detail: D, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
    this.detail = detail;
  }
}

/** Error types that callers see, with their HTTP status. */
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

/** Name of a refusal as it stands in `error.type`. */
export type RefusalType = keyof typeof REFUSAL_STATUS;

/** A final answer to a caller that is not the upstream's own. */
export interface RefusalDetail extends Tagged {
  readonly tag: "refusal";
  readonly type: RefusalType;
  readonly outcome: Outcome;
  /** When the caller may come back; set for `not-run` under load. */
  readonly retryAfterMs?: number | undefined;
}

/** A refusal or failure that is told to the caller as it stands. */
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

/** The text of whatever was thrown. */
export function getMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** The system error code of an error or of its cause, if there is one. */
export function getCode(err: unknown): string | undefined {
  if (!(err instanceof Error)) return undefined;
  const code = (err as NodeJS.ErrnoException).code;
  return code ?? getCode(err.cause);
}
