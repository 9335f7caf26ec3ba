/**
 * How the use of one grant ended.
 * @module
 */
import { ServerFailure } from "@bitternfall/dispatch";
import type { SendResult } from "./server_client.ts";

/** A grant that did not lead to the end of the answer. */
export interface FailedGrant {
  readonly kind: "failed";
  readonly reason: string;
  /** Server that the failure is held against, and what it says of it. */
  readonly server: string;
  readonly failure: ServerFailure;
  /** Whether the request may have run there. */
  readonly mayHaveRun: boolean;
  /** Whether nothing at all came from the server in time. */
  readonly isSilent: boolean;
}

/** The end of one grant. */
export type GrantEnd =
  | { readonly kind: "done"; readonly status: number }
  | { readonly kind: "gone" }
  | FailedGrant;

/** The server failed while it had the request. */
export function failRun(reason: string, server: string): FailedGrant {
  return {
    kind: "failed",
    reason,
    server,
    failure: ServerFailure.Fault,
    mayHaveRun: true,
    isSilent: false,
  };
}

/** The server has not run the request. */
export function failUnrun(
  reason: string,
  server: string,
  failure = ServerFailure.Refused,
): FailedGrant {
  return { ...failRun(reason, server), failure, mayHaveRun: false };
}

/** The server says nothing any more. */
export function failSilent(reason: string, server: string): FailedGrant {
  return {
    ...failRun(reason, server),
    failure: ServerFailure.Down,
    isSilent: true,
  };
}

/** What became of a request that got no answer. */
export function toGrantEnd(
  sent: Exclude<SendResult, { kind: "answer" }>,
  { server, stage }: { server: string; stage: string },
): GrantEnd {
  switch (sent.kind) {
    case "aborted":
      return { kind: "gone" };
    case "not_run":
      return failUnrun(`${stage} refused`, server);
    case "not_sent":
      return failUnrun(sent.reason, server, ServerFailure.Down);
    case "unknown":
      return sent.isSilent
        ? failSilent(sent.reason, server)
        : failRun(sent.reason, server);
  }
}
