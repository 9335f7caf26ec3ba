// Stand-ins of servers, by PROTOCOL.md: plain ones and model servers with a stage. Each keeps a
// ledger of what it ran.
import http from "node:http";

let nextSeal = 1;

export class Server {
  /** {id, method, path, body, at, lastEventId, headers} of each request that began to run. */
  runs = [];
  /** Every request with an id that arrived. */
  arrivals = [];
  state = "ready";
  /** Orders that arrived, with the status that each got. */
  orders = [];
  highestFence = 0;
  #isSwitching = false;
  sequence = 0;
  ordersAccepted = 0;
  #server;
  #sockets = new Set();
  #handles = new Map();
  #running = 0;

  constructor(options) {
    Object.assign(this, {
      zone: "z-a",
      version: "v1",
      born: undefined,
      slots: 16,
      workMs: 20,
      events: 20,
      eventMs: 20,
      prefillMs: 20,
      stage: undefined,
      handleMs: 500,
      switchMs: 6000,
      behave: undefined,
      // Paths of requests that a model server answers as a whole, and not as a series of events.
      wholePrefix: undefined,
      peers: [],
      ...options,
    });
  }

  async listen(host = "127.0.0.1", port = 0) {
    this.host = host;
    this.#server = http.createServer((req, res) => void this.#handle(req, res));
    this.#server.keepAliveTimeout = 5000;
    // Node.js would drop the headers beyond the first 1000.
    this.#server.maxHeadersCount = 0;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
    this.port = this.#server.address().port;
    this.address = `${host}:${this.port}`;
  }

