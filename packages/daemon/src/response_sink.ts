/**
 * Destinations of a model's output events: a stream to the caller, a single JSON response,
 * or a stream with a copy that is stored for retries with the same idempotency key.
 * @module
 */
import { Buffer } from "node:buffer";
import {
  EventStream,
  type Reservation,
  type ResponseShape,
  sendJson,
  sendRefusal,
} from "@bitternfall/caller";
import type { StreamEvent } from "@bitternfall/engine";
import { Refusal } from "@bitternfall/errors";
import { Outcome } from "@bitternfall/types";
import type * as http from "node:http";
import * as zod from "zod";

/** Receives each output of a model request once and in order. */
export interface ResponseSink {
  /** Whether the output is longer than the receiver can keep. */
  readonly isFull?: boolean;
  /** Writes outputs; returns false if the receiver reads too slowly. */
  write(events: readonly StreamEvent[]): boolean;
  /** Calls `run` once the receiver has read the buffered data. */
  onceDrained(run: () => void): void;
  /** Completes the response; `last` carries the finish reason and the usage. */
  finish(last: StreamEvent): void;
  /** Ends a response that can't be completed. */
  fail(refusal: Refusal): void;
}

/** Streams the engine's events to the caller unchanged. */
export class StreamSink implements ResponseSink {
  readonly #stream: EventStream;

  constructor(res: http.ServerResponse) {
    this.#stream = new EventStream(res);
  }

  write(events: readonly StreamEvent[]): boolean {
    const only = events.length === 1 ? events[0]! : undefined;
    return this.#stream.write(
      only?.raw ?? Buffer.concat(events.map((event) => event.raw)),
    );
  }

  onceDrained(run: () => void): void {
    this.#stream.onceDrained(run);
  }

  finish(last: StreamEvent): void {
    this.#stream.finish(last.data);
  }

  fail(refusal: Refusal): void {
    this.#stream.fail(refusal);
  }
}

const payloadSchema = zod.object({
  id: zod.string(),
  choices: zod.array(zod.object({
    text: zod.string().optional(),
    delta: zod.object({ content: zod.string().optional() }).optional(),
    finish_reason: zod.string().nullish(),
  })).min(1),
  usage: zod.unknown().optional(),
});

/** Longest output that is kept as one completion. */
const MAX_COMPLETION_CHARS = 4_000_000;
const TOO_LONG = "the output is too long to be kept";
/** Short pieces take more memory than their text until they are joined. */
const MAX_PIECES = 256;

/** Collects the outputs of a model request into one completion. */
export class CompletionCollector {
  readonly #shape: ResponseShape;
  readonly #model: string;
  #content = "";
  #pieces: string[] = [];
  #length = 0;
  #isFull = false;
  readonly #memory: Pick<Reservation, "reserve"> | undefined;
  #text: string | undefined;

  /** Without more memory than `memory` gets, if that is given. */
  constructor(
    options: { shape: ResponseShape; model: string },
    memory?: Pick<Reservation, "reserve">,
  ) {
    this.#shape = options.shape;
    this.#model = options.model;
    this.#memory = memory;
  }

  /** The full completion as JSON; undefined until it is finished. */
  get text(): string | undefined {
    return this.#text;
  }

  /** Whether the outputs are longer than what is kept; then there is no completion. */
  get isFull(): boolean {
    return this.#isFull;
  }

  add(events: readonly StreamEvent[]): void {
    for (const { data } of events) this.#addPiece(parsePayload(data));
  }

  /** Returns the full completion as JSON; undefined if it is too long. */
  finish(last: StreamEvent): string | undefined {
    const payload = parsePayload(last.data);
    this.#addPiece(payload);
    this.#join();
    if (this.isFull) return undefined;
    const lastChoice = payload?.choices[0];
    const finish_reason = lastChoice?.finish_reason ?? "stop";
    const body = this.#shape === "chat"
      ? {
        index: 0,
        message: { role: "assistant", content: this.#content },
        finish_reason,
      }
      : { index: 0, text: this.#content, finish_reason };
    this.#text = JSON.stringify({
      id: payload?.id,
      object: this.#shape === "chat" ? "chat.completion" : "text_completion",
      created: Math.floor(Date.now() / 1000),
      model: this.#model,
      choices: [body],
      usage: payload?.usage,
    });
    return this.#text;
  }

  #addPiece(payload: zod.infer<typeof payloadSchema> | undefined): void {
    const choice = payload?.choices[0];
    const piece = choice?.delta?.content ?? choice?.text ?? "";
    this.#length += piece.length;
    this.#isFull ||= this.#length > MAX_COMPLETION_CHARS ||
      this.#memory?.reserve(piece.length) === false;
    if (this.#isFull) {
      this.#content = "";
      this.#pieces = [];
    } else if (piece !== "" && this.#pieces.push(piece) >= MAX_PIECES) {
      this.#join();
    }
  }

  #join(): void {
    this.#content += this.#pieces.join("");
    this.#pieces = [];
  }
}

/** Sends the full completion as one JSON response. */
export class BufferedSink implements ResponseSink {
  readonly #res: http.ServerResponse;
  readonly #collector: CompletionCollector;

  constructor(res: http.ServerResponse, collector: CompletionCollector) {
    this.#res = res;
    this.#collector = collector;
  }

  get isFull(): boolean {
    return this.#collector.isFull;
  }

  write(events: readonly StreamEvent[]): boolean {
    this.#collector.add(events);
    return true;
  }

  onceDrained(run: () => void): void {
    run();
  }

  finish(last: StreamEvent): void {
    const text = this.#collector.finish(last);
    if (text !== undefined) return sendJson(this.#res, text);
    const outcome = Outcome.Ran;
    this.fail(new Refusal("upstream_failed", TOO_LONG, { outcome }));
  }

  fail(refusal: Refusal): void {
    sendRefusal(this.#res, refusal);
  }
}

/** Passes outputs on to another sink and collects a copy, unless that is too long. */
export class RecordingSink implements ResponseSink {
  readonly #sink: ResponseSink;
  readonly #collector: CompletionCollector;

  constructor(sink: ResponseSink, collector: CompletionCollector) {
    this.#sink = sink;
    this.#collector = collector;
  }

  write(events: readonly StreamEvent[]): boolean {
    this.#collector.add(events);
    return this.#sink.write(events);
  }

  onceDrained(run: () => void): void {
    this.#sink.onceDrained(run);
  }

  finish(last: StreamEvent): void {
    this.#collector.finish(last);
    this.#sink.finish(last);
  }

  fail(refusal: Refusal): void {
    this.#sink.fail(refusal);
  }
}

function parsePayload(
  data: Buffer,
): zod.infer<typeof payloadSchema> | undefined {
  try {
    return payloadSchema.parse(JSON.parse(data.toString("utf8")));
  } catch {
    return undefined;
  }
}
