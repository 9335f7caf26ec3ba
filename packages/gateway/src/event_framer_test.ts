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
});
