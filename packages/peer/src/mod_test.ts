import * as http from "node:http";
import * as net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as fc from "fast-check";
import { FaultProxy } from "@bitternfall/stand-ins";
import { MemberState } from "@bitternfall/types";
import { WebSocket } from "ws";
import {
  type Handlers,
  type Method,
  METHODS,
  PeerLink,
  PeerServer,
  type Traffic,
} from "./mod.ts";

const KEY = "a-key-between-peers";
const closers: (() => unknown)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

interface TestPeer {
  readonly server: http.Server;
  readonly port: number;
  readonly refused: string[];
  readonly calls: string[];
}

async function startPeer(handlers: Partial<Handlers> = {}): Promise<TestPeer> {
  const refused: string[] = [];
  const calls: string[] = [];
  const server = http.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const allHandlers = {
    beat: () => ["vm-2", 7, MemberState.Ready, 3],
    witness: ([vm]: [string]) => {
      calls.push(vm);
      return true;
    },
    ...handlers,
  } as unknown as Handlers;
  const traffic: Traffic = { sent: 0, received: 0, messages: 0 };
  const peer = new PeerServer({
    server,
    key: KEY,
    handlers: allHandlers,
    traffic,
    onRefused: (why) => refused.push(why),
  });
  closers.push(() => server.close(), () => peer.close());
  const { port } = server.address() as net.AddressInfo;
  return { server, port, refused, calls };
}

function startLink(
  port: number,
  options: { key?: string; events: string[] },
): PeerLink {
  const { key = KEY, events } = options;
  const link = new PeerLink({
    vmId: "vm-2",
    address: `127.0.0.1:${port}`,
    key,
    heartbeatMs: 100,
    heartbeatTimeoutMs: 150,
    getHeartbeat: () => ["vm-1", 1, MemberState.Ready, 0],
    traffic: { sent: 0, received: 0, messages: 0 },
    listener: {
      onHeartbeat: () => events.push("beat"),
      onSuspect: () => events.push("suspect"),
      onUnreachable: () => events.push("unreachable"),
    },
  });
  closers.push(() => link.close());
  void link.run();
  return link;
}

describe("PeerLink", () => {
  it("replaces a connection that went silent and carries calls again", async () => {
    const peer = await startPeer();
    const proxy = new FaultProxy({ host: "127.0.0.1", port: peer.port });
    await proxy.listen();
    closers.push(() => proxy.close());
    const events: string[] = [];
    const link = startLink(proxy.port, { events });
    await expect.poll(() => events).toContain("beat");
    proxy.silenceConnections();
    await expect.poll(() => events).toContain("suspect");
    await expect.poll(() => events.slice(events.lastIndexOf("suspect")))
      .toContain("beat");
    expect(events).not.toContain("unreachable");
    expect(await link.call("witness", ["vm-3"])).toBe(true);
  });

  it("reports a lost call differently from a call that was never sent", async () => {
    const peer = await startPeer({ witness: () => new Promise(() => {}) });
    const events: string[] = [];
    const link = startLink(peer.port, { events });
    await expect(link.call("witness", ["vm-3"])).rejects.toMatchObject({
      detail: { tag: "unreachable" },
    });
    await expect.poll(() => events).toContain("beat");
    await expect(link.call("witness", ["vm-3"], { timeoutMs: 50 })).rejects
      .toMatchObject({ detail: { tag: "lost" } });
  });

  // Guards against a caller that can't tell a peer of an older version from a failed call.
  it("tells parameters that the peer rejects from other errors", async () => {
    const fail = () => {
      throw new Error("failed");
    };
    const peer = await startPeer({ witness: fail });
    const events: string[] = [];
    const link = startLink(peer.port, { events });
    await expect.poll(() => events).toContain("beat");
    await expect(link.call("witness", ["vm-3", 1] as unknown as [string]))
      .rejects.toMatchObject({ detail: { tag: "rejected_params" } });
    await expect(link.call("witness", ["vm-3"]))
      .rejects.toMatchObject({ detail: { tag: "refused" } });
  });

  it("is refused when its key is wrong", async () => {
    const peer = await startPeer();
    const events: string[] = [];
    startLink(peer.port, { key: "wrong", events });
    await expect.poll(() => events).toContain("unreachable");
    expect(peer.refused).toContain("wrong peer key");
  });
});

