/**
 * All servers of a plain service crash at once while callers ask them for the same page. Until
 * a server is back, and for a while after, callers get 400 instead of 503.
 */
import * as url from "node:url";
import { createConfig, HAS_TROUBLE, runCase } from "../lib-2/case.js";
import { send } from "../lib-2/clients.js";
import { Gateways } from "../lib-2/gateways.js";
import { Server } from "../lib-2/servers.js";
import { sleep, Store } from "../lib-2/store.js";

const VMS = { "front-1": "127.0.0.2", "front-2": "127.0.0.3", "front-3": "127.0.0.4" };
/** As the site file has it for this kind. */
const DOWN_MS = 4500;
/** Requests a second for the same page, over all machines; the sheet has 48.9 of the service, at calm times. */
const REQUESTS_PER_S = 100;
const WORK_MS = 85;
const PLAY_MS = 20_000;
const CRASH_AT_MS = 6000;

const CONFIG = createConfig(1, {
  routes: [{
    name: "slot-check",
    path_prefix: "/slots/",
    kind: "safe",
    max_attempts: 2,
    timeout_ms: 2000,
    target_latency_ms: 386,
    service: "app",
  }],
  services: [{ name: "app", max_connections: 100 }],
});

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), async ({ record, onEnd }) => {
  const store = new Store({ record });
  await store.open();
  onEnd(() => store.close());
  store.write("config", "main", CONFIG);
  const servers = [];
  const startServers = async (generation) => {
    for (const at of [1, 2, 3]) {
      const server = new Server({
        id: `app-${at}-${generation}`,
        service: "app",
        store,
        record,
        work: () => WORK_MS,
      });
      servers.push(server);
      await server.open();
      onEnd(() => server.close());
    }
  };
  await startServers(1);
  const gateways = new Gateways({
    storeAddress: `127.0.0.1:${store.port}`,
    record,
    hosts: VMS,
  });
  await gateways.prepare();
  onEnd(() => gateways.close());
  for (const name of Object.keys(VMS)) gateways.start(name);
  for (const name of Object.keys(VMS)) await gateways.whenReady(name);
  await sleep(2000);

  const answers = [];
  const startedAt = Date.now();
  const ask = async (name) => {
    const answer = await send({
      host: VMS[name],
      port: gateways.ports.front,
      path: "/slots/today",
      deadlineMs: 4000,
    });
    answers.push({ ...answer, name });
    record(
      `client: GET /slots/today ${answer.id} by ${name}: ${answer.status || answer.error} after ${answer.ms} ms${
        answer.status === 200 ? "" : ` ${answer.body.trim()} retry-after ${answer.headers["retry-after"]}`
      }`,
    );
  };
  const crash = async () => {
    await sleep(CRASH_AT_MS);
    if (!HAS_TROUBLE) return;
    for (const server of servers) server.crash();
    // Their entries go after three heartbeat intervals of silence.
    setTimeout(() => {
      for (const { id } of servers) if (id.endsWith("-1")) store.remove("servers", id);
    }, 3600);
    await sleep(DOWN_MS);
    await startServers(2);
  };
  const crashed = crash();
  const asked = [];
  const names = Object.keys(VMS);
  for (let at = 0; at * 1000 / REQUESTS_PER_S < PLAY_MS; at++) {
    await sleep(Math.max(0, startedAt + at * 1000 / REQUESTS_PER_S - Date.now()));
    asked.push(ask(names[at % names.length]));
  }
  await Promise.all([...asked, crashed]);
  const refused = answers.filter(({ status }) => status >= 300 && status < 500 && ![408, 421, 429].includes(status));
  const allowed = 5 + answers.length / 500;
  const counts = {};
  for (const { status } of answers) counts[status] = (counts[status] ?? 0) + 1;
  record(`answers: ${JSON.stringify(counts)}; allowed by DENIED: ${allowed}`);
  if (refused.length <= allowed) return [];
  return [
    `DENIED: ${refused.length} of ${answers.length} proper requests got a 4xx of a gateway, first ${refused[0].id} by ${refused[0].name}: ${refused[0].body.trim()}`,
  ];
});
