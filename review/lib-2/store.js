/**
 * Stand-in of the platform's metadata store, as PROTOCOL.md describes it: objects by kind and
 * name, one revision counter, conditional writes, watches with a history, and the drill of
 * the fifth letter, after which the store goes on from a copy some seconds old.
 */
import * as http from "node:http";

const ANSWER_MS = 4;
const HISTORY_MS = 20_000;
/** Objects of a page, and of the events of one answer to a watch, and their bytes. */
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_048_576;

export class Store {
  constructor({ host = "127.0.0.1", record = () => {} } = {}) {
    this.host = host;
    this.record = record;
    this.port = 0;
    this.revision = 100;
    this.era = 1;
    /** Every change since the start: { at, revision, kind, name, object, removed }. */
    this.changes = [];
    this.objects = new Map();
    this.compactedRevision = 100;
    this.waiting = new Set();
    this.sockets = new Set();
    this.isUp = true;
    /** JSON texts that are too deep to be kept as values, by name. */
    this.raw = new Map();
    /** Whether watches are recorded. */
    this.recordsWatches = false;
    this.doors = [];
    /** Calls of the system, for the checks: { at, method, url, status }. */
    this.calls = [];
  }

  async open() {
    this.server = http.createServer((req, res) => this.#serve(req, res));
    this.server.keepAliveTimeout = 60_000;
    this.server.on("connection", (socket) => {
      if (!this.isUp) return void socket.resetAndDestroy();
      this.sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => this.sockets.delete(socket));
    });
    await new Promise((resolve) =>
      this.server.listen(this.port, this.host, resolve)
    );
    this.port = this.server.address().port;
  }

  /**
   * Opens one more port, at which the store can turn machines away; returns it with `isOpen`,
   * which may be changed, and `turnAway()`, which also resets the connections that are open.
   */
  async openDoor() {
    const sockets = new Set();
    const door = { isOpen: true, port: 0, turnAway: () => {} };
    const server = http.createServer((req, res) => this.#serve(req, res));
    server.keepAliveTimeout = 60_000;
    server.on("connection", (socket) => {
      if (!this.isUp || !door.isOpen) return void socket.resetAndDestroy();
      for (const set of [sockets, this.sockets]) {
        set.add(socket);
        socket.once("close", () => set.delete(socket));
      }
      socket.on("error", () => {});
    });
    await new Promise((resolve) => server.listen(0, this.host, resolve));
    door.port = server.address().port;
    door.turnAway = () => {
      door.isOpen = false;
      for (const socket of sockets) socket.resetAndDestroy();
    };
    this.doors.push(server);
    return door;
  }

  close() {
    for (const server of [this.server, ...this.doors]) server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Becomes unreachable: open connections are reset, as are new ones. */
  goDown() {
    this.isUp = false;
    this.waiting.clear();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  goUp() {
    this.isUp = true;
  }

  /** Goes on from a copy that is `ageMs` old, as of `takenAt`; called while it is down. */
  restoreCopyOf(takenAt) {
    const lost = this.changes.filter(({ at }) => at > takenAt);
    this.changes = this.changes.filter(({ at }) => at <= takenAt);
    this.objects.clear();
    for (const change of this.changes) this.#applyChange(change);
    const last = this.changes.at(-1);
    const before = this.revision;
    this.revision = last === undefined ? 100 : last.revision;
    this.era++;
    this.record(
      `store: goes on from a copy at revision ${this.revision}; was at ${before}; era ${this.era}`,
    );
    for (const { revision, kind, name, removed } of lost) {
      this.record(
        `store: lost revision ${revision} of ${kind}/${name}${
          removed ? " (removal)" : ""
        }`,
      );
    }
    return lost;
  }

  get(kind, name) {
    return this.objects.get(kind)?.get(name);
  }

  /** A write of the operator or of a server; returns the revision, or undefined while down. */
  write(kind, name, spec) {
    if (!this.isUp) return undefined;
    const known = this.get(kind, name);
    if (known !== undefined && same(known.spec, spec)) return this.revision;
    return this.#store(kind, name, { spec, status: known?.status ?? null });
  }

  remove(kind, name) {
    if (!this.isUp) return undefined;
    const known = this.get(kind, name);
    if (known === undefined) return this.revision;
    this.#change({ kind, name, object: known, removed: true });
    return this.revision;
  }

  #store(kind, name, { spec, status, finalizers = [] }) {
    const known = this.get(kind, name);
    const object = {
      metadata: {
        name,
        revision: this.revision + 1,
        create_rev: known?.metadata.create_rev ?? this.revision + 1,
        finalizers,
        deleting: false,
      },
      spec,
      status,
    };
    this.#change({ kind, name, object, removed: false });
    return this.revision;
  }

  #change(change) {
    this.revision++;
    const stored = { ...change, revision: this.revision, at: Date.now() };
    if (change.removed) {
      const { object } = change;
      stored.object = {
        ...object,
        metadata: { ...object.metadata, revision: this.revision },
      };
    }
    this.changes.push(stored);
    this.#applyChange(stored);
    for (const wake of [...this.waiting]) wake(stored.kind);
  }

  #applyChange({ kind, name, object, removed }) {
    const byName = this.objects.get(kind) ?? new Map();
    this.objects.set(kind, byName);
    if (removed) byName.delete(name);
    else byName.set(name, object);
  }

