/**
 * Reads one connection of an engine's output stream: drops what is late, doubled or of
 * another attempt, and notices gaps, silence and slow callers.
 * @module
 */
import type { StreamControl } from "@bitternfall/connection";
import {
  type EngineClient,
  EngineError,
  type StreamEvent,
} from "@bitternfall/engine";
import { monotonicNow } from "@bitternfall/types";
import type { AnswerSink } from "./answer_sink.ts";

/** How a stream from a decode server ended. */
export type StreamEnd =
  | { readonly kind: "done"; readonly last: StreamEvent }
  | { readonly kind: "gone" }
  | {
    readonly kind: "failed";
    readonly err: EngineError;
    readonly server: string | undefined;
  };

/** Silence after which a stream is looked up again, once it has begun and before. */
const STALL_MS = 1500;
const START_STALL_MS = 4000;
const STALL_CHECK_MS = 250;
/** A caller that takes nothing for this long is taken for gone. */
const SLOW_CALLER_MS = 30_000;

/** Options of a {@link StreamReader}. */
export interface StreamReaderOptions {
  readonly open: (
    handler: Parameters<EngineClient["decode"]>[1],
  ) => StreamControl;
  readonly attempt: number;
  readonly getOffset: () => number;
  /** Takes outputs in order; false when the caller is behind. */
  readonly onOutputs: (events: readonly StreamEvent[]) => boolean;
  readonly sink: AnswerSink;
  readonly gone: AbortSignal;
}

/** Reads one connection of a stream, dropping what is late, doubled or of another attempt. */
export class StreamReader {
  readonly #options: StreamReaderOptions;
  #control: StreamControl | undefined;
  #heardAt = monotonicNow();
  #started = false;
  #paused = false;
  #settle: ((end: StreamEnd) => void) | undefined;

  constructor(options: StreamReaderOptions) {
    this.#options = options;
  }

  /** Reads until the stream ends, fails, falls silent, or the caller goes away. */
  async read(): Promise<StreamEnd> {
    const { open, gone } = this.#options;
    const ended = new Promise<StreamEnd>((resolve) => this.#settle = resolve);
    const onGone = () => this.#end({ kind: "gone" });
    gone.addEventListener("abort", onGone, { once: true });
    const timer = setInterval(() => this.#checkSilence(), STALL_CHECK_MS);
    this.#control = open({
      onStart: () => {
        this.#heardAt = monotonicNow();
        this.#started = true;
      },
      onEvents: (events) => this.#onEvents(events),
      onClose: () =>
        this.#fail(new EngineError({ tag: "lost" }, "the stream ended early")),
      onError: (err) => this.#fail(err),
    });
    if (gone.aborted) onGone();
    try {
      return await ended;
    } finally {
      clearInterval(timer);
      gone.removeEventListener("abort", onGone);
    }
  }

  #onEvents(events: readonly StreamEvent[]): void {
    if (this.#settle === undefined) return;
    this.#heardAt = monotonicNow();
    const { attempt, getOffset, onOutputs } = this.#options;
    const fresh: StreamEvent[] = [];
    let next = getOffset();
    let last: StreamEvent | undefined;
    for (const event of events) {
      if (
        event.attempt !== attempt || event.offset < next || last !== undefined
      ) continue;
      if (event.offset > next) {
        return this.#fail(
          new EngineError({ tag: "lost" }, "an output is missing"),
        );
      }
      if (event.isEnd) last = event;
      else {
        fresh.push(event);
        next++;
      }
    }
    if (fresh.length > 0 && !onOutputs(fresh)) this.#pause();
    if (last !== undefined) this.#end({ kind: "done", last });
  }

  #pause(): void {
    this.#paused = true;
    this.#control?.pause();
    this.#options.sink.onceDrained(() => {
      this.#paused = false;
      this.#heardAt = monotonicNow();
      this.#control?.resume();
    });
  }

  #checkSilence(): void {
    const silentMs = monotonicNow() - this.#heardAt;
    if (this.#paused && silentMs > SLOW_CALLER_MS) {
      return this.#end({ kind: "gone" });
    }
    const stallMs = this.#started ? STALL_MS : START_STALL_MS;
    if (!this.#paused && silentMs > stallMs) {
      this.#fail(new EngineError({ tag: "lost" }, "the stream is silent"));
    }
  }

  #fail(err: EngineError): void {
    this.#end({ kind: "failed", err, server: undefined });
  }

  #end(end: StreamEnd): void {
    const settle = this.#settle;
    if (settle === undefined) return;
    this.#settle = undefined;
    if (end.kind !== "done") this.#control?.abort();
    settle(end);
  }
}
