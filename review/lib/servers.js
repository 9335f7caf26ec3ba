// Stand-ins of the servers of a plain service and of a model service (PROTOCOL.md, "Servers",
// "Prefill and decode"). Without `behave` they are sound.
import * as http from "node:http";
import { sleep } from "./fleet.js";

/** Reads the whole body of a request. */
export async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** A server of a plain service. */
export class PlainServer {
  running = 0;
  runs = []; // { requestId, method, path, at }
  slots = 6;
  /** Work of one request in ms, and the body of its answer. */
  workMs = 60;
  body = () => Buffer.from("ok\n");
  onRun = () => {};

  constructor({ id, service, zone }) {
    Object.assign(this, { id, service, zone });
  }

  async listen(port = 0) {
    this.server = http.createServer((req, res) => void this.handle(req, res).catch(() => {}));
    this.server.keepAliveTimeout = 30_000;
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    this.port = this.server.address().port;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  entry(sequence = 1) {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.isLeaving ? "draining" : "ready",
      cold_remaining_ms: 0,
      sequence,
    };
  }

  async handle(req, res) {
    await readBody(req);
    const requestId = req.headers["x-request-id"];
    const load = () => `${this.running},0,${this.slots}`;
    if (requestId === undefined) {
      return void res.writeHead(400, { "X-Not-Executed": "1", "Content-Length": 0 }).end();
    }
    const expected = req.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return void res.writeHead(421, { "X-Instance-Id": this.id, "Content-Length": 0 }).end();
    }
    if (this.running >= this.slots) {
      res.writeHead(503, {
        "X-Request-Id": requestId,
        "X-Not-Executed": "1",
        "X-Server-Load": load(),
        "Content-Length": 0,
      }).end();
      return;
    }
    this.running++;
    const run = { requestId, method: req.method, path: req.url, at: performance.now() };
    this.runs.push(run);
    this.onRun(run);
    try {
      await sleep(this.workMs);
    } finally {
      this.running--;
    }
    if (res.destroyed) return;
    const body = this.body(run);
    res.writeHead(200, {
      "X-Request-Id": requestId,
      "X-Response-Seal": `${this.id}.${requestId}`,
      "X-Server-Load": load(),
      "Content-Length": body.length,
    }).end(body);
    run.answered = true;
  }
}

const REPORT_LAG_MS = 800;

/** A server of a model service: stages, orders and reports; prefills and streams if asked. */
export class ModelServer {
  runs = [];
  orders = []; // { at, holder, fence, stage, status }
  sequence = 0;
  highestFence = 0;
  isBusy = false;
  switchMs = 6000;
  fencingRequired = true;
  events = 6;
  eventMs = 40;
  prefillMs = 60;
  firstEventMs = 0;
  handles = new Map();
  onChange = () => {};
  onOrder = () => {};
  onRun = () => {};

  constructor({ id, service, zone, stage }) {
    Object.assign(this, { id, service, zone, stage });
    this.reports = [{ at: -Infinity, report: this.#report() }];
  }

  async listen(port = 0) {
    this.server = http.createServer((req, res) => void this.handle(req, res).catch(() => {}));
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, "127.0.0.1", resolve);
    });
    this.port = this.server.address().port;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  entry(sequence = 1) {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: 16,
      state: this.isLeaving ? "draining" : "ready",
      cold_remaining_ms: 0,
      stage: this.stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      sequence,
    };
  }

  #report() {
    return {
      stage: this.stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: this.isBusy,
      sequence: this.sequence,
      waiting: 0,
      running: 0,
      kv_used: 0,
      kv_total: 29250,
      handles: this.handles.size,
    };
  }

  #changed() {
    this.reports.push({ at: performance.now(), report: this.#report() });
    this.onChange();
  }

  async handle(req, res) {
    const body = await readBody(req);
    const json = (status, value) => {
      const text = JSON.stringify(value);
      res.writeHead(status, {
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(text),
      }).end(text);
    };
    const expected = req.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return void res.writeHead(421, { "X-Instance-Id": this.id, "Content-Length": 0 }).end();
    }
    if (req.method === "GET" && req.url === "/report") {
      const asOf = performance.now() - REPORT_LAG_MS;
      return json(200, this.reports.findLast(({ at }) => at <= asOf).report);
    }
    if (req.method === "POST" && req.url === "/order") {
      const status = this.#order(JSON.parse(body));
      return void res.writeHead(status, { "Content-Length": 0 }).end();
    }
    if (req.method === "DELETE") {
      this.handles.delete(req.url.split("/").at(-1));
      return void res.writeHead(200, { "Content-Length": 0 }).end();
    }
    await this.#serve(req, res, json);
  }

  #order({ op, stage, holder, fence, precondition }) {
    const status = this.#judge({ op, stage, holder, fence, precondition });
    const order = { at: performance.now(), server: this.id, holder, fence, stage, status };
    this.orders.push(order);
    this.onOrder(order);
    if (status !== 202) return status;
    this.sequence++;
    this.isBusy = true;
    this.#changed();
    setTimeout(() => {
      this.stage = stage;
      this.isBusy = false;
      this.#changed();
    }, this.switchMs);
    return status;
  }

  #judge({ op, stage, holder, fence, precondition }) {
    if (op !== "stage" || typeof holder !== "string" || typeof fence !== "number") return 400;
    if (this.fencingRequired && fence < this.highestFence) return 412;
    this.highestFence = Math.max(this.highestFence, fence);
    if (this.isBusy) return 409;
    if (precondition !== undefined && precondition !== this.sequence) return 409;
    return stage === this.stage ? 200 : 202;
  }

  async #serve(req, res, json) {
    const requestId = req.headers["x-request-id"];
    const notRun = (status) =>
      void res.writeHead(status, {
        ...(requestId === undefined ? {} : { "X-Request-Id": requestId }),
        "X-Not-Executed": "1",
        "Content-Length": 0,
      }).end();
    if (requestId === undefined) return notRun(400);
    if (this.isBusy) return notRun(503);
    const isPrefill = req.headers["x-serving-stage"] === "prefill";
    if (isPrefill !== (this.stage === "prefill")) {
      return void res.writeHead(421, { "X-Instance-Id": this.id, "Content-Length": 0 }).end();
    }
    if (isPrefill) {
      await sleep(this.prefillMs);
      const handle = Math.random().toString(16).slice(2, 14);
      this.handles.set(handle, requestId);
      res.setHeader("X-Request-Id", requestId);
      return json(200, { handle, tokens: 3200, version: 1 });
    }
    const run = { requestId, at: performance.now() };
    this.runs.push(run);
    this.onRun(run);
    res.writeHead(200, {
      "Content-Type": "text/event-stream",
      "X-Request-Id": requestId,
      "X-Response-Seal": `${this.id}.${requestId}`,
      "X-Weight-Versions": "1",
    });
    res.flushHeaders();
    await sleep(this.firstEventMs);
    const after = Number(req.headers["last-event-id"] ?? 0);
    for (let id = after + 1; id <= this.events; id++) {
      await sleep(this.eventMs);
      if (res.destroyed) return;
      res.write(`id: ${id}\ndata: piece ${id}\n\n`);
    }
    res.end();
  }
}
