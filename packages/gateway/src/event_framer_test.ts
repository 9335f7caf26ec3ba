import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventFramer } from "./event_framer.ts";

const EVENTS = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: piece ${id}\n\n`);
const STREAM = EVENTS.join("");

describe("EventFramer", () => {
  it("emits only complete events, wherever the chunks are split", () => {
    const splitPoints = fc.array(fc.nat(STREAM.length), { maxLength: 8 });
    fc.assert(
      fc.property(splitPoints, (points) => {
        const framer = new EventFramer();
        let text = "";
        let count = 0;
        let lastId: string | undefined;
        const sorted = [0, ...points.sort((a, b) => a - b), STREAM.length];
        for (let index = 1; index < sorted.length; index++) {
          const chunk = STREAM.slice(sorted[index - 1], sorted[index]);
          const framed = framer.push(Buffer.from(chunk));
          if (framed === undefined) continue;
          expect(framed.bytes.toString().endsWith("\n\n")).toBe(true);
          text += framed.bytes.toString();
          count += framed.count;
          lastId = framed.lastId;
        }
        expect([text, count, lastId]).toEqual([STREAM, 4, "4"]);
        expect(framer.pendingBytes).toBe(0);
      }),
      { seed: 11, numRuns: 200 },
    );
  });

  // Guards against an end that is missed where chunks of an event are searched only once.
  it("gives the same events for any lengths, line ends and cuts", () => {
    const event = fc.tuple(
      fc.nat({ max: 200 }),
      fc.constantFrom("\n", "\r\n"),
      fc.stringMatching(/^[a-z\r]{0,40}$/),
    ).map(([id, end, data]) =>
      `id: ${id}${end}data: ${data.replaceAll("\r", "x")}${end}${end}`
    );
    fc.assert(
      fc.property(
        fc.array(event, { minLength: 1, maxLength: 20 }),
        fc.integer({ min: 1, max: 9 }),
        (events, chunkLength) => {
          const bytes = Buffer.from(events.join(""));
          const framer = new EventFramer();
          let text = "";
          let count = 0;
          for (let at = 0; at < bytes.length; at += chunkLength) {
            const framed = framer.push(bytes.subarray(at, at + chunkLength));
            text += framed?.bytes.toString() ?? "";
            count += framed?.count ?? 0;
          }
          expect([text, count, framer.pendingBytes])
            .toEqual([events.join(""), events.length, 0]);
        },
      ),
      { seed: 12, numRuns: 300 },
    );
  });

  // Guards against a server that stops a VM with an event that has no end.
  it("takes a long event in small chunks before the test times out", () => {
    const framer = new EventFramer();
    const chunk = Buffer.alloc(64, "x");
    for (let sent = 0; sent < 4_000_000; sent += chunk.length) {
      framer.push(chunk);
    }
    expect(framer.pendingBytes).toBe(4_000_000);
  });

  it("buffers an incomplete event", () => {
    const framer = new EventFramer();
    const framed = framer.push(Buffer.from(`${EVENTS[0]}id: 2\ndata: ha`));
    expect(framed).toMatchObject({ count: 1, lastId: "1" });
    expect(framer.pendingBytes).toBe("id: 2\ndata: ha".length);
  });

  it("accepts lines that end with CR LF", () => {
    const framed = new EventFramer().push(
      Buffer.from("id: 7\r\ndata: x\r\n\r\n"),
    );
    expect(framed).toMatchObject({ count: 1, lastId: "7" });
  });

  // Guards against the text of an error that callers take for an event.
  it("stops at a line that is no field of an event", () => {
    const begin = EVENTS[0]!;
    for (
      const text of [
        "data: haHTTP/1.1 503 Busy\r\nServer: p\r\n\r\n",
        "Internal server error\n\n",
        "datum: x\n\n",
      ]
    ) {
      const framed = new EventFramer().push(Buffer.from(begin + text));
      expect(framed).toMatchObject({ count: 1, isSpoilt: true });
      expect(framed!.bytes.toString()).toBe(begin);
    }
    const fields = [
      "x-version: 7\nid: 2\ndata\n\n",
      ": a comment\r\nretry: 5\r\nevent: end\r\ndata: Server: p\r\n\r\n",
    ];
    for (const text of fields) {
      const framed = new EventFramer().push(Buffer.from(text));
      expect(framed).toMatchObject({ count: 1, isSpoilt: false });
      expect(framed!.bytes.toString()).toBe(text);
    }
  });
});
