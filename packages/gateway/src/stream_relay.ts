/**
 * Relays the events of one server's stream to a caller, and only complete ones.
 * @module
 */
import type * as http from "node:http";
import { hasBodyFraming } from "@bitternfall/connection";
import { pumpBody } from "./body_pump.ts";
import type { CallerResponse } from "./caller_response.ts";
import { EventFramer, type FramedEvents } from "./event_framer.ts";

/** How a server's part of a stream ended. */
export type RelayOutcome =
  /** The response ended after a complete event. */
  | { readonly kind: "complete" }
  /** The connection failed, or the response ended within an event. */
  | { readonly kind: "broken"; readonly reason: string }
  /** No event arrived within the longest gap. */
  | { readonly kind: "silent" }
  /** The caller disconnected. */
  | { readonly kind: "gone" };

/** Options of {@link relayStream}. */
export interface RelayOptions {
  readonly res: http.IncomingMessage;
  readonly callerResponse: CallerResponse;
  readonly callerSignal: AbortSignal;
  /** Timeout of the next event. */
  readonly getMaxEventGapMs: () => number;
  readonly onEvents: (events: FramedEvents) => void;
}

/** A server whose event is longer is taken to send without end. */
const MAX_EVENT_BYTES = 262_144;

/** Relays until the response ends, breaks off or times out, or the caller disconnects. */
export async function relayStream(
  options: RelayOptions,
): Promise<RelayOutcome> {
  const { res, callerResponse, callerSignal, getMaxEventGapMs, onEvents } =
    options;
  const framer = new EventFramer();
  let hasEvents = false;
  const end = await pumpBody({
    res,
    callerResponse,
    callerSignal,
    getMaxGapMs: getMaxEventGapMs,
    transform: (chunk) => {
      const events = framer.push(chunk);
      if (framer.pendingBytes > MAX_EVENT_BYTES) {
        return { failure: "event too long" };
      }
      if (events === undefined) return {};
      const failure = events.isSpoilt
        ? "no event within the stream"
        : undefined;
      if (events.count === 0) return { failure };
      hasEvents = true;
      onEvents(events);
      return { bytes: events.bytes, failure };
    },
  });
  if (end.kind !== "ended") return end;
  // Where only the end of the connection ends a stream, one without events was cut off.
  const isWhole = framer.pendingBytes === 0 &&
    (hasEvents || hasBodyFraming(res));
  return isWhole
    ? { kind: "complete" }
    : { kind: "broken", reason: "ended midway" };
}
