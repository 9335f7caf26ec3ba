/**
 * Reads one connection of an engine's output stream. Drops outputs that are duplicates or
 * belong to another attempt; detects missing outputs, silent engines and stalled callers.
 * @module
 */
import type { StreamControl } from "@bitternfall/connection";
import {
  type EngineClient,
  EngineError,
  type StreamEvent,
} from "@bitternfall/engine";
import { monotonicNow } from "@bitternfall/types";
import type { ResponseSink } from "./response_sink.ts";

/** How a stream from a decode server ended. */
export type StreamEnd =
  | { readonly kind: "done"; readonly last: StreamEvent }
  /** The caller disconnected, or stopped reading. */
  | { readonly kind: "gone" }
  | {
    readonly kind: "failed";
    readonly err: EngineError;
    readonly server: string | undefined;
  };

/** A started stream that is silent for longer counts as lost and is resumed. */
const MAX_SILENCE_MS = 1500;
/** Silence limit of a stream whose response has not started yet. */
const MAX_START_SILENCE_MS = 4000;
const SILENCE_CHECK_INTERVAL_MS = 250;
/** A caller that reads nothing for this long counts as disconnected. */
const CALLER_STALL_TIMEOUT_MS = 30_000;

/** Options of a {@link StreamReader}. */
export interface StreamReaderOptions {
  readonly open: (
    handler: Parameters<EngineClient["decode"]>[1],
  ) => StreamControl;
  readonly attempt: number;
  readonly getOffset: () => number;
  /** Number of outputs that were ordered; an engine that writes more has failed. */
  readonly maxOutputs: number;
  /** Receives outputs in order; returns false if the caller reads too slowly. */
  readonly onOutputs: (events: readonly StreamEvent[]) => boolean;
  readonly sink: ResponseSink;
  readonly callerSignal: AbortSignal;
}

/** Reads one connection of a stream, and passes each new output on once and in order. */
export class StreamReader {
  readonly #options: StreamReaderOptions;
  #control: StreamControl | undefined;
  #lastActivityAt = monotonicNow();
  #isStarted = false;
  #isPaused = false;
  #resolveEnd: ((end: StreamEnd) => void) | undefined;

  constructor(options: StreamReaderOptions) {
    this.#options = options;
  }

  /** Reads until the stream ends, fails or is silent for too long, or the caller disconnects. */
  async read(): Promise<StreamEnd> {
    const { open, callerSignal } = this.#options;
    const ended = new Promise<StreamEnd>((resolve) =>
      this.#resolveEnd = resolve
    );
    const onCallerAbort = () => this.#end({ kind: "gone" });
    callerSignal.addEventListener("abort", onCallerAbort, { once: true });
    const timer = setInterval(
      () => this.#checkSilence(),
      SILENCE_CHECK_INTERVAL_MS,
    );
    this.#control = open({
      onStart: () => {
        this.#lastActivityAt = monotonicNow();
        this.#isStarted = true;
      },
      onEvents: (events) => this.#onEvents(events),
      onClose: () =>
        this.#fail(
          new EngineError(
            { tag: "lost" },
            "the stream closed before its last event",
          ),
        ),
      onError: (err) => this.#fail(err),
    });
    if (callerSignal.aborted) onCallerAbort();
    try {
      return await ended;
    } finally {
      clearInterval(timer);
      callerSignal.removeEventListener("abort", onCallerAbort);
    }
  }

  #onEvents(events: readonly StreamEvent[]): void {
    if (this.#resolveEnd === undefined) return;
    const { attempt, getOffset, onOutputs, maxOutputs, sink } = this.#options;
    const outputs: StreamEvent[] = [];
    let nextOffset = getOffset();
    let last: StreamEvent | undefined;
    for (const event of events) {
      if (
        event.attempt !== attempt || event.offset < nextOffset ||
        last !== undefined
      ) continue;
      if (event.offset > nextOffset) {
        return this.#fail(
          new EngineError({ tag: "lost" }, "the stream skipped an output"),
        );
      }
      if (event.isEnd) last = event;
      else {
        outputs.push(event);
        nextOffset++;
      }
    }
    if (nextOffset > maxOutputs) return this.#failFor("too many outputs");
    if (outputs.length > 0 || last !== undefined) {
      this.#lastActivityAt = monotonicNow();
    }
    if (outputs.length > 0 && !onOutputs(outputs)) this.#pause();
    if (sink.isFull === true) return this.#failFor("the output is too long");
    if (last !== undefined) this.#end({ kind: "done", last });
  }

  #pause(): void {
    this.#isPaused = true;
    this.#control?.pause();
    this.#options.sink.onceDrained(() => {
      this.#isPaused = false;
      this.#lastActivityAt = monotonicNow();
      this.#control?.resume();
    });
  }

  #checkSilence(): void {
    const silentMs = monotonicNow() - this.#lastActivityAt;
    if (this.#isPaused && silentMs > CALLER_STALL_TIMEOUT_MS) {
      return this.#end({ kind: "gone" });
    }
    const maxSilenceMs = this.#isStarted
      ? MAX_SILENCE_MS
      : MAX_START_SILENCE_MS;
    if (!this.#isPaused && silentMs > maxSilenceMs) {
      this.#fail(
        new EngineError({ tag: "lost" }, "the stream was silent for too long"),
      );
    }
  }

  #failFor(reason: string): void {
    this.#fail(new EngineError({ tag: "failed" }, reason));
  }

  #fail(err: EngineError): void {
    this.#end({ kind: "failed", err, server: undefined });
  }

  #end(end: StreamEnd): void {
    const resolveEnd = this.#resolveEnd;
    if (resolveEnd === undefined) return;
    this.#resolveEnd = undefined;
    if (end.kind !== "done") this.#control?.abort();
    resolveEnd(end);
  }
}
