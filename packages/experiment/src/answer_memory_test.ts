import { Buffer } from "node:buffer";
import * as net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { GatewayProcess } from "./gateway_process.ts";
import { postAndRead } from "./heavy_callers.ts";

const MEMORY_MB = 200;
/** The memory of the VM less a tenth. */
const MAX_PEAK_BYTES = 0.9 * MEMORY_MB * 1e6;
const TEST_MS = 60_000;
/** Callers that read their answers in the end. */
const READERS = 40;
const HOLD_MS = 4000;
const SMALL_INTERVAL_MS = 50;
const SERVICE = "large";
const BODY = Buffer.alloc(12_000_000, "0123456789abcdef");
const HEAD = "HTTP/1.1 200 OK\r\nBitternfall-Seal: sealed\r\n";
const SMALL_BODY = Buffer.from("b");

let gateway: GatewayProcess;
let server: net.Server;
/** Writes the server's answer to each request. */
let answer: (socket: net.Socket) => void;

beforeEach(async () => {
  server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const services = [{ name: SERVICE, timeoutMs: 30_000, servers: [{ port }] }];
  gateway = new GatewayProcess({ memoryMb: MEMORY_MB, workMs: 5, services });
  await gateway.start();
});

afterEach(async () => {
  await gateway.stop();
  server.close();
});

/** Callers that do not read yet. */
function connectCallers(count: number): net.Socket[] {
  return Array.from({ length: count }, (_, index) => {
    const socket = net.connect(gateway.callerPort, "127.0.0.1");
    socket.on("error", () => {});
    socket.pause();
    socket.write(
      `GET /${SERVICE}/x HTTP/1.1\r\nHost: test\r\nConnection: close\r\n` +
        `bitternfall-request-id: large-${index}\r\n\r\n`,
    );
    return socket;
  });
}

/** Statuses of small requests of others, sent at a steady rate for a time. */
async function sendSmall(forMs: number): Promise<number[]> {
  const { callerPort: port } = gateway;
  const until = performance.now() + forMs;
  const answers: ReturnType<typeof postAndRead>[] = [];
  while (performance.now() < until) {
    const id = `small-${answers.length}`;
    answers.push(postAndRead({ port, id, body: SMALL_BODY }));
    await sleep(SMALL_INTERVAL_MS);
  }
  return (await Promise.all(answers)).map(({ status }) => status);
}

/** Reads to the end; returns the status and the length of the body. */
async function readAnswer(
  socket: net.Socket,
): Promise<{ status: number; bytes: number }> {
  let head = "";
  let bytes = 0;
  socket.resume();
  socket.on("data", (chunk) => {
    if (head.includes("\r\n\r\n")) return void (bytes += chunk.length);
    head += chunk.toString("latin1");
    const end = head.indexOf("\r\n\r\n");
    if (end >= 0) bytes = head.length - end - 4;
  });
  await new Promise((resolve) => socket.once("close", resolve));
  return { status: Number(head.slice(9, 12)), bytes };
}

describe("a gateway of 200 MB", () => {
  // Guards against many answers that together take more memory than there is.
  it.each([
    { callers: 150, minWhole: READERS },
    // Some of them are broken off to make room for others.
    { callers: 400, minWhole: READERS / 2 },
  ])(
    "holds the large answers of $callers callers that do not read",
    async ({ callers: count, minWhole }) => {
      answer = (socket) => {
        socket.write(`${HEAD}Content-Length: ${BODY.length}\r\n\r\n`);
        socket.write(BODY);
      };
      const callers = connectCallers(count);
      const statuses = await sendSmall(HOLD_MS);
      expect(gateway.hasEnded).toBe(false);
      expect(gateway.peakBytes).toBeLessThan(MAX_PEAK_BYTES);
      expect(new Set(statuses)).toEqual(new Set([200]));
      const step = Math.floor(count / READERS);
      const readers = callers.filter((_, index) =>
        index % step === 0 && index < READERS * step
      );
      for (const caller of callers) {
        if (!readers.includes(caller)) caller.destroy();
      }
      const answers = await Promise.all(readers.map(readAnswer));
      const whole = answers.filter(({ bytes }) => bytes === BODY.length);
      expect(whole.length).toBeGreaterThanOrEqual(minWhole);
      for (const { status } of answers) expect(status).toBe(200);
      expect(gateway.peakBytes).toBeLessThan(MAX_PEAK_BYTES);
    },
    TEST_MS,
  );
});
