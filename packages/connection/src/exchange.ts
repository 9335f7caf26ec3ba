/**
 * Sends one request over a connection that is used for nothing else. No response to
 * another request can arrive on it, and a failed connect proves that nothing was sent.
 * @module
 */
import { Buffer } from "node:buffer";
import * as http from "node:http";
import * as net from "node:net";
import { getCode, getMessage } from "@bitternfall/errors";
import { ChunkCollector } from "./chunk_collector.ts";
import { ConnectionError } from "./error.ts";
import { type MeteredSocket, meterSocket } from "./read_shares.ts";
import { ResponseHeadCheck } from "./response_head.ts";

/** Options of {@link openExchange}. */
export interface ExchangeRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, sent unchanged. */
  readonly headers: readonly string[];
  readonly body?: Buffer | undefined;
  /** Time allowed for establishing the connection. */
  readonly connectTimeoutMs?: number;
  /** Time allowed, from the call on, until the response headers have arrived. */
  readonly headTimeoutMs: number;
  /** Closes the connection when aborted. */
  readonly signal?: AbortSignal | undefined;
}

/**
 * Five times the slowest round trip between availability zones that the deployments
 * declare, plus one retransmission.
 */
const DEFAULT_CONNECT_TIMEOUT_MS = 400;
const MAX_RESPONSE_HEADER_BYTES = 65_536;
/** Responses with a status of 1xx before the final one. */
export const MAX_INTERIM_RESPONSES = 16;
/**
 * Bytes of a response, beyond as many as the data of its body: heads, interim responses,
 * blank lines, framing and trailers.
 */
const MAX_OVERHEAD_BYTES = 98_304;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Responses whose connection failed, although Node.js reported a normal end. */
const brokenResponses = new WeakSet<http.IncomingMessage>();
/** The request of each response, which may end before it has been written. */
const requests = new WeakMap<http.IncomingMessage, http.ClientRequest>();

/**
 * Whether an ended response is complete. A response without a length ends with its
 * connection, so a reset has to be told from a normal close. A peer that closes before it
 * has read the whole request resets the connection, which may not be reported.
 */
export function isResponseComplete(res: http.IncomingMessage): boolean {
  if (!res.complete || brokenResponses.has(res)) return false;
  return hasBodyFraming(res) || requests.get(res)?.writableFinished !== false;
}

/**
 * Sends a request and resolves once the response headers have arrived; the body is read
 * from the returned message. Throws {@link ConnectionError}, with `not_sent` only if the
 * connection was never established.
 */
export function openExchange(
  options: ExchangeRequest,
): Promise<http.IncomingMessage> {
  const { host, port, method, path, headers, body, signal } = options;
  const { connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS, headTimeoutMs } =
    options;
  return new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(createError("aborted", "aborted"));
    let isConnected = false;
    let req: http.ClientRequest;
    try {
      req = http.request({
        host,
        port,
        method,
        path,
        headers: headers as unknown as http.OutgoingHttpHeaders,
        agent: false,
        setHost: false,
        maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      });
    } catch (err) {
      // Such as a port out of range, or a host name that is no header value.
      return reject(createError("not_sent", getMessage(err), err));
    }
    const fail = (
      tag: "not_sent" | "no_reply" | "aborted" | "cut",
      message: string = tag,
    ) => {
      req.destroy();
      clearTimers();
      reject(createError(tag, `${message} by ${host}:${port}`));
    };
    let meter: MeteredSocket | undefined;
    let answer: CountedAnswer | undefined;
    const checkOverhead = () => {
      if (meter === undefined) return;
      const { handedOnBytes } = meter;
      if (answer !== undefined) return answer.checkOverhead(handedOnBytes);
      if (handedOnBytes > MAX_OVERHEAD_BYTES) {
        fail("cut", `${handedOnBytes} bytes and no head`);
      }
    };
    let interimResponses = 0;
    req.on("information", () => {
      if (++interimResponses <= MAX_INTERIM_RESPONSES) return;
      const bytes = meter?.handedOnBytes ?? 0;
      fail(
        "cut",
        `${interimResponses} interim responses, ${bytes} bytes and no head`,
      );
    });
    const connectTimer = setTimeout(() => fail("not_sent"), connectTimeoutMs);
    const headTimer = setTimeout(
      () => fail(isConnected ? "no_reply" : "not_sent"),
      headTimeoutMs,
    );
    const head = new ResponseHeadCheck();
    let hasWriteFailed = false;
    const onAbort = () => fail("aborted");
    const clearTimers = () => {
      clearTimeout(connectTimer);
      clearTimeout(headTimer);
    };
    signal?.addEventListener("abort", onAbort, { once: true });
    req.once("close", () => signal?.removeEventListener("abort", onAbort));
    req.once("socket", (socket) => {
      meter = meterSocket(socket, `${host}:${port}`);
      meter.setStopsAfterReads(true);
      meter.onHandedOn(checkOverhead);
      meter.inspect((bytes) => {
        if (!head.push(bytes)) fail("cut", "malformed head");
      });
      meter.onWriteFailure(() => {
        hasWriteFailed = true;
        if (answer !== undefined) markIfUnframed(answer.res);
      });
      socket.once("connect", () => {
        isConnected = true;
        clearTimeout(connectTimer);
      });
    });
    const rejectUnusable = (res: http.IncomingMessage) => {
      clearTimers();
      res.on("error", () => {});
      res.socket.destroy();
      reject(createError("cut", `unusable head by ${host}:${port}`));
    };
    // Node.js reports neither a response nor an error after an upgrade that nobody handles.
    req.once("upgrade", rejectUnusable);
    req.once("response", (res) => {
      if (!isHeadUsable(res)) return rejectUnusable(res);
      clearTimers();
      res.socket.once("error", () => brokenResponses.add(res));
      if (hasWriteFailed) markIfUnframed(res);
      requests.set(res, req);
      meter?.follow(res);
      meter?.setStopsAfterReads(!hasBodyFraming(res));
      answer = new CountedAnswer(res);
      resolve(res);
    });
    req.on("error", (err) => {
      clearTimers();
      reject(
        createError(isConnected ? "cut" : "not_sent", getMessage(err), err),
      );
    });
    req.end(body);
  });
}

