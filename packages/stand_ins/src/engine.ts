/**
 * Stand-in of a model engine; docs/PROTOCOLS.md describes what it speaks.
 * @module
 */
import type * as http from "node:http";
import { sleep } from "@bitternfall/types";
import {
  countTokens,
  getAnswerLength,
  getAnswerToken,
  hashText,
} from "./answers.ts";
import {
  DEFAULT_ENGINE,
  type EngineParameters,
  getStepMs,
  PrefixCache,
  SharedLink,
} from "./engine_model.ts";
import { type JsonRequest, JsonServer, sendJson } from "./json_server.ts";

interface PrefillBody {
  requestId: string;
  attempt: number;
  owner: string;
  prompt: string;
  /** Output tokens that already exist and are prefilled as well. */
  outputTokens: number;
  priority: number;
}

interface DecodeBody {
  requestId: string;
  attempt: number;
  owner: string;
  kv: string;
  source: string;
  maxTokens: number;
  fromOffset: number;
  shape: "chat" | "text";
}

interface PrefillJob extends PrefillBody {
  readonly queuedAt: number;
  left: number;
  cached: number;
  cancelled: boolean;
  readonly finish: (ok: boolean) => void;
}

interface KvEntry {
  readonly prompt: string;
  readonly tokens: number;
  pinned: number;
  timer: NodeJS.Timeout | undefined;
}

interface Stream extends DecodeBody {
  prompt: string;
  promptHash: number;
  contextTokens: number;
  length: number;
  next: number;
  readonly startedAt: number;
  state: "importing" | "decoding" | "done";
  /** The connection that receives the events; undefined while nobody reads. */
  sink: http.ServerResponse | undefined;
  /** Offset of the next event that the sink gets. */
  sent: number;
}

/** A stream or import that holds decode memory. */
export interface HeldStream {
  readonly requestId: string;
  readonly attempt: number;
  readonly owner: string;
  /** Empty while the prefill result has not come. */
  readonly prompt: string;
}

/** What one engine truly did, for checks and measures. */
export interface EngineLedger {
  readonly prefills: {
    requestId: string;
    attempt: number;
    tokens: number;
    cached: number;
    done: boolean;
  }[];
  readonly streams: {
    requestId: string;
    attempt: number;
    tokens: number;
    end: "done" | "cancelled" | "failed";
  }[];
  readonly orders: {
    orderId: string;
    fence: number;
    accepted: boolean;
    at: number;
  }[];
  /** Work started, by wall-clock time in milliseconds since the epoch. */
  readonly starts: { requestId: string; tag: string; at: number }[];
  stepMs: number;
  /** Prefills and decodes asked for, whether or not they were accepted. */
  asked: number;
}

/** Faults of an engine stand-in. */
export interface EngineFaults {
  /** New requests fail with 500 with this probability. */
  failShare: number;
  /** Decode makes no progress and says nothing. */
  frozen: boolean;
  /** Multiplies every duration. */
  slowdown: number;
  /** Cancels are accepted and not carried out, with this probability. */
  loseCancels: number;
  leaving: boolean;
  /** Load reports are answered with 503. */
  noReports: boolean;
  transfersStalled: boolean;
  /** Each event is sent twice. */
  doubleEvents: boolean;
}

const FINISHED_KEPT_MS = 5000;

