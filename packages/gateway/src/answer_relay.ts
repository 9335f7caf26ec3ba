/**
 * Passes on to callers, as they come, answers that are too large to be read whole or that
 * are streams of events.
 * @module
 */
import type { Clock } from "@bitternfall/types";
import { pumpBody } from "./body_pump.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { GatewayRequest } from "./model.ts";
import {
  DEADLINE_GRACE_MS,
  type EventAnswer,
  type LargeAnswer,
} from "./server_client.ts";
import { StreamRelay } from "./stream_relay.ts";

/** How the relay of an answer ended; the caller's response has ended with it. */
export type AnswerRelayEnd =
  | { readonly kind: "complete" }
  /**
   * The caller was cut off, so that the answer does not look complete, or refused with
   * `status` if nothing had been passed on.
   */
  | {
    readonly kind: "broken";
    readonly reason: string;
    readonly status: number;
    readonly isTimeout: boolean;
  }
  | { readonly kind: "gone" };

/** Options of the relay of an answer. */
export interface AnswerRelayOptions {
  readonly req: Pick<GatewayRequest, "callerSignal" | "deadline">;
  readonly callerResponse: CallerResponse;
  readonly now: Clock;
}

/** Relays until the answer ends, breaks off or times out, or the caller disconnects. */
export async function relayAnswer(
  { status, headers, res, begun }: LargeAnswer,
  options: AnswerRelayOptions,
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
      return breakOff("not passed on in time", { status: 0, isTimeout: true });
    case "broken":
      return refuse(callerResponse, { status: 502, reason: end.reason });
  }
}

/**
 * Relays complete events until the stream ends, breaks off or times out, or the caller
 * disconnects. The head goes out with the first event, so that the request can be refused
 * before it.
 */
export async function relayEvents(
  { status, headers, res }: EventAnswer,
  options: AnswerRelayOptions & { onFirstEvent: () => void },
): Promise<AnswerRelayEnd> {
  const { req, callerResponse, now, onFirstEvent } = options;
  const { callerSignal } = req;
  const writeHead = () => {
    if (callerResponse.isHeadSent) return;
    callerResponse.writeHead(status, headers);
  };
  const relay = new StreamRelay({
    res,
    callerResponse,
    callerSignal,
    onEvents: () => {
      if (!callerResponse.isHeadSent) onFirstEvent();
      writeHead();
    },
  });
  const end = await relay.run(() => Math.max(1, req.deadline - now()));
  relay.leave();
  switch (end.kind) {
    case "complete":
      writeHead();
      callerResponse.end(end.held);
      return { kind: "complete" };
    case "gone":
      return end;
    case "silent":
      return refuse(callerResponse, { status: 504, reason: "silent" });
    case "broken":
      return refuse(callerResponse, { status: 502, reason: end.reason });
  }
}

/** Refuses a request of which nothing has been passed on, or cuts its caller off. */
function refuse(
  callerResponse: CallerResponse,
  { status, reason }: { status: 502 | 504; reason: string },
): AnswerRelayEnd {
  const isBegun = callerResponse.isHeadSent;
  callerResponse.refuse(status, "the server failed");
  return breakOff(reason, {
    status: isBegun ? 0 : status,
    isTimeout: status === 504,
  });
}

function breakOff(
  reason: string,
  options: { status: number; isTimeout: boolean },
): AnswerRelayEnd {
  return { kind: "broken", reason, ...options };
}
