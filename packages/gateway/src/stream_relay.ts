/**
 * Relays the events of one server's stream to a caller, and only complete ones.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { hasBodyFraming, isResponseComplete } from "@bitternfall/connection";
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
const MAX_EVENT_BYTES = 1_000_000;

/** Relays until the response ends, breaks off or times out, or the caller disconnects. */
export function relayStream(options: RelayOptions): Promise<RelayOutcome> {
  const { res, callerResponse, callerSignal, getMaxEventGapMs, onEvents } =
    options;
  const framer = new EventFramer();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    let isFinished = false;
    let hasEvents = false;
    const finish = (result: RelayOutcome) => {
      isFinished = true;
      clearTimeout(timer);
      callerSignal.removeEventListener("abort", onCallerAbort);
      res.removeAllListeners("data");
      res.on("error", () => {});
      if (result.kind !== "complete") res.destroy();
      resolve(result);
    };
    const onCallerAbort = () => finish({ kind: "gone" });
    const restartTimer = () => {
      clearTimeout(timer);
      timer = setTimeout(() => finish({ kind: "silent" }), getMaxEventGapMs());
    };
    callerSignal.addEventListener("abort", onCallerAbort, { once: true });
    if (callerSignal.aborted) return onCallerAbort();
    res.on("data", (chunk: Buffer) => {
      const events = framer.push(chunk);
      if (framer.pendingBytes > MAX_EVENT_BYTES) {
        return finish({ kind: "broken", reason: "event too long" });
      }
      if (events === undefined) return;
      if (events.count > 0) {
        hasEvents = true;
        onEvents(events);
        restartTimer();
      }
      const isDrained = events.count === 0 ||
        callerResponse.write(events.bytes);
      if (events.isSpoilt) {
        return finish({ kind: "broken", reason: "a head within the stream" });
      }
      if (isDrained) return;
      // Backpressure: a slow caller must slow its server, not fill this VM's memory.
      res.pause();
      clearTimeout(timer);
      void callerResponse.whenDrained().then(() => {
        res.resume();
        if (!isFinished) restartTimer();
      });
    });
    res.once("end", () => {
      // Where only the end of the connection ends a stream, one without events was cut off.
      const isWhole = framer.pendingBytes === 0 &&
        (hasEvents || hasBodyFraming(res));
      const isComplete = isResponseComplete(res) && isWhole;
      finish(
        isComplete
          ? { kind: "complete" }
          : { kind: "broken", reason: "ended midway" },
      );
    });
    res.once(
      "error",
      (err) => finish({ kind: "broken", reason: err.message }),
    );
    res.once("close", () => finish({ kind: "broken", reason: "closed" }));
    restartTimer();
  });
}
