/**
 * Stand-in of the platform: object API, VM list and weight store on one port. Tests set
 * its faults through `/_control`.
 * @module
 */
import type * as http from "node:http";
import { sleep, type VmListEntry } from "@bitternfall/types";
import { type JsonRequest, JsonServer, sendJson } from "./json_server.ts";

interface StoredObject {
  readonly version: number;
  /** The value as it was written, in JSON. */
  readonly text: string;
}

interface Change {
  readonly revision: number;
  readonly key: string;
  /** The value in JSON; `null` if the object was removed. */
  readonly text: string;
}

/** Faults that the platform stand-in can simulate, and its rate limits. */
export interface PlatformFaults {
  /** Every call fails with status 503. */
  down: boolean;
  /** Delay of every call. */
  slowMs: number;
  /** Probability that a write takes effect but its response is lost. */
  loseReplies: number;
  /** Watch requests are accepted but never get a response. */
  silentWatch: boolean;
  /** Delay before a change of the VM list becomes visible to readers. */
  vmListLagMs: number;
  readsPerSecond: number;
  writesPerSecond: number;
}

/** Counters of the calls handled, and of those refused by the rate limit. */
export interface PlatformCalls {
  reads: number;
  writes: number;
  watches: number;
  vmLists: number;
  refused: number;
}

const MAX_VALUE_BYTES = 1_000_000;
const MAX_CHANGES_KEPT = 5000;

/** In-memory platform with configurable faults. */
export class PlatformStandIn {
  readonly faults: PlatformFaults = {
    down: false,
    slowMs: 0,
    loseReplies: 0,
    silentWatch: false,
    vmListLagMs: 0,
    readsPerSecond: 2000,
    writesPerSecond: 300,
  };
  readonly calls: PlatformCalls = {
    reads: 0,
    writes: 0,
    watches: 0,
    vmLists: 0,
    refused: 0,
  };
  readonly #objects = new Map<string, StoredObject>();
  readonly #changes: Change[] = [];
  readonly #changeWaiters = new Set<() => void>();
  readonly #random: () => number;
  #revision = 0;
  #vms: VmListEntry[] = [];
  #visibleVms: VmListEntry[] = [];
  #server: JsonServer | undefined;
  #rateWindow = { second: 0, reads: 0, writes: 0 };

  constructor(options: { random?: () => number } = {}) {
    this.#random = options.random ?? Math.random;
  }

  /** Base URL of the object API, VM list and weight store. */
  get address(): string {
    return this.#server?.address ?? "";
  }