/** The engine stand-in. */
export class EngineStandIn {
  readonly id: string;
  readonly parameters: EngineParameters;
  readonly faults: EngineFaults = {
    failShare: 0,
    frozen: false,
    slowdown: 1,
    loseCancels: 0,
    leaving: false,
    noReports: false,
    transfersStalled: false,
    doubleEvents: false,
  };
  readonly ledger: EngineLedger = {
    prefills: [],
    streams: [],
    orders: [],
    starts: [],
    stepMs: 0,
    asked: 0,
  };
  role: "prefill" | "decode";
  readonly #cache: PrefixCache;
  readonly #link: SharedLink;
  readonly #random: () => number;
  readonly #jobs: PrefillJob[] = [];
  readonly #kv = new Map<string, KvEntry>();
  readonly #streams = new Map<string, Stream>();
  readonly #waiting: (() => void)[] = [];
  readonly #cacheEvents: {
    seq: number;
    at: number;
    requestId: string;
    kind: "stored" | "evicted";
  }[] = [];
  readonly #adapters = new Set<string>();
  readonly #reports: { at: number; value: object }[] = [];
  #running = 0;
  #prefilling = false;
  #stepping = false;
  #kvCount = 0;
  #cacheSeq = 0;
  #fence = 0;
  #changing = false;
  #closed = false;
  #server: JsonServer | undefined;
  #reportTimer: NodeJS.Timeout | undefined;

  constructor(
    options: {
      id: string;
      role: "prefill" | "decode";
      parameters?: Partial<EngineParameters>;
      random?: () => number;
    },
  ) {
    this.id = options.id;
    this.role = options.role;
    this.parameters = { ...DEFAULT_ENGINE, ...options.parameters };
    this.#random = options.random ?? Math.random;
    this.#cache = new PrefixCache(this.parameters.cacheTokens);
    this.#link = new SharedLink(this.parameters.linkBytesPerSecond);
  }

  get address(): string {
    return this.#server?.address ?? "";
  }

  /** Streams and imports that hold decode memory now. */
  get held(): HeldStream[] {
    return [...this.#streams.values()].filter((stream) =>
      stream.state !== "done"
    );
  }

  async listen(port = 0): Promise<void> {
    this.#server = await JsonServer.listen(
      (req, res) => this.#handle(req, res),
      port,
    );
    this.#reportTimer = setInterval(() => this.#sampleReport(), 100);
    this.#sampleReport();
  }

  async close(): Promise<void> {
    this.#closed = true;
    clearInterval(this.#reportTimer);
    this.#link.close();
    await this.#server?.close();
  }

  async #handle(req: JsonRequest, res: http.ServerResponse): Promise<void> {
    const path = req.url.pathname;
    if (path === "/_control") {
      if (req.method === "PUT") {
        const { crash, ...faults } = JSON.parse(req.text) as
          & { crash?: boolean }
          & Partial<EngineFaults>;
        Object.assign(this.faults, faults);
        if (crash === true) this.#crash();
      }
      this.#link.stalled = this.faults.transfersStalled;
      return sendJson(res, 200, {
        faults: this.faults,
        role: this.role,
        adapters: [...this.#adapters],
      });
    }
    if (path === "/_ledger") {
      return sendJson(res, 200, {
        ...this.ledger,
        held: this.held.map(describe),
      });
    }
    if (path === "/_held") {
      return sendJson(
        res,
        200,
        this.held.map(({ owner, prompt }) => ({
          owner,
          tag: findTag(prompt),
        })),
      );
    }
    if (path === "/v1/prefill") {
      return this.#prefill(JSON.parse(req.text) as PrefillBody, res);
    }
    if (path.startsWith("/v1/kv/")) {
      return await this.#exportKv(path.slice("/v1/kv/".length), res);
    }
    if (path === "/v1/decode") {
      return await this.#decode(JSON.parse(req.text) as DecodeBody, res);
    }
    if (path === "/v1/streams") {
      return sendJson(res, 200, { streams: this.held.map(describe) });
    }
    if (path.startsWith("/v1/streams/")) return this.#resume(req, res);
    if (path === "/v1/cancel") return this.#cancel(JSON.parse(req.text), res);
    if (path === "/v1/report") return this.#report(res);
    if (path === "/v1/cache-events") return this.#listCacheEvents(req, res);
    if (path === "/v1/orders") return this.#order(JSON.parse(req.text), res);
    sendJson(res, 404, { error: "no such path" });
  }

  /** Loses everything that a process that dies would lose. */
  #crash(): void {
    for (const stream of [...this.#streams.values()]) {
      if (stream.state === "decoding") this.#finish(stream, "failed");
      stream.state = "done";
      stream.sink?.destroy();
    }
    this.#streams.clear();
    for (const { timer } of this.#kv.values()) clearTimeout(timer);
    this.#kv.clear();
    for (const job of this.#jobs) job.cancelled = true;
    this.#cache.clear();
  }

  #refuses(role: "prefill" | "decode", res: http.ServerResponse): boolean {
    this.ledger.asked++;
    if (this.faults.leaving || this.#changing || this.role !== role) {
      sendJson(res, 503, {
        error: "not accepting",
        reason: this.faults.leaving ? "leaving" : "role",
      });
      return true;
    }
    if (this.#random() < this.faults.failShare) {
      sendJson(res, 500, { error: "engine failed" });
      return true;
    }
    return false;
  }

  #prefill(body: PrefillBody, res: http.ServerResponse): void {
    if (this.#refuses("prefill", res)) return;
    this.ledger.starts.push({
      requestId: body.requestId,
      tag: findTag(body.prompt),
      at: Date.now(),
    });
    const cached = Math.min(
      this.#cache.match(body.prompt),
      countTokens(body.prompt) - 1,
    );
    const tokens = countTokens(body.prompt) + body.outputTokens;
    const queuedAt = performance.now();
    const finish = (ok: boolean) => {
      this.ledger.prefills.push({
        requestId: body.requestId,
        attempt: body.attempt,
        tokens: tokens - job.cached - Math.max(0, job.left),
        cached: job.cached,
        done: ok,
      });
      if (!ok) return sendJson(res, 409, { error: "cancelled" });
      this.#storeCache(body);
      const kv = this.#holdKv(body.prompt, tokens);
      const prefillMs = performance.now() - queuedAt;
      sendJson(res, 200, {
        kv,
        promptTokens: tokens,
        cachedTokens: job.cached,
        prefillMs,
        kvBytes: tokens * this.parameters.kvBytesPerToken,
      });
    };
    const job: PrefillJob = {
      ...body,
      queuedAt,
      left: tokens - cached,
      cached,
      cancelled: false,
      finish,
    };
    this.#jobs.push(job);
    if (!this.#prefilling) void this.#runPrefills();
  }

  async #runPrefills(): Promise<void> {
    this.#prefilling = true;
    const { prefillRate, prefillBaseMs, prefillChunk } = this.parameters;
    let owed = 0;
    let last: PrefillJob | undefined;
    while (this.#jobs.length > 0 && !this.#closed) {
      this.#jobs.sort((a, b) =>
        a.priority - b.priority || a.queuedAt - b.queuedAt
      );
      const job = this.#jobs[0]!;
      if (job.cancelled) {
        this.#jobs.shift();
        job.finish(false);
        continue;
      }
      if (job !== last) owed += prefillBaseMs;
      last = job;
      const chunk = Math.min(prefillChunk, job.left);
      owed += chunk / prefillRate * 1000 * this.faults.slowdown;
      const before = performance.now();
      if (owed >= 1) await sleep(owed);
      owed -= performance.now() - before;
      job.left -= chunk;
      if (job.left > 0 || job.cancelled) continue;
      this.#jobs.splice(this.#jobs.indexOf(job), 1);
      job.finish(true);
    }
    this.#prefilling = false;
  }

  #storeCache(body: PrefillBody): void {
    const evicted = this.#cache.store(body.prompt, body.requestId);
    this.#pushCacheEvent(body.requestId, "stored");
    for (const requestId of evicted) this.#pushCacheEvent(requestId, "evicted");
  }

  #pushCacheEvent(requestId: string, kind: "stored" | "evicted"): void {
    const seq = ++this.#cacheSeq;
    if (this.#random() < this.parameters.cacheEventLoss) return;
    this.#cacheEvents.push({ seq, at: performance.now(), requestId, kind });
    if (this.#cacheEvents.length > 1000) this.#cacheEvents.shift();
  }

  #holdKv(prompt: string, tokens: number): string {
    const handle = `${this.id}-${++this.#kvCount}`;
    const entry: KvEntry = { prompt, tokens, pinned: 0, timer: undefined };
    entry.timer = setTimeout(
      () => this.#kv.delete(handle),
      this.parameters.kvHoldMs,
    );
    this.#kv.set(handle, entry);
    return handle;
  }

  async #exportKv(handle: string, res: http.ServerResponse): Promise<void> {
    const entry = this.#kv.get(handle);
    if (entry === undefined) return sendJson(res, 410, { error: "evicted" });
    clearTimeout(entry.timer);
    await this.#link.send(entry.tokens * this.parameters.kvBytesPerToken);
    this.#kv.delete(handle);
    sendJson(res, 200, { prompt: entry.prompt, tokens: entry.tokens });
  }

  async #decode(body: DecodeBody, res: http.ServerResponse): Promise<void> {
    if (this.#refuses("decode", res)) return;
    this.ledger.starts.push({
      requestId: body.requestId,
      tag: "",
      at: Date.now(),
    });
    const stream: Stream = {
      ...body,
      prompt: "",
      promptHash: 0,
      contextTokens: 0,
      length: 0,
      next: body.fromOffset,
      sent: body.fromOffset,
      startedAt: performance.now(),
      state: "importing",
      sink: res,
    };
    const key = `${body.requestId}.${body.attempt}`;
    this.#streams.set(key, stream);
    res.on("close", () => {
      if (stream.sink === res) stream.sink = undefined;
    });
    await this.#takeSlot();
    const entry = this.#isHeld(key, stream)
      ? await this.#importKv(stream)
      : undefined;
    if (entry === undefined || !this.#isHeld(key, stream)) {
      this.#freeSlot();
      if (this.#streams.get(key) === stream) this.#streams.delete(key);
      if (entry === undefined) {
        sendJson(res, 410, { error: "prefill result is gone" });
      }
      return;
    }
    stream.prompt = entry.prompt;
    stream.promptHash = hashText(entry.prompt);
    stream.contextTokens = entry.tokens;
    stream.length = getAnswerLength(entry.prompt, body.maxTokens);
    stream.state = "decoding";
    if (stream.sink !== undefined) startEvents(stream.sink);
    if (!this.#stepping) void this.#runSteps();
  }

  #isHeld(key: string, stream: Stream): boolean {
    return this.#streams.get(key) === stream && !this.#closed;
  }

  async #takeSlot(): Promise<void> {
    if (this.#running < this.parameters.slots) {
      this.#running++;
      return;
    }
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
  }

  #freeSlot(): void {
    const next = this.#waiting.shift();
    if (next !== undefined) next();
    else this.#running--;
  }

  async #importKv(
    stream: Stream,
  ): Promise<{ prompt: string; tokens: number } | undefined> {
    try {
      const answer = await fetch(`${stream.source}/v1/kv/${stream.kv}`, {
        signal: AbortSignal.timeout(10_000),
      });
      if (!answer.ok) return undefined;
      return await answer.json() as { prompt: string; tokens: number };
    } catch {
      return undefined;
    }
  }

  async #runSteps(): Promise<void> {
    this.#stepping = true;
    let due = performance.now();
    while (!this.#closed) {
      const batch = [...this.#streams.values()].filter((stream) =>
        stream.state === "decoding"
      );
      if (batch.length === 0) break;
      let contextTokens = 0;
      for (const stream of batch) contextTokens += stream.contextTokens;
      const stepMs =
        getStepMs(this.parameters, { size: batch.length, contextTokens }) *
        this.faults.slowdown;
      this.ledger.stepMs = stepMs;
      due = Math.max(due + stepMs, performance.now() - stepMs);
      await sleep(Math.max(0, due - performance.now()));
      if (this.faults.frozen) {
        await sleep(20);
        due = performance.now();
        continue;
      }
      for (const stream of batch) this.#step(stream);
    }
    this.#stepping = false;
  }

  #step(stream: Stream): void {
    if (stream.state !== "decoding") return;
    stream.next++;
    stream.contextTokens++;
    this.#flush(stream);
    if (stream.next < stream.length) return;
    this.#finish(stream, "done");
    const key = `${stream.requestId}.${stream.attempt}`;
    setTimeout(
      () => this.#streams.get(key) === stream && this.#streams.delete(key),
      FINISHED_KEPT_MS,
    ).unref();
  }

  #finish(stream: Stream, end: "done" | "cancelled" | "failed"): void {
    const held = stream.state === "decoding";
    stream.state = "done";
    this.ledger.streams.push({
      requestId: stream.requestId,
      attempt: stream.attempt,
      tokens: stream.next,
      end,
    });
    if (held) this.#freeSlot();
  }

  #flush(stream: Stream): void {
    const { sink } = stream;
    if (sink === undefined || sink.destroyed) return;
    let text = "";
    for (; stream.sent < stream.next; stream.sent++) {
      const event = formatToken(stream, stream.sent);
      text += this.faults.doubleEvents ? event + event : event;
    }
    if (stream.sent < stream.length) return void sink.write(text);
    sink.end(text + formatEnd(stream));
  }

  #resume(req: JsonRequest, res: http.ServerResponse): void {
    const requestId = req.url.pathname.slice("/v1/streams/".length);
    const attempt = req.url.searchParams.get("attempt");
    const stream = this.#streams.get(`${requestId}.${attempt}`);
    if (stream === undefined || stream.state === "importing") {
      return sendJson(res, 404, { error: "no such stream" });
    }
    const from = Number(req.url.searchParams.get("from"));
    if (from > stream.next) {
      return sendJson(res, 416, { error: "offset is ahead of the stream" });
    }
    stream.sink = res;
    stream.sent = from;
    startEvents(res);
    res.on("close", () => {
      if (stream.sink === res) stream.sink = undefined;
    });
    this.#flush(stream);
  }

  #cancel(
    body: { requestId: string; attempt: number },
    res: http.ServerResponse,
  ): void {
    if (this.#random() < this.faults.loseCancels) return void res.destroy();
    const key = `${body.requestId}.${body.attempt}`;
    let cancelled = false;
    for (const job of this.#jobs) {
      if (job.requestId !== body.requestId || job.attempt !== body.attempt) {
        continue;
      }
      job.cancelled = true;
      cancelled = true;
    }
    const stream = this.#streams.get(key);
    if (stream !== undefined && stream.state !== "done") {
      cancelled = true;
      const { sink, state } = stream;
      stream.sink = undefined;
      if (state === "decoding") this.#finish(stream, "cancelled");
      sink?.destroy();
    }
    this.#streams.delete(key);
    sendJson(res, 200, { cancelled });
  }

  #sampleReport(): void {
    const now = performance.now();
    this.#reports.push({
      at: now,
      value: {
        role: this.role,
        running: this.#running,
        waiting: this.role === "prefill"
          ? this.#jobs.length
          : this.#waiting.length,
        slots: this.parameters.slots,
        adapters: [...this.#adapters],
        leaving: this.faults.leaving,
        changing: this.#changing,
        fence: this.#fence,
      },
    });
    while (
      (this.#reports[1]?.at ?? Infinity) <= now - this.parameters.reportLagMs
    ) this.#reports.shift();
  }

  #report(res: http.ServerResponse): void {
    if (this.faults.noReports) {
      return sendJson(res, 503, { error: "no report" });
    }
    const oldest = this.#reports[0]!;
    sendJson(res, 200, {
      ...oldest.value,
      ageMs: performance.now() - oldest.at,
    });
  }

  #listCacheEvents(req: JsonRequest, res: http.ServerResponse): void {
    const since = Number(req.url.searchParams.get("since") ?? 0);
    const visible = performance.now() - this.parameters.reportLagMs;
    const events = this.#cacheEvents.filter((event) =>
      event.seq > since && event.at <= visible
    );
    sendJson(res, 200, {
      next: events.at(-1)?.seq ?? since,
      events: events.map(({ seq, requestId, kind }) => ({
        seq,
        requestId,
        kind,
      })),
    });
  }

  #order(
    body: {
      orderId: string;
      fence: number;
      role?: "prefill" | "decode";
      adapter?: string;
    },
    res: http.ServerResponse,
  ): void {
    const stale = this.parameters.checksFencing && body.fence < this.#fence;
    this.ledger.orders.push({
      orderId: body.orderId,
      fence: body.fence,
      accepted: !stale,
      at: Date.now(),
    });
    if (stale) {
      return sendJson(res, 409, {
        error: "old fencing number",
        fence: this.#fence,
      });
    }
    this.#fence = Math.max(this.#fence, body.fence);
    if (body.role !== undefined) void this.#changeRole(body.role);
    if (body.adapter !== undefined) void this.#loadAdapter(body.adapter);
    sendJson(res, 200, { accepted: true });
  }

  async #changeRole(role: "prefill" | "decode"): Promise<void> {
    if (this.role === role || this.#changing) return;
    this.#changing = true;
    while ((this.#running > 0 || this.#jobs.length > 0) && !this.#closed) {
      await sleep(20);
    }
    await sleep(this.parameters.roleChangeMs);
    this.role = role;
    this.#changing = false;
  }

  async #loadAdapter(adapter: string): Promise<void> {
    await sleep(this.parameters.adapterLoadMs);
    this.#adapters.add(adapter);
  }
}

