// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
// In memory; loses nothing that it has acknowledged. `hooks` let a case make it answer late,
// wrongly or not at all; without them it behaves like a sound store.
import * as http from "node:http";

const HISTORY_MS = 20_000;
/** The sheets: "4 ms an answer". */
const ANSWER_MS = 4;
const PAGE = 500;

export class Store {
  revision = 100;
  objects = new Map(); // "KIND/NAME" -> object
  history = []; // { rev, at, kind, object, removed }
  waiters = new Set();
  era = 1;
  /** Copies of the last seconds, oldest first: { at, revision, objects }. */
  copies = [];
  #dead = new WeakSet();
  #sockets = new Set();
  #isAway = false;
  /** Called for each call; may return a promise of "drop" (no answer) or of undefined. */
  onCall = async () => undefined;
  calls = { read: 0, write: 0 };

  async listen() {
    this.server = http.createServer((req, res) => void this.#handle(req, res));
    this.server.keepAliveTimeout = 60_000;
    this.server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
      if (this.#isAway) this.#dead.add(socket);
    });
    this.copyTimer = setInterval(() => {
      const at = performance.now();
      this.copies.push({ at, revision: this.revision, objects: new Map(this.objects) });
      if (this.copies.length > 200) this.copies.shift();
    }, 50);
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.port = this.server.address().port;
    return this.port;
  }

  /**
   * The drill of the fifth letter: the store is away for `awayMs` (silent: the connections that
   * are open, or opened meanwhile, bring no answer any more) and comes back from a copy that is
   * `ageMs` old when it goes. Its revisions are given out again; Store-Era rises by one.
   */
  async drill({ awayMs, ageMs }) {
    const goneAt = performance.now();
    const copy = this.copies.findLast(({ at }) => at <= goneAt - ageMs) ?? this.copies[0];
    const lost = this.revision - copy.revision;
    this.#isAway = true;
    for (const socket of this.#sockets) this.#dead.add(socket);
    await new Promise((resolve) => setTimeout(resolve, awayMs));
    this.#isAway = false;
    this.era++;
    this.revision = copy.revision;
    this.objects = new Map(copy.objects);
    this.history = this.history.filter(({ rev }) => rev <= copy.revision);
    this.copies = [];
    return { lost, ageMs: goneAt - copy.at };
  }

  /** Whether the store is away; the operator and the servers try again later. */
  get isAway() {
    return this.#isAway;
  }

  close() {
    clearInterval(this.copyTimer);
    this.server.closeAllConnections();
    this.server.close();
  }

  get(kind, name) {
    return this.objects.get(`${kind}/${name}`);
  }

  /** A write of the operator or of a server, which has a path of its own to the store. */
  put(kind, name, spec) {
    const old = this.get(kind, name);
    if (old !== undefined && toComparable(kind, old.spec) === toComparable(kind, spec)) return old;
    return this.#set(kind, name, spec, old);
  }

  remove(kind, name) {
    const old = this.get(kind, name);
    if (old === undefined) return;
    this.objects.delete(`${kind}/${name}`);
    const object = { ...old, metadata: { ...old.metadata, revision: ++this.revision } };
    this.#record(kind, object, true);
  }

  #set(kind, name, spec, old) {
    const revision = ++this.revision;
    const object = {
      metadata: {
        name,
        revision,
        create_rev: old?.metadata.create_rev ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: old?.status ?? null,
    };
    this.objects.set(`${kind}/${name}`, object);
    this.#record(kind, object, false);
    return object;
  }

  #record(kind, object, removed) {
    const at = performance.now();
    this.history.push({ rev: object.metadata.revision, at, kind, object, removed });
    while (this.history.length > 0 && this.history[0].at < at - HISTORY_MS) this.compacted = this.history.shift().rev;
    for (const wake of [...this.waiters]) wake();
  }

  async #handle(req, res) {
    let text = "";
    for await (const chunk of req) text += chunk;
    const url = new URL(req.url, "http://store");
    const [, root, kind, name] = url.pathname.split("/").map(decodeURIComponent);
    if (root !== "objects") return void res.writeHead(404).end();
    const call = {
      method: req.method,
      kind,
      name,
      query: url.searchParams,
      body: text === "" ? undefined : JSON.parse(text),
      port: req.socket.remotePort,
    };
    this.calls[req.method === "GET" ? "read" : "write"]++;
    // A hook may run the call itself, later, with `perform`.
    if (this.#dead.has(req.socket)) return;
    const verdict = await this.onCall(call, () => this.#perform(call));
    if (verdict === "drop") return; // No answer; the connection stays open and silent.
    if (verdict === "reset") return void req.socket.resetAndDestroy();
    const [status, json] = call.query.has("watch")
      ? await this.#watch(call, res)
      : this.#perform(call);
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    if (res.destroyed || this.#dead.has(req.socket)) return;
    const body = JSON.stringify(json);
    res.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
      "Store-Era": String(this.era),
    }).end(body);
  }

  #perform({ method, kind, name, query, body }) {
    if (method === "GET" && name === undefined) {
      const after = query.get("after");
      const all = [...this.objects].filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => object)
        .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1))
        .filter(({ metadata }) => after === null || metadata.name > after);
      const items = all.slice(0, PAGE);
      return [200, { items, has_more: all.length > PAGE, current_rev: this.revision }];
    }
    const key = name ?? body?.metadata?.name;
    const old = this.get(kind, key);
    if (method === "GET") return old === undefined ? [404, {}] : [200, old];
    if (method === "POST") {
      return old === undefined ? [201, this.#set(kind, key, body.spec)] : [409, old];
    }
    if (old === undefined) return [404, {}];
    const expected = body?.metadata?.revision ?? numberOf(query.get("revision"));
    if (expected !== undefined && expected !== old.metadata.revision) return [409, old];
    if (method === "PUT") {
      if (JSON.stringify(old.spec) === JSON.stringify(body.spec)) return [200, old];
      return [200, this.#set(kind, key, body.spec, old)];
    }
    if (method === "DELETE") {
      this.remove(kind, key);
      return [200, old];
    }
    return [404, {}];
  }

  async #watch({ kind, query }, res) {
    const since = Number(query.get("watch"));
    const until = performance.now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
    for (;;) {
      if (since < (this.compacted ?? 0) || since > this.revision) return [410, {}];
      const events = this.history.filter((entry) => entry.kind === kind && entry.rev > since)
        .map(({ object, removed }) => ({ object, removed }));
      const leftMs = until - performance.now();
      if (events.length > 0 || leftMs <= 0 || res.destroyed) {
        return [200, { events, current_rev: this.revision }];
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiters.add(wake);
      });
    }
  }
}

/** "The entry changes when more than `sequence` changes": a mere heartbeat changes nothing. */
function toComparable(kind, spec) {
  return JSON.stringify(kind === "servers" ? { ...spec, sequence: 0 } : spec);
}

function numberOf(text) {
  return text === null ? undefined : Number(text);
}
