/**
 * The operator adds a route of kind `stream` to a plain service. Its servers write an event
 * every 250 ms; the gateways hold all events back until the stream has ended, and the callers
 * have left by then.
 */
import * as http from "node:http";
import * as url from "node:url";
import { createConfig, HAS_TROUBLE, runCase } from "../lib-2/case.js";
import { createId, HOST, send } from "../lib-2/clients.js";
import { Gateways } from "../lib-2/gateways.js";
import { Server } from "../lib-2/servers.js";
import { sleep, Store } from "../lib-2/store.js";

const VMS = { "front-1": "127.0.0.2", "front-2": "127.0.0.3", "front-3": "127.0.0.4" };
const EVENT_MS = 250;
const EVENTS = 32;
const ROUNDS = 8;
const TARGET_MS = 900;
const GAP_AIM_MS = 300;
/** "Two seconds, four times the objective or eight times that pause, whichever is longest." */
const PATIENCE_MS = Math.max(2000, 4 * TARGET_MS, 8 * GAP_AIM_MS);
const EVENTS_MS = EVENT_MS * EVENTS;

const FIRST = { name: "first", path_prefix: "/first/", kind: "safe", service: "app" };
const ADDED = {
  name: "feed",
  path_prefix: "/feed/",
  kind: "stream",
  timeout_ms: 14_000,
  target_latency_ms: TARGET_MS,
  gap_aim_ms: GAP_AIM_MS,
  resumable: false,
  service: "feed",
};
const SERVICES = [{ name: "app" }, { name: "feed" }];

/** Reads a stream as clients do: leaves after a gap that is too long. */
function follow({ host, port, path, deadlineMs }) {
  const id = createId();
  const sentAt = Date.now();
  const result = { id, status: 0, events: 0, firstMs: undefined, end: "" };
  return new Promise((resolve) => {
    let gap;
    const finish = (end) => {
      clearTimeout(gap);
      clearTimeout(deadline);
      if (result.end === "") resolve(Object.assign(result, { end, ms: Date.now() - sentAt }));
    };
    const req = http.request({
      host,
      port,
      path,
      method: "GET",
      agent: false,
      headers: { "Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": String(deadlineMs) },
    }, (res) => {
      result.status = res.statusCode;
      res.setEncoding("utf8");
      res.on("data", (text) => {
        result.firstMs ??= Date.now() - sentAt;
        result.events += text.split("\n\n").length - 1;
        expectNext();
      });
      res.once("end", () => finish(res.complete ? "whole" : "cut"));
      res.on("error", () => finish("cut"));
    });
    const leave = (end) => {
      finish(end);
      req.destroy();
    };
    const expectNext = () => {
      clearTimeout(gap);
      gap = setTimeout(() => leave("left after a gap"), PATIENCE_MS);
    };
    const deadline = setTimeout(() => leave("left at the deadline"), deadlineMs);
    req.on("error", (err) => finish(err.message));
    req.end();
    expectNext();
  });
}

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), async ({ record, onEnd }) => {
  const store = new Store({ record });
  await store.open();
  onEnd(() => store.close());
  store.write("config", "main", createConfig(1, { routes: [FIRST], services: SERVICES }));
  const servers = [
    ...["app-1", "app-2"].map((id) => ({ id, service: "app" })),
    ...["feed-1", "feed-2", "feed-3"].map((id) => ({
      id,
      service: "feed",
      writesEvents: true,
      events: EVENTS,
      eventMs: EVENT_MS,
      slots: 32,
    })),
  ].map((options) => new Server({ store, record, ...options }));
  for (const server of servers) {
    await server.open();
    onEnd(() => server.close());
  }
  const gateways = new Gateways({
    storeAddress: `127.0.0.1:${store.port}`,
    record,
    hosts: VMS,
  });
  await gateways.prepare();
  onEnd(() => gateways.close());
  for (const name of Object.keys(VMS)) gateways.start(name);
  for (const name of Object.keys(VMS)) await gateways.whenReady(name);
  await sleep(3000);
  if (HAS_TROUBLE) {
    const config = createConfig(2, { routes: [FIRST, ADDED], services: SERVICES });
    const revision = store.write("config", "main", config);
    record(`operator: version 2 stored at revision ${revision}; it adds route ${ADDED.name}`);
  }
  await sleep(6000);
  const counts = { first: { sent: 0, served: 0 }, added: { sent: 0, served: 0 } };
  const port = gateways.ports.front;
  const askFirst = async (name, at) => {
    const { status } = await send({ host: VMS[name], port, path: `/first/${at}` });
    counts.first.sent++;
    if (status === 200) counts.first.served++;
  };
  const askAdded = async (name, at) => {
    const path = `/feed/${at}`;
    const result = await follow({ host: VMS[name], port, path, deadlineMs: 14_000 });
    const { id, status, events, firstMs, end, ms } = result;
    counts.added.sent++;
    if (end === "whole" && events === EVENTS) counts.added.served++;
    record(
      `client: GET ${path} ${id} by ${name}: ${status}, first event after ${
        firstMs ?? "-"
      } ms, ${events} events, ${end} after ${ms} ms`,
    );
  };
  const asked = [];
  for (let at = 0; at < ROUNDS; at++) {
    for (const name of Object.keys(VMS)) {
      asked.push(askFirst(name, at));
      if (HAS_TROUBLE) asked.push(askAdded(name, at));
      await sleep(200);
    }
  }
  await Promise.all(asked);
  record(`served: ${JSON.stringify(counts)}; a stream lasts ${EVENTS_MS} ms, patience ${PATIENCE_MS} ms`);
  const { first, added } = counts;
  if (first.served / first.sent < 0.9) throw new Error("the first route is not served");
  const isBroken = added.sent >= 20 &&
    added.served / added.sent < first.served / first.sent / 4;
  if (!isBroken) return [];
  return [
    `CONFIG: of ${added.sent} requests on a route that was added later ${added.served} are served, of ${first.sent} on the first route ${first.served}`,
  ];
});
