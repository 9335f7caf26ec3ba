/**
 * Listens on loopback ports, also on one that was in use a moment ago.
 * @module
 */
import type * as net from "node:net";
import { once } from "node:events";

const RETRY_MS = 20;

/** Listens on a port of 127.0.0.1, 0 for a free one; waits while another socket uses it. */
export async function listenOnLoopback(
  server: net.Server,
  port: number,
): Promise<void> {
  for (;;) {
    server.listen(port, "127.0.0.1");
    try {
      await once(server, "listening");
      return;
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== "EADDRINUSE") throw err;
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }
}
