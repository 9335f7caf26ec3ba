/**
 * One request and its answer on a connection of their own. Nothing that belongs to
 * another request can come on it, and whether the request was written is known.
 * @module
 */
import { Buffer } from "node:buffer";
import * as http from "node:http";
import type * as net from "node:net";
import { getMessage } from "@bitternfall/errors";
import { ConnectionError } from "./error.ts";

/** A request to be sent once. */
export interface ExchangeRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, sent as they stand. */
  readonly headers: readonly string[];
  readonly body?: Buffer | undefined;
  /** Time within which the connection must stand. */
  readonly connectTimeoutMs?: number;
  /** Time from the call within which the head of the answer must have come. */
  readonly headTimeoutMs: number;
  /** Closes the connection when aborted. */
  readonly signal?: AbortSignal | undefined;
}

/** Five times the slowest round trip between zones that the deployments declare, and a resend. */
const DEFAULT_CONNECT_TIMEOUT_MS = 400;
const MAX_HEADER_BYTES = 65_536;

/** Answers whose connection broke, though what came looked like an end. */
const broken = new WeakSet<http.IncomingMessage>();

/** Whether an ended answer is whole: one without a length may end with a reset. */
export function isWhole(res: http.IncomingMessage): boolean {
  return res.complete && !broken.has(res);
}

/**
 * Sends a request and resolves with the head of its answer; the body is read from the
 * returned message. Throws {@link ConnectionError}: `not_sent` only where the
 * connection never stood.
 */
export function openExchange(
  options: ExchangeRequest,
): Promise<http.IncomingMessage> {
  const { host, port, method, path, headers, body, signal } = options;
  const { connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS, headTimeoutMs } =
    options;
  return new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(createError("aborted", "aborted"));
    let connected = false;
    const req = http.request({
      host,
      port,
      method,
      path,
      headers: headers as unknown as http.OutgoingHttpHeaders,
      agent: false,
      setHost: false,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    const fail = (tag: "not_sent" | "no_reply" | "aborted") => {
      req.destroy();
      settle();
      reject(createError(tag, `${tag} by ${host}:${port}`));
    };
    const connectTimer = setTimeout(() => fail("not_sent"), connectTimeoutMs);
    const headTimer = setTimeout(
      () => fail(connected ? "no_reply" : "not_sent"),
      headTimeoutMs,
    );
    const onAbort = () => fail("aborted");
    const settle = () => {
      clearTimeout(connectTimer);
      clearTimeout(headTimer);
    };
    signal?.addEventListener("abort", onAbort, { once: true });
    req.once("close", () => signal?.removeEventListener("abort", onAbort));
    req.once("socket", (socket) =>
      socket.once("connect", () => {
        connected = true;
        clearTimeout(connectTimer);
      }));
    req.once("response", (res) => {
      settle();
      res.socket.once("error", () => broken.add(res));
      if (!hasLength(res)) separateReset(res.socket);
      resolve(res);
    });
    req.on("error", (err) => {
      settle();
      reject(
        createError(connected ? "cut" : "not_sent", getMessage(err), err),
      );
    });
    req.end(body);
  });
}

function hasLength({ headers }: http.IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Reads a socket in steps. The event loop's library reports a reset that comes together
 * with bytes as an ordinary end of the connection, unless reading was stopped in
 * between; `net.Socket` has no public call that stops the handle.
 */
function separateReset(socket: net.Socket): void {
  const { _handle: handle } = socket as net.Socket & { _handle?: ReadHandle };
  if (handle === undefined) return;
  const step = () => {
    handle.readStop();
    setImmediate(() => {
      if (!socket.destroyed) handle.readStart();
    });
  };
  step();
  socket.on("data", step);
}

/** The part of a socket's handle that starts and stops reading. */
interface ReadHandle {
  readStart(): void;
  readStop(): void;
}

/** Reads an answer whole. Throws {@link ConnectionError} where it breaks off or is too large. */
export function readExchange(
  res: http.IncomingMessage,
  options: { maxBytes: number; timeoutMs: number },
): Promise<Buffer> {
  const { maxBytes, timeoutMs } = options;
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => {
      reject(createError("no_reply", "the answer stopped midway"));
      res.destroy();
    }, timeoutMs);
    res.on("data", (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size <= maxBytes) return;
      reject(createError("too_large", `answer larger than ${maxBytes} bytes`));
      res.destroy();
    });
    res.once("end", () => {
      clearTimeout(timer);
      if (isWhole(res)) resolve(Buffer.concat(chunks));
      else reject(createError("cut", "the answer broke off"));
    });
    res.once("error", (err) => {
      clearTimeout(timer);
      reject(createError("cut", getMessage(err), err));
    });
    res.once("close", () => {
      clearTimeout(timer);
      reject(createError("cut", "the answer broke off"));
    });
  });
}

function createError(
  tag: "not_sent" | "no_reply" | "cut" | "aborted" | "too_large",
  message: string,
  cause?: unknown,
): ConnectionError {
  return new ConnectionError({ tag }, message, { cause });
}
