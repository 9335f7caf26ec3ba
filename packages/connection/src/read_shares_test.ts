import { Buffer } from "node:buffer";
import * as net from "node:net";
import { setImmediate } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type MeteredSocket, ReadShares } from "./read_shares.ts";

const FLOOD = Buffer.alloc(200_000, "0123456789");
const FLOODS = 20;
/** Time that a byte of a flood takes, as one in chunks of one byte does. */
const MS_PER_BYTE = 0.001;

let now: number;
let shares: ReadShares;
let server: net.Server;
let sockets: net.Socket[];
/** Bytes that a connection to the server gets, in the order of the connections. */
let sent: Buffer[];

beforeEach(async () => {
  now = 0;
  shares = new ReadShares({ now: () => now });
  sockets = [];
  sent = [];
  server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.end(sent.shift()!);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});
afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.close();
});

/** A connection that takes time for each byte. */
class Reader {
  readonly ended: Promise<void>;
  readonly chunks: Buffer[] = [];
  readonly socket: net.Socket;
  readonly meter: MeteredSocket;

  constructor(
    onData: (bytes: number) => void = () => {},
    { peer }: { peer?: string } = {},
  ) {
    const { port } = server.address() as net.AddressInfo;
    this.socket = net.connect(port, "127.0.0.1");
    sockets.push(this.socket);
    this.meter = shares.meter(this.socket, peer);
    this.socket.on("data", (chunk) => {
      this.chunks.push(chunk);
      now += chunk.length * MS_PER_BYTE;
      onData(chunk.length);
    });
    this.ended = new Promise((resolve) => this.socket.once("end", resolve));
  }
}

describe("connections that are read in shares", () => {
  // Guards against one peer whose bytes hold up everything else for as long as it sends.
  it("take a few milliseconds of each turn, however many there are", async () => {
    sent = Array.from({ length: FLOODS }, () => FLOOD);
    const readers = sent.map(() => new Reader());
    let isWatching = true;
    const turns: number[] = [];
    const watch = async () => {
      for (let before = now; isWatching; before = now) {
        await setImmediate();
        turns.push(now - before);
      }
    };
    const watching = watch();
    await Promise.all(readers.map(({ ended }) => ended));
    isWatching = false;
    await watching;
    for (const { chunks } of readers) {
      expect(Buffer.concat(chunks).equals(FLOOD)).toBe(true);
    }
    // Each may begin with its credit, all of them in the same turn.
    const longest = turns.sort((a, b) => b - a);
    expect(longest[0]).toBeLessThanOrEqual(FLOODS * 2);
    expect(longest[FLOODS]).toBeLessThanOrEqual(3);
    expect(shares.takeStats().longestTurnMs).toBeLessThanOrEqual(FLOODS * 2);
  });

  // Guards against small answers that wait behind all bytes of a flood.
  it("are read before those that have used up their credit", async () => {
    const small = Buffer.from("small");
    sent = Array.from({ length: FLOODS }, () => FLOOD);
    let floodBytes = 0;
    const floods = sent.map(() => new Reader((bytes) => floodBytes += bytes));
    while (floodBytes < FLOODS * 4000) await setImmediate();
    sent.push(small);
    const reader = new Reader();
    await reader.ended;
    expect(Buffer.concat(reader.chunks)).toEqual(small);
    expect(floodBytes).toBeLessThan(FLOODS * FLOOD.length / 4);
    await Promise.all(floods.map(({ ended }) => ended));
  });

  // Guards against a peer that gets a new credit, or a turn, with each of its connections.
  it("share the turns of one connection if they are of the same peer", async () => {
    sent = Array.from({ length: FLOODS + 1 }, () => FLOOD);
    let floodBytes = 0;
    const flooding = Array.from(
      { length: FLOODS },
      () => new Reader((bytes) => floodBytes += bytes, { peer: "a" }),
    );
    const other = new Reader(undefined, { peer: "b" });
    await other.ended;
    expect(floodBytes).toBeLessThan(2 * FLOOD.length);
    await Promise.all(flooding.map(({ ended }) => ended));
  });

  // Guards against accepted bodies that time out while many refused ones are discarded.
  it("are read before those whose bytes are discarded", async () => {
    sent = Array.from({ length: FLOODS + 1 }, () => FLOOD);
    let refusedBytes = 0;
    const refused = Array.from(
      { length: FLOODS },
      () => new Reader((bytes) => refusedBytes += bytes),
    );
    for (const { meter } of refused) meter.setDiscarded(true);
    const accepted = new Reader();
    await accepted.ended;
    expect(refusedBytes).toBeLessThan(FLOODS * FLOOD.length / 4);
    await Promise.all(refused.map(({ ended }) => ended));
    expect(refusedBytes).toBe(FLOODS * FLOOD.length);
  });

  // Guards against thousands of chunks in the memory of a stream that is paused.
  it("hand nothing on while they are paused", async () => {
    sent = [FLOOD];
    const reader = new Reader(() => {
      if (reader.chunks.length === 2) reader.socket.pause();
    });
    while (reader.chunks.length < 2) await setImmediate();
    for (let turn = 0; turn < 20; turn++) await setImmediate();
    expect(reader.chunks).toHaveLength(2);
    expect(reader.socket.readableLength).toBe(0);
    expect(reader.meter.queuedBytes).toBeGreaterThan(0);
    reader.socket.resume();
    await reader.ended;
    expect(Buffer.concat(reader.chunks).equals(FLOOD)).toBe(true);
  });
});
