import { Buffer } from "node:buffer";
import * as net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { GatewayProcess } from "./gateway_process.ts";
import { type HeavyAnswer, postAndRead } from "./heavy_callers.ts";

const MEMORY_MB = 200;
/** The memory of the VM less a tenth. */
const MAX_PEAK_BYTES = 0.9 * MEMORY_MB * 1e6;
const TEST_MS = 40_000;
const LARGE_BODY = Buffer.alloc(4_000_000, "b");
const MIDDLE_BODY = Buffer.alloc(60_000, "b");
const SMALL_BODY = Buffer.from("b");
/** About 10 kB of 900 headers. */
const SHORT_HEADERS = Array.from(
  { length: 900 },
  (_, index) => `x-h${index}: ${index}\r\n`,
).join("");

let gateway: GatewayProcess;

afterEach(() => gateway.stop());

async function start(
  options: { workMs: number; descriptors?: number },
): Promise<void> {
  gateway = new GatewayProcess({ memoryMb: MEMORY_MB, ...options });
  await gateway.start();
}

function post(
  count: number,
  options: { body: Buffer; headerLines?: string },
): Promise<HeavyAnswer[]> {
  const { callerPort: port } = gateway;
  return Promise.all(
    Array.from(
      { length: count },
      (_, index) => postAndRead({ port, id: `r${index}`, ...options }),
    ),
  );
}

/** Opens connections and sends the same text on each; returns those that stay open. */
async function connect(
  count: number,
  text: string,
  port: number = gateway.callerPort,
): Promise<Set<net.Socket>> {
  const open = new Set<net.Socket>();
  for (let index = 0; index < count; index++) {
    const socket = net.connect(port, "127.0.0.1");
    open.add(socket);
    socket.on("error", () => {});
    socket.on("data", () => {});
    socket.once("close", () => open.delete(socket));
    socket.write(text);
    if (index % 100 === 99) await sleep(50);
  }
  return open;
}

describe("a gateway of 200 MB", () => {
  // Guards against bodies that take memory while they are read, or after a refusal.
  it("stays below its memory while 200 callers post 4 MB each", async () => {
    await start({ workMs: 50 });
    const answers = await post(200, { body: LARGE_BODY });
    expect(gateway.hasEnded).toBe(false);
    expect(gateway.peakBytes).toBeLessThan(MAX_PEAK_BYTES);
    const served = answers.filter(({ status }) => status === 200);
    expect(served.length).toBeGreaterThan(0);
  }, TEST_MS);

  // Guards against heads of many short headers that fill the heap, which aborts the process.
  it("survives 900 requests in flight with 900 headers each", async () => {
    await start({ workMs: 3000 });
    const answers = await post(900, {
      body: SMALL_BODY,
      headerLines: SHORT_HEADERS,
    });
    expect(gateway.hasEnded).toBe(false);
    expect(gateway.peakBytes).toBeLessThan(MAX_PEAK_BYTES);
    for (const { status, isWhole, hasRetryAfter } of answers) {
      expect([200, 503]).toContain(status);
      expect(isWhole).toBe(true);
      expect(hasRetryAfter).toBe(status === 503);
    }
  }, TEST_MS);

  // Guards against a connection that is closed with unread bytes, which destroys the refusal.
  it("lets callers that send 4 MB to the end read their refusals", async () => {
    await start({ workMs: 50 });
    const answers = await post(80, { body: LARGE_BODY });
    const refused = answers.filter(({ status }) => status !== 200);
    expect(refused.length).toBeGreaterThan(0);
    for (const { status, isWhole, hasRetryAfter } of refused) {
      expect(status).toBe(503);
      expect(isWhole).toBe(true);
      expect(hasRetryAfter).toBe(true);
    }
  }, TEST_MS);

  // Guards against unfinished heads, which take heap before any request is seen.
  it.each(
    ["callerPort", "peerPort"] as const,
  )("survives 1,500 callers that stop in a long head on %s", async (port) => {
    await start({ workMs: 50 });
    const head = "POST /post/x HTTP/1.1\r\nHost: test\r\n" +
      SHORT_HEADERS.repeat(5);
    await connect(1500, head, gateway[port]);
    await sleep(4000);
    expect(gateway.hasEnded).toBe(false);
    expect(gateway.peakBytes).toBeLessThan(MAX_PEAK_BYTES);
    const [answer] = await post(1, { body: SMALL_BODY });
    expect(answer!.status).toBe(200);
  }, TEST_MS);

  // Guards against limits that hold one by one and not together.
  it(
    "stays below its memory under bodies, heads and unfinished heads at once",
    async () => {
      await start({ workMs: 2000 });
      const head = "POST /post/x HTTP/1.1\r\nHost: test\r\n";
      const id = "bitternfall-request-id: slow\r\n";
      const answers: Promise<unknown>[] = [];
      for (let round = 0; round < 3; round++) {
        answers.push(
          post(200, { body: SMALL_BODY, headerLines: SHORT_HEADERS }),
          post(60, { body: LARGE_BODY }),
          post(300, { body: MIDDLE_BODY }),
          connect(300, head + SHORT_HEADERS.repeat(5)),
          connect(50, `${head}${id}Content-Length: 4000000\r\n\r\nb`),
        );
        await sleep(1000);
      }
      await Promise.all(answers);
      expect(gateway.hasEnded).toBe(false);
      expect(gateway.peakBytes).toBeLessThan(MAX_PEAK_BYTES);
    },
    TEST_MS,
  );

  // Guards against callers' connections that leave no descriptors to reach servers with.
  it(
    "keeps most descriptors free of callers that hold connections",
    async () => {
      const descriptors = 800;
      await start({ workMs: 50, descriptors });
      const open = await connect(descriptors, "");
      await sleep(500);
      expect(open.size).toBeGreaterThan(50);
      expect(open.size).toBeLessThan(descriptors / 2);
      for (const socket of open) socket.destroy();
    },
    TEST_MS,
  );
});
