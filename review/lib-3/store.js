// Stand-in of the platform's metadata store, by PROTOCOL.md: objects by kind and name, lists,
// watches and conditional writes. A fault is a function that a test sets.
import http from "node:http";

const HISTORY_MS = 20_000;
const PAGE = 500;

export class Store {
  #revision = 100;
  /** kind -> name -> object */
  #kinds = new Map();
  #changes = [];
  #waiters = new Set();
  /** Changes up to this revision are no longer in the history. */
  #dropped = 0;
  #servers = [];
  #sockets = new Set();
  calls = 0;
  era = 1;
  #isAway = false;
  /** How old the data are that calls get which allow it. */
  staleMs = 0;
  /** Called before each call; "hang", "reset", "lose" or a status is what becomes of it. */
  fault = () => undefined;

  get revision() {
    return this.#revision;
  }

  /** Opens an address; a machine may get one of its own, to be turned away there. */
  async listen(host, port = 0) {
    const server = http.createServer((req, res) => this.#handle(req, res));
    this.#servers.push(server);
    server.keepAliveTimeout = 60_000;
    server.on("connection", (socket) => {
      socket.on("error", () => {});
      if (this.#isAway) return void socket.resetAndDestroy();
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => server.listen(port, host, resolve));
    const address = `${host}:${server.address().port}`;
    this.address ??= address;
    return address;
  }

  close() {
    for (const server of this.#servers) server.close();
    for (const socket of this.#sockets) socket.destroy();
    for (const wake of this.#waiters) wake();
  }

  /** Writes as the operator or a server does. Returns the revision. */
  set(kind, name, spec) {
    const objects = this.#getKind(kind);
    const known = objects.get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return known.metadata.revision;
    }
    const revision = ++this.#revision;
    const object = {
      metadata: {
        name,
        revision,
        create_rev: known?.metadata.create_rev ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: null,
    };
    objects.set(name, object);
    this.#record(kind, { removed: false, object });
    return revision;
  }

  remove(kind, name) {
    const objects = this.#getKind(kind);
    const known = objects.get(name);
    if (known === undefined) return;
    objects.delete(name);
    const revision = ++this.#revision;
    const object = { ...known, metadata: { ...known.metadata, revision } };
    this.#record(kind, { removed: true, object });
  }

  get(kind, name) {
    return this.#getKind(kind).get(name);
  }

  /** A copy of what is stored, as a drill brings it back later. */
  copy() {
    const kinds = [...this.#kinds].map(([kind, objects]) => [kind, new Map(objects)]);
    return { kinds: new Map(kinds), revision: this.#revision };
  }

  /** Away from now on: open connections are reset, and new ones too. */
  leave() {
    this.#isAway = true;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Comes back from a copy; its revisions are given out again, and the era rises by one. */
  comeBack({ kinds, revision }) {
    this.#kinds = new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)]));
    this.#revision = revision;
    this.#changes = this.#changes.filter((one) => one.revision <= revision);
    this.era++;
    this.#isAway = false;
  }

  names(kind) {
    return [...this.#getKind(kind).keys()];
  }

  #getKind(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #record(kind, event) {
    this.#changes.push({ kind, event, revision: this.#revision, at: Date.now() });
    while (this.#changes[0]?.at < Date.now() - HISTORY_MS) {
      this.#dropped = this.#changes.shift().revision;
    }
    for (const wake of [...this.#waiters]) wake();
  }

  async #handle(req, res) {
    this.calls++;
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(req.url, "http://store");
    const [, root, kind, name, status] = url.pathname.split("/").map(decodeURIComponent);
    const text = Buffer.concat(chunks).toString();
    const json = text === "" ? undefined : JSON.parse(text);
    const call = { method: req.method, kind, name, query: url.searchParams, json };
    call.address = `${req.socket.localAddress}:${req.socket.localPort}`;
    const send = (code, body) => {
      if (res.destroyed) return;
      const bytes = Buffer.from(JSON.stringify(body));
      res.writeHead(code, {
        "content-type": "application/json",
        "content-length": bytes.length,
        "store-era": this.era,
      });
      res.end(bytes);
    };
    const fault = await this.fault(call);
    if (fault === "hang") return;
    if (fault === "reset") return req.socket.resetAndDestroy();
    if (typeof fault === "number") return send(fault, {});
    if (root !== "objects" || kind === undefined) return send(404, {});
    const result = await this.#run(call, status);
    if (fault === "lose" || await this.fault(call) === "hang") return;
    send(...result);
  }

  async #run({ method, kind, name, query, json }, sub) {
    const objects = this.#getKind(kind);
    if (method === "GET" && name === undefined) {
      if (query.has("watch")) return await this.#watch(kind, query);
      const after = query.get("after") ?? "";
      const all = [...objects.keys()].sort().filter((one) => one > after);
      const items = all.slice(0, PAGE).map((one) => objects.get(one));
      return [200, { items, has_more: all.length > PAGE, current_rev: this.#revision }];
    }
    if (method === "GET") {
      const object = objects.get(name);
      return object === undefined ? [404, {}] : [200, object];
    }
    if (method === "POST") {
      const own = json.metadata.name;
      if (objects.has(own)) return [409, objects.get(own)];
      this.set(kind, own, json.spec);
      return [201, objects.get(own)];
    }
    const known = objects.get(name);
    if (known === undefined) return [404, {}];
    const given = json?.metadata?.revision ??
      (query.has("revision") ? Number(query.get("revision")) : undefined);
    if (given !== undefined && given !== known.metadata.revision) return [409, known];
    if (method === "PUT" && sub === undefined) {
      this.set(kind, name, json.spec);
      return [200, objects.get(name)];
    }
    if (method === "DELETE") {
      this.remove(kind, name);
      return [200, known];
    }
    return [400, {}];
  }

  async #watch(kind, query) {
    const since = Number(query.get("watch"));
    const until = Date.now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
    if (since > this.#revision || since < this.#dropped) return [410, {}];
    const { era } = this;
    const lagMs = query.get("allow_stale") === "1" ? this.staleMs : 0;
    for (;;) {
      if (era !== this.era) return [410, {}];
      const seen = this.#changes.filter(({ at }) => at <= Date.now() - lagMs);
      const events = seen.filter((one) => one.kind === kind && one.revision > since)
        .map(({ event }) => event);
      const left = Math.min(until - Date.now(), lagMs > 0 ? 100 : Infinity);
      const revision = lagMs === 0 ? this.#revision : Math.max(since, seen.at(-1)?.revision ?? 0);
      if (events.length > 0 || until <= Date.now()) return [200, { events, current_rev: revision }];
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.#waiters.add(wake);
      });
    }
  }
}
