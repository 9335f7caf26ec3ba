import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import * as fc from "fast-check";
import { EventSplitter, type StreamEvent } from "./sse.ts";

function formatEvent(offset: number, payload: string, isEnd = false): string {
  return `id: 3.${offset}\n${isEnd ? "event: end\n" : ""}data: ${payload}\n\n`;
}

function split(chunks: readonly Buffer[]): StreamEvent[] {
  const splitter = new EventSplitter();
  return chunks.flatMap((chunk) => splitter.push(chunk) ?? []);
}

describe("EventSplitter", () => {
  it("finds the same events however the stream is divided into chunks", () => {
    const text =
      [0, 1, 2].map((offset) => formatEvent(offset, `{"n":${offset},"t":"ž"}`))
        .join(
          "",
        ) + formatEvent(3, "{}", true);
    const bytes = Buffer.from(text);
    fc.assert(
      fc.property(
        fc.array(fc.nat(bytes.length), { maxLength: 6 }),
        (cutPositions) => {
          const boundaries = [
            0,
            ...cutPositions.sort((a, b) => a - b),
            bytes.length,
          ];
          const events = split(
            boundaries.slice(1).map((end, index) =>
              bytes.subarray(boundaries[index]!, end)
            ),
          );
          expect(events.map((event) => event.offset)).toEqual([0, 1, 2, 3]);
          expect(events.map((event) => event.isEnd)).toEqual([
            false,
            false,
            false,
            true,
          ]);
          expect(events[1]!.data.toString()).toBe('{"n":1,"t":"ž"}');
          expect(Buffer.concat(events.map((event) => event.raw)).equals(bytes))
            .toBe(true);
        },
      ),
      { seed: 1 },
    );
  });

  it("rejects malformed events", () => {
    for (
      const text of [
        "data: x\n\n",
        "id: 1\ndata: x\n\n",
        "id: a.b\ndata: x\n\n",
        "id: 1.2\n\n",
        "\n\n",
      ]
    ) {
      expect(new EventSplitter().push(Buffer.from(text))).toBeUndefined();
    }
  });

  it("never throws on arbitrary bytes and limits the size of an unfinished event", () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 60 })), (chunks) => {
        const splitter = new EventSplitter();
        for (const chunk of chunks) splitter.push(Buffer.from(chunk));
      }),
      { seed: 1 },
    );
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.alloc(1_000_001, 0x69))).toBeUndefined();
  });

  // Guards against an engine that stops a VM with an event in chunks of one byte.
  it("takes a long event in chunks of one byte before the test times out", () => {
    const splitter = new EventSplitter();
    const bytes = Buffer.from(formatEvent(0, "x".repeat(900_000)));
    let events: StreamEvent[] = [];
    for (let at = 0; at < bytes.length; at++) {
      events = splitter.push(bytes.subarray(at, at + 1))!;
    }
    expect(events[0]!.raw.equals(bytes)).toBe(true);
  });
});
