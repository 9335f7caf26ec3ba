/**
 * Why calls over a connection fail.
 * @module
 */
import { TaggedError } from "@bitternfall/errors";

/** Why a call failed, and whether a byte may have reached the server. */
export type ConnectionFault =
  /** The connection failed before anything was written. */
  | { readonly tag: "not_sent" }
  /** No reply within the time limit. */
  | { readonly tag: "no_reply" }
  /** The connection broke after the request may have been written. */
  | { readonly tag: "cut" }
  /** The caller aborted the call. */
  | { readonly tag: "aborted" }
  /** The reply is larger than allowed. */
  | { readonly tag: "too_large" };

/** A call over an {@link HttpConnection} failed. */
export class ConnectionError extends TaggedError<ConnectionFault> {}
