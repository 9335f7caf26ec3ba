/**
 * Relays the events of one server's stream to a caller, whole events only.
 * @module
 */
import type { Buffer } from "node:buffer";
import type * as http from "node:http";
import { isResponseComplete } from "@bitternfall/connection";
import type { Answer } from "./answer.ts";
import { EventFramer, type FramedEvents } from "./event_framer.ts";

/** How a server's part of a stream ended. */
export type RelayEnd =
  /** The server ended its answer after a whole event. */
  | { readonly kind: "complete" }
  | { readonly kind: "broken"; readonly reason: string }
  /** No event came for the longest pause. */
  | { readonly kind: "silent" }
  | { readonly kind: "gone" };

/** Options of {@link relayStream}. */
export interface RelayOptions {
  readonly res: http.IncomingMessage;
  readonly answer: Answer;
  readonly gone: AbortSignal;
  /** Longest pause before an event; the stream is given up after it. */
  readonly getLongestPauseMs: () => number;
  readonly onEvents: (events: FramedEvents) => void;
}

/** Relays until the server's answer ends, breaks, falls silent or the caller goes away. */
export function relayStream(options: RelayOptions): Promise<RelayEnd> {
  const { res, answer, gone, getLongestPauseMs, onEvents } = options;
  const framer = new EventFramer();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    let isOver = false;
    const end = (result: RelayEnd) => {
      isOver = true;
      clearTimeout(timer);
      gone.removeEventListener("abort", onGone);
      res.removeAllListeners("data");
      res.on("error", () => {});
      if (result.kind !== "complete") res.destroy();
      resolve(result);
    };
    const onGone = () => end({ kind: "gone" });
    const watch = () => {
      clearTimeout(timer);
      timer = setTimeout(() => end({ kind: "silent" }), getLongestPauseMs());
    };
    gone.addEventListener("abort", onGone, { once: true });
    if (gone.aborted) return onGone();
    res.on("data", (chunk: Buffer) => {
      const events = framer.push(chunk);
      if (events === undefined) return;
      onEvents(events);
      watch();
      if (answer.write(events.bytes)) return;
      // A caller that does not read holds its server back, not this VM's memory.
      res.pause();
      clearTimeout(timer);
      void answer.whenDrained().then(() => {
        res.resume();
        if (!isOver) watch();
      });
    });
    res.once("end", () => {
      const isEnded = isResponseComplete(res) && framer.pendingBytes === 0;
      end(
        isEnded
          ? { kind: "complete" }
          : { kind: "broken", reason: "ended midway" },
      );
    });
    res.once(
      "error",
      (err) => end({ kind: "broken", reason: err.message }),
    );
    res.once("close", () => end({ kind: "broken", reason: "closed" }));
    watch();
  });
}
