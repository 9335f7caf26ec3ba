/**
 * Bytes without end, or far more than they say, that faulty servers, object APIs and callers
 * send instead of an answer or a request.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as net from "node:net";

/** What a faulty server sends instead of an answer, or after it. */
export enum ServerFlood {
  OneByteChunks = "one-byte-chunks",
  TwoByteChunks = "two-byte-chunks",
  ChunksOf16 = "chunks-of-16-bytes",
  ChunksOf64 = "chunks-of-64-bytes",
  PaddedChunkSizes = "padded-chunk-sizes",
  EndlessChunkSize = "endless-chunk-size",
  EndlessChunkExtension = "endless-chunk-extension",
  ChunkExtensions = "chunk-extensions",
  EndlessTrailers = "endless-trailers",
  Interim100 = "interim-100",
  Interim103 = "interim-103",
  SwitchedProtocol = "switched-protocol",
  BlankLines = "blank-lines",
  EndlessStatusLine = "endless-status-line",
  ManyHeaders = "many-headers",
  LongHeader = "long-header",
  Garbage = "garbage",
  BodyByLength = "body-by-length",
  BodyInChunks = "body-in-chunks",
  UnframedBody = "unframed-body",
  FailureWithBody = "failure-with-body",
  SurplusBytes = "surplus-bytes",
  SecondAnswers = "second-answers",
  Comments = "comments",
  BlankEventLines = "blank-event-lines",
  RetryLines = "retry-lines",
  EndlessEvent = "endless-event",
  TinyEvents = "tiny-events",
  TinyEventsInChunks = "tiny-events-in-chunks",
  DrippedHead = "dripped-head",
  DrippedChunkSize = "dripped-chunk-size",
  LengthBeyondIntegers = "length-beyond-integers",
  LengthOfPetabytes = "length-of-petabytes",
}

/** What only a faulty object API sends. */
export enum StoreFlood {
  EndlessList = "endless-list",
  DeepJson = "deep-json",
  HistoryGone = "history-gone",
}

/** What a faulty caller sends. */
export enum CallerFlood {
  OneByteChunks = "one-byte-chunks",
  /** A fifth of the body of {@link OneByteChunks}. */
  ShortOneByteChunks = "short-one-byte-chunks",
  PaddedChunkSizes = "padded-chunk-sizes",
  EndlessChunkExtension = "endless-chunk-extension",
  ChunkExtensions = "chunk-extensions",
  EndlessTrailers = "endless-trailers",
  BlankLines = "blank-lines",
  EndlessRequestLine = "endless-request-line",
  ManyHeaders = "many-headers",
  LongHeader = "long-header",
  Garbage = "garbage",
  PipelinedRequests = "pipelined-requests",
  SurplusBody = "surplus-body",
  DrippedHead = "dripped-head",
}

/** How a call ends that meets a flood. */
export enum FloodEnd {
  /** What came can't become an answer or a request. */
  Refused = "refused",
  /** What came first is a whole answer. */
  Answered = "answered",
  /** What came may still become one. */
  Open = "open",
}

/** What is sent. */
export interface Flood {
  /** Sent first; `{id}` stands for the request's id. */
  readonly start: string;
  /** Sent again and again; a function is given the number of the repetition. */
  readonly unit: string | ((index: number) => string);
  /** Number of repetitions; without end by default. */
  readonly units?: number;
  /** Sent after the last repetition. */
  readonly end?: string;
  /** Pause after each repetition; none by default. */
  readonly pauseMs?: number;
  readonly expected: FloodEnd;
}

const BLOCK_BYTES = 65_536;
const DRIP_MS = 50;
const BODY_UNIT = "b".repeat(16_384);
const PADDING = "0".repeat(2000);
/** Within the limits of bodies. */
const CALLER_BODY_BYTES = 1_000_000;
const SHORT_BODY_BYTES = 200_000;
const PIPELINED_REQUESTS = 1000;
const DEEP_LEVELS = 500_000;

