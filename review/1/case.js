import { Gateway, Link, runCase, sleep } from "../lib/fleet.js";
import { ModelServer } from "../lib/servers.js";
import { Store } from "../lib/store.js";

const SERVICE = "brief-llm";
const HEARTBEAT_MS = 1200;
const LEASE_KIND = "bitternfall-leases";
/** thaw_ms of the sheet. */
const THAW_MS = 300;
/** The longest cut of the site file is 12 s. */
const MAX_CUT_MS = 9000;
/** A new server counts after 2 s, a lease is free after 3 s, and an order takes 6 s. */
const SETTLE_MS = 11_500;
/** lease_ms of the sheet. */
const LEASE_MS = 3000;
/** Time in which both gateways order the server. */
const ORDERS_MS = 1500;
const TRIES = 5;
const ZONES = ["a", "b", "c", "d"];

const CONFIG = {
  version: 1,
  routes: [{
    name: "fit-check", host: "lm.example", path_prefix: "/brief/", kind: "stream", timeout_ms: 14000,
    target_latency_ms: 900, priority: 1, service: SERVICE, max_attempts: 2, sticky_sessions: true,
    resumable: true, gap_aim_ms: 300,
  }],
  services: [{
    name: SERVICE, health_path: "/healthz", max_connections: 150, protocol: "h1", tls: false,
    engine: {
      slots: 12, kv_capacity_tokens: 85_406, kv_token_bytes: 131072, link_mbps: 8800000, moves: true,
      backups: true, stride: 11, most: 12, handle_ttl_s: 0.5, stage_switch_s: 6, pin_ms: 4000,
      hold_ms: 2000, models: [{ name: "m" }],
    },
  }],
  limits: {
    max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000,
  },
};

await runCase(import.meta.dirname, async ({ record, temp, troubled, onEnd }) => {
  const store = new Store();
  await store.listen();
  onEnd(() => store.close());
  store.put("config", "main", CONFIG);

  const orders = [];
  let healedAt = -Infinity;
  const servers = new Map();
  const addServer = async (id, zone, stage) => {
    const server = new ModelServer({ id, service: SERVICE, zone, stage });
    // As the sheet of this site says: fencing_required false.
    server.fencingRequired = false;
    server.onOrder = (order) => {
      const isExcused = order.at < healedAt + THAW_MS;
      orders.push({ ...order, isExcused });
      record(`order to ${id}: ${order.stage} by ${order.holder} with fence ${order.fence}: ${order.status}`);
    };
    await server.listen();
    let sequence = 0;
    const beat = () => server.isGone || store.put("servers", id, server.entry(++sequence));
    server.onChange = beat;
    beat();
    const timer = setInterval(beat, HEARTBEAT_MS);
    onEnd(() => (clearInterval(timer), server.close()));
    servers.set(id, server);
    return server;
  };
  for (let n = 0; n < 8; n++) {
    await addServer(`i-${n}`, ZONES[n % 4], n >= 6 ? "prefill" : "decode");
  }
  const links = [];
  const gateways = [];
  for (const zone of ["a", "b"]) {
    const link = new Link();
    await link.listen();
    onEnd(() => link.close());
    links.push(link);
    const gateway = new Gateway({
      id: `front-${zone}-1`, zone, storePort: store.port, record, folder: temp,
      peerAddress: (port) => (link.target = port, `127.0.0.1:${link.port}`),
    });
    gateways.push(gateway);
    await gateway.start();
    onEnd(() => gateway.end());
  }
  for (const gateway of gateways) await gateway.whenReady();
  await sleep(5000);

  // Who writes and reads the lease: only a gateway that doesn't hold it reads it.
  let onLeaseCall = () => {};
  store.onCall = async ({ method, kind, body }) => {
    if (kind !== LEASE_KIND) return;
    onLeaseCall(method === "GET" ? undefined : body.spec.vm);
    if (method === "GET") return;
    record(`${method} lease: ${JSON.stringify(body.spec)} at revision ${body.metadata.revision}, ` +
      `stored ${store.get(LEASE_KIND, "roles").metadata.revision}`);
  };

  const countBroken = () => {
    let broken = 0;
    for (const [index, order] of orders.entries()) {
      const higher = orders.slice(0, index).find(({ server, fence }) =>
        server === order.server && fence > order.fence
      );
      if (higher === undefined || order.isExcused) continue;
      broken++;
      record(`${order.holder} orders ${order.server} with fence ${order.fence} after ` +
        `${higher.holder} has ordered it with fence ${higher.fence}`);
    }
    return broken;
  };

  let guests = [];
  for (let at = 1; at <= TRIES; at++) {
    // Two servers join, and one decode server is ordered to prefill, with no disruption.
    guests = [
      await addServer(`j-${2 * at}`, "b", "decode"),
      await addServer(`j-${2 * at + 1}`, "c", "decode"),
    ];
    await sleep(SETTLE_MS);
    const lease = store.get(LEASE_KIND, "roles").spec;
    const stages = [...servers.values()].filter((server) => !server.isGone)
      .map(({ id, stage }) => `${id} ${stage}`);
    record(`try ${at}; lease: ${JSON.stringify(lease)}; ${stages.join(", ")}`);
    const cutAt = performance.now();
    if (troubled) {
      record("the gateways are cut off from each other");
      for (const link of links) link.cut();
    }
    // Planned work begins about when the second gateway may take the lease over: after the
    // holder's first renewal of that time.
    let readFrom = Infinity;
    const isDue = () => performance.now() > readFrom + LEASE_MS - 300;
    await Promise.race([
      new Promise((resolve) =>
        onLeaseCall = (writer) => {
          if (writer === undefined && readFrom === Infinity) {
            readFrom = performance.now();
            record("a gateway that does not hold the lease begins to read it");
            setTimeout(resolve, LEASE_MS + 100);
          } else if (writer === lease.vm && isDue()) resolve();
        }
      ),
      sleep(troubled ? MAX_CUT_MS - ORDERS_MS : 3000),
    ]);
    onLeaseCall = () => {};
    // The two servers leave: the split from before fits better again.
    for (const server of guests) {
      server.isLeaving = true;
      server.onChange();
    }
    record("two servers drain");
    await sleep(ORDERS_MS);
    if (troubled) {
      for (const link of links) link.heal();
      healedAt = performance.now();
      record(`the cut is healed after ${Math.round(healedAt - cutAt)} ms`);
    }
    for (const server of guests) {
      server.isGone = true;
      store.remove("servers", server.id);
      server.close();
    }
    if (countBroken() > 0) return false;
  }
  return countBroken() === 0;
});
