/**
 * Reads server-sent events from a response body.
 * @module
 */

/** One event. */
export interface ServerSentEvent {
  readonly event: string;
  readonly data: string;
}

/** Iterates over the events of a body. */
export class EventSource {
  readonly #body: AsyncIterable<Uint8Array>;

  constructor(body: AsyncIterable<Uint8Array>) {
    this.#body = body;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<ServerSentEvent> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of this.#body) {
      rest += decoder.decode(chunk, { stream: true });
      const blocks = rest.split("\n\n");
      rest = blocks.pop() ?? "";
      for (const block of blocks) yield parseBlock(block);
    }
  }
}

function parseBlock(block: string): ServerSentEvent {
  let event = "message";
  let data = "";
  for (const line of block.split("\n")) {
    if (line.startsWith("event: ")) event = line.slice("event: ".length);
    else if (line.startsWith("data: ")) data += line.slice("data: ".length);
  }
  return { event, data };
}
