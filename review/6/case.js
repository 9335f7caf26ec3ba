/**
 * Another program writes a few large entries among those of the servers. Each gateway that
 * reads them ends, with the requests that it serves, and ends again after each start.
 */
import * as http from "node:http";
import * as url from "node:url";
import { createConfig, HAS_TROUBLE, runCase } from "../lib-2/case.js";
import { createId, HOST } from "../lib-2/clients.js";
import { Gateways } from "../lib-2/gateways.js";
import { Server } from "../lib-2/servers.js";
import { sleep, Store } from "../lib-2/store.js";

const VMS = { "front-1": "127.0.0.2", "front-2": "127.0.0.3", "front-3": "127.0.0.4" };
/** Entries of the other program, and the time between two of them. */
const ENTRIES = 6;
const ENTRY_GAP_MS = 200;
/** Models in each of them, whose fields are all missing. */
const MODELS = 340_000;
const VALUE_BYTES = 1_048_576;
const CLIENTS_PER_VM = 8;
const WORK_MS = 300;
const CALM_MS = 5000;
const JUDGED_MS = 20_000;
const RESTART_AFTER_MS = 1000;

const CONFIG = createConfig(1, {
  routes: [{ name: "unsafe", path_prefix: "/unsafe/", service: "app" }],
  services: [{ name: "app" }],
});

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), async ({ record, onEnd }) => {
  const store = new Store({ record });
  await store.open();
  onEnd(() => store.close());
  store.write("config", "main", CONFIG);
  const servers = ["app-1", "app-2", "app-3"].map((id) =>
    new Server({ id, service: "app", slots: 32, work: () => WORK_MS, store, record })
  );
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
  let isOver = false;
  onEnd(() => gateways.close());
  onEnd(() => isOver = true);
  // "A process that exits or is killed is restarted after a short delay."
  const keepUp = async (name) => {
    while (!isOver) {
      gateways.start(name);
      await gateways.whenEnded(name);
      await sleep(RESTART_AFTER_MS);
    }
  };
  for (const name of Object.keys(VMS)) void keepUp(name);
  await sleep(100);
  for (const name of Object.keys(VMS)) await gateways.whenReady(name);
  await sleep(2000);

  const answers = [];
  /** One request on a kept connection. */
  const ask = (name, agent) =>
    new Promise((resolve) => {
      const id = createId();
      const sentAt = Date.now();
      const finish = (status, error) => {
        answers.push({ name, id, sentAt, endedAt: Date.now(), status, error });
        resolve();
      };
      const req = http.request({
        host: VMS[name],
        port: gateways.ports.front,
        path: "/unsafe/1",
        method: "POST",
        agent,
        timeout: 6000,
        headers: {
          "Host": HOST,
          "X-Request-Id": id,
          "X-Deadline-Ms": "4000",
          "Content-Length": 2,
        },
      }, (res) => {
        res.resume();
        res.once("end", () => finish(res.complete ? res.statusCode : 0));
        res.once("error", (err) => finish(0, err.code));
      });
      req.once("timeout", () => req.destroy());
      req.once("error", (err) => finish(0, err.code));
      req.end("{}");
    });
  const runClient = async (name) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver) {
      await ask(name, agent);
      if (answers.at(-1).status !== 200) await sleep(250);
    }
    agent.destroy();
  };
  const startedAt = Date.now();
  for (const name of Object.keys(VMS)) {
    for (let at = 0; at < CLIENTS_PER_VM; at++) void runClient(name);
  }
  await sleep(CALM_MS);
  if (answers.some(({ status }) => status !== 200)) throw new Error("no calm before");
  if (HAS_TROUBLE) {
    const models = `[${Array(MODELS).fill("{}").join(",")}]`;
    const bytes = JSON.stringify(servers[0].entry).length + models.length;
    if (bytes > VALUE_BYTES) throw new Error("an entry is larger than value_bytes");
    store.raw.set("models", models);
    for (let at = 1; at <= ENTRIES; at++) {
      const entry = { ...servers[0].entry, service: "inventory", models: "@raw:models" };
      const revision = store.write("servers", `inventory-${at}`, entry);
      record(`another program: servers/inventory-${at} of ${bytes} bytes stored at revision ${revision}`);
      await sleep(ENTRY_GAP_MS);
    }
  }
  await sleep(JUDGED_MS);
  isOver = true;

  const runIds = new Set(servers.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const broken = [];
  const lost = answers.filter(({ status, id }) => status === 0 && runIds.has(id));
  for (const { name, id, error } of lost) {
    record(`client: ${id} by ${name} was run and has no answer: ${error}`);
  }
  const late = answers.filter(({ sentAt }) => sentAt > startedAt + CALM_MS + 5000);
  const served = late.filter(({ status }) => status === 200).length;
  record(`answers: ${answers.length}; of ${late.length} sent in the last 15 s ${served} served`);
  if (lost.length > 3) {
    broken.push(
      `LOST: ${lost.length} requests on kept connections were passed on to sound servers, and their connections closed without an answer`,
    );
  }
  for (const name of Object.keys(VMS)) {
    const ends = gateways.exits.filter((exit) => exit.name === name);
    if (ends.length < 3) continue;
    broken.push(
      `Fault: ${name} ended by itself ${ends.length} times, with ${ends[0].signal ?? ends[0].code}`,
    );
  }
  return broken;
});
