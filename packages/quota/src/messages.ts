/**
 * Messages between an account and an issuer, positional as on the wire.
 * @module
 */

/**
 * What a VM asks for one workspace: name, amount without which nothing is to be issued,
 * amount that further requests wait for, amount that is expected to be used within a lease,
 * amount spent beyond the lease, amount returned.
 */
export type QuotaRequest = [string, number, number, number, number, number];

/**
 * Amount issued and the validity of the lease; or 0 and the time until the amount is
 * available, which is 0 where nothing was asked for and the balance is not negative; or
 * {@link NOT_ISSUER} where the receiver does not issue for the workspace.
 */
export type QuotaReply = [number, number];

/** The receiver has no such workspace, or is not its issuer by its own view. */
export const NOT_ISSUER: QuotaReply = [0, -1];
