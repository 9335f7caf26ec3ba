/**
 * The store comes back from a copy, and the operator's next configuration gets a revision that
 * the gateways believe to have seen.
 */
import * as url from "node:url";
import { createConfig, ENGINE, HAS_TROUBLE, runCase } from "../lib-2/case.js";
import { send } from "../lib-2/clients.js";
import { BOUNDS, Gateways } from "../lib-2/gateways.js";
import { Server } from "../lib-2/servers.js";
import { sleep, Store } from "../lib-2/store.js";

const VMS = { "front-1": "127.0.0.2", "front-2": "127.0.0.3", "front-3": "127.0.0.4" };
/** "Some seconds old", and "away for a moment". */
const COPY_AGE_MS = 5000;
const AWAY_MS = 1000;
/** Routes that the configuration adds; each is also an object of its own. */
const ADDED_ROUTES = 12;

const SERVICES = [
  { name: "app-old" },
  { name: "app-new" },
  { name: "lm", engine: ENGINE },
];

function listRoutes(version) {
  const routes = [
    { name: "moved", path_prefix: "/moved/", service: version === 1 ? "app-old" : "app-new" },
    { name: "same", path_prefix: "/same/", service: "app-old" },
    {
      name: "notes",
      path_prefix: "/notes/",
      kind: "stream",
      timeout_ms: 14_000,
      target_latency_ms: 900,
      gap_aim_ms: 300,
      sticky_sessions: true,
      service: "lm",
    },
  ];
  for (let at = 1; version > 1 && at <= ADDED_ROUTES; at++) {
    routes.push({ name: `added-${at}`, path_prefix: `/added-${at}/`, service: "app-new" });
  }
  return routes;
}

/** Writes a configuration as the operator does, again and again until all is stored. */
async function applyConfig(store, version, record) {
  const config = createConfig(version, { routes: listRoutes(version), services: SERVICES });
  const objects = [
    ["config", "main", config],
    ...config.routes.map((route) => ["routes", route.name, route]),
    ...config.services.map((service) => ["services", service.name, service]),
  ];
  let acknowledgedAt;
  for (const [kind, name, spec] of objects) {
    for (;;) {
      const revision = store.write(kind, name, spec);
      if (revision !== undefined) {
        if (kind === "config") {
          acknowledgedAt = Date.now();
          record(`operator: version ${version} stored as config/main at revision ${revision}`);
        }
        break;
      }
      await sleep(20);
    }
    await sleep(4);
  }
  record(`operator: all of version ${version} stored, the store is at revision ${store.revision}`);
  return acknowledgedAt;
}

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), async ({ record, onEnd }) => {
  const store = new Store({ record });
  await store.open();
  onEnd(() => store.close());
  await applyConfig(store, 1, record);
  const servers = [
    ...["old-1", "old-2"].map((id) => new Server({ id, service: "app-old", store, record })),
    ...["new-1", "new-2"].map((id) => new Server({ id, service: "app-new", store, record })),
    new Server({ id: "lm-1", service: "lm", stage: "prefill", store, record }),
    new Server({ id: "lm-2", service: "lm", stage: "decode", store, record }),
  ];
  for (const server of servers) {
    await server.open();
    Server.byAddress.set(`${server.host}:${server.port}`, server);
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
  await sleep(10_000);

  const ask = async (name, path) => {
    const result = await send({
      host: VMS[name],
      port: gateways.ports.front,
      path,
      method: "POST",
      body: "{}",
    });
    const by = result.body.split(" ")[0];
    record(
      `client: POST ${path} ${result.id} by ${name}: ${result.status} ${
        result.status === 200 ? `run by ${by}` : result.body.trim()
      }`,
    );
    return { ...result, name, by };
  };
  for (const name of Object.keys(VMS)) {
    const first = await ask(name, "/moved/1");
    if (first.by !== "app-old") throw new Error("version 1 is not in force");
  }

  let applied;
  if (HAS_TROUBLE) {
    record("store: goes down");
    store.goDown();
    const takenAt = Date.now() - COPY_AGE_MS;
    // The operator's write is not accepted before the store is back.
    applied = applyConfig(store, 2, record);
    await sleep(AWAY_MS);
    const lost = store.restoreCopyOf(takenAt);
    const own = lost.filter(({ kind }) => !kind.startsWith("bitternfall"));
    if (own.length > 0) throw new Error("a write of operator or servers was lost");
    store.recordsWatches = true;
    store.goUp();
    record("store: is back");
    setTimeout(() => store.recordsWatches = false, 2000);
  } else applied = applyConfig(store, 2, record);
  const acknowledgedAt = await applied;

  // The store is calm again after stable_window_ms; from then on each bound holds in full.
  const boundMs = BOUNDS.stable_window_ms + BOUNDS.config_apply_ms + BOUNDS.max_skew_ms;
  await sleep(Math.max(0, acknowledgedAt + boundMs + 1000 - Date.now()));
  const broken = [];
  for (let round = 0; round < 8; round++) {
    for (const name of Object.keys(VMS)) {
      for (const path of ["/moved/2", "/added-1/2"]) {
        const { status, by, sentAt, id } = await ask(name, path);
        const afterMs = sentAt - acknowledgedAt;
        const isOld = status === 404 || by === "app-old";
        if (!isOld) continue;
        broken.push(
          `CONFIG: ${id}, sent ${afterMs} ms after version 2 was acknowledged, is handled by ${name} as version 1 says: ${
            status === 404 ? `${path} gets 404` : `${path} run by ${by}`
          }`,
        );
      }
    }
    await sleep(1000);
  }
  return broken;
});