const ID_LINES = "bitternfall-request-id: {id}\r\nbitternfall-seal: faulty\r\n";
const HEAD = `HTTP/1.1 200 OK\r\n${ID_LINES}`;
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const EVENTS = `${HEAD}content-type: text/event-stream\r\n\r\n`;
const CHUNKED_EVENTS =
  `${HEAD}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
const WHOLE_ANSWER = `${HEAD}content-length: 4\r\n\r\ndone`;
const { Refused, Answered, Open } = FloodEnd;

/** The floods of servers. */
export const SERVER_FLOODS: { readonly [kind in ServerFlood]: Flood } = {
  [ServerFlood.OneByteChunks]: {
    start: CHUNKED,
    unit: toChunk(1),
    expected: Open,
  },
  [ServerFlood.TwoByteChunks]: {
    start: CHUNKED,
    unit: toChunk(2),
    expected: Open,
  },
  [ServerFlood.ChunksOf16]: {
    start: CHUNKED,
    unit: toChunk(16),
    expected: Open,
  },
  [ServerFlood.ChunksOf64]: {
    start: CHUNKED,
    unit: toChunk(64),
    expected: Open,
  },
  [ServerFlood.PaddedChunkSizes]: {
    start: CHUNKED,
    unit: PADDING + toChunk(1),
    expected: Open,
  },
  [ServerFlood.EndlessChunkSize]: {
    start: CHUNKED,
    unit: "0",
    expected: Refused,
  },
  [ServerFlood.EndlessChunkExtension]: {
    start: `${CHUNKED}5;x=`,
    unit: "a",
    expected: Refused,
  },
  [ServerFlood.ChunkExtensions]: {
    start: CHUNKED,
    unit: "1;x=1\r\na\r\n",
    expected: Open,
  },
  [ServerFlood.EndlessTrailers]: {
    start: `${CHUNKED}4\r\ndone\r\n0\r\n`,
    unit: "x-a: b\r\n",
    expected: Refused,
  },
  [ServerFlood.Interim100]: {
    start: "",
    unit: "HTTP/1.1 100 Continue\r\n\r\n",
    expected: Refused,
  },
  [ServerFlood.Interim103]: {
    start: "",
    unit: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
    expected: Refused,
  },
  [ServerFlood.SwitchedProtocol]: {
    start:
      "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
    unit: BODY_UNIT,
    expected: Refused,
  },
  [ServerFlood.BlankLines]: { start: "", unit: "\r\n", expected: Refused },
  [ServerFlood.EndlessStatusLine]: {
    start: "HTTP/1.1 200 ",
    unit: "a",
    expected: Refused,
  },
  [ServerFlood.ManyHeaders]: {
    start: HEAD,
    unit: "x-a: b\r\n",
    expected: Refused,
  },
  [ServerFlood.LongHeader]: {
    start: `${HEAD}x-a: `,
    unit: "b",
    expected: Refused,
  },
  [ServerFlood.Garbage]: {
    start: "",
    unit: "\x16\x03\x01\x02 no answer",
    expected: Refused,
  },
  [ServerFlood.BodyByLength]: {
    start: `${HEAD}content-length: 1000000000000\r\n\r\n`,
    unit: BODY_UNIT,
    expected: Open,
  },
  [ServerFlood.BodyInChunks]: {
    start: CHUNKED,
    unit: toChunk(16_384),
    expected: Open,
  },
  [ServerFlood.UnframedBody]: {
    start: `${HEAD}\r\n`,
    unit: BODY_UNIT,
    expected: Open,
  },
  [ServerFlood.FailureWithBody]: {
    start:
      `HTTP/1.1 500 Failed\r\n${ID_LINES}transfer-encoding: chunked\r\n\r\n`,
    unit: toChunk(16_384),
    expected: Open,
  },
  [ServerFlood.SurplusBytes]: {
    start: WHOLE_ANSWER,
    unit: "surplus",
    expected: Answered,
  },
  [ServerFlood.SecondAnswers]: {
    start: WHOLE_ANSWER,
    unit: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore",
    expected: Answered,
  },
  [ServerFlood.Comments]: { start: EVENTS, unit: ": a\n", expected: Open },
  [ServerFlood.BlankEventLines]: { start: EVENTS, unit: "\n", expected: Open },
  [ServerFlood.RetryLines]: {
    start: EVENTS,
    unit: "retry: 1000\n",
    expected: Open,
  },
  [ServerFlood.EndlessEvent]: {
    start: `${EVENTS}id: 1\ndata: `,
    unit: "a",
    expected: Open,
  },
  [ServerFlood.TinyEvents]: { start: EVENTS, unit: toEvent, expected: Open },
  [ServerFlood.TinyEventsInChunks]: {
    start: CHUNKED_EVENTS,
    unit: (index) => {
      const event = toEvent(index);
      return `${event.length.toString(16)}\r\n${event}\r\n`;
    },
    expected: Open,
  },
  [ServerFlood.DrippedHead]: {
    start: `${HEAD}x-a: `,
    unit: "b",
    pauseMs: DRIP_MS,
    expected: Open,
  },
  [ServerFlood.DrippedChunkSize]: {
    start: CHUNKED,
    unit: "0",
    pauseMs: DRIP_MS,
    expected: Open,
  },
  [ServerFlood.LengthBeyondIntegers]: {
    start: `${HEAD}content-length: 99999999999999999999999999\r\n\r\n`,
    unit: BODY_UNIT,
    expected: Refused,
  },
  [ServerFlood.LengthOfPetabytes]: {
    start: `${HEAD}content-length: 1000000000000000\r\n\r\n`,
    unit: "",
    units: 0,
    expected: Open,
  },
};

const JSON_HEAD = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";

/** The floods of object APIs alone. */
export const STORE_FLOODS: { readonly [kind in StoreFlood]: Flood } = {
  [StoreFlood.EndlessList]: {
    start: `${JSON_HEAD}\r\n{"revision":1,"objects":[`,
    unit: (index) => `{"key":"servers/s${index}","version":1,"value":null},`,
    expected: Refused,
  },
  [StoreFlood.DeepJson]: {
    start: `${JSON_HEAD}content-length: ${2 * DEEP_LEVELS}\r\n\r\n`,
    unit: (index) => index < DEEP_LEVELS ? "[" : "]",
    units: 2 * DEEP_LEVELS,
    expected: Refused,
  },
  [StoreFlood.HistoryGone]: {
    start: "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n",
    unit: "",
    units: 0,
    expected: Answered,
  },
};

const REQUEST =
  "POST /post/x HTTP/1.1\r\nHost: test\r\nbitternfall-request-id: {id}\r\n";
const CHUNKED_REQUEST = `${REQUEST}transfer-encoding: chunked\r\n\r\n`;
const LAST_CHUNK = "0\r\n\r\n";

/** The floods of callers. */
export const CALLER_FLOODS: { readonly [kind in CallerFlood]: Flood } = {
  [CallerFlood.OneByteChunks]: {
    start: CHUNKED_REQUEST,
    unit: toChunk(1),
    units: CALLER_BODY_BYTES,
    end: LAST_CHUNK,
    expected: Open,
  },
  [CallerFlood.ShortOneByteChunks]: {
    start: CHUNKED_REQUEST,
    unit: toChunk(1),
    units: SHORT_BODY_BYTES,
    end: LAST_CHUNK,
    expected: Open,
  },
  [CallerFlood.PaddedChunkSizes]: {
    start: CHUNKED_REQUEST,
    unit: PADDING + toChunk(1),
    expected: Open,
  },
  [CallerFlood.EndlessChunkExtension]: {
    start: `${CHUNKED_REQUEST}5;x=`,
    unit: "a",
    expected: Refused,
  },
  [CallerFlood.ChunkExtensions]: {
    start: CHUNKED_REQUEST,
    unit: "1;x=1\r\na\r\n",
    expected: Open,
  },
  [CallerFlood.EndlessTrailers]: {
    start: `${CHUNKED_REQUEST}4\r\nbody\r\n0\r\n`,
    unit: "x-a: b\r\n",
    expected: Refused,
  },
  [CallerFlood.BlankLines]: { start: "", unit: "\r\n", expected: Refused },
  [CallerFlood.EndlessRequestLine]: {
    start: "GET /",
    unit: "a",
    expected: Refused,
  },
  [CallerFlood.ManyHeaders]: {
    start: REQUEST,
    unit: "x-a: b\r\n",
    expected: Refused,
  },
  [CallerFlood.LongHeader]: {
    start: `${REQUEST}x-a: `,
    unit: "b",
    expected: Refused,
  },
  [CallerFlood.Garbage]: {
    start: "",
    unit: "\x16\x03\x01\x02 no request",
    expected: Refused,
  },
  [CallerFlood.PipelinedRequests]: {
    start: "",
    unit: (index) =>
      `GET /post/x HTTP/1.1\r\nHost: test\r\n` +
      `bitternfall-request-id: {id}-${index}\r\n\r\n`,
    units: PIPELINED_REQUESTS,
    expected: Open,
  },
  [CallerFlood.SurplusBody]: {
    start: `${REQUEST}content-length: 1\r\n\r\nb`,
    unit: "surplus",
    expected: Answered,
  },
  [CallerFlood.DrippedHead]: {
    start: `${REQUEST}x-a: `,
    unit: "b",
    pauseMs: DRIP_MS,
    expected: Open,
  },
};

/** Writes a flood as fast as its reader reads, until it is whole or the connection closes. */
export async function writeFlood(
  socket: net.Socket,
  flood: Flood,
  { id = "" } = {},
): Promise<void> {
  socket.on("error", () => {});
  for (const block of listBlocks(flood, id)) {
    if (socket.destroyed) return;
    if (!socket.write(block, "latin1")) await waitUntilDrained(socket);
    const { pauseMs = 0 } = flood;
    if (pauseMs > 0) await new Promise((wake) => setTimeout(wake, pauseMs));
  }
}

function waitUntilDrained(socket: net.Socket): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      socket.off("drain", finish).off("close", finish);
      resolve();
    };
    socket.once("drain", finish).once("close", finish);
    if (socket.destroyed) finish();
  });
}

function* listBlocks(flood: Flood, id: string): Iterable<string | Buffer> {
  const { start, unit, units = Infinity, end = "", pauseMs = 0 } = flood;
  const insertId = (text: string) => text.replaceAll("{id}", id);
  if (start !== "") yield insertId(start);
  let text = "";
  let repeated: Buffer | undefined;
  const unitsPerBlock = typeof unit === "string" && unit.length > 0
    ? pauseMs > 0 ? 1 : Math.ceil(BLOCK_BYTES / unit.length)
    : 1;
  for (let index = 0; index < units;) {
    if (typeof unit === "function") {
      text += insertId(unit(index++));
      if (text.length < BLOCK_BYTES) continue;
      yield text;
      text = "";
      continue;
    }
    const count = Math.min(unitsPerBlock, units - index);
    index += count;
    if (count < unitsPerBlock) text = unit.repeat(count);
    else yield repeated ??= Buffer.from(unit.repeat(count), "latin1");
  }
  if (text + end !== "") yield text + end;
}

function toChunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${"a".repeat(bytes)}\r\n`;
}

function toEvent(index: number): string {
  return `id: ${index + 1}\ndata: a\n\n`;
}
