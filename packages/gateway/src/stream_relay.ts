/**
 * Relays the events of one server's stream to a caller, and only complete ones.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { hasBodyFraming } from "@bitternfall/connection";
import { pumpBody, type PumpedBytes } from "./body_pump.ts";
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

/** Options of a {@link StreamRelay}. */
export interface RelayOptions {
  readonly res: http.IncomingMessage;
  readonly callerResponse: CallerResponse;
  readonly callerSignal: AbortSignal;
  readonly onEvents: (events: FramedEvents) => void;
}

/** A server whose event is longer is taken to send without end. */
const MAX_EVENT_BYTES = 262_144;
/** A server that sends more comments and blank lines after an event sends them without end. */
const MAX_IDLE_BYTES = 65_536;

/** Relays one server's stream, which may go on after it was silent. */
export class StreamRelay {
  readonly #options: RelayOptions;
  readonly #framer = new EventFramer();
  #hasEvents = false;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /**
   * Relays until the response ends, breaks off or is silent for longer than a gap, or the
   * caller disconnects. A silent one is kept, and may be relayed again.
   */
  async run(getMaxGapMs: () => number): Promise<RelayOutcome> {
    const { res, callerResponse, callerSignal } = this.#options;
    const end = await pumpBody({
      res,
      callerResponse,
      callerSignal,
      getMaxGapMs,
      transform: (chunk) => this.#frame(chunk),
      keepsSilent: true,
    });
    if (end.kind !== "ended") return end;
    // Where only the end of the connection ends a stream, one without events was cut off.
    const isWhole = this.#framer.pendingBytes === 0 &&
      (this.#hasEvents || hasBodyFraming(res));
    return isWhole
      ? { kind: "complete", held: this.#framer.takeHeld() }
      : { kind: "broken", reason: "ended midway" };
  }

  /** Closes the connection to the server. */
  leave(): void {
    this.#options.res.destroy();
  }

  #frame(chunk: Buffer): PumpedBytes {
    const { idleBytes } = this.#framer;
    const events = this.#framer.push(chunk);
    const failure = findFailure(this.#framer, events);
    if (events === undefined || events.bytes.length === 0) {
      // Comments before the first event are held, but show that the server is at work.
      return { failure, isAlive: this.#framer.idleBytes > idleBytes };
    }
    const { bytes, count } = events;
    if (count === 0) return { bytes, failure };
    this.#hasEvents = true;
    this.#options.onEvents(events);
    return { bytes, failure };
  }
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
