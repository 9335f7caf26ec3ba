/**
 * The operator adds routes to a new service. Its servers name the digest of an image as the
 * version of their software, which has 71 characters.
 */
import * as crypto from "node:crypto";
import * as url from "node:url";
import { createConfig, HAS_TROUBLE, runCase } from "../lib-2/case.js";
import { send } from "../lib-2/clients.js";
import { Gateways } from "../lib-2/gateways.js";
import { Server } from "../lib-2/servers.js";
import { sleep, Store } from "../lib-2/store.js";

const VMS = { "front-1": "127.0.0.2", "front-2": "127.0.0.3", "front-3": "127.0.0.4" };
/** With another value the rule holds, as with VERSION=v2. */
const NEW_VERSION = process.env.VERSION ??
  `sha256:${crypto.createHash("sha256").update("image").digest("hex")}`;
/** Requests to each route at each machine; the rule asks for 20 in all. */
const REQUESTS = 20;

const ROUTE = { kind: "safe", max_attempts: 2, timeout_ms: 2000 };
const FIRST_ROUTES = [{ ...ROUTE, name: "first", path_prefix: "/first/", service: "app" }];
const ADDED_ROUTES = [
  { ...ROUTE, name: "added-1", path_prefix: "/added-1/", service: "app-2" },
  { ...ROUTE, name: "added-2", path_prefix: "/added-2/", service: "app-2" },
];

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), async ({ record, onEnd }) => {
  const store = new Store({ record });
  await store.open();
  onEnd(() => store.close());
  const services = [{ name: "app" }, { name: "app-2" }];
  store.write("config", "main", createConfig(1, { routes: FIRST_ROUTES, services }));
  const servers = [
    ...["app-1", "app-2"].map((id) => ({ id, service: "app", version: "v1" })),
    ...["new-1", "new-2"].map((id) => ({ id, service: "app-2", version: NEW_VERSION })),
  ].map((options) => new Server({ ...options, store, record }));
  for (const server of servers) {
    await server.open();
    onEnd(() => server.close());
    record(`server ${server.id}: runs version ${server.version}`);
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
    const routes = [...FIRST_ROUTES, ...ADDED_ROUTES];
    const revision = store.write("config", "main", createConfig(2, { routes, services }));
    record(`operator: version 2 stored at revision ${revision}`);
  }
  await sleep(6000);

  const asked = HAS_TROUBLE ? [...FIRST_ROUTES, ...ADDED_ROUTES] : FIRST_ROUTES;
  const counts = { first: { sent: 0, served: 0 }, added: { sent: 0, served: 0 } };
  for (let at = 0; at < REQUESTS; at++) {
    for (const name of Object.keys(VMS)) {
      for (const { path_prefix } of asked) {
        const path = `${path_prefix}${at}`;
        const { status, id, body, ms } = await send({
          host: VMS[name],
          port: gateways.ports.front,
          path,
        });
        const count = path.startsWith("/first/") ? counts.first : counts.added;
        count.sent++;
        if (status === 200) count.served++;
        record(`client: GET ${path} ${id} by ${name}: ${status} after ${ms} ms ${body.trim()}`);
      }
    }
  }
  record(`served: ${JSON.stringify(counts)}`);
  const { first, added } = counts;
  if (first.served / first.sent < 0.9) throw new Error("the first routes are not served");
  const isBroken = added.sent >= 20 &&
    added.served / added.sent < first.served / first.sent / 4;
  if (!isBroken) return [];
  return [
    `CONFIG: of ${added.sent} requests on routes that were added later ${added.served} are served, of ${first.sent} on the first route ${first.served}`,
  ];
});
