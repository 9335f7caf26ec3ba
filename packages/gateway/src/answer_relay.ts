/**
 * Passes answers that are too large to be read whole on to callers as they come.
 * @module
 */
import type { Clock } from "@bitternfall/types";
import { pumpBody } from "./body_pump.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { GatewayRequest } from "./model.ts";
import { DEADLINE_GRACE_MS, type LargeAnswer } from "./server_client.ts";

/** How the relay of an answer ended; the caller's response has ended with it. */
export type AnswerRelayEnd =
  | { readonly kind: "complete" }
  /** The caller was cut off, so that the answer does not look complete. */
  | { readonly kind: "broken"; readonly reason: string }
  | { readonly kind: "gone" };

/** Relays until the answer ends, breaks off or times out, or the caller disconnects. */
export async function relayAnswer(
  { status, headers, res, begun }: LargeAnswer,
  options: {
    req: Pick<GatewayRequest, "callerSignal" | "deadline">;
    callerResponse: CallerResponse;
    now: Clock;
  },
): Promise<AnswerRelayEnd> {
  const { req, callerResponse, now } = options;
  if (!res.destroyed) callerResponse.writeHead(status, headers);
  const end = await pumpBody({
    res,
    callerResponse,
    callerSignal: req.callerSignal,
    begun,
    timeoutMs: Math.max(0, req.deadline - now()) + DEADLINE_GRACE_MS,
  });
  switch (end.kind) {
    case "ended":
      callerResponse.end();
      return { kind: "complete" };
    case "gone":
      return end;
    case "silent":
      callerResponse.abort();
      return { kind: "broken", reason: "not passed on in time" };
    case "broken":
      callerResponse.refuse(502, "the server failed");
      return end;
  }
}
