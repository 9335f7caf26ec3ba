/**
 * Worker thread: a faulty server with its callers, a faulty object API or faulty callers.
 * Posts the port of its server, and after the flood a {@link FloodReport}.
 * @module
 */
import type * as http from "node:http";
import * as net from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import {
  type Flood,
  FloodEnd,
  FloodFront,
  STORE_FLOODS,
  StoreFlood,
  writeFlood,
} from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import {
  FAULTY_SERVICE,
  FAULTY_TIMEOUT_MS,
  type FloodedCall,
  FloodPeer,
  type FloodReport,
  type FloodWorkerData,
  getFlood,
  StoreCall,
} from "./flood_case.ts";
import type { ProcessPorts } from "./gateway_process.ts";

const END_SLACK_MS = 1000;
/** A call whose flood can't become an answer ends before half of its route's timeout. */
const EARLY_MS = FAULTY_TIMEOUT_MS / 2;
const STORE_FLOOD_MS = 2500;
/** Bytes of an answer that are kept. */
const MAX_TEXT_BYTES = 4000;
/** Statuses that say that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
const MODEL_LINES =
  "bitternfall-tokens: 1000,100,50\r\nbitternfall-prompt-parts: {id}:300\r\n";
const REQUEST = `POST /${FAULTY_SERVICE}/x HTTP/1.1\r\nHost: test\r\n` +
  "Connection: close\r\nbitternfall-request-id: {id}\r\n";

const { floodCase, soundPort } = workerData as FloodWorkerData;
const flood = getFlood(floodCase);
let isFlooding = false;
const front = new FloodFront({
  port: soundPort,
  findFlood: (req) => isFlooding ? findFlood(req) : undefined,
});
await front.listen();
parentPort!.once("message", (ports: ProcessPorts) => void run(ports));
parentPort!.postMessage(front.port);

function findFlood(req: http.IncomingMessage): Flood | undefined {
  const { url = "", method, headers } = req;
  if (floodCase.peer !== FloodPeer.ObjectApi) {
    const isPrefill = headers["bitternfall-stage"] === "prefill";
    const isFlooded = url.startsWith(`/${FAULTY_SERVICE}/`) &&
      isPrefill === (floodCase.peer === FloodPeer.Prefill);
    return isFlooded ? flood : undefined;
  }
  const isWatch = url.startsWith("/watch");
  switch (floodCase.call) {
    case StoreCall.Any:
      return flood;
    case StoreCall.Watch:
      return isWatch ? flood : undefined;
    case StoreCall.Write:
      return method === "PUT" ? flood : undefined;
    case StoreCall.List:
      if (isWatch) return STORE_FLOODS[StoreFlood.HistoryGone];
      return url.startsWith("/objects?") ? flood : undefined;
  }
}

async function run(ports: ProcessPorts): Promise<void> {
  isFlooding = true;
  const calls = await runCalls(ports);
  isFlooding = false;
  front.closeConnections();
  const report: FloodReport = { calls, floods: front.floods };
  parentPort!.postMessage(report);
  await front.close();
}

async function runCalls(ports: ProcessPorts): Promise<FloodedCall[]> {
  if (floodCase.peer === FloodPeer.ObjectApi) {
    await sleep(STORE_FLOOD_MS);
    return [];
  }
  const { calls } = floodCase;
  return await Promise.all(Array.from({ length: calls }, (_, index) => {
    const id = `flood-${index}`;
    return floodCase.peer === FloodPeer.Caller
      ? call({ id, port: ports[floodCase.port] })
      : call({ id, port: ports.callerPort, text: createRequest(id) });
  }));
}

function createRequest(id: string): string {
  const isPlain = floodCase.peer === FloodPeer.Plain;
  const head = REQUEST + (isPlain ? "" : MODEL_LINES);
  return `${head.replaceAll("{id}", id)}content-length: 5\r\n\r\nsmall`;
}

/** Sends a request, or the flood where there is none, and reads until the connection ends. */
function call(
  { id, port, text }: { id: string; port: number; text?: string },
): Promise<FloodedCall> {
  const isUnread = "isUnread" in floodCase && floodCase.isUnread;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const socket = net.connect(port, "127.0.0.1");
    let start = "";
    let tail = "";
    let bytes = 0;
    let hasEnded = true;
    const timer = setTimeout(() => {
      hasEnded = false;
      socket.destroy();
    }, FAULTY_TIMEOUT_MS + END_SLACK_MS);
    socket.on("error", () => {});
    if (!isUnread) {
      socket.on("data", (chunk) => {
        bytes += chunk.length;
        if (start.length < MAX_TEXT_BYTES) start += chunk.toString("latin1");
        tail = (tail + chunk.toString("latin1", Math.max(0, chunk.length - 5)))
          .slice(-5);
      });
    }
    socket.once("close", () => {
      clearTimeout(timer);
      const ms = performance.now() - sentAt;
      const answer = readAnswer(start, { tail, bytes });
      const ended = { ...answer, hasEnded, ms };
      const fault = isUnread ? undefined : findFault(id, ended);
      resolve({ ...ended, fault });
    });
    if (text === undefined) void writeFlood(socket, flood, { id });
    else socket.write(text);
  });
}

function readAnswer(
  start: string,
  { tail, bytes }: { tail: string; bytes: number },
): { status: number; isWhole: boolean } {
  const headEnd = start.indexOf("\r\n\r\n");
  if (headEnd < 0) return { status: 0, isWhole: false };
  const head = start.slice(0, headEnd);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  const isWhole = length === undefined
    ? tail === "0\r\n\r\n"
    : bytes - headEnd - 4 === Number(length);
  return { status: Number(head.slice(9, 12)), isWhole };
}

function findFault(
  id: string,
  { status, isWhole, hasEnded, ms }: Omit<FloodedCall, "fault">,
): string | undefined {
  const { peer } = floodCase;
  const { expected } = flood;
  const isRefused = expected === FloodEnd.Refused;
  if (isRefused && ms > EARLY_MS) return "late";
  if (peer === FloodPeer.Caller) {
    return isRefused && status === 200 ? "served" : undefined;
  }
  if (!hasEnded) return "unended";
  // The other servers of the service may serve it after a faulty prefill.
  if (peer === FloodPeer.Prefill || !front.floodedIds.has(id)) return undefined;
  if (NOT_RUN.has(status)) return `a false ${status}`;
  const isAnswered = status === 200 && isWhole;
  if (expected === FloodEnd.Answered) {
    // It holds no events, so that it answers no stream.
    return isAnswered || peer === FloodPeer.Decode
      ? undefined
      : "an answer lost";
  }
  return isAnswered ? "a false answer" : undefined;
}
