import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventFramer } from "./event_framer.ts";

const EVENTS = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: piece ${id}\n\n`);
const WHOLE = EVENTS.join("");

describe("EventFramer", () => {
  it("passes whole events on, wherever the chunks are cut", () => {
    const cuts = fc.array(fc.nat(WHOLE.length), { maxLength: 8 });
    fc.assert(
      fc.property(cuts, (points) => {
        const framer = new EventFramer();
        let text = "";
        let count = 0;
        let lastId: string | undefined;
        const sorted = [0, ...points.sort((a, b) => a - b), WHOLE.length];
        for (let index = 1; index < sorted.length; index++) {
          const chunk = WHOLE.slice(sorted[index - 1], sorted[index]);
          const framed = framer.push(Buffer.from(chunk));
          if (framed === undefined) continue;
          expect(framed.bytes.toString().endsWith("\n\n")).toBe(true);
          text += framed.bytes.toString();
          count += framed.count;
          lastId = framed.lastId;
        }
        expect([text, count, lastId]).toEqual([WHOLE, 4, "4"]);
        expect(framer.pendingBytes).toBe(0);
      }),
      { seed: 11, numRuns: 200 },
    );
  });

  it("keeps an event that is not whole", () => {
    const framer = new EventFramer();
    const framed = framer.push(Buffer.from(`${EVENTS[0]}id: 2\ndata: ha`));
    expect(framed).toMatchObject({ count: 1, lastId: "1" });
    expect(framer.pendingBytes).toBe("id: 2\ndata: ha".length);
  });

  it("takes lines that end with a carriage return", () => {
    const framed = new EventFramer().push(
      Buffer.from("id: 7\r\ndata: x\r\n\r\n"),
    );
    expect(framed).toMatchObject({ count: 1, lastId: "7" });
  });
});
