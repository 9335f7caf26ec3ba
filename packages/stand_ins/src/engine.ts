/**
 * Stand-in of a model engine; docs/PROTOCOLS.md describes its protocol.
 * @module
 */
import type * as http from "node:http";
import { sleep } from "@bitternfall/types";
import {
  countTokens,
  getCompletionLength,
  getCompletionToken,
  hashText,
} from "./completions.ts";
import {
  DEFAULT_ENGINE_PARAMETERS,
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
  /** Number of output tokens that an earlier attempt generated and that are prefilled too. */
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
  remainingTokens: number;
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
  outputLength: number;
  nextOffset: number;
  readonly startedAt: number;
  state: "importing" | "decoding" | "done";
  /** Response that receives the events; undefined while no client is connected. */
  connection: http.ServerResponse | undefined;
  /** Offset of the next event to send on the connection. */
  sentOffset: number;
}

/** A stream, or an import of a prefill result, that occupies decode memory. */
export interface HeldStream {
  readonly requestId: string;
  readonly attempt: number;
  readonly owner: string;
  /** Empty until the prefill result has been imported. */
  readonly prompt: string;
}

/** Record of the work that one engine did, for checks and measurements. */
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
  /** Prefills and decodes that were started; `at` is in milliseconds since the epoch. */
  readonly starts: { requestId: string; tag: string; at: number }[];
  stepMs: number;
  /** Number of prefills and decodes requested, whether or not they were accepted. */
  asked: number;
}

/** Faults that an engine stand-in can simulate. */
export interface EngineFaults {
  /** Probability that a new request fails with status 500. */
  failShare: number;
  /** Decoding makes no progress and sends nothing, while connections stay open. */
  frozen: boolean;
  /** Factor on the durations of prefill chunks and decode steps. */
  slowdown: number;
  /** Probability that a cancel gets no response and is not carried out. */
  loseCancels: number;
  /** New work is refused with 503 and load reports say that the engine is leaving. */
  leaving: boolean;
  /** Load reports are answered with 503. */
  noReports: boolean;
  /** Transfers of prefill results make no progress. */
  transfersStalled: boolean;
  /** Each event is sent twice. */
  doubleEvents: boolean;
}

/** How long a finished stream can still be resumed. */
const FINISHED_RETENTION_MS = 5000;