/** The `tag=NAME` in a prompt, by which a test knows a request again. */
export function findTag(prompt: string): string {
  return /tag=([\w-]+)/.exec(prompt)?.[1] ?? "";
}

function describe(
  stream: { requestId: string; attempt: number; owner: string },
): object {
  return {
    requestId: stream.requestId,
    attempt: stream.attempt,
    owner: stream.owner,
  };
}

function startEvents(res: http.ServerResponse): void {
  res.writeHead(200, { "content-type": "text/event-stream" });
  res.socket?.setNoDelay(true);
}

function formatToken(stream: Stream, offset: number): string {
  const text = getAnswerToken(stream.promptHash, offset);
  const choice = stream.shape === "chat"
    ? `{"index":0,"delta":{"content":"${text}"},"finish_reason":null}`
    : `{"index":0,"text":"${text}","finish_reason":null}`;
  const object = stream.shape === "chat"
    ? "chat.completion.chunk"
    : "text_completion";
  return `id: ${stream.attempt}.${offset}\ndata: {"id":"${stream.requestId}","object":"${object}","choices":[${choice}]}\n\n`;
}

function formatEnd(stream: Stream): string {
  const object = stream.shape === "chat"
    ? "chat.completion.chunk"
    : "text_completion";
  const choice = stream.shape === "chat"
    ? { index: 0, delta: {}, finish_reason: "stop" }
    : { index: 0, text: "", finish_reason: "stop" };
  const usage = {
    prompt_tokens: countTokens(stream.prompt),
    completion_tokens: stream.length,
    total_tokens: countTokens(stream.prompt) + stream.length,
  };
  const data = JSON.stringify({
    id: stream.requestId,
    object,
    choices: [choice],
    usage,
  });
  return `id: ${stream.attempt}.${stream.length}\nevent: end\ndata: ${data}\n\n`;
}
