import * as net from "node:net";
import { once } from "node:events";
import { afterEach, expect, it } from "vitest";
import {
  CALLER_FLOODS,
  CallerFlood,
  type Flood,
  SERVER_FLOODS,
  ServerFlood,
  STORE_FLOODS,
  StoreFlood,
  writeFlood,
} from "./floods.ts";
import { listenOnLoopback } from "./loopback.ts";

const server = net.createServer();
afterEach(() => void server.close());

/** Reads what a flood sends, up to `maxBytes`. */
async function read(flood: Flood, maxBytes = Infinity): Promise<string> {
  await listenOnLoopback(server, 0);
  const accepted = once(server, "connection") as Promise<[net.Socket]>;
  const { port } = server.address() as net.AddressInfo;
  const reader = net.connect(port, "127.0.0.1").setEncoding("latin1");
  const [writer] = await accepted;
  void writeFlood(writer, flood, { id: "r1" }).then(() => writer.end());
  let text = "";
  for await (const chunk of reader) {
    text += chunk;
    if (text.length > maxBytes) break;
  }
  return text;
}

// Guards against a body in chunks that stays an unfinished request.
it("a flood of a number of units is written to its end", async () => {
  const text = await read(CALLER_FLOODS[CallerFlood.ShortOneByteChunks]);
  const body = text.slice(text.indexOf("\r\n\r\n") + 4);
  expect(body).toBe(`${"1\r\na\r\n".repeat(200_000)}0\r\n\r\n`);
  expect(text).toContain("\r\nbitternfall-request-id: r1\r\n");
});

// Guards against deep JSON that fails to parse for another reason than its depth.
it("deep JSON is as long as its head says", async () => {
  const text = await read(STORE_FLOODS[StoreFlood.DeepJson]);
  const bodyBytes = text.length - text.indexOf("\r\n\r\n") - 4;
  expect(text).toContain(`content-length: ${bodyBytes}\r\n`);
  expect(text.endsWith("[]".padEnd(500_001, "]"))).toBe(true);
});

// Guards against events that a gateway drops as ones that it has passed on.
it("tiny events have increasing ids", async () => {
  const flood = SERVER_FLOODS[ServerFlood.TinyEvents];
  const text = await read(flood, 1_000_000);
  const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  expect(ids.length).toBeGreaterThan(10_000);
  expect(ids.slice(0, 10_000)).toEqual(
    Array.from({ length: 10_000 }, (_, index) => index + 1),
  );
});
