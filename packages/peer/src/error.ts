/**
 * Errors of calls between entry VMs.
 * @module
 */
import { TaggedError } from "@bitternfall/errors";

/** Why a call to a peer failed. */
export type PeerFault =
  /** Nothing was sent. */
  | { readonly tag: "unreachable" }
  /** The connection was lost or the call timed out; the peer may have executed it. */
  | { readonly tag: "lost" }
  /** The peer rejected the parameters; one of another version may not know all of them. */
  | { readonly tag: "rejected_params" }
  /** The peer returned another error or a malformed result. */
  | { readonly tag: "refused" };

/** A call to a peer failed. */
export class PeerError extends TaggedError<PeerFault> {}
