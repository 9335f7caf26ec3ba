/**
 * Errors of HTTP calls.
 * @module
 */
import { TaggedError } from "@bitternfall/errors";

/** Why a call failed, and whether the server may have received any of it. */
export type ConnectionFault =
  /** The connection could not be established, so nothing was sent. */
  | { readonly tag: "not_sent" }
  /** The response did not arrive within the timeout. */
  | { readonly tag: "no_reply" }
  /** The connection was closed or reset after the request may have been sent. */
  | { readonly tag: "cut" }
  /** The caller aborted the call. */
  | { readonly tag: "aborted" }
  /** The response body is larger than allowed. */
  | { readonly tag: "too_large" };

/** Thrown when an HTTP call fails without a complete response. */
export class ConnectionError extends TaggedError<ConnectionFault> {}