  async #serve(req, res) {
    const body = await readBody(req);
    await sleep(ANSWER_MS);
    if (!this.isUp || res.destroyed) return void req.socket.resetAndDestroy();
    const url = new URL(req.url, "http://store");
    const [, root, kind, encoded] = url.pathname.split("/");
    if (root !== "objects" || !kind) return this.#answer(req, res, 404, {});
    if (encoded === undefined) {
      if (req.method === "POST") return this.#create(req, res, { kind, body });
      if (url.searchParams.has("watch")) {
        return this.#watch(req, res, { kind, query: url.searchParams });
      }
      return this.#list(req, res, { kind, after: url.searchParams.get("after") });
    }
    const name = decodeURIComponent(encoded);
    const known = this.get(kind, name);
    if (req.method === "GET") {
      return this.#answer(req, res, known ? 200 : 404, known ?? {});
    }
    if (known === undefined) return this.#answer(req, res, 404, {});
    if (req.method === "DELETE") {
      const wanted = url.searchParams.get("revision");
      if (wanted !== null && Number(wanted) !== known.metadata.revision) {
        return this.#answer(req, res, 409, known);
      }
      this.#change({ kind, name, object: known, removed: true });
      return this.#answer(req, res, 200, known);
    }
    if (req.method !== "PUT") return this.#answer(req, res, 404, {});
    const wanted = body.metadata?.revision;
    if (wanted !== undefined && wanted !== known.metadata.revision) {
      return this.#answer(req, res, 409, known);
    }
    const { spec } = body;
    const finalizers = body.metadata?.finalizers ?? known.metadata.finalizers;
    if (!same(spec, known.spec) || !same(finalizers, known.metadata.finalizers)) {
      this.#store(kind, name, { spec, status: known.status, finalizers });
    }
    return this.#answer(req, res, 200, this.get(kind, name));
  }

  #create(req, res, { kind, body }) {
    const { name, finalizers = [] } = body.metadata;
    const known = this.get(kind, name);
    if (known !== undefined) return this.#answer(req, res, 409, known);
    this.#store(kind, name, { spec: body.spec, status: null, finalizers });
    return this.#answer(req, res, 201, this.get(kind, name));
  }

  #list(req, res, { kind, after }) {
    const names = [...(this.objects.get(kind)?.keys() ?? [])].sort()
      .filter((name) => after === null || name > after);
    const page = this.#cutPage(names.map((name) => this.get(kind, name)));
    this.#answer(req, res, 200, {
      items: page,
      has_more: page.length < names.length,
      current_rev: this.revision,
    });
  }

  async #watch(req, res, { kind, query }) {
    const since = Number(query.get("watch"));
    if (this.recordsWatches) {
      this.record(
        `store: a watch of ${kind} from revision ${since}, at revision ${this.revision}`,
      );
    }
    const waitMs = Math.min(30_000, Number(query.get("wait_ms") ?? 0));
    const oldest = this.#getOldestRevision();
    if (since > this.revision || since < oldest) {
      return this.#answer(req, res, 410, {});
    }
    const find = () =>
      this.changes.filter((change) =>
        change.kind === kind && change.revision > since
      );
    if (find().length === 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const wake = (changed) => changed === kind && finish();
        const timer = setTimeout(finish, waitMs);
        res.once("close", finish);
        this.waiting.add(wake);
      });
    }
    if (res.destroyed) return;
    const changes = find();
    const objects = this.#cutPage(changes.map(({ object }) => object));
    const events = objects.map((object, at) => ({ removed: changes[at].removed, object }));
    const isCut = events.length < changes.length;
    this.#answer(req, res, 200, {
      events,
      current_rev: isCut ? changes[events.length - 1].revision : this.revision,
    });
  }

  /** The first objects, as many as fit into a page; one at least. */
  #cutPage(objects) {
    let bytes = 0;
    const fitting = objects.slice(0, PAGE_ITEMS).findIndex((object, at) => {
      bytes += this.#encode(object).length;
      return at > 0 && bytes > PAGE_BYTES;
    });
    return objects.slice(0, fitting < 0 ? PAGE_ITEMS : fitting);
  }

  /** Revision from which a watch still gets all changes. */
  #getOldestRevision() {
    const from = Date.now() - HISTORY_MS;
    const dropped = this.changes.findLast(({ at }) => at < from);
    return dropped?.revision ?? this.compactedRevision;
  }

  /** Encodes a body; in the place of a text "@raw:NAME" it has what `raw` has of that name. */
  #encode(value) {
    const text = JSON.stringify(value);
    return this.raw.size === 0
      ? text
      : text.replace(/"@raw:(\w+)"/g, (_, name) => this.raw.get(name));
  }

  #answer(req, res, status, value) {
    if (!this.isUp) return void req.socket.resetAndDestroy();
    this.calls.push({ at: Date.now(), method: req.method, url: req.url, status });
    const body = Buffer.from(this.#encode(value));
    res.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": body.length,
      "Store-Era": String(this.era),
    }).end(body);
  }
}

function same(a, b) {
  return JSON.stringify(a) === JSON.stringify(b);
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function readBody(req) {
  const chunks = [];
  try {
    for await (const chunk of req) chunks.push(chunk);
    return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks));
  } catch {
    return {};
  }
}
