/**
 * Where the events of a model answer go: a stream to the caller, a whole answer, or a
 * copy kept for repeats of the same key.
 * @module
 */
import { Buffer } from "node:buffer";
import {
  EventStream,
  type ResponseShape,
  sendJson,
  sendRefusal,
} from "@bitternfall/caller";
import type { StreamEvent } from "@bitternfall/engine";
import type { Refusal } from "@bitternfall/errors";
import type * as http from "node:http";
import * as zod from "zod";

/** Receives each output once and in order. */
export interface AnswerSink {
  /** Takes outputs; false when the receiver is behind. */
  write(events: readonly StreamEvent[]): boolean;
  /** Calls `run` once the receiver has caught up. */
  onceDrained(run: () => void): void;
  /** The answer is whole; `last` carries how it ended. */
  finish(last: StreamEvent): void;
  /** The answer can't be finished. */
  fail(refusal: Refusal): void;
}

/** Streams the engine's events to the caller as they are. */
export class StreamSink implements AnswerSink {
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

/** Collects an answer and gives it out whole. */
export class WholeAnswer {
  readonly #shape: ResponseShape;
  readonly #model: string;
  #content = "";
  #text: string | undefined;

  constructor(options: { shape: ResponseShape; model: string }) {
    this.#shape = options.shape;
    this.#model = options.model;
  }

  /** The finished answer as JSON. */
  get text(): string | undefined {
    return this.#text;
  }

  add(events: readonly StreamEvent[]): void {
    for (const { data } of events) {
      const choice = parsePayload(data)?.choices[0];
      this.#content += choice?.delta?.content ?? choice?.text ?? "";
    }
  }

  finish(last: StreamEvent): string {
    const payload = parsePayload(last.data);
    const ending = payload?.choices[0];
    this.#content += ending?.delta?.content ?? ending?.text ?? "";
    const finish_reason = ending?.finish_reason ?? "stop";
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
}

/** Sends an answer once it is whole. */
export class WholeSink implements AnswerSink {
  readonly #res: http.ServerResponse;
  readonly #answer: WholeAnswer;

  constructor(res: http.ServerResponse, answer: WholeAnswer) {
    this.#res = res;
    this.#answer = answer;
  }

  write(events: readonly StreamEvent[]): boolean {
    this.#answer.add(events);
    return true;
  }

  onceDrained(run: () => void): void {
    run();
  }

  finish(last: StreamEvent): void {
    sendJson(this.#res, this.#answer.finish(last));
  }

  fail(refusal: Refusal): void {
    sendRefusal(this.#res, refusal);
  }
}

/** Streams an answer and keeps a copy. */
export class RecordingSink implements AnswerSink {
  readonly #sink: AnswerSink;
  readonly #answer: WholeAnswer;

  constructor(sink: AnswerSink, answer: WholeAnswer) {
    this.#sink = sink;
    this.#answer = answer;
  }

  write(events: readonly StreamEvent[]): boolean {
    this.#answer.add(events);
    return this.#sink.write(events);
  }

  onceDrained(run: () => void): void {
    this.#sink.onceDrained(run);
  }

  finish(last: StreamEvent): void {
    this.#answer.finish(last);
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