  /** Its entry in the store. */
  get entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      ...(this.born === undefined ? {} : { born: this.born }),
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      ...(this.stage === undefined ? {} : { stage: this.stage, models: [{ name: "m", version: 1, adapters: [] }] }),
      sequence: ++this.sequence,
    };
  }

  /** Ends like a crash: all connections are reset. */
  crash() {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  get load() {
    return `${this.#running},0,${this.slots}`;
  }

  async #handle(req, res) {
    const { headers } = req;
    res.on("error", () => {});
    const chunks = [];
    req.on("error", () => {});
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    const json = (status, value, extra = {}) => {
      if (res.destroyed) return;
      const bytes = Buffer.from(JSON.stringify(value));
      res.writeHead(status, { "content-type": "application/json", "content-length": bytes.length, ...extra });
      res.end(bytes);
    };
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return json(421, {}, { "x-instance-id": this.id });
    }
    if (req.url === "/report") {
      return json(200, {
        stage: this.stage,
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: this.#isSwitching,
        sequence: this.ordersAccepted,
        waiting: 0,
        running: this.#running,
        kv_used: 0,
        kv_total: 90000,
        handles: this.#handles.size,
      });
    }
    if (req.url === "/order") {
      const order = JSON.parse(body.toString());
      const status = this.#judgeOrder(order);
      this.orders.push({ ...order, at: Date.now(), status });
      this.onOrder?.(order, status);
      if (status === 202) {
        this.ordersAccepted++;
        this.highestFence = order.fence;
        this.#isSwitching = true;
        setTimeout(() => {
          this.stage = order.stage;
          this.#isSwitching = false;
          this.onChange?.();
        }, this.switchMs);
      }
      return json(status, {});
    }
    if (req.url.startsWith("/kv-handle/")) {
      this.#handles.delete(decodeURIComponent(req.url.slice("/kv-handle/".length)));
      return json(200, {});
    }
    if (req.url === "/healthz") {
      return json(200, {}, { "x-instance-id": this.id, "x-server-load": this.load });
    }
    const id = headers["x-request-id"];
    if (id === undefined) return json(400, {}, { "x-not-executed": "1" });
    const arrival = { id, method: req.method, path: req.url, body, at: Date.now(), headers, server: this.id };
    this.arrivals.push(arrival);
    const common = { "x-request-id": id, "x-server-load": this.load };
    const notRun = (status = 503) => json(status, {}, { ...common, "x-not-executed": "1" });
    const isPrefill = headers["x-serving-stage"] === "prefill";
    if (this.stage !== undefined && isPrefill !== (this.stage === "prefill")) return notRun(421);
    if (this.#running >= this.slots) return notRun();
    if (this.behave !== undefined) {
      const done = await this.behave({ req, res, arrival, server: this, notRun });
      if (done) return;
    }
    if (isPrefill) {
      await sleep(this.prefillMs);
      const handle = Math.random().toString(16).slice(2, 14);
      this.#handles.set(handle, id);
      setTimeout(() => this.#handles.delete(handle), this.handleMs).unref();
      return json(200, { handle, tokens: 100, version: 1 }, common);
    }
    if (headers["x-kv-source"] !== undefined) {
      const [address, handle] = headers["x-kv-source"].split("/");
      const source = this.peers.find((one) => one.address === address);
      const owner = source?.takeHandle(handle);
      if (owner === undefined) return notRun();
      arrival.handleOf = owner;
    }
    await this.#run(arrival, req, res, common);
  }

  #judgeOrder({ op, holder, fence, stage, precondition }) {
    if (op !== "stage" || holder === undefined || fence === undefined) return 400;
    if (fence < this.highestFence) return 412;
    if (this.#isSwitching) return 409;
    if (precondition !== undefined && precondition !== this.ordersAccepted) return 409;
    return stage === this.stage ? 200 : 202;
  }

  takeHandle(handle) {
    const owner = this.#handles.get(handle);
    this.#handles.delete(handle);
    return owner;
  }

  async #run(arrival, req, res, common) {
    this.runs.push(arrival);
    this.onRun?.(arrival);
    this.#running++;
    const seal = `${this.id}.${nextSeal++}`;
    arrival.seal = seal;
    try {
      const isWhole = this.wholePrefix !== undefined && arrival.path.startsWith(this.wholePrefix);
      if (this.stage === undefined || isWhole) {
        await sleep(this.workMs);
        if (res.destroyed) return;
        const bytes = this.answer?.(arrival) ?? Buffer.from(`answer to ${arrival.id} by ${this.id}`);
        arrival.answered = Date.now();
        res.writeHead(200, { ...common, "x-response-seal": seal, "content-length": bytes.length });
        res.end(bytes);
        return;
      }
      res.writeHead(200, { ...common, "x-response-seal": seal, "content-type": "text/event-stream" });
      const from = Number(arrival.headers["last-event-id"] ?? 0);
      for (let n = from + 1; n <= this.events; n++) {
        await sleep(this.eventMs);
        if (res.destroyed) return;
        res.write(`id: ${n}\ndata: ${this.version} ${this.id} ${n}\n\n`);
      }
      arrival.answered = Date.now();
      res.end();
    } finally {
      this.#running--;
      arrival.ended = Date.now();
    }
  }
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A configuration as operators write it. */
export function makeConfig({ version = 1, routes, services, tenants, limits = {} }) {
  return {
    version,
    routes: routes.map((route) => ({
      name: `r${route.path_prefix}`,
      host: "h.example",
      timeout_ms: 4000,
      target_latency_ms: 386,
      priority: 1,
      max_attempts: 1,
      ...route,
    })),
    services: services.map((service) => ({
      health_path: "/healthz",
      max_connections: 170,
      protocol: "h1",
      tls: false,
      ...service,
    })),
    ...(tenants === undefined ? {} : { tenants }),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
      ...limits,
    },
  };
}

export const ENGINE = {
  slots: 16,
  kv_capacity_tokens: 29250,
  kv_token_bytes: 18432,
  link_mbps: 140000,
  moves: true,
  backups: true,
  stride: 11,
  most: 12,
  handle_ttl_s: 0.5,
  stage_switch_s: 6,
  pin_ms: 4000,
  hold_ms: 2000,
  models: [{ name: "m" }],
};
