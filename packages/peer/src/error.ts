/**
 * Errors of calls between VMs.
 * @module
 */
import { TaggedError } from "@bitternfall/errors";

/** Why a call to a peer failed. */
export type PeerFault =
  /** Nothing was sent. */
  | { readonly tag: "unreachable" }
  /** The connection was lost or stayed silent; the call may have been carried out. */
  | { readonly tag: "lost" }
  /** The peer refused the call or answered with something malformed. */
  | { readonly tag: "refused" };

/** A call to a peer failed. */
export class PeerError extends TaggedError<PeerFault> {}
