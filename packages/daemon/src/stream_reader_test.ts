import { Buffer } from "node:buffer";
import { beforeEach, describe, expect, it } from "vitest";
import { type EventHandler, type StreamEvent } from "@bitternfall/engine";
import { type StreamEnd, StreamReader } from "./stream_reader.ts";

const EMPTY = Buffer.alloc(0);
const MAX_OUTPUTS = 10;
const REPEAT_INTERVAL_MS = 100;

let handler: EventHandler;
let relayed: number[];
let controls: string[];
let isBehind: boolean;
let onDrained: () => void;
let callerAborter: AbortController;

beforeEach(() => {
  relayed = [];
  controls = [];
  isBehind = false;
  callerAborter = new AbortController();
});

function read(): Promise<StreamEnd> {
  return new StreamReader({
    open: (given) => {
      handler = given;
      return {
        pause: () => controls.push("pause"),
        resume: () => controls.push("resume"),
        abort: () => controls.push("abort"),
      };
    },
    attempt: 2,
    getOffset: () => relayed.length,
    maxOutputs: MAX_OUTPUTS,
    onOutputs: (events) => {
      relayed.push(...events.map((event) => event.offset));
      return !isBehind;
    },
    sink: {
      write: () => true,
      onceDrained: (run) => onDrained = run,
      finish: () => {},
      fail: () => {},
    },
    callerSignal: callerAborter.signal,
  }).read();
}

function event(offset: number, fields: Partial<StreamEvent> = {}): StreamEvent {
  return {
    attempt: 2,
    offset,
    isEnd: false,
    data: EMPTY,
    raw: EMPTY,
    ...fields,
  };
}

describe("StreamReader", () => {
  it("passes each output on once and in order, and drops outputs of other attempts", async () => {
    const end = read();
    handler.onEvents([event(0), event(0), event(1, { attempt: 1 }), event(1)]);
    handler.onEvents([event(0), event(1), event(2), event(3, { isEnd: true })]);
    expect(await end).toMatchObject({ kind: "done", last: { offset: 3 } });
    expect(relayed).toEqual([0, 1, 2]);
  });

  it("reports a gap or an early end as a lost connection, never as a complete response", async () => {
    const gap = read();
    handler.onEvents([event(0), event(2)]);
    expect(await gap).toMatchObject({
      kind: "failed",
      err: { detail: { tag: "lost" } },
    });
    relayed = [];
    const early = read();
    handler.onEvents([event(0)]);
    handler.onClose();
    expect(await early).toMatchObject({
      kind: "failed",
      err: { detail: { tag: "lost" } },
    });
    relayed = [];
    const endOnly = read();
    handler.onEvents([event(5, { isEnd: true })]);
    expect(await endOnly).toMatchObject({
      kind: "failed",
      err: { detail: { tag: "lost" } },
    });
  });

  it("stops reading from the engine while the caller reads too slowly", async () => {
    const end = read();
    isBehind = true;
    handler.onEvents([event(0)]);
    expect(controls).toEqual(["pause"]);
    isBehind = false;
    onDrained();
    expect(controls).toEqual(["pause", "resume"]);
    handler.onEvents([event(1, { isEnd: true })]);
    expect(await end).toMatchObject({ kind: "done" });
  });

  it("aborts the connection and ignores further events when the caller disconnects", async () => {
    const end = read();
    callerAborter.abort();
    expect(await end).toEqual({ kind: "gone" });
    handler.onEvents([event(0)]);
    expect(relayed).toEqual([]);
    expect(controls).toEqual(["abort"]);
  });

  // Guards against an engine that holds a call for good with outputs that bring nothing.
  it("takes an engine that only repeats outputs for a silent one", async () => {
    const end = read();
    handler.onStart();
    const repeat = () => handler.onEvents([event(0), event(1, { attempt: 1 })]);
    const timer = setInterval(repeat, REPEAT_INTERVAL_MS);
    expect(await end).toMatchObject({
      kind: "failed",
      err: { detail: { tag: "lost" } },
    });
    clearInterval(timer);
    expect(relayed).toEqual([0]);
  });

  // Guards against an output without end, which the caller or this VM would have to hold.
  it("fails an engine that writes more outputs than were ordered", async () => {
    const end = read();
    for (let offset = 0; offset <= MAX_OUTPUTS; offset++) {
      handler.onEvents([event(offset)]);
    }
    expect(await end).toMatchObject({
      kind: "failed",
      err: { detail: { tag: "failed" } },
    });
    expect(relayed).toHaveLength(MAX_OUTPUTS);
  });
});
