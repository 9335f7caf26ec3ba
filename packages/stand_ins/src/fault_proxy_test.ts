import { Buffer } from "node:buffer";
import { once } from "node:events";
import * as net from "node:net";
import { describe, expect, it } from "vitest";
import { FaultProxy } from "./fault_proxy.ts";

/** More than the buffers of the sockets hold. */
const LARGE_BYTES = 16_000_000;
const READ_PAUSE_MS = 5;

describe("FaultProxy", () => {
  it("forwards chunks in order when the delay becomes shorter", async () => {
    const received: string[] = [];
    const server = net.createServer((socket) =>
      socket.on("data", (chunk) => received.push(String(chunk)))
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as net.AddressInfo;
    const proxy = new FaultProxy({ host: "127.0.0.1", port });
    await proxy.listen();
    const client = net.connect({ host: "127.0.0.1", port: proxy.port });
    await once(client, "connect");
    while (proxy.openConnections === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    for (const [text, delayMs] of [["a", 60], ["b", 30], ["c", 0]] as const) {
      proxy.delayMs = delayMs;
      client.write(text);
      // Gives the proxy time to read this chunk before the next one is written.
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    while (received.join("").length < 3) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(received.join("")).toBe("abc");
    client.destroy();
    await proxy.close();
    server.close();
  });

  // Guards against answers that the proxy, and not a gateway, cuts for a slow reader.
  it.each(["ends", "destroys"] as const)(
    "delivers all that a server writes before it %s its connection",
    async (how) => {
      const server = net.createServer((socket) => {
        socket.on("error", () => {});
        socket.write(Buffer.alloc(LARGE_BYTES), () => {
          if (how === "ends") socket.end();
          else socket.destroy();
        });
      });
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      const { port } = server.address() as net.AddressInfo;
      const proxy = new FaultProxy({ host: "127.0.0.1", port });
      await proxy.listen();
      const client = net.connect({ host: "127.0.0.1", port: proxy.port });
      let bytes = 0;
      client.on("data", (chunk) => {
        bytes += chunk.length;
        client.pause();
        setTimeout(() => client.resume(), READ_PAUSE_MS);
      });
      await once(client, "close");
      expect(bytes).toBe(LARGE_BYTES);
      await proxy.close();
      server.close();
    },
  );
});