describe("PeerServer", () => {
  async function connect(port: number): Promise<WebSocket> {
    const ws = new WebSocket(`ws://127.0.0.1:${port}`, {
      headers: { authorization: `Bearer ${KEY}` },
    });
    closers.push(() => ws.terminate());
    await new Promise((resolve) => ws.once("open", resolve));
    return ws;
  }

  /** Sends a request to upgrade with a wrong key; resolves with both ends. */
  async function connectRefused(
    peer: TestPeer,
  ): Promise<{ client: net.Socket; socket: net.Socket }> {
    const refused = new Promise<net.Socket>((resolve) =>
      peer.server.on("upgrade", (_req, socket: net.Socket) => resolve(socket))
    );
    const client = net.connect(
      { port: peer.port, host: "127.0.0.1", allowHalfOpen: true },
    );
    closers.push(() => client.destroy());
    client.on("error", () => {});
    client.write(
      "GET / HTTP/1.1\r\nHost: vm\r\nConnection: Upgrade\r\n" +
        "Upgrade: websocket\r\nAuthorization: Bearer wrong\r\n\r\n",
    );
    return { client, socket: await refused };
  }

  // Guards against a process that ends with an unhandled `error` event.
  it("survives a reset of a connection whose key it has refused", async () => {
    const peer = await startPeer();
    const { client, socket } = await connectRefused(peer);
    expect(socket.listenerCount("error")).toBeGreaterThan(0);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    client.resetAndDestroy();
    await closed;
    expect(peer.refused).toEqual(["wrong peer key"]);
  });

  // Guards against descriptors that refused connections use up.
  it("closes a connection whose key it has refused, though its peer does not", async () => {
    const { socket } = await connectRefused(await startPeer());
    if (!socket.closed) {
      await new Promise((resolve) => socket.once("close", resolve));
    }
    expect(socket.destroyed).toBe(true);
  });

  it("answers malformed parameters with an error and keeps serving the connection", async () => {
    const peer = await startPeer();
    const ws = await connect(peer.port);
    const responses: string[] = [];
    ws.on("message", (data) => responses.push(String(data)));
    ws.send(
      JSON.stringify({ jsonrpc: "2.0", id: 1, method: "witness", params: [5] }),
    );
    ws.send(
      JSON.stringify({ jsonrpc: "2.0", id: 2, method: "nothing", params: [] }),
    );
    ws.send(
      JSON.stringify({
        jsonrpc: "2.0",
        id: 3,
        method: "witness",
        params: ["vm-9"],
      }),
    );
    await expect.poll(() => responses.length).toBe(3);
    expect(peer.calls).toEqual(["vm-9"]);
    expect(peer.refused).toEqual(["malformed parameters of witness"]);
  });

  it("keeps serving calls after arbitrary messages", async () => {
    const peer = await startPeer();
    for (
      const text of fc.sample(fc.oneof(fc.string(), fc.json()), {
        seed: 1,
        numRuns: 60,
      })
    ) {
      const ws = await connect(peer.port);
      ws.on("error", () => {});
      ws.send(text);
    }
    const ws = await connect(peer.port);
    const response = new Promise((resolve) =>
      ws.once("message", (data) => resolve(String(data)))
    );
    ws.send(
      JSON.stringify({
        jsonrpc: "2.0",
        id: 3,
        method: "witness",
        params: ["vm-9"],
      }),
    );
    expect(await response).toContain('"result":true');
  });
});

describe("METHODS", () => {
  // Guards against one item of another build by which all that a message says is lost.
  it("leaves out the malformed items of lists of evidence and streams", () => {
    const report = ["s1@1", "r1", ""];
    const verdict = ["v1", "", "", 0];
    const bad = [null, ["s1@1"], [...report, "new"], [7, "r1", ""]];
    const crashes = METHODS["crashes.push"].params.safeParse(
      ["app", [...bad, report], [...bad, verdict], ""],
    );
    expect(crashes.data).toEqual(["app", [report], [verdict], ""]);
    const streams = METHODS["streams.begun"].params.safeParse(
      ["app", [...bad.slice(0, 2), ["s1", "v1", ""]]],
    );
    expect(streams.data).toEqual(["app", [["s1", "v1", ""]]]);
  });

  // Guards against VMs that refuse each other's heartbeats where an API counts in microseconds.
  it("takes revisions of any size in heartbeats and pulls", () => {
    const revision = 4 * 1_796_688_768_886_000;
    for (const method of ["beat", "objects.pull"] as const) {
      const params = method === "beat"
        ? ["vm-1", 1, "ready", revision]
        : [[["servers/", revision]]];
      expect(METHODS[method].params.safeParse(params).data).toEqual(params);
    }
  });

  it("validates arbitrary parameters and results without throwing", () => {
    const methods = fc.constantFrom(...Object.keys(METHODS) as Method[]);
    fc.assert(
      fc.property(methods, fc.jsonValue(), (method, params) => {
        METHODS[method].params.safeParse(params);
        METHODS[method].result.safeParse(params);
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