/** An engine that simulates prefill and decode over HTTP. */
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
  readonly #prefillJobs: PrefillJob[] = [];
  readonly #kvEntries = new Map<string, KvEntry>();
  readonly #streams = new Map<string, Stream>();
  readonly #slotWaiters: (() => void)[] = [];
  readonly #cacheEvents: {
    seq: number;
    at: number;
    requestId: string;
    kind: "stored" | "evicted";
  }[] = [];
  readonly #adapters = new Set<string>();
  readonly #reportSamples: { at: number; value: object }[] = [];
  #usedSlots = 0;
  #isPrefilling = false;
  #isStepping = false;
  #lastKvNumber = 0;
  #lastCacheSeq = 0;
  #highestFence = 0;
  #isChangingRole = false;
  #isClosed = false;
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
    this.parameters = { ...DEFAULT_ENGINE_PARAMETERS, ...options.parameters };
    this.#random = options.random ?? Math.random;
    this.#cache = new PrefixCache(this.parameters.cacheTokens);
    this.#link = new SharedLink(this.parameters.linkBytesPerSecond);
  }

  get address(): string {
    return this.#server?.address ?? "";
  }

  /** Streams and imports that occupy decode memory at present. */
  get heldStreams(): HeldStream[] {
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
    this.#isClosed = true;
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
        if (crash === true) this.#simulateCrash();
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
        held: this.heldStreams.map(describeStream),
      });
    }
    if (path === "/_held") {
      return sendJson(
        res,
        200,
        this.heldStreams.map(({ owner, prompt }) => ({
          owner,
          tag: findTag(prompt),
        })),
      );
    }
    if (path === "/v1/prefill") {
      return this.#handlePrefill(JSON.parse(req.text) as PrefillBody, res);
    }
    if (path.startsWith("/v1/kv/")) {
      return await this.#handleKvExport(path.slice("/v1/kv/".length), res);
    }
    if (path === "/v1/decode") {
      return await this.#handleDecode(JSON.parse(req.text) as DecodeBody, res);
    }
    if (path === "/v1/streams") {
      return sendJson(res, 200, {
        streams: this.heldStreams.map(describeStream),
      });
    }
    if (path.startsWith("/v1/streams/")) return this.#handleResume(req, res);
    if (path === "/v1/cancel") {
      return this.#handleCancel(JSON.parse(req.text), res);
    }
    if (path === "/v1/report") return this.#handleReport(res);
    if (path === "/v1/cache-events") return this.#handleCacheEvents(req, res);
    if (path === "/v1/orders") {
      return this.#handleOrder(JSON.parse(req.text), res);
    }
    sendJson(res, 404, { error: "no such path" });
  }

  /** Drops all state that a crash of the process would lose. */
  #simulateCrash(): void {
    for (const stream of [...this.#streams.values()]) {
      if (stream.state === "decoding") this.#finishStream(stream, "failed");
      stream.state = "done";
      stream.connection?.destroy();
    }
    this.#streams.clear();
    for (const { timer } of this.#kvEntries.values()) clearTimeout(timer);
    this.#kvEntries.clear();
    for (const job of this.#prefillJobs) job.cancelled = true;
    this.#cache.clear();
  }

  /** Sends an error response if new work of `role` can't be accepted; true if it did. */
  #refuseIfUnavailable(
    role: "prefill" | "decode",
    res: http.ServerResponse,
  ): boolean {
    this.ledger.asked++;
    if (this.faults.leaving || this.#isChangingRole || this.role !== role) {
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

  #handlePrefill(body: PrefillBody, res: http.ServerResponse): void {
    if (this.#refuseIfUnavailable("prefill", res)) return;
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
        tokens: tokens - job.cached - Math.max(0, job.remainingTokens),
        cached: job.cached,
        done: ok,
      });
      if (!ok) return sendJson(res, 409, { error: "cancelled" });
      this.#storeCache(body);
      const kv = this.#storeKv(body.prompt, tokens);
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
      remainingTokens: tokens - cached,
      cached,
      cancelled: false,
      finish,
    };
    this.#prefillJobs.push(job);
    if (!this.#isPrefilling) void this.#runPrefills();
  }

  async #runPrefills(): Promise<void> {
    this.#isPrefilling = true;
    const { prefillRate, prefillBaseMs, prefillChunk } = this.parameters;
    let pendingMs = 0;
    let previousJob: PrefillJob | undefined;
    while (this.#prefillJobs.length > 0 && !this.#isClosed) {
      this.#prefillJobs.sort((a, b) =>
        a.priority - b.priority || a.queuedAt - b.queuedAt
      );
      const job = this.#prefillJobs[0]!;
      if (job.cancelled) {
        this.#prefillJobs.shift();
        job.finish(false);
        continue;
      }
      if (job !== previousJob) pendingMs += prefillBaseMs;
      previousJob = job;
      const chunk = Math.min(prefillChunk, job.remainingTokens);
      pendingMs += chunk / prefillRate * 1000 * this.faults.slowdown;
      const sleepStartedAt = performance.now();
      // Waits of less than 1 ms, and the excess of late timers, carry over to later chunks.
      if (pendingMs >= 1) await sleep(pendingMs);
      pendingMs -= performance.now() - sleepStartedAt;
      job.remainingTokens -= chunk;
      if (job.remainingTokens > 0 || job.cancelled) continue;
      this.#prefillJobs.splice(this.#prefillJobs.indexOf(job), 1);
      job.finish(true);
    }
    this.#isPrefilling = false;
  }

  #storeCache(body: PrefillBody): void {
    const evicted = this.#cache.store(body.prompt, body.requestId);
    this.#pushCacheEvent(body.requestId, "stored");
    for (const requestId of evicted) this.#pushCacheEvent(requestId, "evicted");
  }

  #pushCacheEvent(requestId: string, kind: "stored" | "evicted"): void {
    const seq = ++this.#lastCacheSeq;
    if (this.#random() < this.parameters.cacheEventLoss) return;
    this.#cacheEvents.push({ seq, at: performance.now(), requestId, kind });
    if (this.#cacheEvents.length > 1000) this.#cacheEvents.shift();
  }

  #storeKv(prompt: string, tokens: number): string {
    const handle = `${this.id}-${++this.#lastKvNumber}`;
    const entry: KvEntry = { prompt, tokens, pinned: 0, timer: undefined };
    entry.timer = setTimeout(
      () => this.#kvEntries.delete(handle),
      this.parameters.kvHoldMs,
    );
    this.#kvEntries.set(handle, entry);
    return handle;
  }

  async #handleKvExport(
    handle: string,
    res: http.ServerResponse,
  ): Promise<void> {
    const entry = this.#kvEntries.get(handle);
    if (entry === undefined) return sendJson(res, 410, { error: "evicted" });
    clearTimeout(entry.timer);
    await this.#link.send(entry.tokens * this.parameters.kvBytesPerToken);
    this.#kvEntries.delete(handle);
    sendJson(res, 200, { prompt: entry.prompt, tokens: entry.tokens });
  }

  async #handleDecode(
    body: DecodeBody,
    res: http.ServerResponse,
  ): Promise<void> {
    if (this.#refuseIfUnavailable("decode", res)) return;
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
      outputLength: 0,
      nextOffset: body.fromOffset,
      sentOffset: body.fromOffset,
      startedAt: performance.now(),
      state: "importing",
      connection: res,
    };
    const key = `${body.requestId}.${body.attempt}`;
    this.#streams.set(key, stream);
    res.on("close", () => {
      if (stream.connection === res) stream.connection = undefined;
    });
    await this.#takeSlot();
    const entry = this.#isCurrent(key, stream)
      ? await this.#importKv(stream)
      : undefined;
    if (entry === undefined || !this.#isCurrent(key, stream)) {
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
    stream.outputLength = getCompletionLength(entry.prompt, body.maxTokens);
    stream.state = "decoding";
    if (stream.connection !== undefined) startEvents(stream.connection);
    if (!this.#isStepping) void this.#runSteps();
  }

  /** Whether the stream still exists after a wait: not cancelled, crashed or replaced. */
  #isCurrent(key: string, stream: Stream): boolean {
    return this.#streams.get(key) === stream && !this.#isClosed;
  }

  async #takeSlot(): Promise<void> {
    if (this.#usedSlots < this.parameters.slots) {
      this.#usedSlots++;
      return;
    }
    await new Promise<void>((resolve) => this.#slotWaiters.push(resolve));
  }

  #freeSlot(): void {
    const next = this.#slotWaiters.shift();
    if (next !== undefined) next();
    else this.#usedSlots--;
  }

  async #importKv(
    stream: Stream,
  ): Promise<{ prompt: string; tokens: number } | undefined> {
    try {
      const res = await fetch(`${stream.source}/v1/kv/${stream.kv}`, {
        signal: AbortSignal.timeout(10_000),
      });
      if (!res.ok) return undefined;
      return await res.json() as { prompt: string; tokens: number };
    } catch {
      return undefined;
    }
  }

  async #runSteps(): Promise<void> {
    this.#isStepping = true;
    let nextStepAt = performance.now();
    while (!this.#isClosed) {
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
      // After a late timer, steps follow without a pause; the lag is limited to one step.
      nextStepAt = Math.max(nextStepAt + stepMs, performance.now() - stepMs);
      await sleep(Math.max(0, nextStepAt - performance.now()));
      if (this.faults.frozen) {
        await sleep(20);
        nextStepAt = performance.now();
        continue;
      }
      for (const stream of batch) this.#emitToken(stream);
    }
    this.#isStepping = false;
  }

  #emitToken(stream: Stream): void {
    if (stream.state !== "decoding") return;
    stream.nextOffset++;
    stream.contextTokens++;
    this.#flush(stream);
    if (stream.nextOffset < stream.outputLength) return;
    this.#finishStream(stream, "done");
    const key = `${stream.requestId}.${stream.attempt}`;
    setTimeout(
      () => this.#streams.get(key) === stream && this.#streams.delete(key),
      FINISHED_RETENTION_MS,
    ).unref();
  }

  #finishStream(stream: Stream, end: "done" | "cancelled" | "failed"): void {
    const hadSlot = stream.state === "decoding";
    stream.state = "done";
    this.ledger.streams.push({
      requestId: stream.requestId,
      attempt: stream.attempt,
      tokens: stream.nextOffset,
      end,
    });
    if (hadSlot) this.#freeSlot();
  }

  #flush(stream: Stream): void {
    const { connection } = stream;
    if (connection === undefined || connection.destroyed) return;
    let text = "";
    for (; stream.sentOffset < stream.nextOffset; stream.sentOffset++) {
      const event = formatToken(stream, stream.sentOffset);
      text += this.faults.doubleEvents ? event + event : event;
    }
    if (stream.sentOffset < stream.outputLength) {
      return void connection.write(text);
    }
    connection.end(text + formatEnd(stream));
  }

  #handleResume(req: JsonRequest, res: http.ServerResponse): void {
    const requestId = req.url.pathname.slice("/v1/streams/".length);
    const attempt = req.url.searchParams.get("attempt");
    const stream = this.#streams.get(`${requestId}.${attempt}`);
    if (stream === undefined || stream.state === "importing") {
      return sendJson(res, 404, { error: "no such stream" });
    }
    const from = Number(req.url.searchParams.get("from"));
    if (from > stream.nextOffset) {
      return sendJson(res, 416, { error: "offset is ahead of the stream" });
    }
    stream.connection = res;
    stream.sentOffset = from;
    startEvents(res);
    res.on("close", () => {
      if (stream.connection === res) stream.connection = undefined;
    });
    this.#flush(stream);
  }

  #handleCancel(
    body: { requestId: string; attempt: number },
    res: http.ServerResponse,
  ): void {
    if (this.#random() < this.faults.loseCancels) return void res.destroy();
    const key = `${body.requestId}.${body.attempt}`;
    let cancelled = false;
    for (const job of this.#prefillJobs) {
      if (job.requestId !== body.requestId || job.attempt !== body.attempt) {
        continue;
      }
      job.cancelled = true;
      cancelled = true;
    }
    const stream = this.#streams.get(key);
    if (stream !== undefined && stream.state !== "done") {
      cancelled = true;
      const { connection, state } = stream;
      stream.connection = undefined;
      if (state === "decoding") this.#finishStream(stream, "cancelled");
      connection?.destroy();
    }
    this.#streams.delete(key);
    sendJson(res, 200, { cancelled });
  }

  #sampleReport(): void {
    const now = performance.now();
    this.#reportSamples.push({
      at: now,
      value: {
        role: this.role,
        running: this.#usedSlots,
        waiting: this.role === "prefill"
          ? this.#prefillJobs.length
          : this.#slotWaiters.length,
        slots: this.parameters.slots,
        adapters: [...this.#adapters],
        leaving: this.faults.leaving,
        changing: this.#isChangingRole,
        fence: this.#highestFence,
      },
    });
    while (
      (this.#reportSamples[1]?.at ?? Infinity) <=
        now - this.parameters.reportLagMs
    ) this.#reportSamples.shift();
  }

  #handleReport(res: http.ServerResponse): void {
    if (this.faults.noReports) {
      return sendJson(res, 503, { error: "no report" });
    }
    const oldest = this.#reportSamples[0]!;
    sendJson(res, 200, {
      ...oldest.value,
      ageMs: performance.now() - oldest.at,
    });
  }

  #handleCacheEvents(req: JsonRequest, res: http.ServerResponse): void {
    const since = Number(req.url.searchParams.get("since") ?? 0);
    const visibleUntil = performance.now() - this.parameters.reportLagMs;
    const events = this.#cacheEvents.filter((event) =>
      event.seq > since && event.at <= visibleUntil
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

  #handleOrder(
    body: {
      orderId: string;
      fence: number;
      role?: "prefill" | "decode";
      adapter?: string;
    },
    res: http.ServerResponse,
  ): void {
    const isStale = this.parameters.checksFencing &&
      body.fence < this.#highestFence;
    this.ledger.orders.push({
      orderId: body.orderId,
      fence: body.fence,
      accepted: !isStale,
      at: Date.now(),
    });
    if (isStale) {
      return sendJson(res, 409, {
        error: "old fencing number",
        fence: this.#highestFence,
      });
    }
    this.#highestFence = Math.max(this.#highestFence, body.fence);
    if (body.role !== undefined) void this.#changeRole(body.role);
    if (body.adapter !== undefined) void this.#loadAdapter(body.adapter);
    sendJson(res, 200, { accepted: true });
  }

  async #changeRole(role: "prefill" | "decode"): Promise<void> {
    if (this.role === role || this.#isChangingRole) return;
    this.#isChangingRole = true;
    while (
      (this.#usedSlots > 0 || this.#prefillJobs.length > 0) && !this.#isClosed
    ) {
      await sleep(20);
    }
    await sleep(this.parameters.roleChangeMs);
    this.role = role;
    this.#isChangingRole = false;
  }

  async #loadAdapter(adapter: string): Promise<void> {
    await sleep(this.parameters.adapterLoadMs);
    this.#adapters.add(adapter);
  }
}

/** The `tag=NAME` in a prompt, by which a test identifies a request; empty if none. */
export function findTag(prompt: string): string {
  return /tag=([\w-]+)/.exec(prompt)?.[1] ?? "";
}

function describeStream(
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
  const text = getCompletionToken(stream.promptHash, offset);
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
    completion_tokens: stream.outputLength,
    total_tokens: countTokens(stream.prompt) + stream.outputLength,
  };
  const data = JSON.stringify({
    id: stream.requestId,
    object,
    choices: [choice],
    usage,
  });
  return `id: ${stream.attempt}.${stream.outputLength}\nevent: end\ndata: ${data}\n\n`;
}
