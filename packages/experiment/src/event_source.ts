/**
 * Parses the server-sent events of a response body.
 * @module
 */

/** One event; `data` joins its data lines without line breaks. */
export interface ServerSentEvent {
  readonly event: string;
  readonly data: string;
}

/** Iterates over the complete events of a body; an incomplete one at its end is dropped. */
export class EventSource {
  readonly #body: AsyncIterable<Uint8Array>;

  constructor(body: AsyncIterable<Uint8Array>) {
    this.#body = body;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<ServerSentEvent> {
    const decoder = new TextDecoder();
    let incompleteEvent = "";
    for await (const chunk of this.#body) {
      incompleteEvent += decoder.decode(chunk, { stream: true });
      const completeEvents = incompleteEvent.split("\n\n");
      incompleteEvent = completeEvents.pop() ?? "";
      for (const eventText of completeEvents) yield parseEvent(eventText);
    }
  }
}

function parseEvent(eventText: string): ServerSentEvent {
  let event = "message";
  let data = "";
  for (const line of eventText.split("\n")) {
    if (line.startsWith("event: ")) event = line.slice("event: ".length);
    else if (line.startsWith("data: ")) data += line.slice("data: ".length);
  }
  return { event, data };
}
