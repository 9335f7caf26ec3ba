import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import { MemoryPool } from "@bitternfall/caller";
import type { StreamEvent } from "@bitternfall/engine";
import { CompletionCollector } from "./response_sink.ts";

const EMPTY = Buffer.alloc(0);

function output(text: string): StreamEvent {
  const data = Buffer.from(JSON.stringify({ id: "c", choices: [{ text }] }));
  return { attempt: 1, offset: 0, isEnd: false, data, raw: EMPTY };
}

describe("CompletionCollector", () => {
  it("joins many short outputs", () => {
    const collector = new CompletionCollector({ shape: "text", model: "m" });
    for (let count = 0; count < 1000; count++) collector.add([output("ab")]);
    const text = collector.finish(output("c"))!;
    expect(JSON.parse(text).choices[0].text).toBe("ab".repeat(1000) + "c");
  });

  // Guards against a process that is ended by the output of one request.
  it("keeps no output that is too long", () => {
    const collector = new CompletionCollector({ shape: "text", model: "m" });
    const events = [output("x".repeat(100_000))];
    for (let count = 0; count <= 40; count++) collector.add(events);
    expect(collector.isFull).toBe(true);
    expect(collector.finish(output("c"))).toBeUndefined();
    expect(collector.text).toBeUndefined();
  });

  it("keeps no output for which there is no memory", () => {
    const memory = new MemoryPool(10).open();
    const options = { shape: "text", model: "m" } as const;
    const collector = new CompletionCollector(options, memory);
    for (let count = 0; count < 6; count++) collector.add([output("ab")]);
    expect(collector.isFull).toBe(true);
    expect(collector.finish(output("c"))).toBeUndefined();
  });
});
