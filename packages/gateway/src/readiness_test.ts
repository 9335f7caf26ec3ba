import { once } from "node:events";
import * as net from "node:net";
import { expect, it } from "vitest";
import { MAX_PROBE_CONNECTIONS } from "./descriptor_limits.ts";
import { createReadyListener } from "./readiness.ts";

// Guards against a ready VM that is taken out since its prober keeps connections open.
it("answers a prober that leaves each of its connections open", async () => {
  const address = { host: "127.0.0.1", port: 0 };
  const listener = createReadyListener(address, () => true);
  const port = await listener.listen();
  for (let probe = 0; probe < 2 * MAX_PROBE_CONNECTIONS; probe++) {
    const socket = net.connect({ host: "127.0.0.1", port });
    socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    const [response] = await once(socket, "data");
    expect(String(response)).toMatch(/^HTTP\/1.1 200 /);
  }
  await listener.close();
});
