/**
 * Stand-ins of the platform's servers: plain servers and model servers of both stages, as
 * PROTOCOL.md describes them. They note each request that they begin to work on, and each
 * order.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import { sleep } from "./store.js";

const SEAL = "X-Response-Seal";

export class Server {
  /**
   * `stage` is undefined for a plain server. `work(req)` gives the time of a request, in ms.
   */
  constructor(options) {
    const { id, service, zone = "z-a", stage, slots = 6, queue = 24 } = options;
    Object.assign(this, { id, service, zone, stage, slots, queue });
    this.host = options.host ?? "127.0.0.1";
    this.store = options.store;
    this.record = options.record ?? (() => {});
    this.work = options.work ?? (() => 20);
    /** Time of a prefill, by the tokens of its prompt. */
    this.prefillMs = options.prefillMs ?? (() => 30);
    this.events = options.events ?? 6;
    this.eventMs = options.eventMs ?? 30;
    this.switchMs = options.switchMs ?? 6000;
    this.handleMs = options.handleMs ?? 500;
    this.version = options.version ?? "v1";
    this.checksFences = options.checksFences ?? true;
    /** Whether a plain server answers with events, as on a route of kind `stream`. */
    this.writesEvents = options.writesEvents ?? false;
    this.port = 0;
    this.state = "ready";
    this.running = 0;
    this.waiting = [];
    this.sequence = 0;
    this.highestFence = 0;
    this.isBusy = false;
    this.handles = new Map();
    this.sockets = new Set();
    /** Requests that began to run: { at, id, path }. */
    this.runs = [];
    /** Orders that arrived: { at, holder, fence, stage, status }. */
    this.orders = [];
  }

  async open() {
    this.server = http.createServer((req, res) => void this.#serve(req, res));
    this.server.keepAliveTimeout = 15_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => this.sockets.delete(socket));
    });
    await new Promise((resolve) =>
      this.server.listen(this.port, this.host, resolve)
    );
    this.port = this.server.address().port;
    this.beat();
    this.timer = setInterval(() => this.beat(), 300);
  }

  get entry() {
    return {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      ...(this.stage && {
        stage: this.stage,
        models: [{ name: "m", version: 1, adapters: [] }],
      }),
      sequence: 1,
    };
  }

  /** Writes the entry, which changes nothing where it is stored already. */
  beat() {
    if (this.state === "gone") return;
    const known = this.store.get("servers", this.id)?.spec;
    if (JSON.stringify(known) === JSON.stringify(this.entry)) return;
    const revision = this.store.write("servers", this.id, this.entry);
    if (revision === undefined) return;
    this.record(
      `server ${this.id}: entry (${this.state}${
        this.stage ? ", " + this.stage : ""
      }) stored at revision ${revision}`,
    );
  }

  /** Ends at once, as a crash does. */
  crash() {
    clearInterval(this.timer);
    this.state = "gone";
    this.record(`server ${this.id}: crashes`);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  get #load() {
    return { "X-Server-Load": `${this.running},${this.waiting.length},${this.slots}` };
  }

  async #serve(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    if (req.url === "/report") return this.#report(res);
    if (req.url === "/order") return this.#order(req, res, body);
    if (req.method === "DELETE" && req.url.startsWith("/kv-handle/")) {
      this.handles.delete(req.url.slice("/kv-handle/".length));
      return void res.writeHead(200, { "Content-Length": 0 }).end();
    }
    const id = req.headers["x-request-id"];
    const expected = req.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return void res.writeHead(421, { "X-Instance-Id": this.id, "Content-Length": 0 }).end();
    }
    if (id === undefined) return this.#refuse(res, 400);
    if (this.isBusy) return this.#refuse(res, 503, id);
    const isPrefill = req.headers["x-serving-stage"] === "prefill";
    if (this.stage !== undefined && (this.stage === "prefill") !== isPrefill) {
      return void res.writeHead(421, { "X-Instance-Id": this.id, "Content-Length": 0 }).end();
    }
    if (!await this.#takeSlot(res)) return this.#refuse(res, 503, id);
    try {
      if (isPrefill) return await this.#prefill(req, res, id);
      if (!await this.#takeHandle(req.headers["x-kv-source"])) {
        return this.#refuse(res, 503, id);
      }
      this.runs.push({ at: Date.now(), id, path: req.url });
      if (this.stage === "decode" || this.writesEvents) {
        return await this.#stream(res, req, id);
      }
      return await this.#answer(res, req, id);
    } finally {
      this.running--;
      this.waiting.shift()?.();
    }
  }

  async #takeSlot(res) {
    if (this.running >= this.slots) {
      if (this.waiting.length >= this.queue) return false;
      await new Promise((resolve) => this.waiting.push(resolve));
    }
    this.running++;
    if (res.destroyed) {
      this.running--;
      this.waiting.shift()?.();
      return false;
    }
    return true;
  }

  #refuse(res, status, id) {
    if (res.destroyed) return;
    res.writeHead(status, {
      "X-Not-Executed": "1",
      ...(id && { "X-Request-Id": id }),
      ...this.#load,
      "Content-Length": 0,
    }).end();
  }

  #report(res) {
    const body = JSON.stringify({
      stage: this.stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: this.isBusy,
      sequence: this.sequence,
      waiting: this.waiting.length,
      running: this.running,
      kv_used: 0,
      kv_total: 29_250,
      handles: this.handles.size,
    });
    res.writeHead(200, {
      "Content-Type": "application/json",
      "Content-Length": body.length,
    }).end(body);
  }

  #order(req, res, body) {
    const order = JSON.parse(body);
    const status = this.#judgeOrder(req, order);
    this.orders.push({ at: Date.now(), ...order, status });
    this.record(
      `server ${this.id}: order ${order.op} ${order.stage} of holder ${order.holder} with fence ${order.fence}: ${status}`,
    );
    res.writeHead(status, { "Content-Length": 0 }).end();
    if (status !== 202) return;
    this.isBusy = true;
    this.sequence++;
    setTimeout(() => {
      this.isBusy = false;
      this.stage = order.stage;
      this.beat();
    }, this.switchMs).unref();
  }

  #judgeOrder(req, { op, stage, holder, fence, precondition }) {
    const expected = req.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) return 421;
    if (op !== "stage" || holder === undefined || fence === undefined) return 400;
    if (this.checksFences && fence < this.highestFence) return 412;
    this.highestFence = Math.max(this.highestFence, fence);
    if (stage === this.stage && !this.isBusy) return 200;
    if (this.isBusy) return 409;
    if (precondition !== undefined && precondition !== this.sequence) return 409;
    return 202;
  }

  async #prefill(req, res, id) {
    const tokens = Number(String(req.headers["x-token-counts"]).split(",")[0]);
    await sleep(this.prefillMs(tokens));
    if (res.destroyed) return;
    const handle = crypto.randomBytes(6).toString("hex");
    this.handles.set(handle, id);
    setTimeout(() => this.handles.delete(handle), this.handleMs).unref();
    const body = JSON.stringify({ handle, tokens, version: 1 });
    res.writeHead(200, {
      "Content-Type": "application/json",
      "Content-Length": body.length,
      "X-Request-Id": id,
    }).end(body);
  }

  async #takeHandle(source) {
    if (source === undefined) return true;
    const [address, handle] = source.split("/");
    const peer = Server.byAddress.get(address);
    if (peer === undefined || !peer.handles.has(handle)) return false;
    peer.handles.delete(handle);
    await sleep(2);
    return true;
  }

  async #stream(res, req, id) {
    const from = Number(req.headers["last-event-id"] ?? -1) + 1;
    for (let at = from; at < this.events && !res.destroyed; at++) {
      await sleep(this.eventMs);
      if (res.destroyed) return;
      if (!res.headersSent) {
        res.writeHead(200, {
          "Content-Type": "text/event-stream",
          "X-Request-Id": id,
          [SEAL]: `seal-${this.id}-${id}`,
          ...this.#load,
        });
      }
      res.write(`id: ${at}\ndata: ${id} ${at}\n\n`);
    }
    if (!res.destroyed) res.end();
  }

  async #answer(res, req, id) {
    const endsAt = Date.now() + this.work(req);
    while (Date.now() < endsAt && !res.destroyed) {
      await sleep(Math.min(20, Math.max(1, endsAt - Date.now())));
    }
    if (res.destroyed) return;
    const body = `${this.service} ${this.id} ${id}\n`;
    res.writeHead(200, {
      "Content-Type": "text/plain",
      "Content-Length": body.length,
      "X-Request-Id": id,
      [SEAL]: `seal-${this.id}-${id}`,
      ...this.#load,
    }).end(body);
  }
}

/** Servers by address, for the transfer of what was prefilled. */
Server.byAddress = new Map();
