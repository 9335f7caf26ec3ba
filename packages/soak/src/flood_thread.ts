/**
 * Worker thread of a soak: a faulty plain and decode server with their callers, a faulty
 * object API, and faulty callers, each while an order lasts. Posts its {@link FloodPorts}.
 * @module
 */
import type * as http from "node:http";
import * as net from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import {
  CALLER_FLOODS,
  type CallerFlood,
  type Flood,
  FloodFront,
  SERVER_FLOODS,
  type ServerFlood,
  StagedServer,
  writeFlood,
} from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import {
  FLOODED_MODEL,
  FLOODED_SERVICE,
  type FloodOrder,
  type FloodPorts,
  type FloodThreadData,
} from "./soak_floods.ts";

const CALL_PAUSE_MS = 100;

const { storePort } = workerData as FloodThreadData;
const serverFloods = new Set<Flood>();
const storeFloods = new Set<Flood>();
const decode = new StagedServer({ id: "flooded-decode" });
const prefill = new StagedServer({ id: "flooded-prefill" });
prefill.role = "prefill";
await Promise.all([decode.listen(), prefill.listen()]);
const server = new FloodFront({
  port: decode.port,
  findFlood: ({ url = "" }: http.IncomingMessage) =>
    url.startsWith(`/${FLOODED_SERVICE}`) ? getLast(serverFloods) : undefined,
});
const store = new FloodFront({
  port: storePort,
  findFlood: () => getLast(storeFloods),
});
await Promise.all([server.listen(), store.listen()]);
parentPort!.on("message", (order: FloodOrder) => void run(order));
const ports: FloodPorts = {
  server: server.port,
  prefill: prefill.port,
  store: store.port,
};
parentPort!.postMessage(ports);

function getLast(floods: ReadonlySet<Flood>): Flood | undefined {
  return [...floods].at(-1);
}

async function run(order: FloodOrder): Promise<void> {
  if (order.peer === "caller") {
    const flood = CALLER_FLOODS[order.kind as CallerFlood];
    return await callAgain(
      order,
      (socket, id) => void writeFlood(socket, flood, { id }),
    );
  }
  const isServer = order.peer === "server";
  const [front, floods] = isServer
    ? [server, serverFloods] as const
    : [store, storeFloods] as const;
  // A copy, since several orders may name the same flood.
  const flood = { ...SERVER_FLOODS[order.kind as ServerFlood] };
  floods.add(flood);
  if (isServer) await callAgain(order, sendRequest);
  else await sleep(order.durationMs);
  floods.delete(flood);
  front.closeConnections();
}

/** Has callers connect again and again for as long as the order lasts. */
async function callAgain(
  { port, calls, durationMs }: FloodOrder,
  send: (socket: net.Socket, id: string) => void,
): Promise<void> {
  const endAt = performance.now() + durationMs;
  const call = async (index: number) => {
    while (performance.now() < endAt) {
      const socket = net.connect(port, "127.0.0.1");
      const timer = setTimeout(
        () => socket.destroy(),
        endAt - performance.now(),
      );
      socket.on("error", () => {});
      socket.resume();
      send(socket, `flood-${index}-${Math.round(performance.now())}`);
      await new Promise((resolve) => socket.once("close", resolve));
      clearTimeout(timer);
      await sleep(CALL_PAUSE_MS);
    }
  };
  await Promise.all(Array.from({ length: calls }, (_, index) => call(index)));
}

function sendRequest(socket: net.Socket, id: string): void {
  const isModel = Number(id.split("-")[1]) % 2 === 1;
  const service = isModel ? FLOODED_MODEL : FLOODED_SERVICE;
  const tokens = isModel ? "bitternfall-tokens: 1000,100,50\r\n" : "";
  socket.write(
    `POST /${service}/x HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n` +
      `bitternfall-request-id: ${id}\r\n${tokens}content-length: 5\r\n\r\nsmall`,
  );
}
