import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import {
  BodyReader,
  createLargeBody,
  describeLargeBody,
} from "./large_body.ts";

const BYTES = 300_000;

function read(body: Buffer, chunkBytes: number): string {
  const reader = new BodyReader();
  for (let from = 0; from < body.length; from += chunkBytes) {
    reader.add(body.subarray(from, from + chunkBytes));
  }
  return reader.finish();
}

describe("BodyReader", () => {
  it("returns a short body as it is", () => {
    expect(read(Buffer.from("a\nbody"), 2)).toBe("a\nbody");
  });

  it("returns the description of a large body, however it was cut", () => {
    const body = Buffer.concat(createLargeBody("r1", BYTES));
    for (const chunkBytes of [1001, 65_536, body.length]) {
      expect(read(body, chunkBytes)).toBe(describeLargeBody("r1", BYTES));
    }
  });

  it("returns another text for a body that was altered or cut off", () => {
    const [text, filling] = createLargeBody("r1", BYTES);
    const [first, second] = [
      filling.subarray(0, 100_000),
      filling.subarray(100_000),
    ];
    const bodies = [[text, second, first], [text, first], [first, second]];
    for (const chunks of bodies) {
      expect(read(Buffer.concat(chunks), 7001)).not.toBe(
        describeLargeBody("r1", BYTES),
      );
    }
  });
});
