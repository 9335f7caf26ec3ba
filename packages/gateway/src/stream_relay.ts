/**
 * Relays the events of one server's stream to a caller, and only complete ones.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { hasBodyFraming } from "@bitternfall/connection";
import { pumpBody } from "./body_pump.ts";
import type { CallerResponse } from "./caller_response.ts";
import { EventFramer, type FramedEvents } from "./event_framer.ts";

/** How a server's part of a stream ended. */
export type RelayOutcome =
  /**
   * The response ended after a complete event, or without any; `held` are the comments and
   * blank lines that are still to be passed on then.
   */
  | { readonly kind: "complete"; readonly held: Buffer | undefined }
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
/** A server that sends more comments and blank lines after an event sends them without end. */
const MAX_IDLE_BYTES = 65_536;

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
      const failure = findFailure(framer, events);
      if (events === undefined || events.bytes.length === 0) return { failure };
      const { bytes, count } = events;
      if (count === 0) return { bytes, failure, isIdle: true };
      hasEvents = true;
      onEvents(events);
      return { bytes, failure };
    },
  });
  if (end.kind !== "ended") return end;
  // Where only the end of the connection ends a stream, one without events was cut off.
  const isWhole = framer.pendingBytes === 0 &&
    (hasEvents || hasBodyFraming(res));
  return isWhole
    ? { kind: "complete", held: framer.takeHeld() }
    : { kind: "broken", reason: "ended midway" };
}

/** Why nothing more can be passed on of a stream; undefined if it can. */
function findFailure(
  framer: EventFramer,
  events: FramedEvents | undefined,
): string | undefined {
  if (events?.isSpoilt) return "no event within the stream";
  if (framer.pendingBytes > MAX_EVENT_BYTES) return "event too long";
  if (framer.idleBytes > MAX_IDLE_BYTES) {
    return "no event among comments and blank lines";
  }
  return undefined;
}
