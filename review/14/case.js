// A configuration that adds a tenant with an accent in its name never comes into force, with all else
// that it changes.
import http from "node:http";
import { makeConfig, sleep } from "../lib-3/servers.js";
import { BROKEN, HELD, Trial } from "../lib-3/trial.js";

const GATEWAYS = 3;
const STABLE_WINDOW_MS = 4000;
const CONFIG_APPLY_MS = 3000;
const ROUNDS = 10;
const HOST = "h.example";
const OLD_KEY = "k-5f1e07a2";
const NEW_KEY = "k-91bd3f06";
let nextId = 0x1000;

function send(gateway, { path, key }) {
  const id = (nextId++).toString(16).padStart(16, "0");
  return new Promise((resolve) => {
    const req = http.request({
      host: gateway.host,
      port: gateway.port,
      path: path + id,
      agent: false,
      headers: {
        host: HOST,
        "x-request-id": id,
        "x-deadline-ms": "2500",
        authorization: `Token ${key}`,
      },
    }, (res) => {
      res.resume();
      const isSealed = "x-response-seal" in res.headers;
      res.on("close", () => resolve({ id, status: res.statusCode, isSealed }));
    });
    req.on("error", (err) => resolve({ id, status: err.code }));
    req.end();
  });
}

await new Trial(import.meta.dirname).run(async (trial) => {
  const { store, hasTrouble } = trial;
  const configure = (version, { prefixes, tenants }) => {
    const revision = store.set("config", "main", makeConfig({
      version,
      routes: prefixes.map((path_prefix) => ({
        path_prefix,
        kind: "safe",
        service: "app",
        max_attempts: 2,
        timeout_ms: 2000,
      })),
      services: [{ name: "app" }],
      tenants: tenants.map((tenant) => ({ unit: "tokens", plain_tokens: 1, ...tenant })),
    }));
    const names = tenants.map(({ name }) => `"${name}"`).join(" ");
    trial.note(`version ${version} is acknowledged at revision ${revision}: ${prefixes.join(" ")}; ${names}`);
  };
  const oldTenant = { name: "Oficina Chapinero", api_keys: [OLD_KEY] };
  const newTenant = {
    name: hasTrouble ? "Oficina Engativá" : "Oficina Engativa",
    api_keys: [NEW_KEY],
  };
  configure(1, { prefixes: ["/first/"], tenants: [oldTenant] });
  for (const id of ["a1", "a2", "a3"]) await trial.addServer({ id, service: "app" });
  const bounds = { quota_window_s: 8, quota_over: 0.1, quota_slack: 190_000 };
  for (let i = 1; i <= GATEWAYS; i++) await trial.addGateway(`front-${i}`, { bounds });
  for (const gateway of trial.gateways) {
    await trial.until(`${gateway.name} is ready`, () => gateway.isReady());
  }
  await sleep(STABLE_WINDOW_MS);
  configure(2, { prefixes: ["/first/", "/second/"], tenants: [oldTenant, newTenant] });
  await sleep(CONFIG_APPLY_MS + 1000);

  const refused = new Map();
  const kinds = [
    { path: "/first/", key: OLD_KEY, what: "the old route, a key of the old tenant" },
    { path: "/second/", key: OLD_KEY, what: "the new route, a key of the old tenant" },
    { path: "/first/", key: NEW_KEY, what: "the old route, a key of the new tenant" },
  ];
  for (let round = 0; round < ROUNDS; round++) {
    for (const gateway of trial.gateways) {
      for (const { what, ...request } of kinds) {
        const { id, status, isSealed } = await send(gateway, request);
        const who = isSealed ? "a server's" : "the machine's own";
        trial.note(`request ${id} to ${gateway.name}, ${what}: ${status}, ${who}`);
        if (isSealed || (status !== 404 && status !== 401)) continue;
        const key = `${status}, ${what}`;
        refused.set(key, (refused.get(key) ?? 0) + 1);
      }
    }
    await sleep(1000);
  }
  for (const [key, count] of refused) trial.note(`${count} of ${ROUNDS * GATEWAYS}: ${key}`);
  for (const { runs } of trial.servers) {
    const tenants = new Set(runs.map(({ headers }) => headers["x-tenant"]));
    trial.note(`X-Tenant at a server: ${[...tenants].map((name) => `"${name}"`).join(" ")}`);
  }
  return refused.size > 0 ? BROKEN : HELD;
});
