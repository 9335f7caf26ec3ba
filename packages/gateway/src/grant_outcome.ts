/**
 * Outcomes of calls to a granted server.
 * @module
 */
import { ServerFailure } from "@bitternfall/dispatch";
import type { SendResult } from "./server_client.ts";

/** A grant under which the response could not be completed. */
export interface FailedGrant {
  readonly kind: "failed";
  readonly reason: string;
  /** Server that failed. */
  readonly server: string;
  /** Kind of failure, which the dispatcher uses to judge the server's health. */
  readonly failure: ServerFailure;
  /** Whether the server may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether nothing, or nothing more, arrived from the server in time. */
  readonly isTimeout: boolean;
}

/**
 * How the use of one grant ended; "gone" means that the caller has disconnected, "unpaid"
 * that the retry budget does not allow the next call, "blocked" that the prompt may reach
 * no server.
 */
export type GrantOutcome =
  | { readonly kind: "done"; readonly status: number }
  | { readonly kind: "gone" }
  | { readonly kind: "unpaid" }
  | { readonly kind: "blocked" }
  | FailedGrant;

/** The server failed and may have run the request. */
export function failMayHaveRun(reason: string, server: string): FailedGrant {
  return {
    kind: "failed",
    reason,
    server,
    failure: ServerFailure.Fault,
    mayHaveRun: true,
    isTimeout: false,
  };
}

/** The server has not run the request. */
export function failNotRun(
  reason: string,
  server: string,
  failure = ServerFailure.Refused,
): FailedGrant {
  return { ...failMayHaveRun(reason, server), failure, mayHaveRun: false };
}

/** The server stopped responding and may have run the request. */
export function failTimedOut(reason: string, server: string): FailedGrant {
  return {
    ...failMayHaveRun(reason, server),
    failure: ServerFailure.Down,
    isTimeout: true,
  };
}

/** Converts the result of a send that got no response. */
export function toGrantOutcome(
  sent: Exclude<SendResult, { kind: "answer" }>,
  { server, stage }: { server: string; stage: string },
): GrantOutcome {
  switch (sent.kind) {
    case "aborted":
      return { kind: "gone" };
    case "not_run":
      return failNotRun(`${stage} refused`, server);
    case "not_sent":
      return failNotRun(sent.reason, server, ServerFailure.Down);
    case "unknown":
      return sent.isTimeout
        ? failTimedOut(sent.reason, server)
        : failMayHaveRun(sent.reason, server);
  }
}
