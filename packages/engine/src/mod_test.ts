import * as net from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { sleep } from "@bitternfall/types";
import { type DecodeRequest, EngineClient } from "./mod.ts";

const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const STREAM = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

let server: net.Server;
let client: EngineClient;

/** Refuses its first request, and writes that refusal once more before another answer. */
beforeEach(async () => {
  let requests = 0;
  server = net.createServer((socket) => {
    let hasRefused = false;
    socket.on("error", () => {});
    socket.on("data", () => {
      if (++requests === 1) {
        hasRefused = true;
        socket.write(REFUSAL);
      } else socket.write(hasRefused ? REFUSAL + STREAM : STREAM);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  client = new EngineClient(`http://127.0.0.1:${port}`);
});
afterEach(async () => {
  await client.close();
  await new Promise((resolve) => server.close(resolve));
});

/** Starts a decode; returns how it ended. */
function decode(requestId: string): Promise<string> {
  const req: DecodeRequest = {
    requestId,
    attempt: 1,
    owner: "vm-1",
    kv: "k",
    source: "http://127.0.0.1:1",
    maxTokens: 1,
    fromOffset: 0,
    shape: "text",
  };
  return new Promise((resolve) =>
    client.decode(req, {
      onStart: () => {},
      onEvents: () => {},
      onClose: () => resolve("answered"),
      onError: (err) => resolve(err.detail.tag),
    })
  );
}

describe("EngineClient", () => {
  // Guards against a second run elsewhere of a request that an engine is running.
  it("takes no earlier refusal that is written again for the answer to a decode", async () => {
    expect(await decode("r1")).toBe("not_accepting");
    // Until the connection would be used again.
    await sleep(50);
    expect(await decode("r2")).toBe("answered");
  });
});
