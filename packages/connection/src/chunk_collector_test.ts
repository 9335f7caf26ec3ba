import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { expect, it } from "vitest";
import { ChunkCollector } from "./chunk_collector.ts";

it("returns the bytes that were added, in order", () => {
  const sizes = fc.array(fc.oneof(fc.nat(9), fc.nat(200_000)), {
    maxLength: 12,
  });
  fc.assert(
    fc.property(sizes, (lengths) => {
      const chunks = lengths.map((length, at) => Buffer.alloc(length, at + 1));
      const collector = new ChunkCollector();
      for (const chunk of chunks) collector.add(chunk);
      const whole = Buffer.concat(chunks);
      expect(collector.size).toBe(whole.length);
      expect(Buffer.concat(collector.take()).equals(whole)).toBe(true);
      expect(collector.size).toBe(0);
      expect(collector.take()).toEqual([]);
    }),
  );
});

// Guards against a heap that grows with the number of chunks rather than with their bytes.
it("keeps chunks of one byte in few buffers, not much larger than their bytes", () => {
  const collector = new ChunkCollector();
  const chunk = Buffer.from("a");
  for (let count = 0; count < 70_000; count++) collector.add(chunk);
  const parts = collector.take();
  const blocks = new Set(parts.map(({ buffer }) => buffer));
  const heldBytes = [...blocks].reduce(
    (sum, block) => sum + block.byteLength,
    0,
  );
  expect(parts.length).toBeLessThan(12);
  expect(heldBytes).toBeLessThan(140_000);
});