  async listen(port = 0): Promise<void> {
    this.#server = await JsonServer.listen(
      (req, res) => this.#handle(req, res),
      port,
    );
  }

  async close(): Promise<void> {
    for (const wake of this.#changeWaiters) wake();
    await this.#server?.close();
  }

  /** Replaces the VM list; the change becomes visible after `vmListLagMs`. */
  setVms(vms: readonly VmListEntry[]): void {
    this.#vms = [...vms];
    const newVms = this.#vms;
    if (this.faults.vmListLagMs === 0) this.#visibleVms = newVms;
    else {setTimeout(() => this.#visibleVms = newVms, this.faults.vmListLagMs)
        .unref();}
  }

  /** Returns a stored value without using the API or its rate limit. */
  peek(key: string): unknown {
    const text = this.#objects.get(key)?.text;
    return text === undefined ? undefined : JSON.parse(text);
  }

  /** Returns all keys without using the API or its rate limit. */
  keys(): string[] {
    return [...this.#objects.keys()];
  }

  async #handle(req: JsonRequest, res: http.ServerResponse): Promise<void> {
    const path = req.url.pathname;
    if (path.startsWith("/_control")) return this.#handleControl(req, res);
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    if (this.faults.down) return sendJson(res, 503, { error: "unavailable" });
    if (!this.#countAgainstRateLimit(req.method)) {
      this.calls.refused++;
      res.setHeader("retry-after", "1");
      return sendJson(res, 429, { error: "rate limited" });
    }
    if (path === "/vms") {
      this.calls.vmLists++;
      return sendJson(res, 200, { vms: this.#visibleVms });
    }
    if (path.startsWith("/weights/")) {
      return sendJson(res, 200, { bytes: 2_000_000_000, bytesPerSecond: 2e9 });
    }
    if (path === "/watch") return await this.#handleWatch(req, res);
    if (path === "/objects") return this.#handleList(req, res);
    if (path.startsWith("/objects/")) return this.#handleObject(req, res);
    sendJson(res, 404, { error: "no such path" });
  }

  #handleControl(req: JsonRequest, res: http.ServerResponse): void {
    if (req.url.pathname === "/_control/vms") {
      if (req.method === "PUT") {
        this.setVms(JSON.parse(req.text) as VmListEntry[]);
      }
      return sendJson(res, 200, this.#vms);
    }
    if (req.method === "PUT") Object.assign(this.faults, JSON.parse(req.text));
    sendJson(res, 200, {
      faults: this.faults,
      calls: this.calls,
      revision: this.#revision,
    });
  }

  /** Counts a call against the limit per second; false if it exceeds the limit. */
  #countAgainstRateLimit(method: string): boolean {
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#rateWindow.second) {
      this.#rateWindow = { second, reads: 0, writes: 0 };
    }
    if (method === "GET") {
      return ++this.#rateWindow.reads <= this.faults.readsPerSecond;
    }
    return ++this.#rateWindow.writes <= this.faults.writesPerSecond;
  }

  #handleList(req: JsonRequest, res: http.ServerResponse): void {
    this.calls.reads++;
    const prefix = req.url.searchParams.get("prefix") ?? "";
    const objects: string[] = [];
    for (const [key, { version, text }] of this.#objects) {
      if (key.startsWith(prefix)) objects.push(toJson(key, version, text));
    }
    const revision = this.#revision;
    sendText(res, `{"revision":${revision},"objects":[${objects}]}`);
  }

  async #handleWatch(
    req: JsonRequest,
    res: http.ServerResponse,
  ): Promise<void> {
    this.calls.watches++;
    const prefix = req.url.searchParams.get("prefix") ?? "";
    const since = Number(req.url.searchParams.get("since") ?? 0);
    const waitMs = Math.min(
      60_000,
      Number(req.url.searchParams.get("waitMs") ?? 0),
    );
    const deadline = performance.now() + waitMs;
    if (this.faults.silentWatch) return;
    const oldest = this.#changes[0]?.revision ?? 0;
    if (oldest > since + 1 && this.#changes.length === MAX_CHANGES_KEPT) {
      return sendJson(res, 410, {
        error: "history is gone",
        revision: this.#revision,
      });
    }
    for (;;) {
      const matchingChanges = this.#changes.filter((change) =>
        change.revision > since && change.key.startsWith(prefix)
      );
      const remainingMs = deadline - performance.now();
      if (matchingChanges.length > 0 || remainingMs <= 0 || res.destroyed) {
        const events = matchingChanges.map(({ key, revision, text }) =>
          toJson(key, revision, text)
        );
        const revision = this.#revision;
        return sendText(res, `{"revision":${revision},"events":[${events}]}`);
      }
      await this.#waitForChange(remainingMs);
      if (this.faults.silentWatch) return;
      if (this.faults.down) return void res.destroy();
    }
  }

  #waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#changeWaiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.#changeWaiters.add(wake);
    });
  }

  #handleObject(req: JsonRequest, res: http.ServerResponse): void {
    const key = decodeURIComponent(req.url.pathname.slice("/objects/".length));
    const current = this.#objects.get(key);
    if (req.method === "GET") {
      this.calls.reads++;
      if (current === undefined) {
        return sendJson(res, 404, { error: "no such object" });
      }
      return sendText(res, toJson(key, current.version, current.text));
    }
    this.calls.writes++;
    const expectedVersion = req.headers["if-match"];
    const mustNotExist = req.headers["if-none-match"] === "*";
    if (
      (expectedVersion !== undefined &&
        Number(expectedVersion) !== current?.version) ||
      (mustNotExist && current !== undefined)
    ) {
      return sendJson(res, 412, {
        error: "precondition failed",
        version: current?.version ?? 0,
      });
    }
    if (req.text.length > MAX_VALUE_BYTES) {
      return sendJson(res, 413, { error: "value over 1 MB" });
    }
    const isRemoval = req.method === "DELETE";
    const text = isRemoval ? "null" : req.text;
    JSON.parse(text);
    if (current !== undefined && current.text === text) {
      return sendJson(res, 200, { version: current.version });
    }
    const version = ++this.#revision;
    if (isRemoval) this.#objects.delete(key);
    else this.#objects.set(key, { version, text });
    this.#changes.push({ revision: version, key, text });
    if (this.#changes.length > MAX_CHANGES_KEPT) this.#changes.shift();
    for (const wake of [...this.#changeWaiters]) wake();
    if (this.#random() < this.faults.loseReplies) return void res.destroy();
    sendJson(res, 200, { version });
  }
}

function toJson(key: string, version: number, text: string): string {
  return `{"key":${JSON.stringify(key)},"version":${version},"value":${text}}`;
}

function sendText(res: http.ServerResponse, text: string): void {
  if (res.destroyed) return;
  res.writeHead(200, { "content-type": "application/json" }).end(text);
}