/** Marks a response as broken if nothing but the end of its connection ends it. */
function markIfUnframed(res: http.IncomingMessage): void {
  if (!hasBodyFraming(res)) brokenResponses.add(res);
}

/** A response whose body's bytes are counted. */
class CountedAnswer {
  readonly res: http.IncomingMessage;
  #bodyBytes = 0;

  constructor(res: http.IncomingMessage) {
    this.res = res;
    const push = res.push.bind(res);
    res.push = (chunk: Buffer | null) => {
      this.#bodyBytes += chunk?.length ?? 0;
      return push(chunk);
    };
  }

  /** Ends the response if most of what its connection has carried is no data. */
  checkOverhead(readBytes: number): void {
    const overhead = readBytes - this.#bodyBytes;
    if (overhead <= MAX_OVERHEAD_BYTES + this.#bodyBytes) return;
    const text = `${overhead} bytes around ${this.#bodyBytes} bytes of data`;
    this.res.destroy(createError("cut", text));
  }
}

/** How an address answers an attempt to connect. */
export enum ProbeResult {
  Accepts = "accepts",
  /** As it does once the process that listened there has ended. */
  Refuses = "refuses",
  /** There is no reply, or the network failed. */
  Unreachable = "unreachable",
}

/** Connects to an address, and closes the connection at once. */
export function probeAddress(
  options: { host: string; port: number; timeoutMs: number },
): Promise<ProbeResult> {
  const { host, port, timeoutMs } = options;
  return new Promise((resolve) => {
    let socket: net.Socket;
    try {
      socket = net.connect({ host, port });
    } catch {
      // Such as a port out of range.
      return resolve(ProbeResult.Unreachable);
    }
    const finish = (result: ProbeResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => finish(ProbeResult.Unreachable), timeoutMs);
    socket.once("connect", () => finish(ProbeResult.Accepts));
    socket.once("error", (err) =>
      finish(
        getCode(err) === "ECONNREFUSED"
          ? ProbeResult.Refuses
          : ProbeResult.Unreachable,
      ));
  });
}

/**
 * Whether a response has a final status and no transfer coding but chunks, which alone can
 * be undone here.
 */
export function isHeadUsable(
  { statusCode = 0, headers }: Pick<
    http.IncomingMessage,
    "statusCode" | "headers"
  >,
): boolean {
  const coding = headers["transfer-encoding"] ?? "chunked";
  return statusCode >= MIN_FINAL_STATUS && statusCode <= MAX_STATUS &&
    coding.toLowerCase() === "chunked";
}

/** Whether a response names its length or comes in chunks, rather than end with its connection. */
export function hasBodyFraming(
  { headers }: Pick<http.IncomingMessage, "headers">,
): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/** The first bytes of a body. */
export interface BodyStart {
  readonly chunks: Buffer[];
  /** Whether they are the whole body; if not, the response is paused. */
  readonly isWhole: boolean;
}

/**
 * Reads the body of a response until it ends or exceeds `maxBytes`. Throws
 * {@link ConnectionError} if it breaks off or neither happens within the timeout.
 */
export function readBodyStart(
  res: http.IncomingMessage,
  options: { maxBytes: number; timeoutMs: number },
): Promise<BodyStart> {
  const { maxBytes, timeoutMs } = options;
  return new Promise((resolve, reject) => {
    const collector = new ChunkCollector();
    const settle = (result: BodyStart | ConnectionError) => {
      clearTimeout(timer);
      res.off("data", onData).off("end", onEnd).off("close", onEnd);
      if (result instanceof ConnectionError) reject(result);
      else resolve(result);
    };
    const timer = setTimeout(() => {
      settle(createError("no_reply", "the answer stopped midway"));
      res.destroy();
    }, timeoutMs);
    const onData = (chunk: Buffer) => {
      collector.add(chunk);
      if (collector.size <= maxBytes) return;
      res.pause();
      settle({ chunks: collector.take(), isWhole: false });
    };
    const onEnd = () =>
      settle(
        isResponseComplete(res)
          ? { chunks: collector.take(), isWhole: true }
          : createError("cut", "the answer broke off"),
      );
    res.on("data", onData).once("end", onEnd).once("close", onEnd);
    // Stays, since a response that is paused may break off too.
    res.on("error", (err) => settle(createError("cut", getMessage(err), err)));
  });
}

/**
 * Reads the body of a response. Throws {@link ConnectionError} if it is incomplete, too
 * large or not read within the timeout.
 */
export async function readResponseBody(
  res: http.IncomingMessage,
  options: { maxBytes: number; timeoutMs: number },
): Promise<Buffer> {
  const { chunks, isWhole } = await readBodyStart(res, options);
  if (isWhole) return Buffer.concat(chunks);
  res.destroy();
  const text = `answer larger than ${options.maxBytes} bytes`;
  throw createError("too_large", text);
}

function createError(
  tag: "not_sent" | "no_reply" | "cut" | "aborted" | "too_large",
  message: string,
  cause?: unknown,
): ConnectionError {
  return new ConnectionError({ tag }, message, { cause });
}
